"""Questions between nodes whether they reach a backend server."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.paths._messages import CheckServer, ServerChecked
from flamingoshelf.paths._table import PathState, PathTable
from flamingoshelf.paths._types import ProbeResult
from flamingoshelf.routing import BackendInstance
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["PeerChecks"]

_REPLY_TIMEOUT_S = 0.4  # a node that has to probe the server itself replies within 0.3 s
_STRAGGLER_WAIT_S = 0.03  # for other nodes' replies, after one that reaches the server


class PeerChecks:
    """Asks other nodes whether they reach a server, and answers their questions.

    Parameters
    ----------
    table : PathTable
        State of this node's paths.
    probe : callable
        ``await probe(instance, is_fresh)`` probes a server over this node's own path.
    """

    def __init__(
        self,
        *,
        table: PathTable,
        probe: Callable[[BackendInstance, bool], Awaitable[ProbeResult]],
    ) -> None:
        self._table = table
        self._probe = probe
        self._link: NodeLink | None = None
        self._is_leaving = False
        self._probes: dict[str, asyncio.Task[ProbeResult]] = {}
        self._tasks = TaskGroup(owner="peer_checks")

    @property
    def is_connected(self) -> bool:
        """Whether other nodes can be asked."""
        return self._link is not None

    def connect(self, link: NodeLink) -> None:
        """Ask and answer other nodes from now on."""
        link.register(CheckServer, self._on_check)
        self._link = link

    def leave(self) -> None:
        """Tell other nodes that this one reaches no server any more, as it is about to stop."""
        self._is_leaving = True

    async def stop(self) -> None:
        """Cancel all probes for other nodes."""
        await self._tasks.stop()

    async def ask(
        self, instance: BackendInstance, peers: Sequence[str], *, silent_s: float
    ) -> tuple[list[str], list[str]]:
        """Ask some nodes at once; return those that reach the server, and others they name."""
        question = CheckServer(
            server=instance.instance_id,
            address=instance.address,
            service=instance.service,
            started_ms=instance.started_ms,
            silent_s=round(silent_s, 3),
        )
        waiting = {asyncio.ensure_future(self._ask_peer(peer, question)): peer for peer in peers}
        reached: list[str] = []
        hints: list[str] = []
        timeout_s: float | None = None
        try:
            while waiting:
                done, _ = await asyncio.wait(
                    waiting, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
                )
                if not done:
                    break
                for task in done:
                    peer, reply = waiting.pop(task), task.result()
                    if reply is not None and reply.is_answered:
                        reached.append(peer)
                        timeout_s = _STRAGGLER_WAIT_S
                    elif reply is not None:
                        hints += reply.peers
        finally:
            for task in waiting:
                task.cancel()
        return reached, list(dict.fromkeys(hints))

    async def _ask_peer(self, peer: str, question: CheckServer) -> ServerChecked | None:
        assert self._link is not None
        try:
            reply = await self._link.request(peer, question, timeout_s=_REPLY_TIMEOUT_S)
        except FlamingoshelfError as error:
            logger.bind(step="path", peer=peer, server=question.server).debug(
                "node not asked about a server: {}", error.message
            )
            return None
        return reply if isinstance(reply, ServerChecked) else None

    async def _on_check(self, peer: str, question: CheckServer) -> ServerChecked:
        key = question.server
        if self._is_leaving:
            return ServerChecked(is_answered=False)
        if self._table.state(key) is not PathState.DIRECT:
            return ServerChecked(is_answered=False, peers=self._table.peers(key))
        if self._table.answered_s(key) > now_s() - question.silent_s:
            return ServerChecked(is_answered=True)
        probe = self._probes.get(key)
        if probe is None:
            instance = BackendInstance(
                instance_id=question.server,
                service=question.service,
                address=question.address,
                data_centre="",
                started_ms=question.started_ms,
            )
            probe = self._tasks.start(self._probe_for_others(instance), name=f"probe.{key}")
            self._probes[key] = probe
        result = await asyncio.shield(probe)
        return ServerChecked(is_answered=result is ProbeResult.ANSWERED)

    async def _probe_for_others(self, instance: BackendInstance) -> ProbeResult:
        try:
            return await self._probe(instance, False)
        finally:
            self._probes.pop(instance.key, None)
