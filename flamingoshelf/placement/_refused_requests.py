"""Latency goals of refused requests that callers may send again."""

from collections import OrderedDict

__all__ = ["RefusedRequests"]

_RETENTION_S = 20.0  # longer than callers keep trying one request
_MAX_ENTRIES = 4096  # several minutes of refusals at the rates of the reference workloads


class RefusedRequests:
    """Original goals of refused requests, by content digest.

    A request that is sent again keeps the goal of its first attempt, so it counts as late.

    Examples
    --------
    >>> refused = RefusedRequests()
    >>> refused.record_goal("a", 0.9, now_s=0.0)
    >>> refused.find_goal("a", now_s=3.0), refused.find_goal("b", now_s=3.0)
    (0.9, None)
    """

    def __init__(self) -> None:
        self._goals: OrderedDict[str, tuple[float, float]] = OrderedDict()

    def record_goal(self, content: str, goal_s: float, now_s: float) -> None:
        """Store the time by which a refused request should have had its first event."""
        if not content:
            return
        first_goal_s, _ = self._goals.pop(content, (goal_s, now_s))
        self._goals[content] = (min(goal_s, first_goal_s), now_s)
        while len(self._goals) > _MAX_ENTRIES:
            self._goals.popitem(last=False)

    def find_goal(self, content: str, now_s: float) -> float | None:
        """Return the original goal of a request that was refused lately, or None."""
        found = self._goals.get(content)
        if found is None:
            return None
        goal_s, refused_s = found
        return goal_s if now_s - refused_s < _RETENTION_S else None
