"""Decides which server of a service gets a call, from the work that each still has to do."""

import heapq
import itertools
import math
from collections.abc import Callable, Iterator, Sequence, Set

import attrs
from loguru import logger

from flamingoshelf.plain_placement._costs import CallKind, CostEstimate, CostModel
from flamingoshelf.plain_placement._server_state import RunningCall, ServerState
from flamingoshelf.plain_placement._types import (
    CallId,
    Outcome,
    PlacedServer,
    Placement,
    PlacementRequest,
)
from flamingoshelf.plain_placement._waiting_calls import PromisedReturns, WaitingCall

__all__ = ["ServiceLedger"]

# A call goes to another data centre only if the local one takes this much longer.
_REMOTE_FACTOR = 1.25
_MAX_WAITING = 4096
_SWEEP_INTERVAL_S = 0.25  # between two searches for calls whose nodes are lost
# With more calls than this waiting, their ends are forecast once in this interval.
_FORECAST_CALLS = 64
_FORECAST_INTERVAL_S = 0.02
_LIST_INTERVAL_S = 0.02  # between two readings of the list of servers
_MIN_RATE = 1e-3  # seconds of work in a second, for lists of servers that have just changed
_NO_SERVER = Placement()


@attrs.define(eq=False)
class _Offer:
    """A server with room, and when another call would begin there."""

    state: ServerState
    is_avoided: bool
    is_full: bool
    wait_s: float

    @classmethod
    def of(cls, state: ServerState, now: float, typical_s: float) -> "_Offer":
        is_full = not state.has_free_slot(now)
        return cls(state, state.is_avoided(now), is_full, state.wait_s(now, typical_s))


class ServiceLedger:
    """Outstanding and waiting calls of one service.

    A call is granted the server at which it will probably end first. Servers get no more calls
    than they can run, and a few that begin as soon as others end; the rest waits here. A call that
    would not end by its deadline is refused, with the time at which there is room for it.

    Parameters
    ----------
    service : str
        The service.
    servers : callable
        Returns the servers that accept new calls.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(
        self,
        *,
        service: str,
        servers: Callable[[], Sequence[PlacedServer]],
        clock: Callable[[], float],
    ) -> None:
        self._service = service
        self._list_servers = servers
        self._clock = clock
        self._costs = CostModel()
        self._states: dict[str, ServerState] = {}
        self._listed: list[ServerState] = []
        self._places: dict[CallId, ServerState] = {}
        self._waiting: dict[CallId, WaitingCall] = {}
        self._returns = PromisedReturns()
        self._numbers = itertools.count()
        self._swept_s = -math.inf
        self._listed_s = -math.inf
        self._forecast_s = -math.inf

    @property
    def waiting_count(self) -> int:
        """Number of calls that wait."""
        return len(self._waiting)

    @property
    def waiting(self) -> list[CallId]:
        """Calls that wait."""
        return list(self._waiting)

    def outstanding(self) -> dict[str, float]:
        """Return the expected seconds of work of the outstanding calls of each server."""
        return {
            state.server.key: math.fsum(
                call.cost.mean_s * state.slowness for call in state.calls.values()
            )
            for state in self._states.values()
        }

    def slowness(self) -> dict[str, float]:
        """Return the time that a call takes at each server, relative to their geometric mean."""
        return {key: state.slowness for key, state in self._states.items()}

    def estimate(self, kind: CallKind) -> CostEstimate:
        """Return what a call is likely to cost."""
        return self._costs.estimate(kind)

    def submit(self, request: PlacementRequest, on_decision: Callable[[Placement], None]) -> None:
        """Decide about a call, at once or later."""
        if request.call in self._places or request.call in self._waiting:
            logger.bind(step="place", peer=request.call.owner, call=request.call.number).warning(
                "call that is known already ignored"
            )
            on_decision(_NO_SERVER)
            return
        self._update_servers()
        if not self._has_candidate(request):
            on_decision(_NO_SERVER)
            return
        item = WaitingCall(
            request=request,
            cost=self._costs.estimate(request.kind),
            number=next(self._numbers),
            arrived_s=self._clock(),
            on_decision=on_decision,
        )
        self._returns.record_arrival(self._clock(), work_s=item.cost.mean_s / self._rate())
        self._waiting[request.call] = item
        self.decide()

    def add_running(self, request: PlacementRequest, server: str, *, age_s: float) -> None:
        """Add a call that another view has placed, or note that a known one still runs."""
        self._update_servers()
        state = self._states.get(server)
        if request.call in self._places:
            self._places[request.call].confirm(request.call, self._clock())
            return
        if state is None or request.call in self._waiting:
            return
        now = self._clock() - age_s
        call = RunningCall(request=request, cost=self._costs.estimate(request.kind), granted_s=now)
        state.start(call, now)
        state.confirm(request.call, self._clock())
        self._places[request.call] = state

    def end(
        self,
        call_id: CallId,
        outcome: Outcome,
        *,
        duration_s: float | None = None,
        pause_s: float = 0.0,
    ) -> bool:
        """Record the end of a call, or that it no longer waits; return whether it was known.

        The server is avoided for `pause_s`, as it has asked for.
        """
        if self._waiting.pop(call_id, None) is not None:
            return True
        state = self._places.get(call_id)
        if state is None:
            return False
        self._end(state, call_id, outcome, duration_s, pause_s)
        self.decide()
        return True

    def drop_absent(self, owner: str, numbers: Set[int], *, min_age_s: float) -> None:
        """Drop the calls of a node other than `numbers` that were granted `min_age_s` ago."""
        before_s = self._clock() - min_age_s
        absent = [
            (call_id, state)
            for state in self._states.values()
            for call_id, call in state.calls.items()
            if call_id.owner == owner
            and call_id.number not in numbers
            and call.granted_s < before_s
        ]
        for call_id, state in absent:
            self._drop(state, call_id)
        if absent:
            self.decide()

    def decide(self) -> None:
        """Grant what there is room for, and refuse what has become hopeless."""
        now = self._clock()
        if now >= self._swept_s + _SWEEP_INTERVAL_S:
            self._swept_s = now
            self._update_servers()
            self._drop_lost(now)
        if not self._waiting:
            return
        typical_s = self._typical_s
        fastest = min((state.slowness for state in self._listed), default=1.0)
        is_forecast_due = (
            len(self._waiting) <= _FORECAST_CALLS or now >= self._forecast_s + _FORECAST_INTERVAL_S
        )
        offers = self._offers(now, typical_s)
        if not offers and not is_forecast_due:
            return
        left = []
        for item in self._in_order(now, typical_s * fastest, is_whole=is_forecast_due):
            if not offers and not is_forecast_due:
                break
            offer = self._choose(item, offers, now) if offers else None
            if offer is None:
                left.append(item)
                continue
            self._grant(item, offer.state, now)
            offers.remove(offer)
            if offer.state.room(now, typical_s) > 0:
                offers.append(_Offer.of(offer.state, now, typical_s))
        if left and is_forecast_due:
            self._forecast_s = now
            self._refuse_hopeless(left, now, typical_s, fastest)

    def _offers(self, now: float, typical_s: float) -> "list[_Offer]":
        """Return the servers with room; avoided ones only if a call may have no other."""
        states = [state for state in self._listed if state.room(now, typical_s) > 0]
        sound = [state for state in states if not state.is_avoided(now)]
        if len(sound) < len(states) and not (
            all(state.is_avoided(now) for state in self._listed)
            or any(item.request.excluded for item in self._waiting.values())
        ):
            states = sound
        return [_Offer.of(state, now, typical_s) for state in states]

    def _in_order(self, now: float, usual_s: float, *, is_whole: bool) -> Iterator[WaitingCall]:
        """Yield the waiting calls as they are served; all of them are wanted if `is_whole`."""
        if is_whole:
            yield from sorted(self._waiting.values(), key=lambda item: item.rank(now, usual_s))
            return
        ranked = [(item.rank(now, usual_s), item) for item in self._waiting.values()]
        heapq.heapify(ranked)
        while ranked:
            yield heapq.heappop(ranked)[1]

    @property
    def _typical_s(self) -> float:
        return self._costs.estimate(CallKind(service=self._service)).mean_s

    def _rate(self) -> float:
        """Return the seconds of work that the servers do in a second."""
        usable = [s for s in self._listed if not s.is_avoided(self._clock())] or self._listed
        return max(math.fsum(s.server.slots / s.slowness for s in usable), _MIN_RATE)

    def _update_servers(self) -> None:
        if self._clock() < self._listed_s + _LIST_INTERVAL_S:
            return
        self._listed_s = self._clock()
        servers = [server for server in self._list_servers() if server.slots > 0]
        self._listed = []
        for server in servers:
            state = self._states.get(server.key)
            if state is None or state.server.started_ms != server.started_ms:
                if state is not None:
                    self._forget(state)
                state = self._states[server.key] = ServerState(server)
            state.server = server
            self._listed.append(state)
        if len(self._states) > len(self._listed):
            listed = {server.key for server in servers}
            for key, state in list(self._states.items()):
                if key not in listed and not state.calls:
                    del self._states[key]

    def _forget(self, state: ServerState) -> None:
        for call_id in state.calls:
            self._places.pop(call_id, None)

    def _has_candidate(self, request: PlacementRequest) -> bool:
        return any(state.server.key not in request.excluded for state in self._listed)

    def _choose(self, item: WaitingCall, offers: "Sequence[_Offer]", now: float) -> "_Offer | None":
        """Return the server with room at which a call will probably end first, or None."""
        request = item.request
        usable = [o for o in offers if o.state.server.key not in request.excluded]
        sound = [o for o in usable if not o.is_avoided]
        if not sound and any(
            not s.is_avoided(now) and s.server.key not in request.excluded for s in self._listed
        ):
            return None  # one of the others will have room

        def cost(offer: _Offer) -> tuple[bool, float, float, float]:
            state = offer.state
            run_s = item.cost.mean_s * state.slowness
            if state.server.data_centre != request.data_centre:
                run_s *= _REMOTE_FACTOR
            return (offer.is_full, offer.wait_s + run_s, state.load, state.granted_s)

        return min(sound or usable, key=cost, default=None)

    def _grant(self, item: WaitingCall, state: ServerState, now: float) -> None:
        request = item.request
        del self._waiting[request.call]
        running = state.outstanding(now)
        state.start(RunningCall(request=request, cost=item.cost, granted_s=now), now)
        self._places[request.call] = state
        item.on_decision(
            Placement(
                server=state.server.key,
                expected_s=item.cost.mean_s * state.slowness,
                running=running,
                waiting=len(self._waiting),
            )
        )

    def _refuse_hopeless(
        self, ordered: Sequence[WaitingCall], now: float, typical_s: float, fastest: float
    ) -> None:
        """Refuse the calls that would not end by their deadlines.

        The servers' common rate says when those ahead of a call will have begun: the waiting ones,
        and, as for late calls, refused ones that were told to return before.
        """
        for item in ordered:
            if not self._has_candidate(item.request):
                del self._waiting[item.request.call]
                item.on_decision(_NO_SERVER)
        ordered = [item for item in ordered if item.request.call in self._waiting]
        if not ordered:
            return
        usable = [s for s in self._listed if not s.is_avoided(now)] or self._listed
        rate = self._rate()
        ahead_s = min(s.wait_s(now, typical_s) for s in usable)
        hopeless: list[WaitingCall] = []
        returns = iter(self._returns.upcoming(now))
        returning = next(returns, None)
        for rank, item in enumerate(ordered):
            is_late = item.rank(now, typical_s * fastest)[1]
            while is_late and returning is not None and returning[0] <= now + ahead_s:
                ahead_s += returning[1]
                returning = next(returns, None)
            end_s = now + ahead_s + item.cost.median_s * fastest
            if end_s > item.request.deadline_s or rank - len(hopeless) >= _MAX_WAITING:
                hopeless.append(item)
                del self._waiting[item.request.call]
            else:
                ahead_s += item.cost.mean_s / rate
        for item in hopeless:
            retry_after_s = self._returns.promise(
                now, drained_s=ahead_s, work_s=item.cost.mean_s / rate
            )
            item.on_decision(Placement(retry_after_s=retry_after_s, waiting=len(self._waiting)))

    def _end(
        self,
        state: ServerState,
        call_id: CallId,
        outcome: Outcome,
        duration_s: float | None,
        pause_s: float,
    ) -> None:
        now = self._clock()
        del self._places[call_id]
        kind = state.calls[call_id].request.kind
        run_s = state.end(call_id, outcome, now, duration_s=duration_s, pause_s=pause_s)
        if run_s is None:
            return
        estimate = self._costs.estimate(kind)
        mean = self._mean_slowness()
        self._costs.record(kind, run_s * mean / state.slowness)
        if estimate.count:
            state.record_speed(run_s / max(estimate.median_s, 1e-6))
        for other in self._listed:
            other.assume_speed(mean)

    def _mean_slowness(self) -> float:
        """Return the geometric mean of the measured servers, whose speed counts as 1."""
        measured = [s.slowness for s in self._listed if s.is_measured]
        return math.exp(math.fsum(map(math.log, measured)) / len(measured)) if measured else 1.0

    def _drop_lost(self, now: float) -> None:
        """Drop the calls whose nodes must have told their end long ago."""
        for state in list(self._states.values()):
            for call_id in state.lost_calls(now):
                self._drop(state, call_id)

    def _drop(self, state: ServerState, call_id: CallId) -> None:
        logger.bind(step="place", peer=call_id.owner, call=call_id.number).info(
            "call without an end dropped"
        )
        state.drop(call_id, self._clock())
        del self._places[call_id]
