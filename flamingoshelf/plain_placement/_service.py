"""Placement of a node's plain calls by the coordinator."""

import asyncio
import itertools
import math
import secrets
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Any

from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.cluster import Coordination
from flamingoshelf.exceptions import FlamingoshelfError, RemoteError
from flamingoshelf.plain_placement._board import PlacementBoard
from flamingoshelf.plain_placement._call_reports import CallReports, CallTerms, PlacedCall
from flamingoshelf.plain_placement._messages import (
    HOLD_S,
    MAX_HOLD_S,
    PlacePlainCall,
    PlainCallPlaced,
    PlainCallsEnded,
)
from flamingoshelf.plain_placement._types import Outcome, PlacedServer, Placement
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["PlacementService", "decline_placement"]

_REPLY_SLACK_S = 0.05  # beyond the hold; a coordinator that hasn't replied by then isn't waited for
# After a lost reply, calls are placed without the coordinator for this time.
_DISTRUST_S = 0.5
_DECLINED_S = 10.0  # likewise, if it places none or is of an earlier version
_NUMBER_BITS = 48  # the first call's number is random, as an earlier run of the node had others
# For which a call waits for the next coordinator after the last one has handed over; also a share
# of the time left until its goal.
_MOVE_WAIT_S = 0.3
_MOVE_WAIT_GOAL_SHARE = 0.5
_MAX_LOST_REPLIES = 1  # in succession, until a waiting call is placed without the coordinator
_MOVE_POLL_S = 0.1
_SETTLE_S = 0.03  # in which the nodes tell a new coordinator the calls that run
_TICK_S = 0.02
_IDLE_TICK_S = 0.25  # while nothing waits
_METRICS_INTERVAL_S = 1.0


class PlacementService:
    """Has a node's plain calls placed, and places those of all nodes while it coordinates.

    Without a reply in time there is no decision, and the node chooses a server by itself.

    Parameters
    ----------
    node_name, data_centre : str
        This node, and its data centre.
    servers : callable
        ``servers(service)`` returns the servers that accept new calls.
    metrics : Metrics
        Receives the waiting calls, the outstanding work and the refusals.
    """

    def __init__(
        self,
        *,
        node_name: str,
        data_centre: str,
        servers: Callable[[str], Sequence[PlacedServer]],
        metrics: Metrics,
    ) -> None:
        self._node_name = node_name
        self._data_centre = data_centre
        self._metrics = metrics
        self._board = PlacementBoard(servers=servers, metrics=metrics)
        self._link: NodeLink | None = None
        self._coordination: Coordination | None = None
        self._numbers = itertools.count(secrets.randbits(_NUMBER_BITS))
        self._held: dict[int, asyncio.Future[bool]] = {}  # calls that ask in long intervals
        self._poller: int | None = None  # the waiting call that asks in short ones
        self._distrusted: str | None = None
        self._distrusted_until_s = -math.inf
        self._tasks = TaskGroup(owner="plain_placement")
        self._reports = CallReports(
            node_name=node_name, record=self._board.record, tasks=self._tasks
        )

    @property
    def board(self) -> PlacementBoard:
        """Calls of all nodes, as this one knows them while it coordinates."""
        return self._board

    def connect(self, link: NodeLink, coordination: Coordination) -> None:
        """Have calls placed by the coordinator from now on."""
        link.register(PlacePlainCall, self._on_place)
        link.register(PlainCallsEnded, self._on_ended)
        self._link, self._coordination = link, coordination
        self._tasks.start(self._follow_coordinator(coordination), name="coordinator")
        self._reports.connect(link, coordination)
        self._tasks.start(self._tick(), name="tick")

    async def stop(self) -> None:
        """Stop deciding."""
        await self._tasks.stop()

    async def place(self, terms: CallTerms) -> PlacedCall | None:
        """Return the decision about a call, or None if there is none in time.

        A decision with a server must be followed by `end`.
        """
        number = next(self._numbers)
        began_s = now_s()
        reply: PlainCallPlaced | None = None
        try:
            reply = await self._ask_until_decided(number, terms)
            if self._poller == number:  # it is out of time
                self._poller = None
                self._nudge(is_lost=False)
        except asyncio.CancelledError:
            self._reports.tell(number, terms, Outcome.WITHDRAWN, None)
            raise
        is_decided = reply is not None and (reply.server or reply.retry_after_s is not None)
        logger.bind(
            request_id=terms.request_id,
            step="place",
            peer=None if self._coordination is None else self._coordination.coordinator,
            server=None if reply is None else reply.server,
            waited_s=round(now_s() - began_s, 4),
            expected_s=None if reply is None else reply.expected_s,
            running=None if reply is None else reply.running,
            waiting=None if reply is None else reply.waiting,
            retry_after_s=None if reply is None else reply.retry_after_s,
        ).info(
            "plain call not placed by the coordinator"
            if not is_decided
            else "plain call placed" if reply is not None and reply.server else "plain call refused"
        )
        if reply is None:
            self._reports.tell(
                number, terms, Outcome.WITHDRAWN, None
            )  # the reply may have been lost
        if reply is None or not is_decided:
            self._metrics.count_event("plain_calls_unplaced")
            return None
        retry_after_s = reply.retry_after_s
        if retry_after_s is not None and not 0 <= retry_after_s < math.inf:
            return None
        placed = PlacedCall(
            number=number,
            terms=terms,
            placement=Placement(server=reply.server or None, retry_after_s=retry_after_s),
            started_s=now_s(),
        )
        if reply.server:
            self._reports.note_use()
            self._reports.running[number] = placed
        return placed

    def end(
        self,
        placed: PlacedCall,
        outcome: Outcome,
        *,
        duration_s: float | None = None,
        pause_s: float = 0.0,
    ) -> None:
        """Tell the coordinator how a call ended, and for how long its server wants no calls."""
        if self._reports.running.pop(placed.number, None) is not None:
            self._reports.tell(placed.number, placed.terms, outcome, duration_s, pause_s)

    async def _ask_until_decided(self, number: int, terms: CallTerms) -> PlainCallPlaced | None:
        """Return the last reply, None if one is lost or no coordinator is known.

        While another node takes over, the call waits for it a little: all nodes would overfill the
        servers if each chose by itself.
        """
        until_s = -math.inf  # for which the call waits for another coordinator
        is_waiting = False
        lost = 0
        while True:
            coordinator = self._known_coordinator if is_waiting else self._trusted_coordinator
            reply: PlainCallPlaced | None = None
            if coordinator is not None:
                if is_waiting and not lost:
                    reply = await self._ask_again(number, terms, coordinator)
                else:
                    reply = await self._ask(coordinator, self._to_message(number, terms))
                if reply is None:
                    lost += 1
                    if not is_waiting or lost > _MAX_LOST_REPLIES:
                        return None
                    continue
                lost = 0
                is_waiting = reply.waits
                if reply.has_moved and math.isinf(until_s):
                    goal_left_s = max(0.0, terms.goal_s - now_s())
                    until_s = now_s() + min(_MOVE_WAIT_S, _MOVE_WAIT_GOAL_SHARE * goal_left_s)
                if not (reply.waits or reply.has_moved):
                    return reply
            if now_s() >= (terms.deadline_s if reply is not None and reply.waits else until_s):
                return None
            if reply is None or reply.has_moved:
                await self._wait_for_change(coordinator, until_s)

    async def _ask_again(
        self, number: int, terms: CallTerms, coordinator: str
    ) -> PlainCallPlaced | None:
        """Ask for a call that waits; return None if a reply is lost.

        One waiting call of the node asks in short intervals. The others are held longer; they learn
        from it if the coordinator is silent, and one of them takes its place when it has ended.
        """
        if self._poller is None:
            self._poller = number
        is_poller = self._poller == number
        hold_s = HOLD_S
        if not is_poller:
            hold_s = min(MAX_HOLD_S, max(HOLD_S, terms.deadline_s - now_s()))
        nudge: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        asking = asyncio.ensure_future(
            self._ask(coordinator, self._to_message(number, terms, hold_s=hold_s))
        )
        if not is_poller:
            self._held[number] = nudge
        reply: PlainCallPlaced | None = None
        try:
            futures: list[asyncio.Future[Any]] = [asking, nudge]
            await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
            if asking.done():
                reply = asking.result()
            elif not nudge.result():
                reply = PlainCallPlaced(waits=True)
        finally:
            asking.cancel()
            self._held.pop(number, None)
            if reply is None or not reply.waits:
                if is_poller:
                    self._poller = None
                    self._nudge(is_lost=asking.done() and reply is None)
                elif nudge.done() and self._poller is None:
                    self._nudge(is_lost=False)  # another one takes the place of this one
        return reply

    def _nudge(self, *, is_lost: bool, is_for_all: bool = False) -> None:
        """Have held calls ask again: all if the coordinator `is_lost` or changed, else one."""
        for nudge in list(self._held.values())[: None if is_lost or is_for_all else 1]:
            if not nudge.done():
                nudge.set_result(is_lost)

    async def _wait_for_change(self, coordinator: str | None, until_s: float) -> None:
        """Wait until another coordinator is known, or it is time to ask again."""
        assert self._coordination is not None
        with suppress(TimeoutError):
            async with asyncio.timeout_at(min(until_s, now_s() + _MOVE_POLL_S)):
                await self._coordination.wait_for_coordinator_change(
                    coordinator or self._coordination.coordinator
                )
                await asyncio.sleep(_SETTLE_S)

    @property
    def _known_coordinator(self) -> str | None:
        return None if self._coordination is None else self._coordination.coordinator

    @property
    def _trusted_coordinator(self) -> str | None:
        coordinator = self._known_coordinator
        if coordinator == self._distrusted and now_s() < self._distrusted_until_s:
            return None
        return coordinator

    def _to_message(
        self, number: int, terms: CallTerms, *, hold_s: float = HOLD_S
    ) -> PlacePlainCall:
        return PlacePlainCall(
            call=number,
            service=terms.service,
            route=terms.route,
            method=terms.method,
            workspace=terms.workspace,
            body_bytes=terms.body_bytes,
            data_centre=self._data_centre,
            excluded=terms.excluded,
            priority=terms.priority,
            goal_left_s=round(terms.goal_s - now_s(), 4),
            left_s=round(terms.deadline_s - now_s(), 4),
            hold_s=hold_s,
        )

    async def _ask(self, coordinator: str, message: PlacePlainCall) -> PlainCallPlaced | None:
        """Return the coordinator's reply, None if it is lost.

        Other requests tell whether the coordinator is lost; these are given up too soon for that.
        """
        if coordinator == self._node_name:
            return await self._board.place(self._node_name, message)
        assert self._link is not None
        try:
            reply = await self._link.request(
                coordinator, message, timeout_s=message.hold_s + _REPLY_SLACK_S
            )
        except RemoteError as error:
            self._distrust(coordinator, _DECLINED_S, error.message)
            return None
        except FlamingoshelfError as error:
            self._distrust(coordinator, _DISTRUST_S, error.message)
            return None
        if isinstance(reply, PlainCallPlaced) and reply.is_declined:
            self._distrust(coordinator, _DECLINED_S, "it places none")
        return reply if isinstance(reply, PlainCallPlaced) else None

    def _distrust(self, coordinator: str, seconds: float, reason: str) -> None:
        """Place new calls without the coordinator for a time."""
        if coordinator != self._distrusted or now_s() >= self._distrusted_until_s:
            logger.bind(step="place", peer=coordinator).info(
                "plain calls placed without the coordinator for {} s: {}", seconds, reason
            )
        self._distrusted = coordinator
        self._distrusted_until_s = now_s() + seconds

    async def _follow_coordinator(self, coordination: Coordination) -> None:
        """Forget all calls when another node takes over, and tell it those that run."""
        coordinator: str | None = None
        while True:
            before, coordinator = coordinator, coordination.coordinator
            if before == self._node_name:
                self._board.restart()
            self._reports.flush()
            self._nudge(is_lost=False, is_for_all=True)
            if coordinator is not None and self._reports.running:
                self._tasks.start(self._reports.send_running(), name="running")
            await coordination.wait_for_coordinator_change(coordinator)

    async def _tick(self) -> None:
        metrics_s = now_s()
        while True:
            await asyncio.sleep(_TICK_S if self._board.has_waiting else _IDLE_TICK_S)
            self._board.tick()
            if now_s() >= metrics_s + _METRICS_INTERVAL_S:
                metrics_s = now_s()
                self._board.report_metrics()

    async def _on_place(self, peer: str, message: PlacePlainCall) -> PlainCallPlaced:
        if self._coordination is None or not self._coordination.is_coordinator:
            return PlainCallPlaced(has_moved=True)
        return await self._board.place(peer, message)

    async def _on_ended(self, peer: str, report: PlainCallsEnded) -> None:
        self._board.record(peer, report)  # others may know before this node that it coordinates


def decline_placement(link: NodeLink) -> None:
    """Reply to other nodes that this one places no plain calls."""

    async def decline(peer: str, message: PlacePlainCall) -> PlainCallPlaced:
        return PlainCallPlaced(is_declined=True)

    async def ignore(peer: str, report: PlainCallsEnded) -> None:
        pass

    link.register(PlacePlainCall, decline)
    link.register(PlainCallsEnded, ignore)
