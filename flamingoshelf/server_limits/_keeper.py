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
    """Permits for one server: a token bucket that starts empty."""

    def __init__(self, *, rate_per_s: float, started_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._updated_s = started_s
        self._permits = 0.0

    @property
    def permits(self) -> float:
        """Permits left; negative if more were spent than there were."""
        return self._permits

    def refill(self, rate_per_s: float, at_s: float) -> None:
        """Add the permits earned since the last call, and apply a rate from now on."""
        earned = (at_s - self._updated_s) * min(rate_per_s, self._rate_per_s)
        burst = max(_MIN_BURST, _BURST_S * rate_per_s)
        self._permits = min(burst, self._permits + earned)
        self._rate_per_s = rate_per_s
        self._updated_s = at_s

    def spend(self) -> None:
        """Take a permit."""
        self._permits -= 1.0

    def wait_s(self, number: int = 1) -> float:
        """Return the seconds until `number` permits are left."""
        missing = number - self._permits
        if missing <= _EPSILON:
            return 0.0
        return missing / self._rate_per_s if self._rate_per_s else math.inf


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
    """Permits for requests to servers that state limits.

    A limit holds for all nodes together, so one node keeps the permits for all that it can reach.
    Nodes that it can't reach may have another keeper, so it gives out only the share of each limit
    that the reachable nodes are of all.

    Parameters
    ----------
    stated : StatedLimits
        Limits that the servers state.
    share : callable
        Returns the share of each limit that this node gives out, 0 to 1.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(
        self,
        *,
        stated: StatedLimits,
        share: Callable[[], float],
        clock: Callable[[], float] = now_s,
    ) -> None:
        self._stated = stated
        self._share = share
        self._clock = clock
        self._known_share = 0.0
        self._share_read_s = -math.inf
        self._buckets: dict[ServerRun, _Bucket] = {}
        stated.subscribe(self._on_change)

    def restart(self) -> None:
        """Begin without permits, as another node may have given out permits until now."""
        self._buckets.clear()
        self._share_read_s = -math.inf
        for run in self._stated.limited():
            self._find_bucket(run)

    @property
    def is_idle(self) -> bool:
        """Whether no server needs permits."""
        return self._stated.is_empty

    def is_limited(self, run: ServerRun) -> bool:
        """Return whether a server states a limit."""
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
        """Return the bucket of a server, or None if it states no limit."""
        limit_per_s = self._stated.limit(run)
        if limit_per_s is None:
            return None
        at_s = self._clock()
        rate_per_s = max(limit_per_s, _MIN_RATE_PER_S) * self._read_share(at_s)
        bucket = self._buckets.get(run)
        if bucket is None:
            bucket = self._buckets[run] = _Bucket(rate_per_s=rate_per_s, started_s=at_s)
        bucket.refill(rate_per_s, at_s)
        return bucket

    def _read_share(self, at_s: float) -> float:
        if at_s >= self._share_read_s + _SHARE_INTERVAL_S:
            self._known_share = self._share()
            self._share_read_s = at_s
        return self._known_share

    def _on_change(self, run: ServerRun, statement: LimitStatement) -> None:
        if statement.per_s is None:
            self._buckets.pop(run, None)
        else:
            self._find_bucket(run)
