"""How long calls of a route take, as measured by this node."""

import math
from collections import deque

__all__ = ["CallDurations", "StreamDurations"]

_MAX_SAMPLES = 64  # the last ones of a route
_MAX_ROUTES = 1000  # the ones measured last
_QUANTILE = 0.95  # few of the calls that are begun in time don't end in time


class CallDurations:
    """Durations of the last calls of each route.

    Examples
    --------
    >>> durations = CallDurations()
    >>> durations.expected_s("stock")
    0.0
    >>> for seconds in (0.2, 0.1, 0.3):
    ...     durations.record("stock", seconds)
    >>> durations.expected_s("stock")
    0.3
    """

    def __init__(self) -> None:
        self._samples: dict[str, deque[float]] = {}

    def record(self, route: str, seconds: float) -> None:
        """Record the duration of a call that was answered."""
        samples = self._samples.pop(route, None)
        if samples is None:
            samples = deque(maxlen=_MAX_SAMPLES)
            if len(self._samples) >= _MAX_ROUTES:
                del self._samples[next(iter(self._samples))]
        samples.append(seconds)
        self._samples[route] = samples

    def expected_s(self, route: str) -> float:
        """Return the time that nearly all calls of a route take, 0 if none was measured."""
        samples = sorted(self._samples.get(route, ()))
        return samples[math.ceil(_QUANTILE * len(samples)) - 1] if samples else 0.0


class StreamDurations:
    """Durations of the last streams of each route: until the first event, and for each token."""

    def __init__(self) -> None:
        self._first_event = CallDurations()
        self._token = CallDurations()

    def record(self, route: str, *, first_event_s: float, seconds: float, tokens: int) -> None:
        """Record a complete stream.

        Parameters
        ----------
        route : str
            Name of the route.
        first_event_s : float
            Seconds until the first event.
        seconds : float
            Seconds from the first event to the last one.
        tokens : int
            Expected size of the answer.
        """
        self._first_event.record(route, first_event_s)
        self._token.record(route, seconds / max(1, tokens))

    def expected_s(self, route: str, *, tokens: int) -> float:
        """Return the time that nearly all streams of a size take, 0 if none was measured."""
        return self._first_event.expected_s(route) + tokens * self._token.expected_s(route)
