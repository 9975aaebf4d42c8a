"""Suspects nodes that do not answer."""

import asyncio
import random
from collections.abc import Sequence

from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.membership._gossip import Gossip
from flamingoshelf.membership._loop_guard import LoopGuard
from flamingoshelf.membership._members import MemberBook
from flamingoshelf.membership._messages import Members, MemberState, ProbeReply, ProbeRequest
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["FailureDetector"]

_INTERVAL_S = 1.0
_JITTER = 0.2
_BEAT_TIMEOUT_S = 0.5
_PROBE_TIMEOUT_S = 1.5
_HELPER_COUNT = 3


class FailureDetector:
    """Sends heartbeats to the successors; has others try before it suspects one of them.

    Parameters
    ----------
    link : NodeLink
        Messages to peers.
    gossip : Gossip
        Sends the heartbeats and knows the successors.
    members : MemberBook
        Records the suspicions.
    guard : LoopGuard
        Tells whether a missing answer may be due to a pause of this process.
    random_source : random.Random
        Spreads the heartbeats and chooses helpers.
    """

    def __init__(
        self,
        *,
        link: NodeLink,
        gossip: Gossip,
        members: MemberBook,
        guard: LoopGuard,
        random_source: random.Random,
    ) -> None:
        self._link = link
        self._gossip = gossip
        self._members = members
        self._guard = guard
        self._random = random_source
        self._watching: dict[str, asyncio.Task[None]] = {}
        self._tasks = TaskGroup(owner="failure_detector")

    async def start(self) -> None:
        """Start the heartbeats."""
        self._link.register(ProbeRequest, self._on_probe_request)
        self._tasks.start(self._supervise(), name="supervise")

    async def stop(self) -> None:
        """End the heartbeats."""
        await self._tasks.stop()

    async def _supervise(self) -> None:
        """Have one task for each successor."""
        while True:
            wanted = set(self._gossip.successors)
            for peer in self._watching.keys() - wanted:
                self._watching.pop(peer).cancel()
            for peer in wanted - self._watching.keys():
                self._watching[peer] = self._tasks.start(self._watch(peer), name=f"watch.{peer}")
            await asyncio.sleep(_INTERVAL_S)

    async def _watch(self, peer: str) -> None:
        while True:
            await asyncio.sleep(_INTERVAL_S * self._random.uniform(1 - _JITTER, 1 + _JITTER))
            started_s = now_s()
            if await self._answers(peer):
                self._tell_suspicion(peer)
            elif await self._is_confirmed_silent(peer) and self._guard.ran_since(started_s):
                self._suspect(peer)

    async def _answers(self, peer: str) -> bool:
        try:
            await self._gossip.beat(peer, timeout_s=_BEAT_TIMEOUT_S)
        except FlamingoshelfError as error:
            logger.bind(step="heartbeat", peer=peer).debug("no answer: {}", error)
            return False
        return True

    def _tell_suspicion(self, peer: str) -> None:
        """Tell a node that answers what others believe of it, so that it contradicts."""
        entry = self._members.get(peer)
        if entry is not None and entry.state is MemberState.SUSPECTED:
            self._link.notify(peer, Members(entries=(entry,)))

    def _suspect(self, peer: str) -> None:
        entry = self._members.get(peer)
        if entry is not None and entry.state is MemberState.ALIVE:
            logger.bind(step="heartbeat", peer=peer).warning("suspected")
            self._members.suspect(peer)

    async def _is_confirmed_silent(self, peer: str) -> bool:
        """Return whether helpers that answer do not reach the peer either.

        A node that reaches none of its helpers may itself be cut off and suspects nobody, unless
        there are no helpers to ask.
        """
        helpers = self._helpers(peer)
        if not helpers:
            return True
        answers = await asyncio.gather(*(self._probe_through(helper, peer) for helper in helpers))
        return True not in answers and False in answers

    def _helpers(self, peer: str) -> Sequence[str]:
        others = [
            entry.name
            for entry in self._members.entries
            if entry.state is MemberState.ALIVE and entry.name not in (peer, self._link.node_name)
        ]
        return self._random.sample(others, min(_HELPER_COUNT, len(others)))

    async def _probe_through(self, helper: str, peer: str) -> bool | None:
        """Return whether `helper` reaches `peer`; None if the helper does not answer."""
        request = ProbeRequest(target=peer)
        try:
            reply: ProbeReply = await self._link.request(
                helper, request, timeout_s=_PROBE_TIMEOUT_S
            )
        except FlamingoshelfError:
            return None
        return reply.reachable

    async def _on_probe_request(self, peer: str, request: ProbeRequest) -> ProbeReply:
        return ProbeReply(reachable=await self._answers(request.target))
