"""What a node tells the coordinator of its placed calls."""

import asyncio
import math
from collections import deque
from collections.abc import Callable

import attrs
from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.cluster import Coordination
from flamingoshelf.exceptions import FlamingoshelfError, RemoteError
from flamingoshelf.plain_placement._messages import (
    EndedCall,
    PlainCallsEnded,
    RunningPlainCall,
)
from flamingoshelf.plain_placement._types import Outcome, Placement
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["CallReports", "CallTerms", "PlacedCall"]

_BATCH_S = 0.004  # for which ends are gathered
_MAX_ENDED = 4096  # ends that are kept while no coordinator is known
_REPORT_INTERVAL_S = 1.0  # between two complete reports of the running calls
# After the last call, a node without running calls reports so for this time.
_QUIET_REPORTS_S = 2.5
_REPORT_TIMEOUT_S = 0.2


@attrs.frozen(kw_only=True)
class CallTerms:
    """What the coordinator is told about a call; see `PlacePlainCall`.

    Parameters
    ----------
    request_id, service, route, method, workspace : str
        The request, and what its cost depends on.
    body_bytes : int
        Size of the request's body.
    excluded : tuple of str
        Servers that the call can't be sent to.
    priority : int
        Priority; 0 is the most urgent.
    goal_s, deadline_s : float
        Times of its latency goal, and until which its caller waits.
    """

    request_id: str
    service: str
    route: str = ""
    method: str = ""
    workspace: str = ""
    body_bytes: int = 0
    excluded: tuple[str, ...] = ()
    priority: int = 0
    goal_s: float
    deadline_s: float


@attrs.define(kw_only=True, eq=False)
class PlacedCall:
    """A call that the coordinator has decided about.

    Attributes
    ----------
    number : int
        Number of the call at this node.
    terms : CallTerms
        The call.
    placement : Placement
        The decision.
    started_s : float
        Time of the decision.
    """

    number: int
    terms: CallTerms
    placement: Placement
    started_s: float


class CallReports:
    """Tells the coordinator how a node's calls end, and once in a while which of them run.

    Parameters
    ----------
    node_name : str
        This node.
    record : callable
        ``record(node, report)`` records reports at this node while it coordinates.
    tasks : TaskGroup
        Tasks of the owner.
    """

    def __init__(
        self,
        *,
        node_name: str,
        record: Callable[[str, PlainCallsEnded], None],
        tasks: TaskGroup,
    ) -> None:
        self._node_name = node_name
        self._record = record
        self._tasks = tasks
        self._running: dict[int, PlacedCall] = {}
        self._link: NodeLink | None = None
        self._coordination: Coordination | None = None
        self._is_flushing = False
        self._ended: deque[EndedCall] = deque(maxlen=_MAX_ENDED)
        self._used_s = -math.inf  # time of the last call

    @property
    def running(self) -> dict[int, PlacedCall]:
        """Calls that run, by number."""
        return self._running

    def connect(self, link: NodeLink, coordination: Coordination) -> None:
        """Send reports from now on."""
        self._link, self._coordination = link, coordination
        self._tasks.start(self._report_regularly(), name="report")

    def note_use(self) -> None:
        """Note that the node has calls placed."""
        self._used_s = now_s()

    def tell(
        self,
        number: int,
        terms: CallTerms,
        outcome: Outcome,
        duration_s: float | None,
        pause_s: float = 0.0,
    ) -> None:
        """Tell the coordinator soon how a call ended."""
        self.note_use()
        duration_s = None if duration_s is None else round(duration_s, 5)
        self._ended.append(
            EndedCall(
                call=number,
                service=terms.service,
                outcome=str(outcome),
                duration_s=duration_s,
                pause_s=round(pause_s, 3),
            )
        )
        if not self._is_flushing and self._link is not None:
            self._is_flushing = True
            asyncio.get_running_loop().call_later(_BATCH_S, self.flush)

    def flush(self) -> None:
        """Send the ends of the last milliseconds; without a coordinator they are kept."""
        self._is_flushing = False
        coordinator = None if self._coordination is None else self._coordination.coordinator
        if coordinator is None or not self._ended:
            return
        report = PlainCallsEnded(ended=tuple(self._ended))
        self._ended.clear()
        if coordinator == self._node_name:
            self._record(self._node_name, report)
        else:
            self._tasks.start(self._send(coordinator, report, is_repeated=True), name="ends")

    async def _send(
        self, coordinator: str, report: PlainCallsEnded, *, is_repeated: bool = False
    ) -> None:
        """Send a report, twice if `is_repeated` and its receipt isn't confirmed."""
        assert self._link is not None
        for _ in range(1 + is_repeated):
            try:
                await self._link.request(coordinator, report, timeout_s=_REPORT_TIMEOUT_S)
                return
            except RemoteError:
                return  # it places none
            except FlamingoshelfError as error:
                logger.bind(step="place", peer=coordinator).debug(
                    "report of plain calls lost: {}", error.message
                )

    async def _report_regularly(self) -> None:
        """Tell the coordinator all running calls once in a while, as single ends may be lost."""
        while True:
            await asyncio.sleep(_REPORT_INTERVAL_S)
            if self._running or now_s() < self._used_s + _QUIET_REPORTS_S:
                await self.send_running()

    async def send_running(self) -> None:
        """Tell the coordinator all calls that run now."""
        coordinator = None if self._coordination is None else self._coordination.coordinator
        report = PlainCallsEnded(
            running=tuple(map(_to_running, self._running.values())), is_complete=True
        )
        if coordinator == self._node_name:
            self._record(self._node_name, report)
        elif coordinator is not None:
            await self._send(coordinator, report)


def _to_running(placed: PlacedCall) -> RunningPlainCall:
    terms = placed.terms
    return RunningPlainCall(
        call=placed.number,
        service=terms.service,
        server=placed.placement.server or "",
        route=terms.route,
        age_s=round(now_s() - placed.started_s, 4),
        left_s=round(max(0.0, terms.deadline_s - now_s()), 4),
    )
