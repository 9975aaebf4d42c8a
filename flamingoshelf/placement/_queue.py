"""Queue of the requests that wait for a turn."""

from collections.abc import Callable, Iterator

import attrs

from flamingoshelf.placement._types import PlacementRequest

__all__ = ["QueuedRequest", "WaitingQueue", "grant_candidates"]

_MAX_CANDIDATES = 8  # queued requests that are considered for one grant
# As many runs as a full engine usually has; they leave it to the requests behind them.
_MAX_AVOIDING_CANDIDATES = 16


@attrs.frozen(kw_only=True)
class QueuedRequest:
    """A queued request, with its times by the dispatcher's clock.

    Parameters
    ----------
    request : PlacementRequest
        The request.
    owner : str
        Node that sent the request.
    arrived_s : float
        Time at which the request was queued.
    first_event_by_s : float
        Latest time of the first event that meets the latency goal.
    expires_s : float
        Time at which the caller gives up if there is no first event.
    deadline_s : float
        Time by which the whole answer must be complete.
    is_returning : bool
        Whether the request was refused before and sent again.
    """

    request: PlacementRequest
    owner: str
    arrived_s: float
    first_event_by_s: float
    expires_s: float
    deadline_s: float
    is_returning: bool = False


class WaitingQueue:
    """Queued requests, ranked by the order in which they are served.

    Resumed streams come first, since their callers see a pause; then requests that can still meet
    their latency goal, by priority and time left; then late requests, by priority and age.

    Parameters
    ----------
    counts_earlier_attempts : bool
        Whether the age of a late request counts from its first attempt, if it was refused before
        and sent again.
    """

    def __init__(self, *, counts_earlier_attempts: bool = False) -> None:
        self._counts_earlier_attempts = counts_earlier_attempts
        self._requests: dict[str, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(self._requests.values())

    def put(self, queued: QueuedRequest) -> None:
        """Add a request, replacing one with the same turn id."""
        self._requests[queued.request.turn_id] = queued

    def remove(self, turn_id: str) -> None:
        """Remove a request if it is queued."""
        self._requests.pop(turn_id, None)

    def ranked(
        self, *, is_on_time: Callable[[QueuedRequest], bool]
    ) -> list[tuple[QueuedRequest, bool]]:
        """Return the requests in serving order, each with whether it can be on time."""
        entries = [
            (queued, queued.request.is_resumed or is_on_time(queued))
            for queued in self._requests.values()
        ]
        by_goal = self._counts_earlier_attempts
        return sorted(entries, key=lambda entry: _rank(*entry, by_goal=by_goal))


def grant_candidates(
    ranked: list[tuple[QueuedRequest, bool]],
) -> Iterator[tuple[QueuedRequest, bool]]:
    """Return the first of the ranked requests.

    Those that avoid engines are counted apart, as these engines are left for the others.
    """
    left = {True: _MAX_AVOIDING_CANDIDATES, False: _MAX_CANDIDATES}
    for queued, is_on_time in ranked:
        avoids_engines = bool(queued.request.avoid)
        left[avoids_engines] -= 1
        if left[avoids_engines] >= 0:
            yield queued, is_on_time
        elif not avoids_engines:
            return


def _rank(
    queued: QueuedRequest, is_on_time: bool, *, by_goal: bool
) -> tuple[bool, bool, int, float]:
    """Return the sort key of a request; the lowest key is served first."""
    request = queued.request
    order_s = queued.first_event_by_s if is_on_time or by_goal else queued.arrived_s
    return not request.is_resumed, not is_on_time, request.priority, order_s
