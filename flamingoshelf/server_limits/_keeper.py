"""Counts requests against the limits of servers, on the node that does so for the others."""

import math
from collections.abc import Callable, Iterable

from flamingoshelf.routing import ServerRun
from flamingoshelf.server_limits._stated import LimitStatement, StatedLimits
from flamingoshelf.utils import now_s

__all__ = ["LimitKeeper", "PermitForecast"]

_BURST_S = 1.0  # time for which unused permits accumulate
# Requests that come together while a server is idle must not find it at its limit.
_MIN_BURST = 2.0
# A server that accepts fewer requests is tried this often, since only an answer ends a limit.
_MIN_RATE_PER_S = 0.5
_SHARE_INTERVAL_S = 0.1  # short compared with the time in which a node is found unreachable
_EPSILON = 1e-9  # of a permit; keeps rounding errors from delaying a request


class _Bucket:
    """Permits for one server: a token bucket that starts empty, or with a debt."""

    def __init__(self, *, rate_per_s: float, started_s: float, debt: float = 0.0) -> None:
        self._rate_per_s = rate_per_s
        self._updated_s = started_s
        self._permits = -debt
        self._until_s = math.inf

    @property
    def permits(self) -> float:
        """Permits left; negative if more were spent than there were."""
        return self._permits

    def refill(self, rate_per_s: float, burst: float, at_s: float, until_s: float) -> None:
        """Add the permits earned since the last call, and apply a rate until a time."""
        earned = (at_s - self._updated_s) * min(rate_per_s, self._rate_per_s)
        self._permits = min(burst, self._permits + earned)
        self._rate_per_s = rate_per_s
        self._updated_s = at_s
        self._until_s = until_s

    def spend(self) -> None:
        """Take a permit."""
        self._permits -= 1.0

    def wait_s(self, number: int = 1) -> float:
        """Return the seconds until `number` permits are left, or until the limit ends."""
        missing = number - self._permits
        if missing <= _EPSILON:
            return 0.0
        wait_s = missing / self._rate_per_s if self._rate_per_s else math.inf
        return min(wait_s, self._until_s - self._updated_s)


class PermitForecast:
    """Forecast of the times at which requests may be sent, for requests served in order.

    Parameters
    ----------
    bucket : callable
        ``bucket(run)`` returns the bucket of a server, or None if it has no limit.
    """

    def __init__(self, *, bucket: Callable[[ServerRun], _Bucket | None]) -> None:
        self._bucket = bucket
        self._reserved: dict[ServerRun, int] = {}

    def wait_s(self, runs: Iterable[ServerRun]) -> float:
        """Return the seconds until one of these servers accepts a request, after those reserved.

        Return 0 if there are no servers.
        """
        return min(map(self._wait_s, runs), default=0.0)

    def reserve(self, runs: Iterable[ServerRun]) -> None:
        """Reserve the first permit of one of these servers."""
        run = min(runs, key=self._wait_s, default=None)
        if run is not None:
            self._reserved[run] = self._reserved.get(run, 0) + 1

    def _wait_s(self, run: ServerRun) -> float:
        bucket = self._bucket(run)
        return 0.0 if bucket is None else bucket.wait_s(1 + self._reserved.get(run, 0))


class LimitKeeper:
    """Permits for requests to servers that state limits or are cold.

    A limit holds for all nodes together, so one node keeps the permits for all that it can reach.
    Nodes that it can't reach may have another keeper, so it gives out only the share of each limit
    that the reachable nodes are of all.

    Parameters
    ----------
    stated : StatedLimits
        Limits that the servers state.
    share : callable
        Returns the share of each limit that this node gives out, 0 to 1.
    overlap_s : callable
        Returns the seconds for which keepers of a fleet that was just split may each take their
        share for too large. A new keeper gives out no permits for cold servers for so long.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(
        self,
        *,
        stated: StatedLimits,
        share: Callable[[], float],
        overlap_s: Callable[[], float] = lambda: 0.0,
        clock: Callable[[], float] = now_s,
    ) -> None:
        self._stated = stated
        self._share = share
        self._overlap_s = overlap_s
        self._overlap_until_s = -math.inf
        self._clock = clock
        self._known_share = 0.0
        self._share_read_s = -math.inf
        self._buckets: dict[ServerRun, _Bucket] = {}
        stated.subscribe(self._on_change)
        stated.cold.subscribe(self._on_cold_change)

    def restart(self) -> None:
        """Begin without permits, as another node may have given out permits until now."""
        self._buckets.clear()
        self._share_read_s = -math.inf
        self._overlap_until_s = self._clock() + self._overlap_s()
        for run in self._stated.limited():
            self._find_bucket(run)

    @property
    def is_idle(self) -> bool:
        """Whether no server needs permits."""
        return self._stated.is_empty

    def is_limited(self, run: ServerRun) -> bool:
        """Return whether a server has a limit."""
        return self._stated.limit(run) is not None

    def permits(self, run: ServerRun) -> float:
        """Return the permits that are left for a server, infinite if it has no limit."""
        bucket = self._find_bucket(run)
        return math.inf if bucket is None else bucket.permits

    def wait_s(self, run: ServerRun) -> float:
        """Return the seconds until a server accepts another request, 0 if it does now."""
        bucket = self._find_bucket(run)
        return 0.0 if bucket is None else bucket.wait_s()

    def spend(self, run: ServerRun) -> None:
        """Count a request to a server."""
        bucket = self._find_bucket(run)
        if bucket is not None:
            bucket.spend()

    def forecast(self) -> PermitForecast:
        """Return a forecast from the permits that are left now."""
        return PermitForecast(bucket=self._find_bucket)

    def _find_bucket(self, run: ServerRun) -> _Bucket | None:
        """Return the bucket of a server, or None if it has no limit."""
        limit_per_s = self._stated.limit(run)
        if limit_per_s is None:
            return None
        at_s = self._clock()
        share = self._read_share(at_s)
        rate_per_s = max(limit_per_s, _MIN_RATE_PER_S) * share
        burst, until_s, debt = max(_MIN_BURST, _BURST_S * rate_per_s), math.inf, 0.0
        window = self._stated.cold.window(run)
        if window is not None:
            # Without a least rate or burst, so that the shares of a split fleet stay within them.
            rate_per_s = min(rate_per_s, window.bound.rate_per_s * share)
            burst = min(burst, window.bound.burst * share)
            until_s = at_s + window.left_s
            debt = window.bound.rate_per_s * max(0.0, self._overlap_until_s - at_s)
        bucket = self._buckets.get(run)
        if bucket is None:
            bucket = _Bucket(rate_per_s=rate_per_s, started_s=at_s, debt=debt)
            self._buckets[run] = bucket
        bucket.refill(rate_per_s, burst, at_s, until_s)
        return bucket

    def _read_share(self, at_s: float) -> float:
        if at_s >= self._share_read_s + _SHARE_INTERVAL_S:
            self._known_share = self._share()
            self._share_read_s = at_s
        return self._known_share

    def _on_change(self, run: ServerRun, statement: LimitStatement) -> None:
        self._update(run)

    def _on_cold_change(self, run: ServerRun, is_cold: bool) -> None:
        self._update(run)

    def _update(self, run: ServerRun) -> None:
        """Start the bucket of a server with a limit, and drop that of one without."""
        if self._find_bucket(run) is None:
            self._buckets.pop(run, None)
