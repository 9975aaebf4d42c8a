"""Calls that wait for a server, in the order in which they get one."""

import math
from collections import deque
from collections.abc import Callable, Sequence

import attrs

from flamingoshelf.plain_placement._costs import CostEstimate
from flamingoshelf.plain_placement._types import Placement, PlacementRequest

__all__ = ["PromisedReturns", "WaitingCall"]

# Callers that are told to return later than this have mostly given up by then.
_MAX_RETRY_AFTER_S = 3.0
_MIN_RETRY_AFTER_S = 0.01
# Least part of the servers for callers that return; the rest is for new calls, as many as lately.
_MIN_RETURN_SHARE = 0.5
_LOAD_TIME_S = 1.0  # over which the load of new calls is measured
# A call is late if less than this multiple of the usual time is left until its goal, but not in
# the first part of the time that it had on arrival.
_RUN_FACTOR = 2.0
_MAX_RUN_GOAL_SHARE = 0.5
_RETURN_SLACK_S = 0.25  # by which a caller may return late


@attrs.define(kw_only=True, eq=False)
class WaitingCall:
    """A call that waits.

    Attributes
    ----------
    request : PlacementRequest
        The call.
    cost : CostEstimate
        What it is likely to cost.
    number : int
        Order of arrival.
    arrived_s : float
        Time of arrival.
    on_decision : callable
        Called with the decision.
    """

    request: PlacementRequest
    cost: CostEstimate
    number: int
    arrived_s: float
    on_decision: Callable[[Placement], None]

    def rank(self, now: float, usual_s: float) -> tuple[int, bool, float, int]:
        """Return a key that orders calls.

        The more urgent ones come first; among equals those that would meet their goals if they took
        the usual `usual_s`, by goal, and then the late ones as they came. By their own cost, costly
        calls would be late first and bear all of a shortage.
        """
        goal_s = self.request.goal_s
        run_s = min(_RUN_FACTOR * usual_s, _MAX_RUN_GOAL_SHARE * (goal_s - self.arrived_s))
        is_late = now >= goal_s - run_s
        return (self.request.priority, is_late, 0.0 if is_late else goal_s, self.number)


class PromisedReturns:
    """Times at which refused callers were told to return, each with the work that it brings."""

    def __init__(self) -> None:
        self._returns: deque[tuple[float, float]] = deque()
        self._due: deque[float] = deque()
        self._new_work_s = 0.0  # of the last arrivals that no promise was due for; decays
        self._updated_s = 0.0

    def record_arrival(self, now: float, *, work_s: float) -> None:
        """Record a call that arrives; it is taken for one that was told to, if one is due."""
        self.upcoming(now)
        while self._due and self._due[0] < now - _RETURN_SLACK_S:
            self._due.popleft()
        if self._due:
            self._due.popleft()
            return
        self._new_work_s = self._new_work(now) + work_s
        self._updated_s = now

    def upcoming(self, now: float) -> Sequence[tuple[float, float]]:
        """Return the times and the work of the callers that are still to return, in order."""
        while self._returns and self._returns[0][0] <= now:
            self._due.append(self._returns.popleft()[0])
        return self._returns

    def promise(self, now: float, *, drained_s: float, work_s: float) -> float:
        """Return the seconds after which a refused call may return.

        Parameters
        ----------
        now : float
            The time.
        drained_s : float
            Seconds until the calls that wait now have begun.
        work_s : float
            Seconds for which the call takes all servers.
        """
        self.upcoming(now)
        load = self._new_work(now) / _LOAD_TIME_S
        work_s /= max(_MIN_RETURN_SHARE, 1 - load)
        at_s = now + max(drained_s, _MIN_RETRY_AFTER_S)
        if self._returns:
            last_s, last_work_s = self._returns[-1]
            at_s = max(at_s, last_s + last_work_s)
        if at_s <= now + _MAX_RETRY_AFTER_S:
            self._returns.append((at_s, work_s))
            return at_s - now
        return _MAX_RETRY_AFTER_S

    def _new_work(self, now: float) -> float:
        return self._new_work_s * math.exp((self._updated_s - now) / _LOAD_TIME_S)
