"""Links between nodes of one process, for tests under a simulated clock."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.utils import TaskGroup

__all__ = ["LocalLink", "LocalNetwork"]

_LATENCY_S = 0.001


class LocalNetwork:
    """Links by node name, with faults.

    Attributes
    ----------
    dead : set of str
        Nodes whose process has ended.
    lost_pairs : set of (str, str)
        Pairs (sender, receiver) whose messages are lost.
    lost_notifications : int
        Number of coming notifications that are lost.
    """

    def __init__(self) -> None:
        self.links: dict[str, LocalLink] = {}
        self.dead: set[str] = set()
        self.lost_pairs: set[tuple[str, str]] = set()
        self.lost_notifications = 0

    def add(self, name: str) -> "LocalLink":
        """Add a node and return its link."""
        link = self.links[name] = LocalLink(network=self, node_name=name)
        return link

    def kill(self, name: str) -> None:
        """Simulate the crash of a node; the requests that it sent or handles end."""
        self.dead.add(name)
        for link in self.links.values():
            link.cancel_calls(name)

    def partition(self, name: str) -> None:
        """Lose all messages between a node and the others, in both directions."""
        for other in self.links:
            self.lost_pairs |= {(name, other), (other, name)} - {(name, name)}


class LocalLink:
    """Messages of one node; implements `flamingoshelf.base.NodeLink`."""

    def __init__(self, *, network: LocalNetwork, node_name: str) -> None:
        self._network = network
        self._node_name = node_name
        self._handlers: dict[type[Any], Callable[[str, Any], Coroutine[Any, Any, Any]]] = {}
        self._tasks = TaskGroup(owner=node_name)
        self._calls_by_peer: dict[str, set[asyncio.Task[Any]]] = {}

    @property
    def node_name(self) -> str:
        """VM name of this node."""
        return self._node_name

    @property
    def incarnation(self) -> str:
        """Identifier of this run of the node's process."""
        return f"{self._node_name}-run"

    def register(self, message_type: type[Any], handler: Callable[[str, Any], Any]) -> None:
        """Register ``handler(peer, message)`` for messages of a type."""
        self._handlers[message_type] = handler

    async def request(self, peer: str, message: Any, *, timeout_s: float) -> Any:
        """Send a message and return the reply."""
        await asyncio.sleep(_LATENCY_S)
        if self._node_name in self._network.dead:
            raise PeerUnreachableError("this node has stopped", step="dial", peer=peer)
        if peer in self._network.dead:
            raise PeerUnreachableError("refused", step="dial", peer=peer)
        if (self._node_name, peer) in self._network.lost_pairs:
            await asyncio.sleep(timeout_s)
            raise OutcomeUnknownError("timeout", step="request", peer=peer)
        answer = self._network.links[peer].answer(self._node_name, message)
        try:
            async with asyncio.timeout(timeout_s):
                reply = await asyncio.shield(answer)
        except TimeoutError as error:
            raise OutcomeUnknownError("timeout", step="request", peer=peer) from error
        except asyncio.CancelledError:
            if answer.cancelled():
                raise OutcomeUnknownError("closed", step="request", peer=peer) from None
            raise
        if (peer, self._node_name) in self._network.lost_pairs:
            await asyncio.sleep(timeout_s)
            raise OutcomeUnknownError("timeout", step="request", peer=peer)
        return reply

    def notify(self, peer: str, message: Any) -> None:
        """Send a message without a reply."""
        if self._network.lost_notifications:
            self._network.lost_notifications -= 1
            return
        stopped_nodes = self._network.dead & {peer, self._node_name}
        if not stopped_nodes and (self._node_name, peer) not in self._network.lost_pairs:
            self._network.links[peer].answer(self._node_name, message)

    def answer(self, peer: str, message: Any) -> asyncio.Task[Any]:
        """Start handling a peer's message; return the task."""
        task = self._tasks.start(self._handlers[type(message)](peer, message), name="answer")
        calls = self._calls_by_peer.setdefault(peer, set())
        calls.add(task)
        task.add_done_callback(calls.discard)
        return task

    def cancel_calls(self, dead: str) -> None:
        """Cancel the calls from a stopped peer, or all calls if this node has stopped."""
        peers = list(self._calls_by_peer) if dead == self._node_name else [dead]
        for peer in peers:
            for task in list(self._calls_by_peer.get(peer, ())):
                task.cancel()
