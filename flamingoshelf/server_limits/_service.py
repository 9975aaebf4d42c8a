"""Limits of servers as all nodes share them, and permits from the node that keeps them."""

from collections.abc import Callable, Iterable, Sequence

from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.cluster import Coordination, CoordinatorRequests, MemberList
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.routing import ServerRun
from flamingoshelf.server_limits._cold import FROM_ANSWER, ColdBound, ColdServers
from flamingoshelf.server_limits._keeper import LimitKeeper
from flamingoshelf.server_limits._messages import (
    AcquireServerPermit,
    ServerLimitReport,
    ServerLimitReportReply,
    ServerPermitReply,
    StatedLimit,
)
from flamingoshelf.server_limits._queue import Permit, PermitQueue
from flamingoshelf.server_limits._stated import LimitStatement, StatedLimits
from flamingoshelf.utils import TaskGroup, stable_hash

__all__ = ["LimitService"]

_REPORT_TIMEOUT_S = 0.4  # longer than any reply of a healthy node takes
_REPLY_SLACK_S = 0.5  # beyond the wait for a permit, by whose end the keeper must have replied


class LimitService:
    """Limits that servers state, and permits for requests to these servers.

    The coordinator keeps the permits for all nodes. Nodes tell it what servers state as soon as
    that changes, and compare digests with each heartbeat, so that what got lost is made up for and
    a new keeper learns what the others know.

    Parameters
    ----------
    node_name, incarnation : str
        Name of this node, and identifier of this run of its process.
    members : MemberList
        Known nodes.
    cold_bound : callable
        ``cold_bound(service)`` returns what cold servers of a service accept, None if they are
        never cold.
    """

    def __init__(
        self,
        *,
        node_name: str,
        incarnation: str,
        members: MemberList,
        cold_bound: Callable[[str], ColdBound | None] = lambda service: None,
    ) -> None:
        self._source = f"{node_name}/{incarnation}"
        self._node_name = node_name
        self._members = members
        self._stated = StatedLimits(cold=ColdServers(bound=cold_bound))
        self._keeper = LimitKeeper(
            stated=self._stated, share=self._share, overlap_s=self._overlap_s
        )
        self._queue = PermitQueue(keeper=self._keeper)
        self._link: NodeLink | None = None
        self._coordination: Coordination | None = None
        self._requests: CoordinatorRequests | None = None
        self._digests: dict[str, int] = {}  # by node; nodes of earlier versions have none
        self._is_reporting = False
        self._has_news = False
        self._tasks = TaskGroup(owner="limits")
        self._stated.subscribe(self._on_change)
        self._stated.cold.subscribe(self._on_cold_change)

    @property
    def stated(self) -> StatedLimits:
        """Limits of servers, as this node knows them."""
        return self._stated

    @property
    def keeper(self) -> LimitKeeper:
        """Permits that this node gives out."""
        return self._keeper

    @property
    def digest(self) -> int:
        """Digest of the limits that servers state, to be told to other nodes."""
        digest = 0
        for run, statement in self._stated.statements().items():
            if statement.per_s is not None:
                digest ^= stable_hash(run.instance_id, str(run.started_ms), str(statement.per_s))
        return digest

    def connect(self, link: NodeLink, coordination: Coordination) -> None:
        """Share limits and permits with the other nodes from now on."""
        link.register(AcquireServerPermit, self._on_acquire)
        link.register(ServerLimitReport, self._on_report)
        self._link, self._coordination = link, coordination
        self._requests = CoordinatorRequests(link=link, coordination=coordination, step="limit")
        self._tasks.start(self._follow_coordinator(coordination), name="keeper")

    async def stop(self) -> None:
        """Cancel requests to other nodes."""
        await self._tasks.stop()

    def record_digest(self, peer: str, digest: int | None) -> None:
        """Record the digest of another node, None if it is of a version without limits."""
        if digest is None:
            self._digests.pop(peer, None)
            return
        self._digests[peer] = digest
        if peer == self._coordinator and digest != self.digest:
            self._report_soon()

    async def acquire(
        self, runs: Sequence[ServerRun], *, priority: int, wait_s: float
    ) -> Permit | None:
        """Return a permit for one of some servers or a refusal; None if the keeper is lost.

        A permit is waited for at most `wait_s` seconds, and the reply a little longer. A request
        that can't wait isn't held until a lost keeper is replaced either.
        """
        known = self._stated.limited()
        unlimited = next((run for run in runs if run not in known), None)
        if unlimited is not None:
            return Permit(run=unlimited)
        if self._requests is None or self._is_keeper or self._is_coordinator_earlier:
            return await self._queue.acquire(runs, priority=priority, wait_s=wait_s)
        if self._coordinator is None and not wait_s:
            return None
        request = AcquireServerPermit(
            servers=(*self._to_messages(runs), *self._cold_to_messages(runs)),
            priority=priority,
            wait_s=wait_s,
        )
        reply = await self._requests.request(request, timeout_s=wait_s + _REPLY_SLACK_S)
        if not isinstance(reply, ServerPermitReply):
            return None
        self._merge(reply.limits)
        granted = next((run for run in runs if run.instance_id == reply.server), None)
        return Permit(run=granted, retry_after_s=reply.retry_after_s)

    @property
    def _coordinator(self) -> str | None:
        return None if self._coordination is None else self._coordination.coordinator

    @property
    def _is_keeper(self) -> bool:
        return self._coordinator == self._node_name

    @property
    def _is_coordinator_earlier(self) -> bool:
        """Whether a node of a version without limits coordinates, so that no node keeps them."""
        coordinator = self._coordinator
        return coordinator not in (None, self._node_name) and coordinator not in self._digests

    def _share(self) -> float:
        """Return the share of each limit that this node may give out."""
        if self._coordination is None:
            return 1 / (1 + len(self._members))
        reachable = 1 if self._is_coordinator_earlier else self._coordination.reachable_count
        return min(1.0, reachable / max(1, len(self._members)))

    def _overlap_s(self) -> float:
        """Return the seconds after which the share tells of a split of the fleet."""
        return 0.0 if self._coordination is None else self._coordination.reachable_window_s

    async def _follow_coordinator(self, coordination: Coordination) -> None:
        """Begin without permits whenever this node becomes the keeper."""
        while True:
            coordinator = coordination.coordinator
            self._keeper.restart()
            self._report_soon()
            await coordination.wait_for_coordinator_change(coordinator)

    def _on_change(self, run: ServerRun, statement: LimitStatement) -> None:
        if statement.is_own:
            self._report_soon()

    def _on_cold_change(self, run: ServerRun, is_cold: bool) -> None:
        if run in self._heard():
            self._report_soon()

    def _heard(self) -> list[ServerRun]:
        """Return the servers that only an answer to this node has shown to be cold."""
        windows = self._stated.cold.windows()
        return [run for run, window in windows.items() if window.source == FROM_ANSWER]

    def _report_soon(self) -> None:
        """Exchange limits with the keeper, once more if it is being done."""
        self._has_news = True
        if not self._is_reporting and self._link is not None:
            self._is_reporting = True
            self._tasks.start(self._report(self._link), name="report")

    async def _report(self, link: NodeLink) -> None:
        try:
            while self._has_news:
                self._has_news = False
                coordinator = self._coordinator
                if coordinator is None or self._is_keeper or self._is_coordinator_earlier:
                    return  # the digests of the next heartbeat tell
                own = [run for run, known in self._stated.statements().items() if known.is_own]
                heard = self._heard()
                if not own and not heard and self._digests[coordinator] == self.digest:
                    return
                limits = (*self._to_messages(own), *self._cold_to_messages(heard))
                report = ServerLimitReport(limits=limits)
                reply = await link.request(coordinator, report, timeout_s=_REPORT_TIMEOUT_S)
                assert isinstance(reply, ServerLimitReportReply)
                self._merge(reply.limits)
        except FlamingoshelfError as error:
            logger.bind(step="limit", peer=error.peer).info(
                "limits of servers not exchanged: {}", error.message
            )
        finally:
            self._is_reporting = False

    async def _on_report(self, peer: str, report: ServerLimitReport) -> ServerLimitReportReply:
        self._merge(report.limits)
        return ServerLimitReportReply(
            limits=(
                *self._to_messages(self._stated.statements()),
                *self._cold_to_messages(self._stated.cold.windows()),
            )
        )

    async def _on_acquire(self, peer: str, request: AcquireServerPermit) -> ServerPermitReply:
        self._merge(request.servers)
        runs = list(dict.fromkeys(limit.run for limit in request.servers))
        permit = await self._queue.acquire(runs, priority=request.priority, wait_s=request.wait_s)
        return ServerPermitReply(
            server="" if permit.run is None else permit.run.instance_id,
            retry_after_s=permit.retry_after_s,
            limits=(*self._to_messages(runs), *self._cold_to_messages(runs)),
        )

    def _to_messages(self, runs: Iterable[ServerRun]) -> tuple[StatedLimit, ...]:
        """Return what some servers state, as it is told to another node."""
        known = self._stated.statements()
        return tuple(
            StatedLimit.from_statement(run, known[run], node_name=self._source)
            for run in runs
            if run in known
        )

    def _cold_to_messages(self, runs: Iterable[ServerRun]) -> tuple[StatedLimit, ...]:
        """Return which of some servers are cold, as it is told to another node."""
        windows = self._stated.cold.windows()
        return tuple(
            StatedLimit.from_window(run, windows[run], node_name=self._source)
            for run in runs
            if run in windows
        )

    def _merge(self, limits: Iterable[StatedLimit]) -> None:
        """Add what another node tells, except what this node has told it."""
        for limit in limits:
            if limit.source == self._source:
                continue
            if limit.cold_s is None:
                self._stated.merge(limit.run, limit.statement)
            elif limit.per_s is not None:
                self._stated.cold.merge(
                    limit.run, per_s=limit.per_s, left_s=limit.cold_s, teller=limit.source
                )
