"""Scheduling of queued requests on the engines of one service."""

import random
from collections.abc import Callable, Iterable, Sequence

from flamingoshelf.placement._decisions import (
    ActiveTurn,
    Decision,
    DecodeChosen,
    TurnDecided,
    registered_turn,
    with_resumed_tokens,
)
from flamingoshelf.placement._engine_model import EngineModel
from flamingoshelf.placement._engine_selector import EngineSelector
from flamingoshelf.placement._engines import EngineTable
from flamingoshelf.placement._feasibility import FeasibilityChecker
from flamingoshelf.placement._forecast import PrefillForecast
from flamingoshelf.placement._owner_reports import OwnerReports
from flamingoshelf.placement._queue import QueuedRequest, WaitingQueue, grant_candidates
from flamingoshelf.placement._refused_requests import RefusedRequests
from flamingoshelf.placement._role_plan import RequestCost, throughput
from flamingoshelf.placement._shortage import ShortageForecast, ShortageMonitor
from flamingoshelf.placement._stranded import StrandedStreams
from flamingoshelf.placement._types import (
    DecodeRun,
    PlacementRequest,
    RunOutcome,
    Turn,
    request_id_of,
)
from flamingoshelf.refusals import RefusalReason
from flamingoshelf.routing import BackendInstance, EngineProfile
from flamingoshelf.server_limits import LimitKeeper
from flamingoshelf.utils import now_s

__all__ = ["Dispatcher"]

# Part of all decode memory that late requests leave free for requests that can be on time.
_LATE_RESERVE_SHARE = 0.1
# Part of a handle's lifetime for which a processed prompt waits for room at a decode engine.
_CONFIRM_LIFETIME_SHARE = 0.6
_CHECK_INTERVAL_S = 0.05  # between checks for infeasible requests and for lost turns


class Dispatcher:
    """Tracks the load of the engines of one service and grants turns; does no I/O.

    Parameters
    ----------
    service : str
        Service whose engines it schedules.
    instances : callable
        Returns the engines that accept new work.
    profile : callable
        Returns the capacity of an engine, or None if the service is not configured.
    random_source : random.Random
        Spreads the retry delays of refused callers and breaks ties between equal engines.
    limits : LimitKeeper or None
        Permits of the engines that state limits; None if they are not observed.
    leaving : callable
        Returns decode engines that leave; they continue streams that no other engine can.
    by_cost : bool
        Whether engines are chosen by the expected completion, with their own speeds, late requests
        count on the room that new ones leave, and refused callers are told to come back then.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(
        self,
        *,
        service: str,
        instances: Callable[[], Sequence[BackendInstance]],
        profile: Callable[[], EngineProfile | None],
        random_source: random.Random,
        limits: LimitKeeper | None = None,
        leaving: Callable[[], Sequence[BackendInstance]] = tuple,
        by_cost: bool = False,
        clock: Callable[[], float] = now_s,
    ) -> None:
        self._shortage = ShortageMonitor(random_source=random_source) if by_cost else None
        self._random = random_source
        self._service = service
        self._profile = profile
        self._clock = clock
        self._model = EngineModel(service=service)
        self._engines = EngineTable(
            instances=instances,
            profile=profile,
            model=self._model,
            limits=limits,
            leaving=leaving,
            by_cost=by_cost,
        )
        self._selector = EngineSelector(engines=self._engines, random_source=random_source)
        self._queue = WaitingQueue(counts_earlier_attempts=by_cost)
        self._active_turns: dict[str, ActiveTurn] = {}
        self._owners = OwnerReports(clock=clock)
        self._refused = RefusedRequests()
        self._stranded = StrandedStreams(engines=self._engines)
        self._feasibility_checked_s = float("-inf")
        self._orphans_checked_s = float("-inf")

    @property
    def service(self) -> str:
        """Service whose engines it schedules."""
        return self._service

    @property
    def engines(self) -> EngineTable:
        """Engines of the service and the work that is counted for them."""
        return self._engines

    @property
    def model(self) -> EngineModel:
        """Measured speeds of the engines and sizes of the requests."""
        return self._model

    @property
    def queue_length(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def active_turn_count(self) -> int:
        """Number of turns that are granted and not released yet."""
        return len(self._active_turns)

    def enqueue(self, request: PlacementRequest, owner: str) -> None:
        """Queue a request; release or replace an earlier one with the same turn id."""
        now = self._clock()
        self.release(request.turn_id)  # its grant was lost on the way
        if not request.repeat_cost and not request.is_resumed:
            self._model.record_request(
                prompt_tokens=request.prompt_tokens, expected_tokens=request.expected_tokens
            )
        goal_s = now + request.goal_left_s
        refused_goal_s = self._refused.find_goal(request.content, now)
        is_new = refused_goal_s is None and not request.repeat_cost and not request.is_resumed
        if is_new and self._shortage is not None:
            self._shortage.record_arrival(now)
        self._queue.put(
            QueuedRequest(
                request=with_resumed_tokens(request, self._model.tokens_per_event),
                owner=owner,
                arrived_s=now,
                first_event_by_s=goal_s if refused_goal_s is None else refused_goal_s,
                expires_s=now + request.wait_left_s,
                deadline_s=now + request.deadline_left_s,
                is_returning=refused_goal_s is not None,
            )
        )

    def decide(self) -> list[Decision]:
        """Return all decisions that can be made now."""
        self._engines.refresh(self._clock())
        self._release_orphans()
        decisions: list[Decision] = list(self._choose_decodes())
        decisions += self._refuse_infeasible()
        decisions += self._grant_turns()
        return decisions

    def has_turn(self, turn_id: str) -> bool:
        """Return whether a turn is granted and not released yet."""
        return turn_id in self._active_turns

    def confirm(self, turn_id: str) -> bool:
        """Request a decode engine for a processed prompt; return False if the turn is unknown."""
        active = self._active_turns.get(turn_id)
        if active is None:
            return False
        profile = self._profile()
        lifetime_s = 0.0 if profile is None else profile.handle_lifetime_s
        active.confirm_by_s = self._clock() + _CONFIRM_LIFETIME_SHARE * lifetime_s
        return True

    def record_prefill(self, turn_id: str, *, seconds: float) -> None:
        """Record that a prompt is processed; its prefill took `seconds`."""
        active = self._active_turns.get(turn_id)
        if active is not None and active.turn.prefill_id is not None:
            tracker = self._engines.prefill_tracker(active.turn.prefill_id)
            tracker.remove_prompt(turn_id, now_s=self._clock(), seconds=seconds)
            self._engines.record_success(active.turn.prefill_id)
            active.prefilled_s = self._clock()

    def record_slow_prefill(self, turn_id: str, *, seconds: float) -> None:
        """Record that a prompt wasn't processed after `seconds`."""
        active = self._active_turns.get(turn_id)
        if active is not None and active.turn.prefill_id is not None:
            tracker = self._engines.prefill_tracker(active.turn.prefill_id)
            tracker.record_timeout(turn_id, seconds=seconds)

    def record_start(self, turn_id: str) -> None:
        """Record the first event of a run."""
        active = self._active_turns.get(turn_id)
        if active is not None:
            now = self._clock()
            self._engines.decode_tracker(active.decode_id).start(turn_id, now)
            self._engines.record_first_event(active.decode_id)
            if active.prefilled_s is not None:
                self._model.record_first_event(now - active.prefilled_s)
                active.prefilled_s = None

    def release(
        self,
        turn_id: str,
        *,
        events: int = 0,
        seconds: float = 0.0,
        outcome: RunOutcome = RunOutcome.ENDED,
    ) -> None:
        """Release a turn, or withdraw a queued request; repeated calls have no effect."""
        self._queue.remove(turn_id)
        active = self._active_turns.pop(turn_id, None)
        if active is None:
            return
        if active.turn.prefill_id is not None:
            tracker = self._engines.prefill_tracker(active.turn.prefill_id)
            tracker.remove_prompt(turn_id, now_s=self._clock())
        decode = self._engines.decode_tracker(active.decode_id)
        decode.record_speed(events=events, seconds=seconds)
        if outcome is RunOutcome.LOST:  # may continue: count its memory until its expected end
            decode.abandon(turn_id, self._clock())
        else:
            decode.remove(turn_id)
        if outcome is RunOutcome.COMPLETE:  # only these are successes; broken runs have events, too
            self._engines.record_success(active.decode_id)
            self._model.record_answer(
                prompt_tokens=active.request.prompt_tokens,
                expected_tokens=active.request.expected_tokens,
                events=events,
            )
            self._engines.record_answer(active.request, events=events)

    def request_cost(self) -> RequestCost | None:
        """Return the average cost of a request at the engines, or None if it isn't measured."""
        profile = self._profile()
        if profile is None:
            return None
        return self._model.request_cost(capacity_tokens=profile.kv_tokens, slots=profile.slots)

    def register(self, run: DecodeRun, owner: str) -> None:
        """Add a run that another dispatcher granted."""
        if run.turn_id in self._active_turns:
            return
        now = self._clock()
        tracker = self._engines.decode_tracker(run.decode_id)
        active = registered_turn(
            run,
            service=self._service,
            owner=owner,
            now_s=now,
            tokens_per_event=self._model.tokens_per_event,
        )
        tracker.add(run.turn_id, active.request.prompt_tokens, active.request.expected_tokens)
        if run.age_s >= 0:
            tracker.start(run.turn_id, now - run.age_s)
        self._active_turns[run.turn_id] = active

    def reconcile(self, owner: str, held: Iterable[str]) -> list[str]:
        """Release turns that their owner no longer lists; return listed ids that are unknown."""
        listed = set(held)
        for turn_id in self._owners.unlisted_turns(owner, listed, self._active_turns):
            self.release(turn_id)
        return sorted(listed - self._active_turns.keys())

    def record_rejection(self, engine_id: str) -> None:
        """Record that an engine refused work for lack of room."""
        self._engines.record_rejection(engine_id, self._clock())

    def record_reported_run(self, request_id: str, *, held_tokens: int, events: int) -> None:
        """Record what an engine reports of a run: tokens in memory, prompt included, and events."""
        for turn_id, active in self._active_turns.items():
            request = active.request
            if request_id_of(turn_id) == request_id and not request.is_resumed:
                tokens = held_tokens - request.prompt_tokens
                self._model.record_counted_run(tokens=tokens, events=events)

    def stranded_streams(self, *, drain_s: float) -> dict[str, int]:
        """Return how many streams only a change of an engine's role can save, by version.

        `drain_s` is the time in seconds for which a leaving engine serves.
        """
        return self._stranded.count(
            self._active_turns.values(), self._queue, now_s=self._clock(), drain_s=drain_s
        )

    def _release_orphans(self) -> None:
        """Release turns of silent owners once their runs must have ended."""
        now = self._clock()
        if now < self._orphans_checked_s + _CHECK_INTERVAL_S:
            return
        self._orphans_checked_s = now
        forecast = PrefillForecast(engines=self._engines, now_s=now)
        for turn_id in self._owners.orphaned_turns(self._active_turns, forecast):
            self.release(turn_id)

    def _choose_decodes(self) -> list[DecodeChosen]:
        """Choose decode engines for processed prompts, in order of expiry."""
        now = self._clock()
        waiting = [turn for turn in self._active_turns.values() if turn.confirm_by_s is not None]
        waiting.sort(key=lambda active: active.confirm_by_s or 0.0)
        chosen = []
        for active in waiting:
            assert active.confirm_by_s is not None
            decode_id = self._select_decode(active, now)
            if decode_id is None and now < active.confirm_by_s:
                continue
            active.confirm_by_s = None
            turn_id = active.request.turn_id
            chosen.append(DecodeChosen(turn_id=turn_id, owner=active.owner, decode_id=decode_id))
        return chosen

    def _select_decode(self, active: ActiveTurn, now: float) -> str | None:
        """Return an engine with room for a processed prompt, preferably the expected one."""
        request = active.request
        tracker = self._engines.decode_tracker(active.decode_id)
        tracker.remove(request.turn_id)
        if self._engines.is_usable(active.decode_id) and tracker.fits(
            request.prompt_tokens, request.expected_tokens, now, request.workspace
        ):
            decode_id: str | None = active.decode_id
        else:
            decode_id = self._selector.decode(request, now, near=active.turn.prefill_id)
            if decode_id not in (None, active.decode_id):
                self._engines.spend_permit(decode_id)
        if decode_id is not None:
            active.decode_id = decode_id
        self._engines.decode_tracker(active.decode_id).add(
            request.turn_id, request.prompt_tokens, request.expected_tokens, request.workspace
        )
        return decode_id

    def _refuse_infeasible(self) -> list[TurnDecided]:
        """Refuse queued requests that can't be served in time."""
        now = self._clock()
        if not len(self._queue) or now < self._feasibility_checked_s + _CHECK_INTERVAL_S:
            return []
        self._feasibility_checked_s = now
        checker = FeasibilityChecker(
            service=self._service,
            engines=self._engines,
            now_s=now,
            random_source=self._random,
            waiting=len(self._queue),
            turns=len(self._active_turns),
            shortage=self._forecast_shortage(now),
            returns=None if self._shortage is None else self._shortage.returns,
        )
        refused = []
        for queued, _ in self._rank_queue(PrefillForecast(engines=self._engines, now_s=now), now):
            refusal = checker.check(queued)
            if refusal is None:
                continue
            request = queued.request
            self._queue.remove(request.turn_id)
            self._refused.record_goal(request.content, queued.first_event_by_s, now)
            if refusal.reason is RefusalReason.VERSION_GONE:
                self._stranded.record_refusal(queued)
            refused.append(
                TurnDecided(turn_id=request.turn_id, owner=queued.owner, outcome=refusal)
            )
        return refused

    def _forecast_shortage(self, now: float) -> ShortageForecast | None:
        """Return what new requests leave of the capacity, or None if it isn't known or used."""
        cost = self.request_cost()
        prefills = len(self._engines.usable_prefills())
        if self._shortage is None or cost is None or not prefills:
            return None
        capacity_per_s = throughput(prefills, len(self._engines.usable_decodes()), cost)
        return self._shortage.forecast(now, capacity_per_s=capacity_per_s)

    def _rank_queue(self, prefill: PrefillForecast, now: float) -> list[tuple[QueuedRequest, bool]]:
        """Return the queue in serving order, each request with whether it can be on time."""

        def is_on_time(queued: QueuedRequest) -> bool:
            first_event_s = prefill.first_event_s(queued.request.prompt_tokens)
            return now + first_event_s <= queued.first_event_by_s

        return self._queue.ranked(is_on_time=is_on_time)

    def _grant_turns(self) -> list[TurnDecided]:
        return list(iter(self._grant_next, None))

    def _grant_next(self) -> TurnDecided | None:
        """Grant a turn to the first queued request that fits, or return None."""
        if not len(self._queue):
            return None
        now = self._clock()
        ranked_requests = [
            (queued, is_on_time)
            for queued, is_on_time in self._rank_queue(
                PrefillForecast(engines=self._engines, now_s=now), now
            )
            if not self._waits_for_role_change(queued)
        ]
        blocked: set[str] = set()  # engines reserved for earlier requests that don't fit yet
        for queued, is_on_time in grant_candidates(ranked_requests):
            request = queued.request
            if not is_on_time and self._engines.memory_load(now) >= 1 - _LATE_RESERVE_SHARE:
                break
            prefill_id = self._selector.prefill(request, now)
            if prefill_id is None and self._engines.has_prefill:
                if request.avoid and self._selector.has_idle_prefill(now):
                    continue  # this request alone can't use the engines that are left
                break  # all prefill engines are busy
            decode_id = self._selector.decode(request, now, near=prefill_id, blocked=blocked)
            if decode_id is not None:
                return self._grant(queued, prefill_id, decode_id, is_late=not is_on_time)
            most_free = self._engines.most_free_decode(
                now, blocked, avoid=request.avoid, exclude=request.exclude
            )
            if most_free is not None:
                blocked.add(most_free)
            elif not request.avoid:
                break  # all decode engines are reserved
        return None

    def _waits_for_role_change(self, queued: QueuedRequest) -> bool:
        """Return whether no engine of a stream's software version decodes now."""
        version = queued.request.version
        return bool(version) and not self._engines.can_continue(version)

    def _grant(
        self, queued: QueuedRequest, prefill_id: str | None, decode_id: str, *, is_late: bool
    ) -> TurnDecided:
        now = self._clock()
        request = queued.request
        self._queue.remove(request.turn_id)
        prefill_s = 0.0
        if prefill_id is not None:
            tracker = self._engines.prefill_tracker(prefill_id)
            prefill_s = tracker.wait_s(now) + tracker.work_s(request.prompt_tokens)
            tracker.add_prompt(request.turn_id, request.prompt_tokens, now)
            self._engines.spend_permit(prefill_id)
        self._engines.spend_permit(decode_id)
        turn = Turn(
            turn_id=request.turn_id,
            service=self._service,
            prefill_id=prefill_id,
            decode_id=decode_id,
            is_late=is_late,
            prefill_s=prefill_s,
        )
        self._engines.decode_tracker(decode_id).add(
            request.turn_id, request.prompt_tokens, request.expected_tokens, request.workspace
        )
        self._active_turns[request.turn_id] = ActiveTurn(
            turn=turn, request=request, owner=queued.owner, granted_s=now, decode_id=decode_id
        )
        return TurnDecided(turn_id=request.turn_id, owner=queued.owner, outcome=turn)
