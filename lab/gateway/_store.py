"""Stand-in for the platform's object store."""

import asyncio
import copy
import json
from collections import Counter
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import attrs

from flamingoshelf.http1 import Exchange, Headers, HttpServer, ResponseHead

__all__ = ["StoreFaults", "StoreStandIn"]

_MAX_BODY_BYTES = 1024 * 1024
_PAGE_ITEMS = 20
_OUTSIDE_KINDS = ("config", "servers")  # written by the operator and by the backend servers


@attrs.define(kw_only=True)
class StoreFaults:
    """Faults in force.

    Parameters
    ----------
    mode : {"", "busy", "silent", "reset"}
        How calls are handled: served, refused with 503, never answered, or reset.
    delay_s : float
        Seconds of delay before a call is served.
    lost_writes : int
        Number of coming writes that take effect but whose connection is then reset.
    """

    mode: str = ""
    delay_s: float = 0.0
    lost_writes: int = 0


@attrs.frozen(kw_only=True)
class StoreCopy:
    """State of the store at one moment, from which it can be restored."""

    objects: dict[str, dict[str, dict[str, Any]]]
    events: list[tuple[int, str, dict[str, Any], bool]]
    revision: int


class StoreStandIn:
    """Objects by kind and name with one revision counter, watches and faults.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen at.

    Attributes
    ----------
    era : int
        Number of restores from a copy, counted from 1; all answers state it.
    """

    def __init__(self, *, address: str) -> None:
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._oldest_revision = 0
        self._revision = 1
        self._changed = asyncio.Event()
        self._server = HttpServer(address=address, handle=self._handle)
        self._raw: dict[str, bytes] = {}
        self.era = 1
        self.faults = StoreFaults()
        self.calls: Counter[str] = Counter()

    @property
    def revision(self) -> int:
        """Current revision."""
        return self._revision

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self._server.stop()

    def objects(self, kind: str) -> dict[str, Any]:
        """Return the ``spec`` of every object of a kind, by name."""
        return {name: item["spec"] for name, item in self._objects.get(kind, {}).items()}

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object without a version check; return its revision.

        An object with an equal `spec` is not written again.
        """
        found = self._objects.setdefault(kind, {}).get(name)
        if found is not None and found["spec"] == spec:
            return int(found["metadata"]["revision"])
        self._revision += 1
        metadata: dict[str, Any] = {
            "name": name,
            "revision": self._revision,
            "createdRev": self._revision if found is None else found["metadata"]["createdRev"],
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[kind][name] = item
        self._append_event(kind, item, removed=False)
        return self._revision

    def put_raw(self, kind: str, name: str, spec: bytes) -> int:
        """Write an object whose ``spec`` is served as these bytes, whatever they are."""
        marker = f"raw:{len(self._raw)}:{name}"
        self._raw[json.dumps(marker)] = spec
        return self.put(kind, name, marker)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            item["metadata"] = {**item["metadata"], "revision": self._revision}
            self._append_event(kind, item, removed=True)

    def forget_history(self) -> None:
        """Drop the event history; watches from older revisions get 410 and have to list again."""
        self._oldest_revision = self._revision
        self._wake_watches()

    def take_copy(self) -> StoreCopy:
        """Return a copy of the current state."""
        return StoreCopy(
            objects=copy.deepcopy(self._objects),
            events=copy.deepcopy(self._events),
            revision=self._revision,
        )

    def restore(self, state: StoreCopy) -> None:
        """Go back to a copy; what the operator and the servers wrote since is written again.

        What other writers have written since is lost. Revisions are given out again, and watches
        from a revision that the copy doesn't have get 410.
        """
        outside = {kind: self.objects(kind) for kind in _OUTSIDE_KINDS}
        self.era += 1
        self._objects = copy.deepcopy(state.objects)
        self._events = copy.deepcopy(state.events)
        self._revision = state.revision
        self._wake_watches()
        for kind, objects in outside.items():
            for name in self.objects(kind).keys() - objects.keys():
                self.remove(kind, name)
            for name, spec in objects.items():
                self.put(kind, name, spec)

    def _append_event(self, kind: str, item: dict[str, Any], *, removed: bool) -> None:
        self._events.append((self._revision, kind, item, removed))
        self._wake_watches()

    def _wake_watches(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, exchange: Exchange) -> None:
        body = await exchange.read_body(limit=_MAX_BODY_BYTES)
        self.calls[exchange.head.method] += 1
        if await self._apply_faults(exchange):
            return
        target = urlsplit(exchange.head.target)
        kind, _, name = unquote(target.path.removeprefix("/objects/")).partition("/")
        query = {key: values[0] for key, values in parse_qs(target.query).items()}
        method = exchange.head.method
        if method == "GET":
            await self._read(exchange, kind, name, query)
            return
        status, document = self._write(method, kind, name, json.loads(body) if body else None)
        if self.faults.lost_writes:
            self.faults.lost_writes -= 1
            exchange.abort()
            return
        self._respond(exchange, status, document)

    async def _apply_faults(self, exchange: Exchange) -> bool:
        """Delay a call and fail it if a fault mode is set; return whether it failed."""
        await asyncio.sleep(self.faults.delay_s)
        match self.faults.mode:
            case "busy":
                self._respond(exchange, 503, {"error": "busy"})
            case "reset":
                exchange.abort()
            case "silent":
                await asyncio.sleep(3600)
            case _:
                return False
        return True

    async def _read(self, exchange: Exchange, kind: str, name: str, query: dict[str, str]) -> None:
        if name:
            item = self._objects.get(kind, {}).get(name)
            self._respond(exchange, 200 if item else 404, item or {"error": "none"})
        elif "watch" in query:
            wait_s = int(query.get("waitMs", "0")) / 1000
            await self._watch(exchange, kind, int(query["watch"]), wait_s)
        else:
            names = sorted(n for n in self._objects.get(kind, {}) if n > query.get("after", ""))
            page = names[:_PAGE_ITEMS]
            items = [self._objects[kind][found] for found in page]
            document = {"items": items, "morePages": len(names) > len(page), "asOf": self._revision}
            self._respond(exchange, 200, document)

    async def _watch(self, exchange: Exchange, kind: str, after: int, wait_s: float) -> None:
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while True:
            if after < self._oldest_revision or after > self._revision:
                self._respond(exchange, 410, {"error": "gone"})
                return
            found = [event for event in self._events if event[0] > after and event[1] == kind]
            left_s = deadline_s - asyncio.get_running_loop().time()
            if found or left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
        events = [{"object": item, "removed": removed} for _, _, item, removed in found]
        self._respond(exchange, 200, {"events": events, "asOf": self._revision})

    def _write(self, method: str, kind: str, name: str, document: Any) -> tuple[int, Any]:
        """Return status and document of the answer to a write."""
        metadata = (document or {}).get("metadata") or {}
        name = name or metadata.get("name", "")
        found = self._objects.get(kind, {}).get(name)
        expected = metadata.get("revision")
        if method == "POST" and found is not None:
            return 409, found
        if method != "POST" and found is None:
            return 404, {"error": "none"}
        if found is not None and expected not in (None, found["metadata"]["revision"]):
            return 409, found
        if method == "DELETE":
            self.remove(kind, name)
            return 200, found
        self.put(kind, name, document["spec"])
        return 200, self._objects[kind][name]

    def _respond(self, exchange: Exchange, status: int, document: Any) -> None:
        headers = Headers([("Content-Type", "application/json"), ("Store-Era", str(self.era))])
        body = json.dumps(document).encode()
        for marker, spec in self._raw.items():
            body = body.replace(marker.encode(), spec)
        exchange.respond(ResponseHead(status=status, headers=headers), body)
