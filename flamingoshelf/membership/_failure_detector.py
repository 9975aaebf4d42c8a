"""Failure detection by heartbeats, confirmed by indirect probes."""

import asyncio
import random
from collections.abc import Sequence

from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.membership._gossip import Gossip
from flamingoshelf.membership._members import MemberRegistry
from flamingoshelf.membership._messages import Members, MemberState, ProbeReply, ProbeRequest
from flamingoshelf.membership._pause_detector import PauseDetector
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["FailureDetector"]

_HEARTBEAT_INTERVAL_S = 1.0
_JITTER_RATIO = 0.2
_HEARTBEAT_TIMEOUT_S = 0.5
_PROBE_TIMEOUT_S = 1.5
_HELPER_COUNT = 3


class FailureDetector:
    """Send heartbeats to the successors and suspect those that do not answer.

    Before a node is suspected, helpers are asked to probe it as well.

    Parameters
    ----------
    link : NodeLink
        Sends messages to peers.
    gossip : Gossip
        Sends the heartbeats and determines the successors.
    members : MemberRegistry
        Records the suspicions.
    pause_detector : PauseDetector
        Determines whether a missing answer may be due to a pause of this process.
    random_source : random.Random
        Jitters the heartbeat interval and chooses helpers.
    """

    def __init__(
        self,
        *,
        link: NodeLink,
        gossip: Gossip,
        members: MemberRegistry,
        pause_detector: PauseDetector,
        random_source: random.Random,
    ) -> None:
        self._link = link
        self._gossip = gossip
        self._members = members
        self._pause_detector = pause_detector
        self._random = random_source
        self._heartbeat_tasks: dict[str, asyncio.Task[None]] = {}
        self._tasks = TaskGroup(owner="failure_detector")

    async def start(self) -> None:
        """Start the heartbeats and answer probe requests."""
        self._link.register(ProbeRequest, self._on_probe_request)
        self._tasks.start(self._supervise(), name="supervise")

    async def stop(self) -> None:
        """Stop the heartbeats."""
        await self._tasks.stop()

    async def _supervise(self) -> None:
        """Keep one heartbeat task running for each successor."""
        while True:
            wanted = set(self._gossip.successors)
            for peer in self._heartbeat_tasks.keys() - wanted:
                self._heartbeat_tasks.pop(peer).cancel()
            for peer in wanted - self._heartbeat_tasks.keys():
                self._heartbeat_tasks[peer] = self._tasks.start(
                    self._send_heartbeats(peer), name=f"watch.{peer}"
                )
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)

    async def _send_heartbeats(self, peer: str) -> None:
        while True:
            await asyncio.sleep(
                _HEARTBEAT_INTERVAL_S * self._random.uniform(1 - _JITTER_RATIO, 1 + _JITTER_RATIO)
            )
            started_s = now_s()
            if await self._answers_heartbeat(peer):
                self._notify_suspected(peer)
            elif await self._is_confirmed_unreachable(peer) and self._pause_detector.has_run_since(
                started_s
            ):
                self._suspect(peer)

    async def _answers_heartbeat(self, peer: str) -> bool:
        try:
            await self._gossip.heartbeat(peer, timeout_s=_HEARTBEAT_TIMEOUT_S)
        except FlamingoshelfError as error:
            logger.bind(step="heartbeat", peer=peer).debug("heartbeat not answered: {}", error)
            return False
        return True

    def _notify_suspected(self, peer: str) -> None:
        """Send a suspected node that answers its entry, so that it refutes the suspicion."""
        entry = self._members.get(peer)
        if entry is not None and entry.state is MemberState.SUSPECTED:
            self._link.notify(peer, Members(entries=(entry,)))

    def _suspect(self, peer: str) -> None:
        entry = self._members.get(peer)
        if entry is not None and entry.state is MemberState.ALIVE:
            logger.bind(step="heartbeat", peer=peer).warning(
                "node suspected after missing heartbeat"
            )
            self._members.suspect(peer)

    async def _is_confirmed_unreachable(self, peer: str) -> bool:
        """Return whether no helper reaches the peer and at least one helper answered.

        If no helper answers, this node may itself be partitioned and suspects no peer. Without any
        helper to ask, the missing heartbeat alone is enough.
        """
        helpers = self._choose_helpers(peer)
        if not helpers:
            return True
        answers = await asyncio.gather(*(self._probe_via(helper, peer) for helper in helpers))
        return True not in answers and False in answers

    def _choose_helpers(self, peer: str) -> Sequence[str]:
        others = [
            entry.name
            for entry in self._members.entries
            if entry.state is MemberState.ALIVE and entry.name not in (peer, self._link.node_name)
        ]
        return self._random.sample(others, min(_HELPER_COUNT, len(others)))

    async def _probe_via(self, helper: str, peer: str) -> bool | None:
        """Return whether `helper` reaches `peer`, or None if the helper does not answer."""
        request = ProbeRequest(target=peer)
        try:
            reply: ProbeReply = await self._link.request(
                helper, request, timeout_s=_PROBE_TIMEOUT_S
            )
        except FlamingoshelfError:
            return None
        return reply.reachable

    async def _on_probe_request(self, peer: str, request: ProbeRequest) -> ProbeReply:
        return ProbeReply(reachable=await self._answers_heartbeat(request.target))
