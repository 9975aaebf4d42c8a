"""What one backend server still has to do, how fast it is, and whether it can be used."""

import math
from collections import OrderedDict, deque

import attrs
from loguru import logger

from flamingoshelf.plain_placement._costs import CostEstimate
from flamingoshelf.plain_placement._types import CallId, Outcome, PlacedServer, PlacementRequest
from flamingoshelf.utils import median

__all__ = ["RunningCall", "ServerState"]

# Time from the end of a call until the next one arrives, for which a server needs queued calls.
_TURNAROUND_S = 0.008
_MAX_QUEUE_SHARE = 0.5  # of a server's slots
_SPEED_SAMPLES = 15  # the last calls, so that a change shows after half of them
_MIN_SPEED_SAMPLES = 5
_MIN_SLOWNESS, _MAX_SLOWNESS = 0.1, 10.0
# Overdue calls without any answer since that show a pause; a single one may just be costly.
_PAUSE_CALLS = 2
_PAUSE_RUNS = 1.0  # usual durations of a call that pass without an answer
_MIN_PROBE_INTERVAL_S = 0.1  # between two calls to a paused server
_PROBE_SHARE = 0.25  # of the pause so far
_FAILURES_TO_AVOID = 2  # in succession
_MIN_AVOID_S = 0.1
_MAX_AVOID_S = 5.0
_FAILURE_WEIGHT = 0.1  # of one more call in the share of failed ones
_FAILURE_DELAY_S = 0.5  # a failed call costs its caller about this much
_LOST_FACTOR = 5.0  # multiple of its likely time after which a call without an end is dropped
_MIN_LOST_S = 3.0


@attrs.define(kw_only=True)
class RunningCall:
    """A call that was granted to a server.

    Attributes
    ----------
    request : PlacementRequest
        The call.
    cost : CostEstimate
        Its cost as estimated at the grant.
    granted_s : float
        Time of the grant.
    started_s : float or None
        Time at which the server had a free slot for it, None before.
    had_free_slot : bool
        Whether the server had fewer known calls than slots at the grant.
    confirmed_s : float
        Time at which its node told last that it runs.
    """

    request: PlacementRequest
    cost: CostEstimate
    granted_s: float
    started_s: float | None = None
    had_free_slot: bool = False
    confirmed_s: float = -math.inf


class ServerState:
    """Outstanding calls, speed and failures of one run of a server.

    Parameters
    ----------
    server : PlacedServer
        The server.
    """

    def __init__(self, server: PlacedServer) -> None:
        self._server = server
        self._calls: OrderedDict[CallId, RunningCall] = OrderedDict()
        self._ratios: deque[float] = deque(maxlen=_SPEED_SAMPLES)
        self._slowness = 1.0
        self._granted_s = -math.inf
        self._answered_s = -math.inf
        self._unknown_until_s: list[float] = []  # calls that this view doesn't know
        self._failures = 0
        self._failure_share = 0.0
        self._avoided_until_s = -math.inf
        self._is_paused = False
        self._rejected_s = -math.inf  # time of the last rejection that counts as a failure
        self._turned_away_until_s = -math.inf  # the server has asked for a pause

    @property
    def server(self) -> PlacedServer:
        """The server."""
        return self._server

    @server.setter
    def server(self, server: PlacedServer) -> None:
        self._server = server

    @property
    def calls(self) -> OrderedDict[CallId, RunningCall]:
        """Outstanding calls in the order of their grants."""
        return self._calls

    @property
    def slowness(self) -> float:
        """Time that a call takes, relative to a server of speed 1."""
        return self._slowness

    @property
    def is_measured(self) -> bool:
        """Whether the speed was measured."""
        return len(self._ratios) >= _MIN_SPEED_SAMPLES

    @property
    def granted_s(self) -> float:
        """Time of the last grant."""
        return self._granted_s

    @property
    def load(self) -> float:
        """Calls that are known, relative to the slots."""
        return len(self._calls) / self._server.slots

    def outstanding(self, now: float) -> int:
        """Return the number of calls that the server has, as far as it is known."""
        if self._unknown_until_s:
            self._unknown_until_s = [at_s for at_s in self._unknown_until_s if at_s > now]
        return len(self._calls) + len(self._unknown_until_s)

    def room(self, now: float, typical_s: float) -> int:
        """Return the number of calls that may be sent now.

        Beyond the slots, there are as many as will probably end before another call can arrive. A
        server that has failed lately has room for one call, a paused one for one in an interval.
        """
        outstanding = self.outstanding(now)
        slots = self._server.slots
        if self.is_paused(now):
            paused_s = now - self._due_s(self._overdue(now)[0])
            interval_s = max(_MIN_PROBE_INTERVAL_S, _PROBE_SHARE * paused_s)
            return int(outstanding < slots and now >= self._granted_s + interval_s)
        if self._failures >= _FAILURES_TO_AVOID:
            return 1 - outstanding
        run_s = max(typical_s * self._slowness, 1e-3)
        queue = min(slots * _TURNAROUND_S / run_s, slots * _MAX_QUEUE_SHARE)
        return slots + round(queue) - outstanding

    def has_free_slot(self, now: float) -> bool:
        """Return whether another call would begin at once."""
        return self.outstanding(now) < self._server.slots

    def wait_s(self, now: float, typical_s: float) -> float:
        """Return the seconds until another call would begin."""
        ahead = self.outstanding(now) - self._server.slots + 1
        delay_s = self._failure_share * _FAILURE_DELAY_S
        overdue = self._overdue(now)
        if overdue:
            delay_s += max(0.0, now - max(self._due_s(overdue[0]), self._answered_s))
        if ahead <= 0:
            return delay_s
        active = max(1, self._server.slots - len(overdue))
        return delay_s + ahead * typical_s * self._slowness / active

    def is_avoided(self, now: float) -> bool:
        """Return whether the server has failed lately, or has asked for a pause."""
        return max(self._avoided_until_s, self._turned_away_until_s) > now

    def is_paused(self, now: float) -> bool:
        """Return whether calls are overdue and none has been answered since."""
        overdue = self._overdue(now)
        is_paused = False
        if len(overdue) >= _PAUSE_CALLS:
            call = overdue[_PAUSE_CALLS - 1]
            silent_since_s = max(self._answered_s, self._due_s(call))
            is_paused = now - silent_since_s > _PAUSE_RUNS * call.cost.mean_s * self._slowness
        if is_paused != self._is_paused:
            self._is_paused = is_paused
            logger.bind(
                step="servers",
                peer=self._server.key,
                overdue=len(overdue),
                outstanding=len(self._calls),
                answered_age_s=round(min(now - self._answered_s, 1e6), 3),
            ).info("backend server pauses" if is_paused else "backend server no longer pauses")
        return is_paused

    def start(self, call: RunningCall, now: float) -> None:
        """Record a granted call."""
        if self.has_free_slot(now):
            call.started_s = now
        call.had_free_slot = len(self._calls) < self._server.slots
        self._granted_s = max(self._granted_s, now)
        self._calls[call.request.call] = call

    def end(
        self,
        call_id: CallId,
        outcome: Outcome,
        now: float,
        *,
        duration_s: float | None = None,
        pause_s: float = 0.0,
    ) -> float | None:
        """Record the end of a call.

        The server is avoided for `pause_s`, as it has asked for. Return the seconds for which it
        worked on the call, or None if that is not known.
        """
        call = self._calls.pop(call_id)
        run_s = None
        if outcome is Outcome.ANSWERED:
            self._record_answer(now)
            if call.started_s is not None:
                elapsed_s = now - call.granted_s
                if duration_s is not None:
                    elapsed_s = min(elapsed_s, duration_s)
                run_s = max(0.0, elapsed_s - (call.started_s - call.granted_s))
        elif outcome is Outcome.REJECTED:
            if pause_s <= 0:
                self._record_rejection(call, now)
        elif outcome is not Outcome.WITHDRAWN or now > self._due_s(call):
            self._record_failure(now, outcome)
        if pause_s > 0:
            until_s = now + min(pause_s, _MAX_AVOID_S)
            self._turned_away_until_s = max(self._turned_away_until_s, until_s)
        self._start_next(now)
        return run_s

    def confirm(self, call_id: CallId, now: float) -> None:
        """Record that a call still runs."""
        self._calls[call_id].confirmed_s = now

    def drop(self, call_id: CallId, now: float) -> None:
        """Forget a call, which says nothing about the server."""
        del self._calls[call_id]
        self._start_next(now)

    def record_speed(self, ratio: float) -> None:
        """Record the time that a call took, relative to what it takes at a server of speed 1."""
        self._ratios.append(min(max(ratio, _MIN_SLOWNESS), _MAX_SLOWNESS))
        if self.is_measured:
            self._slowness = median(self._ratios)

    def assume_speed(self, slowness: float) -> None:
        """Take the speed of other servers until it is measured."""
        if not self.is_measured:
            self._slowness = slowness

    def lost_calls(self, now: float) -> list[CallId]:
        """Return the calls whose nodes must have told their end long ago."""
        return [
            call_id
            for call_id, call in self._calls.items()
            if now
            > min(
                max(call.granted_s, call.confirmed_s)
                + max(_MIN_LOST_S, _LOST_FACTOR * call.cost.high_s * self._slowness),
                call.request.deadline_s + _MIN_LOST_S,
            )
        ]

    def _start_next(self, now: float) -> None:
        """Give a free slot to the first call that has none."""
        started = sum(call.started_s is not None for call in self._calls.values())
        for call in self._calls.values():
            if started >= self._server.slots:
                return
            if call.started_s is None:
                call.started_s = now
                started += 1

    def _due_s(self, call: RunningCall) -> float:
        started_s = math.inf if call.started_s is None else call.started_s
        return started_s + call.cost.high_s * self._slowness

    def _overdue(self, now: float) -> list[RunningCall]:
        calls = [call for call in self._calls.values() if self._due_s(call) < now]
        return sorted(calls, key=self._due_s) if len(calls) > 1 else calls

    def _record_answer(self, now: float) -> None:
        self._answered_s = now
        self._failure_share *= 1 - _FAILURE_WEIGHT
        if self._failures >= _FAILURES_TO_AVOID:
            logger.bind(step="servers", peer=self._server.key, failures=self._failures).info(
                "backend server answers again"
            )
        self._failures = 0
        self._avoided_until_s = -math.inf

    def _record_rejection(self, call: RunningCall, now: float) -> None:
        """Record a rejection.

        The server may have calls that this view doesn't know. If it had free slots, that also
        counts as a failure, once for all calls that were granted before the last one that counts.
        """
        self._unknown_until_s.append(now + call.cost.mean_s * self._slowness)
        if call.had_free_slot and call.granted_s > self._rejected_s:
            self._rejected_s = now
            self._record_failure(now, Outcome.REJECTED)

    def _record_failure(self, now: float, outcome: Outcome) -> None:
        self._failures += 1
        if outcome is not Outcome.REJECTED:  # which costs its caller no more than a round trip
            self._failure_share += _FAILURE_WEIGHT * (1 - self._failure_share)
        excess = self._failures - _FAILURES_TO_AVOID
        if excess < 0:
            return
        avoid_s = min(_MIN_AVOID_S * 2 ** min(excess, 10), _MAX_AVOID_S)
        self._avoided_until_s = now + avoid_s
        logger.bind(
            step="servers", peer=self._server.key, failures=self._failures, last=str(outcome)
        ).info("backend server avoided for {:.1f} s", avoid_s)
