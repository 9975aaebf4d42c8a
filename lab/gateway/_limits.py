"""Servers that state limits, and the checks that all nodes together keep and use them."""

from collections.abc import Iterator, Sequence

import attrs

from flamingoshelf.utils import now_s
from lab.faults import FaultKind
from lab.gateway._lost import NODE_FAULTS, Call, Disruption
from lab.gateway._records import Run, RunLog
from lab.gateway._server_base import ServerStandIn

__all__ = ["LimitSpan", "find_excess", "limit_server"]

_CONTACT_S = 3.0  # time after which every node is to know what the others learned
_WINDOW_S = 4.0
_TOLD_DELAY_S = 0.5  # after a node passed on an answer with the limit, its requests count
_EXCESS_FACTOR = 1.5
_EXCESS_REQUESTS = 5
_NODE_FAULTS = (*NODE_FAULTS, FaultKind.STOP_NODE)


@attrs.define(kw_only=True)
class LimitSpan:
    """Time in which a server states a limit in all its answers."""

    server: str
    per_s: float
    start_s: float
    end_s: float = float("inf")

    @property
    def allowed(self) -> float:
        """Most requests in a window."""
        return _EXCESS_FACTOR * _WINDOW_S * self.per_s + _EXCESS_REQUESTS

    def end(self, server: ServerStandIn) -> None:
        """Let the server state no limit from now on."""
        server.limit_per_s = None
        self.end_s = now_s()

    def arrivals(self, log: RunLog, *, after_s: float = 0.0) -> list[Run]:
        """Return the requests that reached the server from `after_s` seconds of the span on."""
        return [
            run
            for run in log.arrivals
            if run.server == self.server and self.start_s + after_s <= run.at_s < self.end_s
        ]

    def worst_window(self, arrivals_s: Sequence[float]) -> int:
        """Return the most of these arrivals in a window that ends after the contact time."""
        return max(
            (
                sum(end_s - _WINDOW_S < at_s <= end_s for at_s in arrivals_s)
                for end_s in arrivals_s
                if end_s >= self.start_s + _CONTACT_S
            ),
            default=0,
        )

    def use(self, log: RunLog) -> float:
        """Return the used share of what the limit allows after the contact time."""
        span_s = min(self.end_s, now_s()) - self.start_s - _CONTACT_S
        return len(self.arrivals(log, after_s=_CONTACT_S)) / (self.per_s * span_s)


def limit_server(server: ServerStandIn, per_s: float) -> LimitSpan:
    """Let a server state a limit from now on."""
    server.limit_per_s = per_s
    return LimitSpan(server=server.instance_id, per_s=per_s, start_s=now_s())


def find_excess(
    spans: Sequence[LimitSpan],
    *,
    log: RunLog,
    calls: Sequence[Call],
    disruptions: Sequence[Disruption] = (),
) -> list[str]:
    """Return a line for each server that got more requests in a window than its limit allows.

    As the platform has it, those of a node count once it has passed on an answer with the limit;
    it has to learn it anew after a restart, a pause or a cut.
    """
    nodes = {call.answer.request_id: call.node for call in calls}
    breaches = []
    for span in spans:
        told = list(_find_told(span, log, calls))
        counted = [
            run.at_s
            for run in span.arrivals(log)
            if any(
                node == nodes.get(run.request_id)
                and told_s + _TOLD_DELAY_S <= run.at_s
                and not _is_excused(node, told_s, run.at_s, disruptions)
                for node, told_s in told
            )
        ]
        worst = span.worst_window(counted)
        if worst > span.allowed:
            breaches.append(
                f"LIMIT: {span.server} with {span.per_s}/s got {worst} requests in "
                f"{_WINDOW_S:.0f} s; allowed {span.allowed:.1f}"
            )
    return breaches


def _find_told(span: LimitSpan, log: RunLog, calls: Sequence[Call]) -> Iterator[tuple[str, float]]:
    """Return the nodes that passed on an answer with the limit, each with the time of it."""
    reached = {run.request_id for run in span.arrivals(log)}
    for call in calls:
        answer = call.answer
        if answer.request_id in reached and answer.headers.get("Server-Limit") is not None:
            yield call.node, answer.head_s


def _is_excused(node: str, told_s: float, at_s: float, disruptions: Sequence[Disruption]) -> bool:
    return any(
        d.kind in _NODE_FAULTS and d.target == node and d.start_s < at_s and d.end_s > told_s
        for d in disruptions
    )
