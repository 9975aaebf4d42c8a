"""Estimate of how long late requests wait, from the rate at which they were served."""

from collections import deque

__all__ = ["WaitEstimate"]

_WINDOW_S = 10.0
_LEAST_LATE_SHARE = 0.05
_LEAST_RATE_PER_S = 1.0


class WaitEstimate:
    """Rates of grants over the last seconds.

    Late requests are served when no request that can meet its target waits. Their rate is at
    least a small share of all grants, so that a lull after an overload is not missed.

    Examples
    --------
    >>> estimate = WaitEstimate()
    >>> estimate.late_wait_s(0.0, ahead=4)
    5.0
    """

    def __init__(self) -> None:
        self._grants: deque[tuple[float, bool]] = deque()

    def count_grant(self, now_s: float, *, is_late: bool) -> None:
        """Count one grant."""
        self._grants.append((now_s, is_late))

    def late_wait_s(self, now_s: float, *, ahead: int) -> float:
        """Return the expected wait of a late request with `ahead` others before it."""
        while self._grants and self._grants[0][0] < now_s - _WINDOW_S:
            self._grants.popleft()
        late = sum(is_late for _, is_late in self._grants)
        rate = max(late, _LEAST_LATE_SHARE * len(self._grants)) / _WINDOW_S
        return (ahead + 1) / max(rate, _LEAST_RATE_PER_S)
