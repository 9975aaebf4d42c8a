"""Forecast of the room that a shortage leaves to late and to refused requests."""

import math
import random
from collections import deque

import attrs

__all__ = ["DemandMeter", "ReturnTimes", "ShortageForecast", "ShortageMonitor"]

_RATE_WINDOW_S = 2.0  # of arrivals; bursts last a few seconds
# Demand below the capacity exceeds it in some windows by chance; in one of fifty by this many
# standard deviations.
_RATE_DEVIATIONS = 2.0
# Callers that came back and wait although new requests leave no room, in seconds of the capacity:
# without them engines would idle at the end of a burst.
_RETURNED_BACKLOG_S = 1.0
_MIN_RETRY_AFTER_S = 1.0  # a caller that comes back sooner meets the same queue
# Part of the time until its deadline for which a caller follows a retry delay.
_MAX_DEADLINE_SHARE = 1 / 3
_MIN_SPREAD = 0.8


class DemandMeter:
    """Rate at which new requests arrive."""

    def __init__(self) -> None:
        self._arrivals_s: deque[float] = deque()

    def record_arrival(self, now_s: float) -> None:
        """Record a request that is new, neither repeated nor resumed."""
        self._arrivals_s.append(now_s)
        self._drop_old(now_s)

    def rate_per_s(self, now_s: float) -> float:
        """Return the requests per second of the last two seconds that are not due to chance."""
        self._drop_old(now_s)
        count = len(self._arrivals_s)
        return max(0.0, count - _RATE_DEVIATIONS * math.sqrt(count)) / _RATE_WINDOW_S

    def _drop_old(self, now_s: float) -> None:
        while self._arrivals_s and self._arrivals_s[0] <= now_s - _RATE_WINDOW_S:
            self._arrivals_s.popleft()


@attrs.frozen(kw_only=True)
class ShortageForecast:
    """What new requests leave of the engines' capacity.

    Requests that can be on time go before late ones, so late ones are served at the difference of
    capacity and demand.

    Parameters
    ----------
    demand_per_s : float
        New requests per second.
    capacity_per_s : float
        Requests per second that the engines in use can serve.

    Examples
    --------
    >>> forecast = ShortageForecast(demand_per_s=30, capacity_per_s=40)
    >>> forecast.late_wait_s(20)
    2.0
    >>> ShortageForecast(demand_per_s=50, capacity_per_s=40).late_wait_s(0)
    inf
    """

    demand_per_s: float
    capacity_per_s: float

    @property
    def spare_per_s(self) -> float:
        """Requests per second that can be served beside new ones."""
        return max(0.0, self.capacity_per_s - self.demand_per_s)

    def late_wait_s(self, ahead: int, *, has_waited: bool = False) -> float:
        """Return the seconds until a late request is served, with `ahead` late ones before it.

        `has_waited` tells that its caller was refused before and came back: of these, as many as
        the engines serve in a second count on the end of a burst.
        """
        if has_waited and ahead < _RETURNED_BACKLOG_S * self.capacity_per_s:
            return 0.0
        return ahead / self.spare_per_s if self.spare_per_s else math.inf


class ReturnTimes:
    """Times at which refused callers were told to come back, one after the other as room comes.

    Parameters
    ----------
    random_source : random.Random
        Spreads callers for which no room is foreseen.
    """

    def __init__(self, *, random_source: random.Random) -> None:
        self._random = random_source
        self._promised_s: deque[float] = deque()

    def retry_after_s(
        self, forecast: ShortageForecast, *, waiting: int, deadline_left_s: float, now_s: float
    ) -> float:
        """Return the delay after which a caller that is refused now should come back.

        Parameters
        ----------
        forecast : ShortageForecast
            Room beside new requests.
        waiting : int
            Late requests that wait; they come first.
        deadline_left_s : float
            Seconds until the deadline of the caller.
        now_s : float
            Present time in seconds.
        """
        while self._promised_s and self._promised_s[0] <= now_s:
            self._promised_s.popleft()
        longest_s = max(_MIN_RETRY_AFTER_S, _MAX_DEADLINE_SHARE * deadline_left_s)
        wait_s = forecast.late_wait_s(waiting + len(self._promised_s) + 1)
        if wait_s > longest_s:
            return self._random.uniform(max(_MIN_RETRY_AFTER_S, _MIN_SPREAD * longest_s), longest_s)
        after_s = max(_MIN_RETRY_AFTER_S, wait_s)
        self._promised_s.append(max(now_s + after_s, *list(self._promised_s)[-1:], 0.0))
        return after_s


class ShortageMonitor:
    """Demand of one service, and the times at which its refused callers were told to come back.

    Parameters
    ----------
    random_source : random.Random
        Spreads callers for which no room is foreseen.
    """

    def __init__(self, *, random_source: random.Random) -> None:
        self._demand = DemandMeter()
        self._returns = ReturnTimes(random_source=random_source)

    @property
    def returns(self) -> ReturnTimes:
        """Times at which refused callers were told to come back."""
        return self._returns

    def record_arrival(self, now_s: float) -> None:
        """Record a request that is new, neither repeated nor resumed."""
        self._demand.record_arrival(now_s)

    def forecast(self, now_s: float, *, capacity_per_s: float) -> ShortageForecast:
        """Return what new requests leave of a capacity in requests per second."""
        return ShortageForecast(
            demand_per_s=self._demand.rate_per_s(now_s), capacity_per_s=capacity_per_s
        )
