"""A dispatcher with the calls that wait for its decisions."""

import asyncio

from flamingoshelf.placement._decisions import DecodeChosen, TurnDecided
from flamingoshelf.placement._dispatcher import Dispatcher
from flamingoshelf.placement._types import PlacementRequest, RunOutcome, Turn
from flamingoshelf.refusals import Refusal
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["DispatcherDesk"]

# Longest time in which the other nodes notice a new dispatcher and report to it.
_LEARNING_S = 0.35
_DECISION_INTERVAL_S = 0.01  # for decisions that hang on time alone


class DispatcherDesk:
    """Hands a dispatcher's decisions to those that wait for them.

    Parameters
    ----------
    dispatcher : Dispatcher
        Makes the decisions.
    awaited : set of str
        Nodes that may hold turns. Nothing is granted until each has reported, or for a time.
    """

    def __init__(self, *, dispatcher: Dispatcher, awaited: set[str]) -> None:
        self._dispatcher = dispatcher
        self._awaited = set(awaited)
        self._learning_until_s = now_s() + _LEARNING_S
        self._turns: dict[str, asyncio.Future[Turn | Refusal]] = {}
        self._choices: dict[str, asyncio.Future[str | None]] = {}
        self._tasks = TaskGroup(owner="dispatcher")

    @property
    def dispatcher(self) -> Dispatcher:
        """The dispatcher."""
        return self._dispatcher

    def start(self) -> None:
        """Start to decide from time to time."""
        self._tasks.start(self._run(), name="decide")

    async def stop(self) -> None:
        """End the decisions."""
        await self._tasks.stop()

    async def acquire(self, request: PlacementRequest, owner: str) -> Turn | Refusal:
        """Wait for a turn."""
        future: asyncio.Future[Turn | Refusal] = asyncio.get_running_loop().create_future()
        self._turns[request.turn_id] = future
        self._dispatcher.enqueue(request, owner)
        self.decide()
        try:
            return await future
        except asyncio.CancelledError:
            self.release(request.turn_id)
            raise

    async def confirm(self, turn_id: str) -> str | None:
        """Wait for the decode engine of a processed prompt."""
        if not self._dispatcher.confirm(turn_id):
            return None
        future: asyncio.Future[str | None] = asyncio.get_running_loop().create_future()
        self._choices[turn_id] = future
        self.decide()
        try:
            return await future
        finally:
            self._choices.pop(turn_id, None)

    def note_report(self, owner: str) -> None:
        """Note that a node has reported the turns that it holds."""
        if owner in self._awaited:
            self._awaited.discard(owner)
            self.decide()

    def release(
        self,
        turn_id: str,
        *,
        tokens: int = 0,
        seconds: float = 0.0,
        outcome: RunOutcome = RunOutcome.ENDED,
    ) -> None:
        """Take back a turn, or withdraw a waiting request."""
        turn = self._turns.pop(turn_id, None)
        if turn is not None:
            turn.cancel()
        self._dispatcher.release(turn_id, tokens=tokens, seconds=seconds, outcome=outcome)

    def decide(self) -> None:
        """Hand every decision to the call that waits for it."""
        if self._awaited and now_s() < self._learning_until_s:
            return
        for decision in self._dispatcher.decide():
            match decision:
                case TurnDecided():
                    turn = self._turns.pop(decision.turn_id, None)
                    if turn is not None and not turn.done():
                        turn.set_result(decision.outcome)
                    elif isinstance(decision.outcome, Turn):
                        self._dispatcher.release(decision.turn_id)
                case DecodeChosen():
                    choice = self._choices.pop(decision.turn_id, None)
                    if choice is not None and not choice.done():
                        choice.set_result(decision.decode_id)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_DECISION_INTERVAL_S)
            if self._turns or self._choices:
                self.decide()
