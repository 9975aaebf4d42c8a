"""HTTP client of the platform's object store."""

import asyncio
import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote, urlencode

from loguru import logger

from flamingoshelf.exceptions import (
    ConflictError,
    HistoryLostError,
    ObjectServiceError,
    OutcomeUnknownError,
    PeerUnreachableError,
    ProtocolError,
)
from flamingoshelf.http1 import ConnectionPool, Headers, RequestHead, ResponseHead
from flamingoshelf.platform._documents import parse_answer
from flamingoshelf.store import (
    KindChanges,
    KindSnapshot,
    StoreEras,
    StoreObject,
    era_of,
    join_revision,
    revision_in_era,
)

__all__ = ["PlatformStore"]

# The store usually answers in 4 ms; the timeout allows a slow store over 60 times as long.
_CALL_TIMEOUT_S = 1.5
# Added to a watch's wait; without an answer by then the connection is considered dead.
_WATCH_TIMEOUT_MARGIN_S = 0.8
_MAX_PAGES = 1000  # far above the pages of any list; stops a list that would never end
_MAX_ANSWER_BYTES = 8 * 1024 * 1024  # a page has about 1 MB, and at least one object of 1 MB
_MAX_ERA_DIGITS = 6  # an era is a small number
_RESTORED = "the store was restored from a copy"
# Requests with these statuses were not executed. Other server errors may follow the effect.
_NOT_EXECUTED_STATUSES = frozenset({429, 503})


class _NotFoundError(ObjectServiceError):
    """The object does not exist."""


class PlatformStore:
    """Access the platform's store over HTTP; implements `flamingoshelf.store.KindStore`.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    pool : ConnectionPool
        Connections that are reused between calls.
    eras : StoreEras
        Learns of restores of the store from its answers.
    """

    def __init__(self, *, address: str, pool: ConnectionPool, eras: StoreEras) -> None:
        self._address = address
        self._pool = pool
        self._eras = eras
        self._calls = 0

    @property
    def calls(self) -> int:
        """Number of calls sent so far; the platform charges for each call."""
        return self._calls

    async def list(self, kind: str) -> KindSnapshot:
        """Return all objects of a kind, and the revision after which to watch for changes."""
        objects: dict[str, StoreObject] = {}
        revision: int | None = None
        query: dict[str, str] = {}
        for _ in range(_MAX_PAGES):
            page, era = await self._read(kind, query)
            if revision is not None and era != era_of(revision):
                raise ObjectServiceError(_RESTORED, step="list", peer=self._address)
            found = [_to_object(item, era) for item in _field(page, "items", list)]
            objects.update((item.name, item) for item in found)
            if revision is None:  # a watch from here reports changes made while paging
                revision = join_revision(era, _field(page, "asOf", int))
            if not page.get("morePages") or not found:
                break
            query = {"after": found[-1].name}
        assert revision is not None
        return KindSnapshot(objects=objects, revision=revision)

    async def watch(self, kind: str, *, after_revision: int, timeout_s: float) -> KindChanges:
        """Wait for changes after a revision, for `timeout_s` at the most.

        Raises
        ------
        HistoryLostError
            The store no longer holds the changes after `after_revision`, or was restored since.
        ObjectServiceError
            The read failed.
        """
        if era_of(after_revision) != self._eras.current:
            raise HistoryLostError(_RESTORED, step="watch", peer=self._address)
        wait_ms = str(int(timeout_s * 1000))
        query = {"watch": str(revision_in_era(after_revision)), "waitMs": wait_ms}
        page, era = await self._read(kind, query, timeout_s=timeout_s + _WATCH_TIMEOUT_MARGIN_S)
        if era != era_of(after_revision):
            raise HistoryLostError(_RESTORED, step="watch", peer=self._address)
        changed: dict[str, StoreObject] = {}
        removed: dict[str, None] = {}
        last_change = 0
        for event in _field(page, "events", list):
            item = _to_object(_field(event, "object", dict), era)
            last_change = max(last_change, item.revision)
            if event.get("removed"):
                changed.pop(item.name, None)
                removed[item.name] = None
            else:
                removed.pop(item.name, None)
                changed[item.name] = item
        return KindChanges(
            changed=tuple(changed.values()),
            removed=tuple(removed),
            revision=join_revision(era, _field(page, "asOf", int)),
            last_change=last_change,
        )

    async def create(self, kind: str, name: str, content: Any) -> StoreObject:
        """Create an object; raise `ConflictError` if it exists."""
        return await self._write("POST", f"/objects/{quote(kind)}", name, content, revision=None)

    async def replace(
        self, kind: str, name: str, content: Any, *, expected_revision: int
    ) -> StoreObject:
        """Replace an object if it has `expected_revision`; raise `ConflictError` otherwise."""
        if era_of(expected_revision) != self._eras.current:
            raise ConflictError(_RESTORED, step="write", peer=self._address)
        path = f"/objects/{quote(kind)}/{quote(name)}"
        return await self._write("PUT", path, name, content, revision=expected_revision)

    async def put(self, kind: str, name: str, content: Any, *, is_likely_new: bool) -> StoreObject:
        """Create an object or replace it, regardless of its revision.

        `is_likely_new` decides which of the two is tried first.
        """
        if is_likely_new:
            try:
                return await self.create(kind, name, content)
            except ConflictError:
                pass  # the object exists and is replaced below
        path = f"/objects/{quote(kind)}/{quote(name)}"
        try:
            return await self._write("PUT", path, name, content, revision=None)
        except _NotFoundError:
            return await self.create(kind, name, content)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object regardless of its revision; do nothing if it does not exist."""
        path = f"/objects/{quote(kind)}/{quote(name)}"
        status, _, _ = await self._call("DELETE", path, None, step="delete")
        if status >= 300 and status != 404:
            raise ObjectServiceError(f"status {status}", step="delete", peer=self._address)

    async def _write(
        self, method: str, path: str, name: str, content: Any, *, revision: int | None
    ) -> StoreObject:
        metadata: dict[str, Any] = {"name": name}
        if revision is not None:
            metadata["revision"] = revision_in_era(revision)
        document = {"metadata": metadata, "spec": content}
        status, answer, era = await self._call(method, path, document, step="write")
        if status == 404:
            raise _NotFoundError(f"{name} does not exist", step="write", peer=self._address)
        if status == 409:
            raise ConflictError(f"{name} has another revision", step="write", peer=self._address)
        if status >= 300:
            raise ObjectServiceError(f"status {status}", step="write", peer=self._address)
        if revision is not None and era != era_of(revision):
            # The object of the new era had the same revision by chance.
            raise OutcomeUnknownError(_RESTORED, step="write", peer=self._address)
        return _to_object(answer, era)

    async def _read(
        self, kind: str, query: Mapping[str, str], *, timeout_s: float = _CALL_TIMEOUT_S
    ) -> tuple[Mapping[str, Any], int]:
        """Return the document and the era of an answer to a read."""
        suffix = f"?{urlencode(query)}" if query else ""
        step = "watch" if "watch" in query else "list"
        try:
            status, answer, era = await self._call(
                "GET", f"/objects/{quote(kind)}{suffix}", None, step=step, timeout_s=timeout_s
            )
        except OutcomeUnknownError as error:  # a failed read changed nothing
            raise ObjectServiceError(error.message, step=step, peer=self._address) from error
        if status == 410:
            raise HistoryLostError(
                "the requested history is no longer stored", step=step, peer=self._address
            )
        if status >= 300 or not isinstance(answer, dict):
            raise ObjectServiceError(f"status {status}", step=step, peer=self._address)
        return answer, era

    async def _call(
        self,
        method: str,
        path: str,
        document: Any,
        *,
        step: str,
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> tuple[int, Any, int]:
        """Send a request; return the status, the JSON document and the era of its response.

        Raises
        ------
        ObjectServiceError
            The request was not sent, or the store refused it.
        OutcomeUnknownError
            The request may have been executed, or only before a restore of the store.
        ProtocolError
            The response is not JSON.
        """
        body = b"" if document is None else json.dumps(document).encode()
        head = RequestHead(
            method=method,
            target=path,
            headers=Headers(
                [
                    ("Host", self._address),
                    ("Content-Type", "application/json"),
                    ("Content-Length", str(len(body))),
                ]
            ),
        )
        try:
            async with asyncio.timeout(timeout_s):
                answer, content = await self._exchange(head, body)
        except PeerUnreachableError as error:
            raise ObjectServiceError(error.message, step=step, peer=self._address) from error
        except TimeoutError as error:
            reason = f"no answer within {timeout_s:.1f} s"
            raise OutcomeUnknownError(reason, step=step, peer=self._address) from error
        status = answer.status
        era = self._observe_era(answer.headers.get("Store-Era"))
        if era < self._eras.current:
            raise OutcomeUnknownError(_RESTORED, step=step, peer=self._address)
        if status in _NOT_EXECUTED_STATUSES:
            raise ObjectServiceError(f"status {status}", step=step, peer=self._address)
        if status >= 500:
            raise OutcomeUnknownError(f"status {status}", step=step, peer=self._address)
        try:
            return status, parse_answer(content), era
        except ValueError as error:
            raise ProtocolError(f"not JSON: {error}", step=step, peer=self._address) from error

    def _observe_era(self, value: str | None) -> int:
        """Return the era that an answer states, or the newest known one if it states none."""
        text = (value or "").strip()
        if not text.isascii() or not text.isdigit() or len(text) > _MAX_ERA_DIGITS:
            if value is not None:
                logger.bind(step="store", peer=self._address).warning(
                    "era of the store not readable: {:.40}", value
                )
            return self._eras.current
        era = int(text)
        self._eras.observe(era, source=self._address)
        return era

    async def _exchange(self, head: RequestHead, body: bytes) -> tuple[ResponseHead, bytes]:
        self._calls += 1
        async with await self._pool.call(self._address, self._address, head, body) as call:
            answer = await call.connection.read_head()
            parts = []
            size = 0
            while part := await call.connection.read():
                size += len(part)
                if size > _MAX_ANSWER_BYTES:
                    reason = f"an answer has more than {_MAX_ANSWER_BYTES} bytes"
                    raise OutcomeUnknownError(reason, step="answer", peer=self._address)
                parts.append(part)
            return answer, b"".join(parts)


def _field(document: Any, name: str, kind: type) -> Any:
    """Return a field of a store document; raise `ProtocolError` unless it is of type `kind`."""
    value = document.get(name) if isinstance(document, dict) else None
    if not isinstance(value, kind):
        raise ProtocolError(f"{name} is {value!r:.40}", step="decode", peer="store")
    return value


def _to_object(document: Any, era: int) -> StoreObject:
    metadata = _field(document, "metadata", dict)
    return StoreObject(
        name=_field(metadata, "name", str),
        revision=join_revision(era, _field(metadata, "revision", int)),
        content=document.get("spec"),
    )
