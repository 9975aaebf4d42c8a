"""Queue of placement requests, fair between workspaces."""

from collections.abc import Callable, Iterator

import attrs

from flamingoshelf.dispatch._types import PlacementRequest

__all__ = ["FairQueue", "QueuedRequest"]

_OUTPUT_TOKEN_WEIGHT = 4
_RESUMED, _ON_TIME, _LATE = range(3)


@attrs.define(kw_only=True, eq=False)
class QueuedRequest:
    """A queued placement request.

    Parameters
    ----------
    request : PlacementRequest
        The request.
    owner : str
        VM name of the node that sent the request.
    arrived_s : float
        Time of arrival at the dispatcher.
    first_token_deadline_s : float
        Latest time of the first token that meets the first-token target.
    wait_deadline_s : float
        Time at which the request is refused if it is still queued.
    """

    request: PlacementRequest
    owner: str
    arrived_s: float
    first_token_deadline_s: float
    wait_deadline_s: float

    @property
    def cost_tokens(self) -> int:
        """Prompt tokens plus weighted output tokens, charged to the workspace's counter."""
        return self.request.prompt_tokens + _OUTPUT_TOKEN_WEIGHT * self.request.max_tokens


class FairQueue:
    """Queued requests by workspace, with a virtual token counter for each workspace.

    The counter of a workspace that starts to queue requests is raised to the lowest counter of the
    queued workspaces, or of the last one that was queued, so that idle time earns no credit. The
    next request comes from a workspace whose counter is at most `unfairness_tokens` above the
    lowest one. Within that bound, requests that can meet the first-token target come first, in
    order of cost. Late requests follow, in order of their workspace's counter. Resumed requests
    come before all others and are exempt from the bound.

    Parameters
    ----------
    weight : callable
        ``weight(workspace)`` returns the workspace's share relative to other workspaces.
    """

    def __init__(self, *, weight: Callable[[str], float]) -> None:
        self._weight = weight
        self._queued_by_workspace: dict[str, dict[str, QueuedRequest]] = {}
        self._counters: dict[str, float] = {}
        self._counter_floor = 0.0  # a workspace that starts to queue gets at least this counter

    def __len__(self) -> int:
        return sum(len(queued_by_id) for queued_by_id in self._queued_by_workspace.values())

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(
            [
                item
                for queued_by_id in self._queued_by_workspace.values()
                for item in queued_by_id.values()
            ]
        )

    def counter(self, workspace: str) -> float:
        """Return the workspace's virtual token counter."""
        return self._counters.get(workspace, self._counter_floor)

    def put(self, queued: QueuedRequest) -> None:
        """Add a request; one with the same id is replaced."""
        workspace = queued.request.workspace
        if not self._queued_by_workspace.get(workspace):
            self._counters[workspace] = max(self.counter(workspace), self._lowest_counter())
        self._queued_by_workspace.setdefault(workspace, {})[queued.request.request_id] = queued

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request without charging its cost."""
        workspace = queued.request.workspace
        queued_by_id = self._queued_by_workspace.get(workspace, {})
        queued_by_id.pop(queued.request.request_id, None)
        if queued_by_id:
            return
        self._queued_by_workspace.pop(workspace, None)
        self._counter_floor = (
            self._lowest_counter() if self._queued_by_workspace else self.counter(workspace)
        )
        self._drop_idle_counters()

    def dequeue(self, queued: QueuedRequest) -> None:
        """Remove a request and charge its cost to its workspace's counter.

        Resumed requests are not charged again.
        """
        workspace = queued.request.workspace
        if not queued.request.is_resumed:
            cost = queued.cost_tokens / self._weight(workspace)
            self._counters[workspace] = self.counter(workspace) + cost
        self.remove(queued)

    def ordered(
        self,
        *,
        unfairness_tokens: float,
        is_on_time: Callable[[QueuedRequest], bool],
        includes_late: bool,
    ) -> list[QueuedRequest]:
        """Return the requests that may be granted next, best first.

        Unless `includes_late`, requests that can't meet the first-token target are left out, and
        the fairness bound applies to the others only.
        """
        ranked = [(self._rank(queued, is_on_time), queued) for queued in self]
        considered = [entry for entry in ranked if includes_late or entry[0][0] != _LATE]
        counters = [self.counter(queued.request.workspace) for _, queued in considered]
        limit = min(counters, default=0.0) + unfairness_tokens
        eligible = [
            entry
            for entry, counter in zip(considered, counters, strict=True)
            if entry[0][0] == _RESUMED or counter <= limit
        ]
        return [queued for _, queued in sorted(eligible, key=lambda entry: entry[0])]

    def _rank(
        self, queued: QueuedRequest, is_on_time: Callable[[QueuedRequest], bool]
    ) -> tuple[int, float, float]:
        """Return the sort key of a request; the request with the lowest key is granted first."""
        if queued.request.is_resumed:
            return _RESUMED, queued.arrived_s, 0.0
        if is_on_time(queued):
            return _ON_TIME, queued.cost_tokens, queued.arrived_s
        return _LATE, self.counter(queued.request.workspace), queued.arrived_s

    def _lowest_counter(self) -> float:
        """Return the lowest counter of the queued workspaces, but at least the counter floor."""
        waiting = [
            self._counters[name]
            for name, queued_by_id in self._queued_by_workspace.items()
            if queued_by_id
        ]
        return max(self._counter_floor, min(waiting, default=self._counter_floor))

    def _drop_idle_counters(self) -> None:
        """Drop counters of idle workspaces that are not above the counter floor.

        A new request would raise them to the floor anyway.
        """
        idle = [
            name
            for name, counter in self._counters.items()
            if name not in self._queued_by_workspace and counter <= self._counter_floor
        ]
        for name in idle:
            del self._counters[name]
