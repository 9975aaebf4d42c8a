"""Servers of plain calls as the coordinator places them."""

import asyncio
from collections.abc import Callable, Sequence

import attrs

from flamingoshelf.exceptions import PeerUnreachableError
from flamingoshelf.gateway._backend_response import (
    NotRunError,
    ServerPausedError,
    WrongInstanceError,
)
from flamingoshelf.gateway._plain_attempt import PlainAnswer, PlainAttempt
from flamingoshelf.gateway._plain_state import PlainState
from flamingoshelf.http1 import NoFreeConnectionError
from flamingoshelf.plain_placement import CallTerms, Outcome, PlacedCall, PlacementService
from flamingoshelf.routing import BackendInstance
from flamingoshelf.utils import now_s

__all__ = ["PlainCallPlacer", "PlainChoice"]


@attrs.frozen(kw_only=True)
class PlainChoice:
    """A decision of the coordinator.

    Parameters
    ----------
    server : BackendInstance or None
        Server to call; None if the call is refused or a running call has ended meanwhile.
    """

    server: BackendInstance | None = None


class PlainCallPlacer:
    """Asks the coordinator for servers, and tells it how calls end.

    Parameters
    ----------
    placement : PlacementService
        Asks the coordinator.
    is_used : callable
        Returns whether calls are placed by the coordinator now.
    """

    def __init__(
        self, *, placement: PlacementService, is_used: Callable[[], bool] = lambda: True
    ) -> None:
        self._placement = placement
        self._is_used = is_used

    async def choose(
        self,
        state: PlainState,
        usable: Sequence[BackendInstance],
        listed: Sequence[BackendInstance],
    ) -> PlainChoice | None:
        """Return a decision about a call, or None if there is none in time.

        Parameters
        ----------
        state : PlainState
            Progress of the call.
        usable, listed : sequence of BackendInstance
            Servers that the call can be sent to, and all of the service.
        """
        if not self._is_used():
            return None
        by_key = {server.key: server for server in usable}
        request = state.request
        terms = CallTerms(
            request_id=request.request_id,
            service=state.service,
            route=request.route.name,
            method=request.head.method,
            workspace=request.workspace_name or "",
            body_bytes=len(request.body),
            excluded=tuple(server.key for server in listed if server.key not in by_key),
            priority=request.priority,
            goal_s=request.goal_s,
            deadline_s=request.answer_by_s,
        )
        placing = asyncio.ensure_future(self._placement.place(terms))
        placed: PlacedCall | None = None
        try:
            await asyncio.wait(
                {placing, *(attempt.task for attempt in state.running)},
                timeout=max(0.0, state.remaining_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            has_ended = any(attempt.task.done() for attempt in state.running)
            if has_ended or not placing.done():
                state.is_out_of_time = not state.running
                return PlainChoice()
            placed = placing.result()
        finally:
            if placed is None:
                self._abandon(placing)
        if placed is None:
            return None
        if placed.placement.server is None:
            state.room_wait_s = placed.placement.retry_after_s
            return PlainChoice()
        server = by_key.get(placed.placement.server)
        if server is None:  # the coordinator knows a server that this node doesn't
            self._placement.end(placed, Outcome.WITHDRAWN)
            return None
        state.placed = placed
        return PlainChoice(server=server)

    def begin(self, state: PlainState, attempt: PlainAttempt) -> None:
        """Tell the coordinator how a placed call ends."""
        placed, state.placed = state.placed, None
        if placed is not None:
            attempt.task.add_done_callback(lambda task: self._end(placed, attempt, task))

    def release(self, state: PlainState) -> None:
        """Give a server back that isn't called."""
        placed, state.placed = state.placed, None
        if placed is not None:
            self._placement.end(placed, Outcome.WITHDRAWN)

    def _end(
        self, placed: PlacedCall, attempt: PlainAttempt, task: "asyncio.Task[PlainAnswer]"
    ) -> None:
        outcome = _outcome(task)
        duration_s = now_s() - attempt.started_s if outcome is Outcome.ANSWERED else None
        self._placement.end(placed, outcome, duration_s=duration_s, pause_s=_pause_s(task))

    def _abandon(self, placing: "asyncio.Future[PlacedCall | None]") -> None:
        """Give up a decision that isn't needed any more, also one that has just come."""
        placing.cancel()
        if placing.done() and not placing.cancelled() and placing.exception() is None:
            placed = placing.result()
            if placed is not None:
                self._placement.end(placed, Outcome.WITHDRAWN)


def _outcome(task: "asyncio.Task[PlainAnswer]") -> Outcome:
    """Return how a call ended."""
    if task.cancelled():
        return Outcome.WITHDRAWN
    error = task.exception()
    if error is None:
        return Outcome.FAILED if task.result().is_failure else Outcome.ANSWERED
    if isinstance(error, WrongInstanceError | NoFreeConnectionError):
        return Outcome.WITHDRAWN  # says nothing about the server
    if isinstance(error, ServerPausedError) and not error.was_sent:
        return Outcome.WITHDRAWN  # held back by this node
    if isinstance(error, NotRunError):
        return Outcome.REJECTED
    if isinstance(error, PeerUnreachableError):
        return Outcome.NOT_SENT
    return Outcome.FAILED


def _pause_s(task: "asyncio.Task[PlainAnswer]") -> float:
    """Return the seconds for which the server of an ended call wants no calls."""
    error = None if task.cancelled() else task.exception()
    return error.pause_s if isinstance(error, ServerPausedError) else 0.0
