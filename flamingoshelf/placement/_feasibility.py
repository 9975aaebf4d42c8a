"""Detection of queued requests that can't be served in time."""

from loguru import logger

from flamingoshelf.placement._engine_trackers import initial_need_tokens
from flamingoshelf.placement._engines import EngineTable
from flamingoshelf.placement._forecast import MemoryForecast, PrefillForecast
from flamingoshelf.placement._queue import QueuedRequest
from flamingoshelf.placement._types import request_id_of

__all__ = ["FeasibilityChecker"]


class FeasibilityChecker:
    """Checks queued requests against a forecast of the engines' free capacity.

    Requests are checked in serving order: each feasible one reserves its memory in the forecast.
    While the speeds of the engines aren't measured, only requests whose callers have given up are
    infeasible.

    Parameters
    ----------
    engines : EngineTable
        Engines and the work that is counted for them.
    now_s : float
        Time of the check.
    waiting, turns : int
        Numbers of queued requests and of active turns, for the log.
    """

    def __init__(self, *, engines: EngineTable, now_s: float, waiting: int, turns: int) -> None:
        self._now_s = now_s
        self._waiting = waiting
        self._turns = turns
        self._memory = MemoryForecast(engines=engines, now_s=now_s)
        self._prefill = PrefillForecast(engines=engines, now_s=now_s)

    def is_infeasible(self, queued: QueuedRequest) -> bool:
        """Return whether a request can't be served in time; if it can, reserve its memory."""
        request = queued.request
        needed_tokens = initial_need_tokens(request.prompt_tokens, request.expected_tokens)
        wait_s = first_event_s = run_s = 0.0
        if self._prefill.is_measured:
            wait_s = self._memory.wait_s(needed_tokens)
            first_event_s = self._prefill.first_event_s(request.prompt_tokens)
            run_s = self._prefill.run_s(request.prompt_tokens, request.expected_tokens)
        begins_s = self._now_s + wait_s
        is_in_time = begins_s + first_event_s <= queued.expires_s
        if is_in_time and begins_s + run_s <= queued.deadline_s:
            self._memory.reserve(needed_tokens, begins_s=begins_s, run_s=run_s)
            return False
        logger.bind(
            request_id=request_id_of(request.turn_id),
            step="place",
            peer=queued.owner,
            waiting=self._waiting,
            turns=self._turns,
            memory_wait_s=round(wait_s, 3),
            first_event_s=round(first_event_s, 3),
            run_s=round(run_s, 3),
            leaves_in_s=round(queued.expires_s - self._now_s, 3),
            deadline_in_s=round(queued.deadline_s - self._now_s, 3),
        ).info("request can't be served in time")
        return True
