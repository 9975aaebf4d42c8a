"""Speed of one engine, by the model of its service."""

from collections import deque
from math import exp, log

from flamingoshelf.utils import mean, median

__all__ = ["EngineSpeed"]

_WINDOW = 32  # measurements that count
_MIN_COUNT = 4  # fewer say nothing about an engine
_MAX_PAUSE_FACTOR = 5.0  # bounds what one wrong measurement can do to the mean
_NORMAL_MAD = 1.4826  # standard deviation by median absolute deviation, for a normal distribution
# A change of level: the latest measurements lie on one side of the median, by more than the spread
# explains, and for longer than an engine pauses.
_SHIFT_COUNT = 4
_SHIFT_S = 2.0
_SHIFT_SPREADS = 3.0
_MIN_SHIFT = 0.2  # in log space


class EngineSpeed:
    """Time that one engine takes for a fixed piece of work.

    The median of a window tells an engine that is slow for good from one that pauses at times: a
    few outliers move the mean only. After a change of level, earlier measurements are dropped. The
    times are kept rather than ratios, as the model of the service changes with the share of work
    that slow engines get.

    Examples
    --------
    >>> speed = EngineSpeed()
    >>> for second in range(10):
    ...     _ = speed.record(0.25 if second == 4 else 0.18, now_s=float(second))
    >>> round(speed.slowdown(0.1), 2), round(speed.pause_factor, 2)
    (1.8, 1.04)
    """

    def __init__(self) -> None:
        self._measured: deque[tuple[float, float]] = deque(maxlen=_WINDOW)  # time, log of seconds
        self.clear()

    @property
    def count(self) -> int:
        """Number of measurements in the window."""
        return len(self._measured)

    def slowdown(self, model_s: float | None) -> float:
        """Return the median time by the model's time for that work; 1 if either is unknown."""
        return exp(self._median) / model_s if self._is_known and model_s else 1.0

    @property
    def spread(self) -> float:
        """Robust standard deviation of the logarithm of the time; 0 if too little is measured."""
        return self._spread if self._is_known else 0.0

    @property
    def pause_factor(self) -> float:
        """Mean time by the median, at least 1: what pauses add."""
        return self._pause_factor if self._is_known else 1.0

    def record(self, seconds: float, *, now_s: float) -> bool:
        """Add a measured time; return whether the level has changed."""
        if seconds <= 0:
            return False
        self._measured.append((now_s, log(seconds)))
        deviating = self._deviating() if self._is_known else 0
        if deviating:
            kept = list(self._measured)[-deviating:]
            self._measured.clear()
            self._measured.extend(kept)
        values = [value for _, value in self._measured]
        self._median = median(values)
        self._spread = _NORMAL_MAD * median(abs(value - self._median) for value in values)
        factors = [min(exp(value - self._median), _MAX_PAUSE_FACTOR) for value in values]
        self._pause_factor = max(1.0, mean(factors))
        return bool(deviating)

    def expire(self, until_s: float) -> None:
        """Forget all measurements if none is later than a time."""
        if self._measured and self._measured[-1][0] <= until_s:
            self.clear()

    def clear(self) -> None:
        """Forget all measurements, as after a restart of the engine."""
        self._measured.clear()
        self._median = self._spread = 0.0
        self._pause_factor = 1.0

    @property
    def _is_known(self) -> bool:
        return len(self._measured) >= _MIN_COUNT

    def _deviating(self) -> int:
        """Return how many of the latest measurements make up a change of level; 0 if none do."""
        threshold = max(_MIN_SHIFT, _SHIFT_SPREADS * self._spread)
        latest_s, latest = self._measured[-1]
        side = 1 if latest > self._median else -1
        count, since_s = 0, latest_s
        for now_s, value in reversed(self._measured):
            if side * (value - self._median) <= threshold:
                break
            count, since_s = count + 1, now_s
        is_short = count < _SHIFT_COUNT or latest_s - since_s < _SHIFT_S
        return 0 if is_short or count == len(self._measured) else count
