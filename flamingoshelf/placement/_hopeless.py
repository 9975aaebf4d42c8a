"""Requests that can't be served before their callers leave."""

from loguru import logger

from flamingoshelf.placement._engines import EngineTable
from flamingoshelf.placement._forecast import MemoryForecast, PrefillForecast
from flamingoshelf.placement._ledgers import need_at_start
from flamingoshelf.placement._queue import Ticket
from flamingoshelf.placement._types import request_of

__all__ = ["FIRST_EVENT_S", "HopelessJudge"]

# From the end of a prefill to the first event: KV transfer, first step, messages.
FIRST_EVENT_S = 0.05


class HopelessJudge:
    """Judges waiting requests, best first, by what the engines are expected to have free.

    Parameters
    ----------
    engines : EngineTable
        Engines and what is counted of them.
    now_s : float
        Time of the judgement.
    waiting, turns : int
        Requests that wait and turns that are out, for the log.
    """

    def __init__(self, *, engines: EngineTable, now_s: float, waiting: int, turns: int) -> None:
        self._now_s = now_s
        self._waiting = waiting
        self._turns = turns
        self._memory = MemoryForecast(engines=engines, now_s=now_s)
        self._prefill = PrefillForecast(engines=engines, now_s=now_s)

    def is_hopeless(self, ticket: Ticket) -> bool:
        """Return whether a request can't be served any more; otherwise its memory is taken."""
        request = ticket.request
        need = need_at_start(request.prompt_tokens, request.expected_tokens)
        wait_s = self._memory.wait_s(need)
        first_event_s = self._prefill.done_s(request.prompt_tokens) + FIRST_EVENT_S
        run_s = self._prefill.run_s(request.prompt_tokens, request.expected_tokens)
        begins_s = self._now_s + wait_s
        is_in_time = begins_s + first_event_s <= ticket.leaves_s
        if is_in_time and begins_s + run_s <= ticket.deadline_s:
            self._memory.take(need)
            return False
        logger.bind(
            request_id=request_of(request.turn_id),
            step="place",
            peer=ticket.owner,
            waiting=self._waiting,
            turns=self._turns,
            memory_wait_s=round(wait_s, 3),
            first_event_s=round(first_event_s, 3),
            run_s=round(run_s, 3),
            leaves_in_s=round(ticket.leaves_s - self._now_s, 3),
            deadline_in_s=round(ticket.deadline_s - self._now_s, 3),
        ).info("can't be served in its caller's time")
        return True
