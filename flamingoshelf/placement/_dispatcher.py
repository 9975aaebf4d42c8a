"""Decides which waiting request gets which engines, and when."""

import random
from collections.abc import Callable, Iterable, Sequence

from loguru import logger

from flamingoshelf.placement._decisions import Decision, DecodeChosen, Holding, TurnDecided
from flamingoshelf.placement._engine_choice import EngineChoice
from flamingoshelf.placement._engines import EngineTable
from flamingoshelf.placement._forecast import PrefillForecast
from flamingoshelf.placement._hopeless import FIRST_EVENT_S, HopelessJudge
from flamingoshelf.placement._queue import Ticket, WaitingQueue
from flamingoshelf.placement._refusals import full_refusal, no_engine_refusal
from flamingoshelf.placement._refused_requests import RefusedRequests
from flamingoshelf.placement._request_cost import CostMeter
from flamingoshelf.placement._role_plan import RequestCost
from flamingoshelf.placement._types import (
    DecodeRun,
    PlacementRequest,
    RunOutcome,
    Turn,
    request_of,
)
from flamingoshelf.routing import BackendInstance, EngineProfile
from flamingoshelf.utils import now_s

__all__ = ["Dispatcher"]

# When a caller that can't be served in time is told to come back: bursts last for some seconds,
# and returns at one moment would make another one.
_COME_BACK_MIN_S = 1.0
_COME_BACK_MAX_S = 3.0
# Part of all decode memory that late requests leave free for those that can be on time.
_LATE_RESERVE = 0.1
# Part of a handle's life for which a processed prompt waits for room at a decode engine.
_CONFIRM_SHARE = 0.6
# A turn may be granted before its owner's report was written and after that is read.
_UNLISTED_RELEASE_S = 0.5
_SILENT_OWNER_S = 1.0  # four reports
_ORPHAN_RUN_FACTOR = 1.5  # runs may take longer than expected
_JUDGE_INTERVAL_S = 0.05  # between two looks for requests that can't be served, or lost turns
_MAX_TRIED_TICKETS = 8  # waiting requests that are looked at for a free place


class Dispatcher:
    """Counts what the engines of one service hold and grants turns; owns no task and no socket.

    Parameters
    ----------
    service : str
        Service whose engines it dispatches for.
    instances : callable
        Returns the engines that take new work.
    profile : callable
        Returns what an engine can hold, or None if the service is not configured.
    random_source : random.Random
        Spreads the times at which refused callers come back, and chooses between equal engines.
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
        clock: Callable[[], float] = now_s,
    ) -> None:
        self._random = random_source
        self._service = service
        self._profile = profile
        self._clock = clock
        self._engines = EngineTable(instances=instances, profile=profile)
        self._choice = EngineChoice(engines=self._engines, random_source=random_source)
        self._queue = WaitingQueue()
        self._holdings: dict[str, Holding] = {}
        self._reported_s: dict[str, float] = {}
        self._refused = RefusedRequests()
        self._judged_s = float("-inf")
        self._orphans_dropped_s = float("-inf")
        self._costs = CostMeter()

    @property
    def service(self) -> str:
        """Service whose engines it dispatches for."""
        return self._service

    @property
    def engines(self) -> EngineTable:
        """The engines and what is counted of them."""
        return self._engines

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._queue)

    @property
    def holdings(self) -> int:
        """Number of turns that are out."""
        return len(self._holdings)

    def enqueue(self, request: PlacementRequest, owner: str) -> None:
        """Add a request to the queue, in place of one with the same id."""
        now = self._clock()
        goal_s = now + request.goal_left_s
        refused_goal_s = self._refused.recall(request.content, now)
        self._queue.put(
            Ticket(
                request=request,
                owner=owner,
                arrived_s=now,
                first_event_by_s=goal_s if refused_goal_s is None else refused_goal_s,
                leaves_s=now + request.wait_left_s,
                deadline_s=now + request.deadline_left_s,
                is_returning=refused_goal_s is not None,
            )
        )

    def decide(self) -> list[Decision]:
        """Grant and refuse what can be decided now."""
        self._engines.refresh(self._clock())
        self._drop_orphans()
        decisions: list[Decision] = list(self._choose_decodes())
        decisions += self._refuse_hopeless()
        decisions += self._grant_turns()
        return decisions

    def holds(self, turn_id: str) -> bool:
        """Return whether a turn is out."""
        return turn_id in self._holdings

    def confirm(self, turn_id: str) -> bool:
        """Ask for the decode engine of a processed prompt; return whether `decide` will answer."""
        holding = self._holdings.get(turn_id)
        if holding is None:
            return False
        profile = self._profile()
        lifetime_s = 0.0 if profile is None else profile.handle_lifetime_s
        holding.confirm_by_s = self._clock() + _CONFIRM_SHARE * lifetime_s
        return True

    def note_prefill(self, turn_id: str, *, seconds: float) -> None:
        """Note that a prompt is processed."""
        holding = self._holdings.get(turn_id)
        if holding is not None and holding.turn.prefill_id is not None:
            ledger = self._engines.prefill(holding.turn.prefill_id)
            ledger.end(turn_id, now_s=self._clock(), seconds=seconds)
            self._engines.note_success(holding.turn.prefill_id)

    def note_start(self, turn_id: str) -> None:
        """Note the first event of a run."""
        holding = self._holdings.get(turn_id)
        if holding is not None:
            self._engines.decode(holding.decode_id).start(turn_id, self._clock())

    def release(
        self,
        turn_id: str,
        *,
        tokens: int = 0,
        seconds: float = 0.0,
        outcome: RunOutcome = RunOutcome.ENDED,
    ) -> None:
        """Take back a turn, or withdraw a waiting request; may be repeated.

        Only a run that is complete speaks for its engine: one that broke off has tokens, too. One
        that is lost may go on, and its memory is counted for as long as it is expected to take.
        """
        self._queue.remove(turn_id)
        holding = self._holdings.pop(turn_id, None)
        if holding is None:
            return
        if holding.turn.prefill_id is not None:
            ledger = self._engines.prefill(holding.turn.prefill_id)
            ledger.end(turn_id, now_s=self._clock())
        decode = self._engines.decode(holding.decode_id)
        if outcome is RunOutcome.LOST:
            decode.abandon(turn_id, self._clock())
        else:
            decode.remove(turn_id)
        decode.learn(tokens=tokens, seconds=seconds)
        if outcome is RunOutcome.COMPLETE:
            self._engines.note_success(holding.decode_id)
        if tokens:
            self._costs.record(prompt_tokens=holding.request.prompt_tokens, answer_tokens=tokens)

    def request_cost(self) -> RequestCost:
        """Return what requests take of the engines on average."""
        prefill_tokens_s, s_per_token, capacity = self._engines.speeds()
        return self._costs.cost(
            prefill_tokens_s=prefill_tokens_s,
            s_per_token=s_per_token,
            capacity_tokens=capacity,
        )

    def register(self, run: DecodeRun, owner: str) -> None:
        """Take over a run that another dispatcher granted."""
        if run.turn_id in self._holdings:
            return
        now = self._clock()
        ledger = self._engines.decode(run.decode_id)
        ledger.add(run.turn_id, run.prompt_tokens, run.expected_tokens)
        if run.age_s >= 0:
            ledger.start(run.turn_id, now - run.age_s)
        self._holdings[run.turn_id] = Holding(
            turn=Turn(
                turn_id=run.turn_id,
                service=self._service,
                prefill_id=None,
                decode_id=run.decode_id,
            ),
            request=PlacementRequest(
                turn_id=run.turn_id,
                service=self._service,
                prompt_tokens=run.prompt_tokens,
                expected_tokens=run.expected_tokens,
                goal_left_s=0.0,
                wait_left_s=0.0,
                deadline_left_s=0.0,
            ),
            owner=owner,
            granted_s=now,
            decode_id=run.decode_id,
        )

    def reconcile(self, owner: str, held: Iterable[str]) -> list[str]:
        """Take back the turns that an owner no longer lists; return the ids that are unknown."""
        self._reported_s[owner] = self._clock()
        listed = set(held)
        oldest_s = self._clock() - _UNLISTED_RELEASE_S
        for turn_id, holding in list(self._holdings.items()):
            is_owned = holding.owner == owner and holding.granted_s < oldest_s
            if is_owned and turn_id not in listed:
                logger.bind(request_id=request_of(turn_id), step="reconcile", peer=owner).info(
                    "turn taken back, its owner no longer holds it"
                )
                self.release(turn_id)
        return sorted(listed - self._holdings.keys())

    def note_rejection(self, engine_id: str) -> None:
        """Note that an engine had no room where it was expected to."""
        self._engines.note_rejection(engine_id, self._clock())

    def _drop_orphans(self) -> None:
        """Take back turns of silent owners once their runs must have ended."""
        now = self._clock()
        if now < self._orphans_dropped_s + _JUDGE_INTERVAL_S:
            return
        self._orphans_dropped_s = now
        forecast = PrefillForecast(engines=self._engines, now_s=now)
        for turn_id, holding in list(self._holdings.items()):
            silent_s = now - self._reported_s.get(holding.owner, holding.granted_s)
            if silent_s < _SILENT_OWNER_S:
                continue
            request = holding.request
            run_s = forecast.run_s(request.prompt_tokens, request.expected_tokens)
            if now > holding.granted_s + _ORPHAN_RUN_FACTOR * run_s:
                logger.bind(request_id=request_of(turn_id), step="orphan", peer=holding.owner).info(
                    "turn taken back, its owner is silent for {:.1f} s", silent_s
                )
                self.release(turn_id)

    def _choose_decodes(self) -> list[DecodeChosen]:
        """Choose engines for processed prompts, those that expire first before the others."""
        now = self._clock()
        waiting = [h for h in self._holdings.values() if h.confirm_by_s is not None]
        waiting.sort(key=lambda holding: holding.confirm_by_s or 0.0)
        chosen = []
        for holding in waiting:
            assert holding.confirm_by_s is not None
            decode_id = self._confirmed_engine(holding, now)
            if decode_id is None and now < holding.confirm_by_s:
                continue
            holding.confirm_by_s = None
            turn_id = holding.request.turn_id
            chosen.append(DecodeChosen(turn_id=turn_id, owner=holding.owner, decode_id=decode_id))
        return chosen

    def _confirmed_engine(self, holding: Holding, now: float) -> str | None:
        """Return an engine with room for a processed prompt, the expected one if it has."""
        request = holding.request
        ledger = self._engines.decode(holding.decode_id)
        ledger.remove(request.turn_id)
        if self._engines.is_usable(holding.decode_id) and ledger.fits(
            request.prompt_tokens, request.expected_tokens, now
        ):
            decode_id: str | None = holding.decode_id
        else:
            decode_id = self._choice.decode(request, now, near=holding.turn.prefill_id)
        if decode_id is not None:
            holding.decode_id = decode_id
        self._engines.decode(holding.decode_id).add(
            request.turn_id, request.prompt_tokens, request.expected_tokens
        )
        return decode_id

    def _refuse_hopeless(self) -> list[TurnDecided]:
        """Refuse what can't be served before its caller leaves."""
        now = self._clock()
        if not len(self._queue) or now < self._judged_s + _JUDGE_INTERVAL_S:
            return []
        self._judged_s = now
        judge = HopelessJudge(
            engines=self._engines,
            now_s=now,
            waiting=len(self._queue),
            turns=len(self._holdings),
        )
        refused = []
        for ticket, _ in self._ordered(PrefillForecast(engines=self._engines, now_s=now), now):
            request = ticket.request
            if not self._engines.has_room_ever(request.prompt_tokens, request.expected_tokens):
                refusal = no_engine_refusal(self._service)
            elif judge.is_hopeless(ticket):
                retry_after_s = self._random.uniform(_COME_BACK_MIN_S, _COME_BACK_MAX_S)
                refusal = full_refusal(self._service, retry_after_s=retry_after_s)
            else:
                continue
            self._queue.remove(request.turn_id)
            self._refused.remember(request.content, ticket.first_event_by_s, now)
            refused.append(
                TurnDecided(turn_id=request.turn_id, owner=ticket.owner, outcome=refusal)
            )
        return refused

    def _ordered(self, prefill: PrefillForecast, now: float) -> list[tuple[Ticket, bool]]:
        """Return the waiting requests, each with whether it is on time if it gets a turn now."""

        def is_on_time(ticket: Ticket) -> bool:
            first_event_s = prefill.done_s(ticket.request.prompt_tokens) + FIRST_EVENT_S
            return now + first_event_s <= ticket.first_event_by_s

        return self._queue.ordered(is_on_time=is_on_time)

    def _grant_turns(self) -> list[TurnDecided]:
        granted = []
        while (turn := self._grant_next()) is not None:
            granted.append(turn)
        return granted

    def _grant_next(self) -> TurnDecided | None:
        if not len(self._queue):
            return None
        now = self._clock()
        tickets = self._ordered(PrefillForecast(engines=self._engines, now_s=now), now)
        blocked: set[str] = set()  # engines that are kept for a request which they have no room for
        for ticket, is_on_time in tickets[:_MAX_TRIED_TICKETS]:
            if not is_on_time and not self._has_spare_memory(now):
                break
            request = ticket.request
            prefill_id = self._choice.prefill(request, now)
            if prefill_id is None and self._engines.has_prefill:
                break  # all prefill engines are busy, whoever is next
            decode_id = self._choice.decode(request, now, near=prefill_id, blocked=blocked)
            if decode_id is not None:
                return self._grant(ticket, prefill_id, decode_id, is_late=not is_on_time)
            roomiest = self._engines.roomiest_decode(now, blocked)
            if roomiest is None:
                break
            blocked.add(roomiest)
        return None

    def _grant(
        self, ticket: Ticket, prefill_id: str | None, decode_id: str, *, is_late: bool
    ) -> TurnDecided:
        now = self._clock()
        request = ticket.request
        self._queue.remove(request.turn_id)
        prefill_s = 0.0
        if prefill_id is not None:
            ledger = self._engines.prefill(prefill_id)
            prefill_s = ledger.wait_s(now) + ledger.work_s(request.prompt_tokens)
            ledger.begin(request.turn_id, request.prompt_tokens, now)
        turn = Turn(
            turn_id=request.turn_id,
            service=self._service,
            prefill_id=prefill_id,
            decode_id=decode_id,
            is_late=is_late,
            prefill_s=prefill_s,
        )
        self._engines.decode(decode_id).add(
            request.turn_id, request.prompt_tokens, request.expected_tokens
        )
        self._holdings[request.turn_id] = Holding(
            turn=turn, request=request, owner=ticket.owner, granted_s=now, decode_id=decode_id
        )
        return TurnDecided(turn_id=request.turn_id, owner=ticket.owner, outcome=turn)

    def _has_spare_memory(self, now: float) -> bool:
        """Return whether late requests may be served."""
        shares = [
            self._engines.decode(engine.key).free_share(now)
            for engine in self._engines.usable_decodes()
        ]
        return bool(shares) and sum(shares) / len(shares) > _LATE_RESERVE
