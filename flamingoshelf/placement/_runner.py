"""Asynchronous interface to a dispatcher: calls that wait for its decisions."""

import asyncio

from loguru import logger

from flamingoshelf.placement._decisions import DecodeChosen, TurnDecided
from flamingoshelf.placement._dispatcher import Dispatcher
from flamingoshelf.placement._refusals import no_decision_refusal
from flamingoshelf.placement._types import PlacementRequest, RunOutcome, Turn, request_id_of
from flamingoshelf.refusals import Refusal
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["DispatcherRunner"]

# Longest time that the other nodes need to notice a new dispatcher and report their turns to it.
_TAKEOVER_WAIT_S = 0.35
_FAILED_DECISION_PAUSE_S = 0.5  # bounds the log lines if all decisions fail
_DECISION_INTERVAL_S = 0.01  # for decisions that depend only on the passage of time


class DispatcherRunner:
    """Runs a dispatcher and delivers its decisions to the calls that wait for them.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatcher that decides about the requests.
    awaited : set of str
        Nodes that may hold turns. Nothing is granted until all of them have reported, or 0.35 s
        have passed.
    """

    def __init__(self, *, dispatcher: Dispatcher, awaited: set[str]) -> None:
        self._dispatcher = dispatcher
        self._awaited = set(awaited)
        self._takeover_until_s = now_s() + _TAKEOVER_WAIT_S
        self._turn_futures: dict[str, asyncio.Future[Turn | Refusal]] = {}
        self._decode_futures: dict[str, asyncio.Future[str | None]] = {}
        self._tasks = TaskGroup(owner="dispatcher")

    @property
    def dispatcher(self) -> Dispatcher:
        """Dispatcher that decides about the requests."""
        return self._dispatcher

    def start(self) -> None:
        """Start to decide periodically."""
        self._tasks.start(self._run(), name="decide")

    async def stop(self) -> None:
        """Stop the periodic decisions."""
        await self._tasks.stop()

    async def acquire(self, request: PlacementRequest, owner: str) -> Turn | Refusal:
        """Queue a request and return the decision; withdraw it if the caller cancels.

        A request that is withdrawn, or replaced by one with the same turn id, is refused.
        """
        future: asyncio.Future[Turn | Refusal] = asyncio.get_running_loop().create_future()
        self._refuse_waiting(request.turn_id, "request replaced by one with the same turn id")
        self._turn_futures[request.turn_id] = future
        self._dispatcher.enqueue(request, owner)
        self.decide()
        try:
            return await future
        except asyncio.CancelledError:
            is_done = future.done() and not future.cancelled()
            is_granted = is_done and isinstance(future.result(), Turn)
            if is_granted or self._turn_futures.get(request.turn_id) is future:
                self.release(request.turn_id)
            raise

    async def confirm(self, turn_id: str) -> str | None:
        """Return the decode engine of a processed prompt.

        Return None if none has room in time, or if the turn is unknown or released meanwhile.
        """
        if not self._dispatcher.confirm(turn_id):
            return None
        future: asyncio.Future[str | None] = asyncio.get_running_loop().create_future()
        self._decode_futures[turn_id] = future
        self.decide()
        try:
            return await future
        finally:
            self._decode_futures.pop(turn_id, None)

    def record_report(self, owner: str) -> None:
        """Record that a node has reported the turns that it holds."""
        if owner in self._awaited:
            self._awaited.discard(owner)
            self.decide()

    def release(
        self,
        turn_id: str,
        *,
        events: int = 0,
        seconds: float = 0.0,
        outcome: RunOutcome = RunOutcome.ENDED,
    ) -> None:
        """Release a turn, or withdraw a queued request."""
        self._refuse_waiting(turn_id, "request withdrawn")
        self._dispatcher.release(turn_id, events=events, seconds=seconds, outcome=outcome)

    def _refuse_waiting(self, turn_id: str, event: str) -> None:
        """Refuse a request that no longer waits for a turn, in case its caller still does."""
        turn_future = self._turn_futures.pop(turn_id, None)
        if turn_future is None or turn_future.done():
            return
        logger.bind(request_id=request_id_of(turn_id), step="place", turn=turn_id).info(event)
        turn_future.set_result(no_decision_refusal(self._dispatcher.service))

    def decide(self) -> None:
        """Let the dispatcher decide and deliver each decision to the call that waits for it."""
        if self._awaited and now_s() < self._takeover_until_s:
            return
        for decision in self._dispatcher.decide():
            match decision:
                case TurnDecided():
                    turn_future = self._turn_futures.pop(decision.turn_id, None)
                    if turn_future is not None and not turn_future.done():
                        turn_future.set_result(decision.outcome)
                    elif isinstance(decision.outcome, Turn):
                        self._dispatcher.release(decision.turn_id)
                case DecodeChosen():
                    decode_future = self._decode_futures.pop(decision.turn_id, None)
                    if decode_future is not None and not decode_future.done():
                        decode_future.set_result(decision.decode_id)
        self._end_confirms_of_released_turns()

    def _end_confirms_of_released_turns(self) -> None:
        """End the calls of `confirm` for which the dispatcher will decide nothing."""
        released = [key for key in self._decode_futures if not self._dispatcher.has_turn(key)]
        for turn_id in released:
            decode_future = self._decode_futures.pop(turn_id)
            if not decode_future.done():
                decode_future.set_result(None)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_DECISION_INTERVAL_S)
            if not self._turn_futures and not self._decode_futures:
                continue
            try:
                self.decide()
            except Exception:  # the others that wait must not be left without a decision
                logger.bind(step="place", service=self._dispatcher.service).exception(
                    "decision failed"
                )
                await asyncio.sleep(_FAILED_DECISION_PAUSE_S)
