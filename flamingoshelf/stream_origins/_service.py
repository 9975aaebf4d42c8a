"""Origins of streams as all nodes share them."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.cluster import Coordination
from flamingoshelf.exceptions import FlamingoshelfError, RemoteError
from flamingoshelf.store import KindStore, StoreEras
from flamingoshelf.stream_origins._archive import OriginArchive
from flamingoshelf.stream_origins._messages import (
    FindStreamOrigin,
    FindStreamOriginReply,
    StreamOriginReport,
    StreamOriginReportReply,
    group_streams,
)
from flamingoshelf.stream_origins._origins import OriginTable, StreamOrigin
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["OriginService"]

_FLUSH_DELAY_S = 0.005  # origins recorded within this time share one message
_REPORT_TIMEOUT_S = 0.4  # longer than any reply of a healthy node takes
_REPORT_RETRY_S = 0.1
_OWN_WRITE_AFTER_S = 0.3  # if the coordinator hasn't taken an origin in by then
_FIND_TIMEOUT_S = 0.15  # of the coordinator's reply; then the store is asked
_READ_TIMEOUT_S = 0.5
_MIN_READ_INTERVAL_S = 0.1
_MAX_READS_PER_S = 400.0  # of all nodes together, a fifth of what the store allows
_WRITE_INTERVAL_S = 0.25  # streams that began as late before the loss of all nodes are forgotten
_MAX_OWN_WRITES_PER_S = 100.0  # of all nodes together, while each writes its own
_CLEANING_INTERVAL_S = 30.0
_ABANDONED_S = 60.0  # longer than any caller waits for a stream


class OriginService:
    """`StreamOrigins` that all nodes share.

    A node tells the coordinator which streams began. The coordinator writes them to the store in
    batches. While it can't be reached, a node writes its own.

    Parameters
    ----------
    node_name, incarnation : str
        Name of this node, and identifier of this run of its process.
    store : KindStore
        The platform's store.
    eras : StoreEras
        Eras of the store.
    node_count : callable
        Returns the number of nodes.
    """

    def __init__(
        self,
        *,
        node_name: str,
        incarnation: str,
        store: KindStore,
        eras: StoreEras,
        node_count: Callable[[], int],
    ) -> None:
        self._node_name = node_name
        self._node_count = node_count
        self._table = OriginTable()
        self._archive = OriginArchive(
            store=store,
            eras=eras,
            table=self._table,
            writer=f"{node_name}-{incarnation}",
            interval_s=self._write_interval_s,
        )
        # Streams that began here, with their origin and the time at which they are forgotten.
        self._own: OrderedDict[str, tuple[StreamOrigin | None, float]] = OrderedDict()
        self._unreported: dict[str, float] = {}  # keys of those not told, with the time recorded
        self._has_news = asyncio.Event()
        self._reading: asyncio.Task[None] | None = None
        self._reading_began_s = float("-inf")
        self._last_read_began_s = float("-inf")  # of those that succeeded
        self._earlier_coordinator: str | None = None  # of a version that doesn't keep origins
        self._link: NodeLink | None = None
        self._coordination: Coordination | None = None
        self._tasks = TaskGroup(owner="origins")

    async def start(self) -> None:
        """Start to share and to store what is recorded."""
        await self._archive.start()
        self._tasks.start(self._report_news(), name="report")
        self._tasks.start(self._clean(), name="clean")

    async def stop(self) -> None:
        """Hand on what was recorded last, and stop."""
        await self._tasks.stop()
        if self._unreported:
            await self._report()
        await self._archive.stop()

    def connect(self, link: NodeLink, coordination: Coordination) -> None:
        """Share origins with the other nodes from now on."""
        link.register(StreamOriginReport, self._on_report)
        link.register(FindStreamOrigin, self._on_find)
        self._link, self._coordination = link, coordination
        self._tasks.start(self._follow_coordinator(coordination), name="coordinator")

    def record(self, key: str, origin: StreamOrigin | None, *, keep_s: float) -> None:
        """Record what began a stream; see `StreamOrigins`."""
        now = now_s()
        self._table.add(key, origin, keep_s=keep_s)
        self._own.pop(key, None)
        self._own[key] = origin, now + keep_s
        while self._own and next(iter(self._own.values()))[1] <= now:
            self._own.popitem(last=False)
        self._unreported.setdefault(key, now)
        self._has_news.set()

    async def find(self, key: str) -> StreamOrigin | None:
        """Return what began a stream, from this node, the coordinator or the store.

        Returns None if it isn't known, or can't be found out in a moment.
        """
        origin = self._table.find(key) or await self._ask_coordinator(key)
        if origin is not None:
            return origin
        await self._read_since(now_s() - self._read_interval_s)
        return self._table.find(key)

    @property
    def _coordinator(self) -> str | None:
        return None if self._coordination is None else self._coordination.coordinator

    @property
    def _writes_for_all(self) -> bool:
        return self._coordinator == self._node_name

    @property
    def _is_alone(self) -> bool:
        """Whether no other node takes in origins."""
        coordinator = self._coordinator
        return (
            self._link is None
            or self._writes_for_all
            or (coordinator is not None and coordinator == self._earlier_coordinator)
        )

    @property
    def _read_interval_s(self) -> float:
        return max(_MIN_READ_INTERVAL_S, self._node_count() / _MAX_READS_PER_S)

    def _write_interval_s(self) -> float:
        if self._writes_for_all:
            return _WRITE_INTERVAL_S
        return max(_WRITE_INTERVAL_S, self._node_count() / _MAX_OWN_WRITES_PER_S)

    async def _ask_coordinator(self, key: str) -> StreamOrigin | None:
        coordinator = self._coordinator
        if self._link is None or coordinator is None or self._is_alone:
            return None
        try:
            reply = await self._link.request(
                coordinator, FindStreamOrigin(key=key), timeout_s=_FIND_TIMEOUT_S
            )
        except FlamingoshelfError as error:
            logger.bind(step="origin", peer=coordinator, stream=key).info(
                "coordinator doesn't tell the origin of a stream: {}", error.message
            )
            return None
        if not isinstance(reply, FindStreamOriginReply) or not reply.version:
            return None
        return StreamOrigin(service=reply.service, version=reply.version)

    async def _read_since(self, began_s: float) -> None:
        """Read the store, unless a read that began at `began_s` or later has succeeded."""
        if self._reading is not None and self._reading_began_s < began_s:
            await asyncio.wait({self._reading})
        if self._last_read_began_s >= began_s:
            return
        if self._reading is None:
            self._reading_began_s = now_s()
            self._reading = self._tasks.start(self._read(), name="read")
        await asyncio.wait({self._reading})

    async def _read(self) -> None:
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                await self._archive.read()
            self._last_read_began_s = self._reading_began_s
        except (FlamingoshelfError, TimeoutError) as error:
            logger.bind(step="origin").warning("origins of streams not read: {!r}", error)
        finally:
            self._reading = None

    async def _report_news(self) -> None:
        while True:
            await self._has_news.wait()
            await asyncio.sleep(_FLUSH_DELAY_S)
            self._has_news.clear()
            if not await self._report():
                self._has_news.set()
                await asyncio.sleep(_REPORT_RETRY_S)

    async def _report(self) -> bool:
        """Hand origins on to the coordinator, or to the store; return False if some are left."""
        coordinator = self._coordinator
        keys = list(self._unreported)
        if self._link is not None and coordinator is not None and not self._is_alone:
            report = StreamOriginReport(streams=tuple(group_streams(self._entries(keys))))
            try:
                await self._link.request(coordinator, report, timeout_s=_REPORT_TIMEOUT_S)
            except FlamingoshelfError as error:
                if isinstance(error, RemoteError):
                    self._earlier_coordinator = coordinator
                logger.bind(step="origin", peer=coordinator, streams=len(keys)).info(
                    "coordinator doesn't take in origins of streams: {}", error.message
                )
            else:
                self._forget_reported(keys)
                return not self._unreported
        latest_s = now_s() - (0.0 if self._is_alone else _OWN_WRITE_AFTER_S)
        overdue = [key for key in keys if self._unreported.get(key, latest_s) <= latest_s]
        self._archive.add(group_streams(self._entries(overdue)))
        self._forget_reported(overdue)
        return not self._unreported

    def _forget_reported(self, keys: list[str]) -> None:
        for key in keys:
            self._unreported.pop(key, None)

    def _entries(self, keys: list[str]) -> list[tuple[str, StreamOrigin | None, float]]:
        """Return what this node has recorded under some keys and is not to be forgotten yet."""
        now = now_s()
        found = [(key, *self._own[key]) for key in keys if key in self._own]
        return [(key, origin, end_s - now) for key, origin, end_s in found if end_s > now]

    async def _follow_coordinator(self, coordination: Coordination) -> None:
        """Tell each new coordinator of all streams that began here, as it may know none."""
        while True:
            coordinator = coordination.coordinator
            self._earlier_coordinator = None
            if coordinator is not None:
                now = now_s()
                self._unreported.update((key, now) for key in self._own)
                if self._unreported:
                    self._has_news.set()
            await coordination.wait_for_coordinator_change(coordinator)

    async def _clean(self) -> None:
        """Remove what earlier runs of nodes have left in the store, while this node coordinates."""
        while True:
            await asyncio.sleep(_CLEANING_INTERVAL_S)
            if not self._writes_for_all:
                continue
            try:
                await self._archive.remove_abandoned(unchanged_s=_ABANDONED_S)
            except FlamingoshelfError as error:
                logger.bind(step="origin", peer=error.peer).info(
                    "stored origins of streams not cleaned up: {}", error.message
                )

    async def _on_report(self, peer: str, report: StreamOriginReport) -> StreamOriginReportReply:
        for begun in report.streams:
            for key in begun.keys:
                self._table.add(key, begun.origin, keep_s=begun.keep_s)
        self._archive.add(report.streams)
        return StreamOriginReportReply()

    async def _on_find(self, peer: str, request: FindStreamOrigin) -> FindStreamOriginReply:
        origin = self._table.find(request.key)
        if origin is None:
            return FindStreamOriginReply()
        return FindStreamOriginReply(service=origin.service, version=origin.version)
