"""Cuts of nodes from all backend servers, and how callers of these nodes are served."""

import asyncio
import random
from collections.abc import Sequence

import attrs

from flamingoshelf.utils import now_s
from lab.faults import FaultKind
from lab.gateway._checks import is_served
from lab.gateway._lost import NODE_FAULTS, SERVER_FAULTS, Call, Disruption
from lab.gateway._paths import CutForm, PathSite

__all__ = ["NodeCuts"]

_CONTACT_S = 3.0  # time after which nodes are to have adapted
_LENGTH_S = (4.0, 9.0)
_PAUSE_S = (0.5, 3.0)  # between the end of a cut and the next one
_ALL_NODES_SHARE = 0.15  # of the cuts
_MIN_SERVED_SHARE = 0.9
_MIN_JUDGED = 20


@attrs.frozen(kw_only=True)
class _Cut:
    nodes: frozenset[str]  # addresses
    start_s: float
    end_s: float


class NodeCuts:
    """Cuts some nodes of a site from all servers, or all nodes, again and again.

    Parameters
    ----------
    site : PathSite
        The site.
    disruptions : list of Disruption
        Where each cut is recorded for each node.
    random_source : random.Random
        Draws nodes, forms and times.

    Attributes
    ----------
    judged, served : int
        Calls at nodes that were cut off, from the time at which these are to have adapted, and how
        many of them were served.
    """

    def __init__(
        self, *, site: PathSite, disruptions: list[Disruption], random_source: random.Random
    ) -> None:
        self._site = site
        self._disruptions = disruptions
        self._random = random_source
        self._cuts: list[_Cut] = []
        self.judged = self.served = 0

    async def run(self) -> None:
        """Cut nodes until cancelled; then all paths heal."""
        count = len(self._site.nodes)
        try:
            while True:
                await asyncio.sleep(self._random.uniform(*_PAUSE_S))
                is_total = self._random.random() < _ALL_NODES_SHARE
                size = count if is_total else self._random.randint(1, count - 1)
                await self._cut(self._random.sample(range(count), size))
        finally:
            self._site.heal()

    async def _cut(self, nodes: Sequence[int]) -> None:
        start_s = now_s()
        self._site.cut(nodes, self._random.choice(list(CutForm)))
        try:
            await asyncio.sleep(self._random.uniform(*_LENGTH_S))
        finally:
            self._site.heal()
            addresses = frozenset(self._site.node_addresses[number] for number in nodes)
            self._cuts.append(_Cut(nodes=addresses, start_s=start_s, end_s=now_s()))
            self._disruptions += [
                Disruption(
                    kind=FaultKind.CUT_NODE_FROM_SERVERS,
                    target=address,
                    start_s=start_s,
                    end_s=now_s(),
                )
                for address in addresses
            ]

    def find_breaches(self, calls: Sequence[Call]) -> list[str]:
        """Return a line if too few of the calls at nodes that were cut off were served."""
        judged = [call for call in calls if self._is_judged(call)]
        self.judged = len(judged)
        self.served = sum(is_served(call.answer) for call in judged)
        if self.judged < _MIN_JUDGED or self.served >= _MIN_SERVED_SHARE * self.judged:
            return []
        failed = [f"{c.name} {c.answer.status}" for c in judged if not is_served(c.answer)]
        return [f"RECOVER: {self.served} of {self.judged} served; {', '.join(failed[:20])}"]

    def _is_judged(self, call: Call) -> bool:
        """Return whether a call's node had adapted to a cut, and nothing else disturbed it."""
        return (
            bool(call.answer.sent_s)
            and any(
                call.node in cut.nodes
                and cut.start_s + _CONTACT_S <= call.sent_s
                and call.ended_s <= cut.end_s
                and self._has_helper(cut, call)
                for cut in self._cuts
            )
            and not any(
                disruption.kind is not FaultKind.CUT_NODE_FROM_SERVERS
                and disruption.start_s < call.ended_s
                and call.sent_s < disruption.end_s + _CONTACT_S
                and self._concerns(disruption, call)
                for disruption in self._disruptions
            )
        )

    def _has_helper(self, cut: _Cut, call: Call) -> bool:
        """Return whether a node that reached the servers ran undisturbed before and in a call."""
        disturbed = {
            disruption.target
            for disruption in self._disruptions
            if disruption.kind in (*NODE_FAULTS, FaultKind.STOP_NODE)
            and disruption.start_s < call.ended_s
            and call.sent_s < disruption.end_s + _CONTACT_S
        }
        return bool(set(self._site.node_addresses) - cut.nodes - disturbed)

    @staticmethod
    def _concerns(disruption: Disruption, call: Call) -> bool:
        is_node_fault = disruption.kind in (*NODE_FAULTS, FaultKind.STOP_NODE)
        is_server_fault = disruption.kind in (*SERVER_FAULTS, FaultKind.SILENCE_SERVER)
        target = call.node if is_node_fault else call.service
        return (is_node_fault or is_server_fault) and disruption.target == target
