"""The origins of streams, kept in the platform's store.

One object holds the streams of a few seconds. A writer overwrites its own objects once their
streams have ended, so that it needs no deletions, and never those of another writer.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import cattrs
from loguru import logger

from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.store import KindStore, StoreEras, StoreObject
from flamingoshelf.stream_origins._messages import BegunStreams
from flamingoshelf.stream_origins._origins import OriginTable
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["OriginArchive"]

_KIND = "gateway-streams"
_SEGMENT_S = 2.0  # each write repeats the streams of the segment so far
_LAST_WRITE_TIMEOUT_S = 0.5  # a node that stops doesn't wait longer for the store
_MAX_SEGMENT_KEYS = 20_000  # 0.4 MB, below the store's limit for an object


@attrs.define(kw_only=True)
class _Segment:
    """Streams of one object in the store, by origin."""

    name: str
    opened_s: float
    is_in_store: bool = False
    is_changed: bool = False
    expires_s: float = 0.0
    keep_s: float = 0.0
    streams: dict[tuple[str, str], list[str]] = attrs.field(factory=dict)

    @property
    def key_count(self) -> int:
        return sum(len(keys) for keys in self.streams.values())

    def add(self, begun: BegunStreams) -> None:
        self.streams.setdefault((begun.service, begun.version), []).extend(begun.keys)
        self.keep_s = max(self.keep_s, begun.keep_s)
        self.expires_s = max(self.expires_s, now_s() + begun.keep_s)
        self.is_changed = True

    def reset(self) -> None:
        """Start to use the object for other streams."""
        self.opened_s, self.keep_s, self.streams = now_s(), 0.0, {}

    def encode(self) -> dict[str, Any]:
        streams = [
            BegunStreams(service=service, version=version, keys=tuple(keys), keep_s=self.keep_s)
            for (service, version), keys in self.streams.items()
        ]
        return {"keep_s": self.keep_s, "streams": cattrs.unstructure(streams)}


class OriginArchive:
    """Writes the origins of streams to the store, and reads what all nodes have written.

    Parameters
    ----------
    store : KindStore
        The platform's store.
    eras : StoreEras
        Eras of the store; a restored store may have lost origins, which are then written again.
    table : OriginTable
        Takes in the origins that are read.
    writer : str
        Name of this writer, unique among all runs of all nodes.
    interval_s : callable
        Returns the least time in seconds between two writes.
    """

    def __init__(
        self,
        *,
        store: KindStore,
        eras: StoreEras,
        table: OriginTable,
        writer: str,
        interval_s: Callable[[], float],
    ) -> None:
        self._store = store
        self._table = table
        self._writer = writer
        self._interval_s = interval_s
        self._segments: list[_Segment] = []
        self._has_changed = asyncio.Event()
        self._is_failing = False
        # Objects of other writers, each with the revision and the time at which it was first seen.
        self._foreign: dict[str, tuple[int, float]] = {}
        self._tasks = TaskGroup(owner="origin_archive")
        eras.subscribe(self._on_restored)

    async def start(self) -> None:
        """Start to write what is added."""
        self._tasks.start(self._write_changes(), name="write")

    async def stop(self) -> None:
        """Write what was added last, once, and stop."""
        await self._tasks.stop()
        try:
            async with asyncio.timeout(_LAST_WRITE_TIMEOUT_S):
                await self._write()
        except TimeoutError:
            logger.bind(step="origin").info("last origins of streams not stored in time")

    def add(self, streams: Iterable[BegunStreams]) -> None:
        """Write origins soon."""
        for begun in streams:
            self._open_segment().add(begun)
            self._has_changed.set()

    async def read(self) -> None:
        """Take in all origins in the store; raises what the call to the store raises."""
        snapshot = await self._store.list(_KIND)
        for item in snapshot.objects.values():
            for begun in _decode(item):
                for key in begun.keys:
                    self._table.add(key, begun.origin, keep_s=begun.keep_s)
        seen = {}
        for name, item in snapshot.objects.items():
            if not name.startswith(f"{self._writer}-"):
                known = self._foreign.get(name)
                is_same = known is not None and known[0] == item.revision
                seen[name] = known if is_same and known else (item.revision, now_s())
        self._foreign = seen

    async def remove_abandoned(self, *, unchanged_s: float) -> None:
        """Delete objects of other writers that have not been written for `unchanged_s` seconds."""
        await self.read()
        for name, (_, since_s) in list(self._foreign.items()):
            if now_s() - since_s >= unchanged_s:
                await self._store.delete(_KIND, name)
                del self._foreign[name]

    @property
    def has_foreign(self) -> bool:
        """Whether the last read found objects of other writers."""
        return bool(self._foreign)

    def _open_segment(self) -> _Segment:
        """Return the segment that takes in new streams."""
        now = now_s()
        if self._segments:
            newest = self._segments[-1]
            if now - newest.opened_s < _SEGMENT_S and newest.key_count < _MAX_SEGMENT_KEYS:
                return newest
            oldest = self._segments[0]
            if oldest.expires_s <= now:
                oldest.reset()
                self._segments.append(self._segments.pop(0))
                return oldest
        segment = _Segment(name=f"{self._writer}-{len(self._segments)}", opened_s=now)
        self._segments.append(segment)
        return segment

    def _on_restored(self) -> None:
        for segment in self._segments:
            segment.is_in_store = False
            segment.is_changed = segment.expires_s > now_s()
        self._has_changed.set()

    async def _write_changes(self) -> None:
        while True:
            await self._has_changed.wait()
            self._has_changed.clear()
            await self._write()
            await asyncio.sleep(self._interval_s())

    async def _write(self) -> None:
        for segment in [segment for segment in self._segments if segment.is_changed]:
            segment.is_changed = False
            try:
                await self._store.put(
                    _KIND, segment.name, segment.encode(), is_likely_new=not segment.is_in_store
                )
                segment.is_in_store = True
                self._log_outcome(None)
            except FlamingoshelfError as error:
                segment.is_changed = segment.expires_s > now_s()
                self._has_changed.set()
                self._log_outcome(error)
                return

    def _log_outcome(self, error: FlamingoshelfError | None) -> None:
        """Log when writes begin to fail, and when they succeed again."""
        if self._is_failing == (error is not None):
            return
        self._is_failing = error is not None
        if error is None:
            logger.bind(step="origin").info("origins of streams are stored again")
        else:
            logger.bind(step="origin", peer=error.peer).warning(
                "origins of streams not stored; retrying: {}", error.message
            )


def _decode(item: StoreObject) -> list[BegunStreams]:
    try:
        return cattrs.structure(item.content["streams"], list[BegunStreams])
    except Exception as error:  # whatever another writer has put there
        logger.bind(step="origin", peer=item.name).warning(
            "stored origins of streams ignored: {!r}", error
        )
        return []
