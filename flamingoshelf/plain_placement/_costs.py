"""What calls to plain services are likely to cost, learned from calls that have ended."""

import bisect
import math
from collections import OrderedDict, deque
from collections.abc import Hashable, Iterator

import attrs

__all__ = ["CallKind", "CostEstimate", "CostModel"]

_MAX_SAMPLES = 256  # the last ones of a key
_MAX_KEYS = 2048  # the ones used last
_MIN_SAMPLES = 40  # below this, a coarser key that has more samples is used
_REFRESH_SAMPLES = 16  # new samples after which the quantiles are computed again
_LOW_QUANTILE, _HIGH_QUANTILE = 0.05, 0.95
_SIZE_BASE = 4.0  # bodies whose sizes differ by less than this factor are taken as alike
_UNMEASURED_S = 0.05
_UNMEASURED_HIGH_S = 1.0


@attrs.frozen(kw_only=True, cache_hash=True)
class CallKind:
    """Properties of a call that its cost may depend on.

    Parameters
    ----------
    service, route, method, workspace : str
        Service, route, method and workspace; empty if there is no workspace.
    body_bytes : int
        Size of the request's body.
    """

    service: str
    route: str = ""
    method: str = ""
    workspace: str = ""
    body_bytes: int = 0

    def groups(self) -> Iterator[Hashable]:
        """Yield the keys of groups of like calls, from the finest to the coarsest."""
        size = int(math.log(self.body_bytes + 1.0, _SIZE_BASE))
        yield (self.service, self.route, self.method, size, self.workspace)
        yield (self.service, self.route, self.method, size)
        yield (self.service, self.route, self.method)
        yield (self.service, self.route)
        yield (self.service,)


@attrs.frozen(kw_only=True)
class CostEstimate:
    """Distribution of the cost of a call, in seconds at a server of speed 1.

    Parameters
    ----------
    mean_s, median_s : float
        Mean and median.
    low_s, high_s : float
        Bounds that nine of ten calls lie between.
    count : int
        Number of calls that it was learned from, 0 if it is a default.
    """

    mean_s: float
    median_s: float
    low_s: float
    high_s: float
    count: int


_UNMEASURED = CostEstimate(
    mean_s=_UNMEASURED_S, median_s=_UNMEASURED_S, low_s=0.0, high_s=_UNMEASURED_HIGH_S, count=0
)


class _Samples:
    """The last costs of one key, and their quantiles."""

    def __init__(self) -> None:
        self._values: deque[float] = deque()
        self._ordered: list[float] = []
        self._until_refresh = 0
        self._estimate = _UNMEASURED

    def add(self, value: float) -> None:
        self._values.append(value)
        bisect.insort(self._ordered, value)
        if len(self._values) > _MAX_SAMPLES:
            oldest = self._values.popleft()
            del self._ordered[bisect.bisect_left(self._ordered, oldest)]
        self._until_refresh -= 1

    def __len__(self) -> int:
        return len(self._values)

    @property
    def estimate(self) -> CostEstimate:
        if self._until_refresh <= 0 or len(self) < _MIN_SAMPLES:
            self._until_refresh = _REFRESH_SAMPLES
            self._estimate = CostEstimate(
                mean_s=math.fsum(self._values) / len(self),
                median_s=self._quantile(0.5),
                low_s=self._quantile(_LOW_QUANTILE),
                high_s=self._quantile(_HIGH_QUANTILE),
                count=len(self),
            )
        return self._estimate

    def _quantile(self, share: float) -> float:
        """Return a quantile whose expected rank among further values is `share`."""
        position = share * (len(self) + 1) - 1
        below = min(max(math.floor(position), 0), len(self) - 1)
        above = min(below + 1, len(self) - 1)
        part = min(max(position - below, 0.0), 1.0)
        return self._ordered[below] * (1 - part) + self._ordered[above] * part


class CostModel:
    """Costs of calls by service, route, method, workspace and size of the body.

    The finest key with enough samples decides, else the one with most. Old samples are replaced by
    new ones, and keys that are not used by those that are.
    """

    def __init__(self) -> None:
        self._samples: OrderedDict[Hashable, _Samples] = OrderedDict()

    def record(self, kind: CallKind, cost_s: float) -> None:
        """Record the cost of a call, in seconds at a server of speed 1."""
        for key in kind.groups():
            samples = self._samples.get(key)
            if samples is None:
                samples = self._samples[key] = _Samples()
            self._samples.move_to_end(key)
            samples.add(cost_s)
        while len(self._samples) > _MAX_KEYS:
            self._samples.popitem(last=False)

    def estimate(self, kind: CallKind) -> CostEstimate:
        """Return what a call is likely to cost."""
        best: _Samples | None = None
        for key in kind.groups():
            samples = self._samples.get(key)
            if samples is None:
                continue
            if len(samples) >= _MIN_SAMPLES:
                return samples.estimate
            if best is None or len(samples) > len(best):
                best = samples
        return _UNMEASURED if best is None else best.estimate
