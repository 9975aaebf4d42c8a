"""Detection of queued requests that can't be served in time."""

import math
import random

from loguru import logger

from flamingoshelf.placement._engine_trackers import initial_need_tokens
from flamingoshelf.placement._engines import EngineTable
from flamingoshelf.placement._forecast import (
    MemoryForecast,
    PrefillForecast,
    TurnPermitForecast,
)
from flamingoshelf.placement._queue import QueuedRequest
from flamingoshelf.placement._refusals import (
    limited_refusal,
    lost_engines_refusal,
    no_engine_refusal,
    queue_full_refusal,
    version_gone_refusal,
)
from flamingoshelf.placement._shortage import ReturnTimes, ShortageForecast
from flamingoshelf.placement._types import request_id_of
from flamingoshelf.refusals import Refusal
from flamingoshelf.utils import finite_or_none

__all__ = ["FeasibilityChecker"]

# Bursts last several seconds; callers that all retry at the same moment would cause another one.
_MIN_RETRY_AFTER_S = 1.0
_MAX_RETRY_AFTER_S = 3.0
_MAX_PERMIT_RETRY_AFTER_S = 10.0  # limits of engines may end before
_ORDER_DELAY_S = 1.0  # until a role change that is needed has been ordered
_LISTING_DELAY_S = 0.3  # until an engine that has changed its role is listed with it


class FeasibilityChecker:
    """Checks queued requests against a forecast of the engines' free capacity.

    Requests are checked in serving order: each feasible one reserves its memory in the forecast,
    and its permits at engines that state limits. While the speeds of the engines aren't measured,
    only requests whose callers have given up or that get no permits in time are infeasible.

    Parameters
    ----------
    service : str
        Service of the engines.
    engines : EngineTable
        Engines and the work that is counted for them.
    now_s : float
        Time of the check.
    random_source : random.Random
        Spreads the retry delays of refused callers.
    waiting, turns : int
        Numbers of queued requests and of active turns, for the log.
    shortage : ShortageForecast or None
        Room that new requests leave to late ones; None if these are taken to be next.
    returns : ReturnTimes or None
        Times at which callers were told to come back, with `shortage`.
    """

    def __init__(
        self,
        *,
        service: str,
        engines: EngineTable,
        now_s: float,
        random_source: random.Random,
        waiting: int,
        turns: int,
        shortage: ShortageForecast | None = None,
        returns: ReturnTimes | None = None,
    ) -> None:
        self._shortage = shortage
        self._returns = returns
        self._late = 0
        self._service = service
        self._engines = engines
        self._random = random_source
        self._now_s = now_s
        self._waiting = waiting
        self._turns = turns
        self._memory = MemoryForecast(engines=engines, now_s=now_s)
        self._partial_memory: dict[frozenset[str], MemoryForecast] = {}  # by excluded engines
        self._prefill = PrefillForecast(engines=engines, now_s=now_s)
        self._permits = TurnPermitForecast(engines=engines)

    def check(self, queued: QueuedRequest) -> Refusal | None:
        """Return the refusal of a request that can't be served in time, None if it can.

        Memory and permits are reserved for a feasible request, permits also for the return of one
        that is refused for lack of them.
        """
        request = queued.request
        if request.version and not self._engines.can_continue(request.version):
            return self._check_role_change(queued)
        if not self._engines.any_can_ever_fit(
            request.prompt_tokens, request.expected_tokens, exclude=request.exclude
        ):
            return no_engine_refusal(self._service)
        if not request.is_resumed and self._engines.has_lost_role(exclude=request.exclude):
            retry_after_s = self._random.uniform(_MIN_RETRY_AFTER_S, _MAX_RETRY_AFTER_S)
            return lost_engines_refusal(self._service, retry_after_s=retry_after_s)
        memory = self._memory_without(frozenset(request.exclude))
        needed_tokens = initial_need_tokens(request.prompt_tokens, request.expected_tokens)
        permit_wait_s = self._permits.wait_s()
        memory_wait_s = first_event_s = run_s = 0.0
        if self._prefill.is_measured:
            memory_wait_s = memory.wait_s(needed_tokens)
            first_event_s = self._prefill.first_event_s(request.prompt_tokens)
            run_s = self._prefill.run_s(request.prompt_tokens, request.expected_tokens)
        late_wait_s = 0.0
        begins_s = self._now_s + max(memory_wait_s, permit_wait_s)
        is_late = begins_s + first_event_s > queued.first_event_by_s and not request.is_resumed
        if is_late and memory_wait_s > 0 and self._shortage is not None:
            late_wait_s = self._shortage.late_wait_s(self._late, has_waited=queued.is_returning)
            begins_s = max(begins_s, self._now_s + late_wait_s)
        is_in_time = begins_s + first_event_s <= queued.expires_s
        if is_in_time and begins_s + run_s <= queued.deadline_s:
            self._late += is_late
            for forecast in {memory, self._memory}:
                forecast.reserve(needed_tokens, begins_s=begins_s, run_s=run_s)
            self._permits.reserve()
            return None
        logger.bind(
            request_id=request_id_of(request.turn_id),
            step="place",
            peer=queued.owner,
            waiting=self._waiting,
            turns=self._turns,
            memory_wait_s=round(memory_wait_s, 3),
            permit_wait_s=finite_or_none(permit_wait_s),
            late_wait_s=finite_or_none(late_wait_s),
            demand_per_s=None if self._shortage is None else self._shortage.demand_per_s,
            capacity_per_s=finite_or_none(
                math.inf if self._shortage is None else self._shortage.capacity_per_s
            ),
            first_event_s=round(first_event_s, 3),
            run_s=round(run_s, 3),
            leaves_in_s=round(queued.expires_s - self._now_s, 3),
            deadline_in_s=round(queued.deadline_s - self._now_s, 3),
        ).info("request can't be served in time")
        retry_after_s = self._random.uniform(_MIN_RETRY_AFTER_S, _MAX_RETRY_AFTER_S)
        if permit_wait_s > memory_wait_s:
            self._permits.reserve()
            longer_s = max(retry_after_s, min(permit_wait_s, _MAX_PERMIT_RETRY_AFTER_S))
            return limited_refusal(self._service, retry_after_s=longer_s)
        if self._shortage is not None and self._returns is not None:
            retry_after_s = self._returns.retry_after_s(
                self._shortage,
                waiting=self._late,
                deadline_left_s=queued.deadline_s - self._now_s,
                now_s=self._now_s,
            )
        return queue_full_refusal(self._service, retry_after_s=retry_after_s)

    def _check_role_change(self, queued: QueuedRequest) -> Refusal | None:
        """Return the refusal of a stream that has to wait for an engine to change its role.

        None if the engine will be ready before the caller leaves; nothing is reserved meanwhile.
        """
        request = queued.request
        ready_in_s = self._engines.role_change_left_s(request.version)
        if ready_in_s is not None:
            begins_s = self._now_s + max(ready_in_s, _LISTING_DELAY_S)
            first_event_s = run_s = 0.0
            if self._prefill.is_measured:
                first_event_s = self._prefill.first_event_s(request.prompt_tokens)
                run_s = self._prefill.run_s(request.prompt_tokens, request.expected_tokens)
            if begins_s + first_event_s <= queued.expires_s and begins_s + run_s <= (
                queued.deadline_s
            ):
                return None
        elif self._engines.has_version(request.version):
            ready_in_s = _ORDER_DELAY_S + self._engines.role_change_s
        logger.bind(
            request_id=request_id_of(request.turn_id),
            step="place",
            peer=queued.owner,
            version=request.version,
            ready_in_s=None if ready_in_s is None else round(ready_in_s, 3),
            leaves_in_s=round(queued.expires_s - self._now_s, 3),
            deadline_in_s=round(queued.deadline_s - self._now_s, 3),
        ).info("no decode engine of the stream's version")
        return version_gone_refusal(self._service, request.version, ready_in_s=ready_in_s)

    def _memory_without(self, excluded: frozenset[str]) -> MemoryForecast:
        """Return the forecast for requests that can't use some engines."""
        if not excluded:
            return self._memory
        forecast = self._partial_memory.get(excluded)
        if forecast is None:
            forecast = self._partial_memory[excluded] = MemoryForecast(
                engines=self._engines, now_s=self._now_s, exclude=excluded
            )
        return forecast
