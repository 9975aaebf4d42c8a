"""Stand-in for the platform: versioned object service and VM list.

Faults are set with ``POST /control``; ``GET /control`` returns the call counts.
"""

import asyncio
import json
from collections import Counter, deque
from typing import Any

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

__all__ = ["Platform", "build_platform_app"]

_MAX_VALUE_BYTES = 1_000_000


@attrs.define(kw_only=True)
class _StoredObject:
    value: bytes
    version: int


@attrs.define(kw_only=True)
class Faults:
    """Faults in force.

    Parameters
    ----------
    down : bool
        Whether every call is refused with status 503.
    delay_s : float
        Seconds of delay before a call is served.
    lose_answers : int
        Number of coming writes that take effect but whose connection is then cut.
    lose_reads : int
        Number of coming reads whose connection is cut.
    stale_reads : int
        Number of coming reads that return the version before the latest one.
    vm_list_lag_s : float
        Seconds after which a change of the VM list becomes visible.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_reads: int = 0
    stale_reads: int = 0
    vm_list_lag_s: float = 1.0


class _CutResponse(Response):
    """Response that closes the connection before the body."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers = [(b"content-length", b"1000")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        raise ConnectionAbortedError("answer lost")


class Platform:
    """State of the platform."""

    def __init__(self) -> None:
        self._objects: dict[str, _StoredObject] = {}
        self._previous_objects: dict[str, _StoredObject] = {}
        self._next_version = 1
        self._changed = asyncio.Condition()
        self._pending_vm_lists: deque[tuple[float, list[dict[str, Any]]]] = deque()
        self._vm_version = 0
        self._visible_vms: list[dict[str, Any]] = []
        self.faults = Faults()
        self.calls: Counter[str] = Counter()

    async def objects(self, request: Request) -> Response:
        """Serve ``/objects`` and ``/objects/KEY``."""
        if self.faults.down:
            return Response("down", 503)
        await asyncio.sleep(self.faults.delay_s)
        key = request.path_params.get("key")
        if key is None:
            return self._keys(request.query_params.get("prefix", ""))
        match request.method:
            case "PUT":
                return await self._write(key, await request.body(), request)
            case "DELETE":
                return await self._write(key, None, request)
        if "wait" in request.query_params:
            return await self._watch(key, request)
        self.calls["read"] += 1
        if self.faults.lose_reads > 0:
            self.faults.lose_reads -= 1
            return _CutResponse()
        if self.faults.stale_reads > 0:
            self.faults.stale_reads -= 1
            return self._read(key, self._previous_objects)
        return self._read(key)

    async def vms(self, request: Request) -> Response:
        """Serve ``/vms``."""
        self.calls["vm_list"] += 1
        now = asyncio.get_running_loop().time()
        while (
            self._pending_vm_lists
            and self._pending_vm_lists[0][0] <= now - self.faults.vm_list_lag_s
        ):
            self._visible_vms = self._pending_vm_lists.popleft()[1]
            self._vm_version += 1
        return JSONResponse({"version": self._vm_version, "vms": self._visible_vms})

    async def control(self, request: Request) -> Response:
        """Serve ``/control``: faults, VMs and call counts."""
        if request.method == "POST":
            order = json.loads(await request.body())
            for name, value in order.get("faults", {}).items():
                setattr(self.faults, name, value)
            if "vms" in order:
                now = asyncio.get_running_loop().time()
                self._pending_vm_lists.append((now, order["vms"]))
        return JSONResponse({"calls": dict(self.calls), "faults": attrs.asdict(self.faults)})

    def _keys(self, prefix: str) -> Response:
        self.calls["list"] += 1
        return JSONResponse([key for key in self._objects if key.startswith(prefix)])

    def _read(self, key: str, objects: dict[str, _StoredObject] | None = None) -> Response:
        stored = (self._objects if objects is None else objects).get(key)
        if stored is None:
            return Response("no such object", 404)
        return Response(stored.value, headers={"ETag": str(stored.version)})

    async def _watch(self, key: str, request: Request) -> Response:
        self.calls["watch"] += 1
        after = int(request.query_params["after"])

        def is_newer() -> bool:
            return key in self._objects and self._objects[key].version > after

        try:
            async with asyncio.timeout(float(request.query_params["wait"])), self._changed:
                await self._changed.wait_for(is_newer)
        except TimeoutError:
            return Response("down", 503) if self.faults.down else Response(status_code=204)
        return Response("down", 503) if self.faults.down else self._read(key)

    async def _write(self, key: str, value: bytes | None, request: Request) -> Response:
        self.calls["write"] += 1
        stored = self._objects.get(key)
        version = 0 if stored is None else stored.version
        if request.headers.get("if-match") != str(version):
            return Response("another version", 412)
        if value is not None and len(value) > _MAX_VALUE_BYTES:
            return Response("too large", 413)
        new_version = self._next_version
        self._next_version += 1
        if value is None:
            self._objects.pop(key, None)
        else:
            if stored is not None:
                self._previous_objects[key] = stored
            self._objects[key] = _StoredObject(value=value, version=new_version)
        async with self._changed:
            self._changed.notify_all()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return _CutResponse()
        return Response(headers={"ETag": str(new_version)})


def build_platform_app() -> Starlette:
    """Return the platform as an ASGI application."""
    platform = Platform()
    methods = ["GET", "PUT", "DELETE"]
    return Starlette(
        routes=[
            Route("/objects", platform.objects),
            Route("/objects/{key:path}", platform.objects, methods=methods),
            Route("/vms", platform.vms),
            Route("/control", platform.control, methods=["GET", "POST"]),
        ]
    )
