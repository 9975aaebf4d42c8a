"""Distribution of the length of an answer, given its caller's estimate."""

from collections import OrderedDict, deque
from math import erfc, exp, log, sqrt

import attrs

from flamingoshelf.utils import mean, median

__all__ = ["AnswerLength", "AnswerLengths"]

_WINDOW = 200  # answers of a group that count
_MIN_COUNT = 20  # a group of fewer answers takes the distribution of a larger group
_MAX_GROUPS = 1024  # the least recently used ones are dropped
_PRIOR_SPREAD = 0.5  # in log space: callers know the length within a factor of about 1.6
_MIN_SPREAD = 0.05
_RIDGE = 1.0  # pulls the slope to zero where all estimates are alike
_SERVICE = ""  # group of all answers
_NORMAL_MAD = 1.4826  # standard deviation by median absolute deviation, for a normal distribution
_MAX_DEVIATION = 3.0  # in robust standard deviations; longer ones count as this
# An answer beyond nearly all others may go on for this part of what it has generated.
_OVERRUN_SHARE = 0.25
_MIN_TAIL = 1e-4


@attrs.frozen(kw_only=True)
class AnswerLength:
    """Lognormal distribution of the tokens of an answer.

    Parameters
    ----------
    median_tokens : float
        Median length.
    spread : float
        Standard deviation of the logarithm of the length.
    count : int
        Complete answers that it follows from; 0 if it is the caller's estimate.
    """

    median_tokens: float
    spread: float = _PRIOR_SPREAD
    count: int = 0

    @property
    def mean_tokens(self) -> float:
        """Mean length."""
        return self.median_tokens * exp(self.spread**2 / 2)

    def quantile(self, share: float) -> float:
        """Return the length that a share of the answers doesn't exceed."""
        from statistics import NormalDist  # takes 0.6 MB, and only coordinators need it

        return self.median_tokens * exp(self.spread * NormalDist().inv_cdf(share))

    def rest(self, generated_tokens: float) -> tuple[float, float]:
        """Return mean and variance of the tokens yet to come after `generated_tokens`."""
        mean, spread = self.mean_tokens, self.spread
        if generated_tokens <= 0:
            return mean, mean**2 * (exp(spread**2) - 1)
        # Distance of the generated tokens from the median, in standard deviations.
        distance = log(generated_tokens / self.median_tokens) / spread
        tail = _upper_tail(distance)
        if tail < _MIN_TAIL:
            rest = _OVERRUN_SHARE * generated_tokens
            return rest, rest**2
        total = mean * _upper_tail(distance - spread) / tail
        square = mean**2 * exp(spread**2) * _upper_tail(distance - 2 * spread) / tail
        return max(0.0, total - generated_tokens), max(0.0, square - total**2)


class AnswerLengths:
    """Learns from complete answers how far the estimates of callers are off.

    Answers are grouped by workspace; the size of the estimate counts within a group. A workspace of
    few answers takes the distribution of the service.
    """

    def __init__(self) -> None:
        self._groups: OrderedDict[str, _Group] = OrderedDict()
        # The latest prediction, as each engine is asked about the same request.
        self._latest: tuple[tuple[str, int, float | None], AnswerLength] | None = None

    def record(self, *, workspace: str, expected_tokens: int, events: int) -> None:
        """Add a complete answer of `events` events for which `expected_tokens` were estimated."""
        if events <= 0 or expected_tokens <= 0:
            return
        self._latest = None
        for key in _keys(workspace):
            group = self._groups.pop(key, None) or _Group()
            group.add(log(expected_tokens), log(events / expected_tokens))
            self._groups[key] = group
        while len(self._groups) > _MAX_GROUPS:
            self._groups.popitem(last=False)

    def predict(
        self, *, workspace: str, expected_tokens: int, tokens_per_event: float | None
    ) -> AnswerLength:
        """Return the distribution of the length of an answer."""
        asked = workspace, expected_tokens, tokens_per_event
        if self._latest is None or self._latest[0] != asked:
            self._latest = asked, self._new_prediction(*asked)
        return self._latest[1]

    def _new_prediction(
        self, workspace: str, expected_tokens: int, tokens_per_event: float | None
    ) -> AnswerLength:
        expected = max(1, expected_tokens)
        for key in _keys(workspace) if tokens_per_event else ():
            group = self._groups.get(key)
            if group is not None and group.count >= _MIN_COUNT:
                center, spread = group.distribution(log(expected))
                return AnswerLength(
                    median_tokens=expected * (tokens_per_event or 1.0) * exp(center),
                    spread=spread,
                    count=group.count,
                )
        return AnswerLength(median_tokens=expected)


class _Group:
    """Answers of one group: logarithms of events by estimated tokens, over those of the estimate.

    Short estimates tend to be too short and long ones too long, so their ratio follows a line.
    """

    def __init__(self) -> None:
        self._points: deque[tuple[float, float]] = deque(maxlen=_WINDOW)
        self._fit: tuple[float, float, float, float] | None = None

    @property
    def count(self) -> int:
        return len(self._points)

    def add(self, estimate: float, ratio: float) -> None:
        self._points.append((estimate, ratio))
        self._fit = None

    def distribution(self, estimate: float) -> tuple[float, float]:
        """Return the mean and the standard deviation of the ratio for an estimate."""
        if self._fit is None:
            self._fit = self._new_fit()
        mean_x, mean_y, slope, spread = self._fit
        return mean_y + slope * (estimate - mean_x), spread

    def _new_fit(self) -> tuple[float, float, float, float]:
        xs = [x for x, _ in self._points]
        ys = _without_outliers([y for _, y in self._points])
        mean_x, mean_y = mean(xs), mean(ys)
        variance = sum((x - mean_x) ** 2 for x in xs)
        covariance = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
        slope = min(0.0, max(-1.0, covariance / (variance + _RIDGE)))
        rests = [y - mean_y - slope * (x - mean_x) for x, y in zip(xs, ys, strict=True)]
        center = median(rests)
        rests = _without_outliers(rests)
        square = sum((rest - center) ** 2 for rest in rests) / (self.count - 2)
        # The line is uncertain itself.
        spread = sqrt(square) * (1 + 2 / self.count)
        return mean_x, mean_y + center, slope, max(spread, _MIN_SPREAD)


def _without_outliers(values: list[float]) -> list[float]:
    """Return the values, each at most a few robust standard deviations from the median."""
    center = median(values)
    limit = _MAX_DEVIATION * _NORMAL_MAD * median(abs(value - center) for value in values)
    return [min(max(value, center - limit), center + limit) for value in values]


def _keys(workspace: str) -> tuple[str, ...]:
    """Return the groups of an answer, the narrowest first."""
    return (workspace, _SERVICE) if workspace else (_SERVICE,)


def _upper_tail(distance: float) -> float:
    """Return the probability that a standard normal variable exceeds `distance`."""
    return 0.5 * erfc(distance / sqrt(2))
