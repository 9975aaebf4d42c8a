"""Servers that state limits, and the checks that all nodes together keep them."""

import asyncio
import random
from collections.abc import Iterator, Sequence

from lab.faults import FaultKind
from lab.gateway._lost import NODE_FAULTS, SERVER_FAULTS, Call, Disruption
from lab.gateway._records import LIMIT_CONTACT_S, LimitSpan, RunLog
from lab.gateway._site import GatewaySite

__all__ = ["LimitedServers", "find_excess"]

_TOLD_DELAY_S = 0.5  # after a node passed on an answer with the limit, its requests count
_LIMITS_PER_S = (0.0, 0.5, 1.0, 2.0, 5.0, 12.0)
_MIN_SPAN_S = 5.0
_MAX_SPAN_S = 14.0
_MAX_PAUSE_S = 5.0  # between two limits of a server
_SETTLED_S = 1.0  # after the end of a limit
_MIN_RATE_PER_S = 0.5  # at which a server is tried that accepts less
_REFUSED = b"servers_limited"
_NODE_FAULTS = (*NODE_FAULTS, FaultKind.STOP_NODE)


class LimitedServers:
    """Lets the servers of a site state limits from time to time.

    Parameters
    ----------
    site : GatewaySite
        The site.
    random_source : random.Random
        Draws limits and times.
    """

    def __init__(self, *, site: GatewaySite, random_source: random.Random) -> None:
        self._site = site
        self._random = random_source
        self.spans: list[LimitSpan] = []

    async def run(self) -> None:
        """State limits until cancelled; then no server states one."""
        try:
            async with asyncio.TaskGroup() as tasks:
                for number in range(len(self._site.servers)):
                    tasks.create_task(self._state_limits(number))
        finally:
            for server in self._site.servers:
                server.end_limit()

    async def _state_limits(self, number: int) -> None:
        while True:
            await asyncio.sleep(self._random.uniform(0.0, _MAX_PAUSE_S))
            server = self._site.servers[number]
            self.spans.append(server.state_limit(self._random.choice(_LIMITS_PER_S)))
            await asyncio.sleep(self._random.uniform(_MIN_SPAN_S, _MAX_SPAN_S))
            server.end_limit()

    def find_breaches(self, calls: Sequence[Call], disruptions: Sequence[Disruption]) -> list[str]:
        """Return a line for each limit that was not kept, and each call refused without need."""
        excess = find_excess(self.spans, log=self._site.log, calls=calls, disruptions=disruptions)
        needless = [
            f"{call.name} at {call.node} refused although a server had no limit"
            for call in calls
            if _REFUSED in call.answer.body and self._had_room(call, disruptions)
        ]
        return excess + needless

    def _had_room(self, call: Call, disruptions: Sequence[Disruption]) -> bool:
        """Return whether a sound plain server without a limit could have served a call."""
        if any(
            d.end_s > call.sent_s - LIMIT_CONTACT_S
            and d.start_s < call.ended_s
            and (d.kind in (*_NODE_FAULTS, *SERVER_FAULTS, FaultKind.SILENCE_SERVER))
            for d in disruptions
        ):
            return False
        limited = {
            span.server
            for span in self.spans
            if span.start_s < call.ended_s and call.sent_s < span.end_s + _back_after_s(span)
        }
        return any(
            server.service == call.service and server.instance_id not in limited
            for server in self._site.plain
        )


def _back_after_s(span: LimitSpan) -> float:
    """Return the time in which the end of a limit must be known: that of the next request."""
    return max(_SETTLED_S, 1 / max(span.per_s, _MIN_RATE_PER_S) + _SETTLED_S / 2)


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
                f"LIMIT: {span.server} with {span.per_s}/s got {worst} requests in a window; "
                f"allowed {span.allowed:.1f}"
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
