"""Queue of waiting requests, fair between workspaces."""

from collections.abc import Callable, Iterator

import attrs

from flamingoshelf.dispatch._types import PlacementRequest

__all__ = ["FairQueue", "Ticket"]

_OUTPUT_TOKEN_COST = 4
_RESUMED, _ON_TIME, _LATE = range(3)


@attrs.define(kw_only=True, eq=False)
class Ticket:
    """A waiting request.

    Parameters
    ----------
    request : PlacementRequest
        What is asked for.
    owner : str
        VM name of the node that asks.
    arrived_s : float
        Time at which it came to the dispatcher.
    first_token_by_s : float
        Time of the first token at which the target is just met.
    give_up_s : float
        Time at which it is refused.
    """

    request: PlacementRequest
    owner: str
    arrived_s: float
    first_token_by_s: float
    give_up_s: float

    @property
    def cost_tokens(self) -> int:
        """Prompt tokens and weighted output tokens that are counted for the workspace."""
        return self.request.prompt_tokens + _OUTPUT_TOKEN_COST * self.request.max_tokens


class FairQueue:
    """Tickets by workspace, with a virtual token counter for each workspace.

    A workspace that begins to wait starts at the lowest counter of those that wait, or of the last
    one that did, so that idle time earns no credit. The next ticket comes from a workspace whose
    counter is at most `unfairness_tokens` above the lowest one. Within that bound, tickets that can
    meet the latency target come first, the shortest of them before the others. Late ones follow by
    counter.

    Parameters
    ----------
    weight : callable
        ``weight(workspace)`` returns its share in relation to others.
    """

    def __init__(self, *, weight: Callable[[str], float]) -> None:
        self._weight = weight
        self._waiting: dict[str, dict[str, Ticket]] = {}
        self._counters: dict[str, float] = {}
        self._floor = 0.0

    def __len__(self) -> int:
        return sum(len(tickets) for tickets in self._waiting.values())

    def __iter__(self) -> Iterator[Ticket]:
        return iter([t for tickets in self._waiting.values() for t in tickets.values()])

    def counter(self, workspace: str) -> float:
        """Return the workspace's virtual token counter."""
        return self._counters.get(workspace, self._floor)

    def put(self, ticket: Ticket) -> None:
        """Add a ticket; one with the same id is replaced."""
        workspace = ticket.request.workspace
        if not self._waiting.get(workspace):
            self._counters[workspace] = max(self.counter(workspace), self._lowest())
        self._waiting.setdefault(workspace, {})[ticket.request.request_id] = ticket

    def remove(self, ticket: Ticket) -> None:
        """Take a ticket out without counting it."""
        workspace = ticket.request.workspace
        tickets = self._waiting.get(workspace, {})
        tickets.pop(ticket.request.request_id, None)
        if tickets:
            return
        self._waiting.pop(workspace, None)
        self._floor = self._lowest() if self._waiting else self.counter(workspace)
        self._forget_idle()

    def take(self, ticket: Ticket) -> None:
        """Take a ticket out and count its cost for its workspace."""
        workspace = ticket.request.workspace
        if not ticket.request.is_resumed:
            cost = ticket.cost_tokens / self._weight(workspace)
            self._counters[workspace] = self.counter(workspace) + cost
        self.remove(ticket)

    def ordered(
        self,
        *,
        unfairness_tokens: float,
        is_on_time: Callable[[Ticket], bool],
        serves_late: bool,
    ) -> list[Ticket]:
        """Return the tickets that may be served next, best first.

        Unless `serves_late`, tickets that can't meet the latency target are left out, and
        fairness is kept among the others.
        """
        ranked = [(self._rank(ticket, is_on_time), ticket) for ticket in self]
        served = [entry for entry in ranked if serves_late or entry[0][0] != _LATE]
        counters = [self.counter(ticket.request.workspace) for _, ticket in served]
        limit = min(counters, default=0.0) + unfairness_tokens
        eligible = [
            entry
            for entry, counter in zip(served, counters, strict=True)
            if entry[0][0] == _RESUMED or counter <= limit
        ]
        return [ticket for _, ticket in sorted(eligible, key=lambda entry: entry[0])]

    def _rank(
        self, ticket: Ticket, is_on_time: Callable[[Ticket], bool]
    ) -> tuple[int, float, float]:
        if ticket.request.is_resumed:
            return _RESUMED, ticket.arrived_s, 0.0
        if is_on_time(ticket):
            return _ON_TIME, ticket.cost_tokens, ticket.arrived_s
        return _LATE, self.counter(ticket.request.workspace), ticket.arrived_s

    def _lowest(self) -> float:
        waiting = [self._counters[name] for name, tickets in self._waiting.items() if tickets]
        return max(self._floor, min(waiting, default=self._floor))

    def _forget_idle(self) -> None:
        """Drop counters that a new ticket would be lifted from anyway."""
        idle = [
            name
            for name, counter in self._counters.items()
            if name not in self._waiting and counter <= self._floor
        ]
        for name in idle:
            del self._counters[name]
