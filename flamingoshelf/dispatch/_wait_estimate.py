"""Estimated waiting time of late requests, from the rate at which they were granted."""

from collections import deque

__all__ = ["WaitEstimate"]

_WINDOW_S = 10.0
_MIN_LATE_SHARE = 0.05
_MIN_RATE_PER_S = 1.0


class WaitEstimate:
    """Rate of grants to late requests over a sliding window.

    Late requests are granted only when no queued request can meet its target. Their rate is taken
    to be at least a small share of all grants, so that the estimate falls again when the load drops
    after an overload.

    Examples
    --------
    >>> estimate = WaitEstimate()
    >>> estimate.estimate_late_wait_s(0.0, ahead=4)
    5.0
    """

    def __init__(self) -> None:
        self._grants: deque[tuple[float, bool]] = deque()

    def count_grant(self, now_s: float, *, is_late: bool) -> None:
        """Record a grant at time `now_s`."""
        self._grants.append((now_s, is_late))

    def estimate_late_wait_s(self, now_s: float, *, ahead: int) -> float:
        """Return the expected wait, in seconds, of a late request with `ahead` others before it."""
        while self._grants and self._grants[0][0] < now_s - _WINDOW_S:
            self._grants.popleft()
        late = sum(is_late for _, is_late in self._grants)
        rate_per_s = max(late, _MIN_LATE_SHARE * len(self._grants)) / _WINDOW_S
        return (ahead + 1) / max(rate_per_s, _MIN_RATE_PER_S)
