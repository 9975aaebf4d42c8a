"""In-memory links between nodes with partitions, for tests under a simulated clock."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError, RemoteError
from flamingoshelf.nodes._codec import Frame, FrameKind, decode_frame, encode_frame

__all__ = ["MemoryNetwork", "MemoryNodeLink"]


class MemoryNetwork:
    """Network of the in-memory links of a test.

    Parameters
    ----------
    delay_s : float
        One-way delay of a message, in seconds.
    """

    def __init__(self, *, delay_s: float = 0.001) -> None:
        self.delay_s = delay_s
        self.links: dict[str, MemoryNodeLink] = {}
        self.groups: list[set[str]] = []
        self.message_bytes: dict[str, int] = {}

    def link(self, node_name: str, incarnation: str) -> "MemoryNodeLink":
        """Return a new link for a node, replacing its earlier one."""
        self.links[node_name] = MemoryNodeLink(self, node_name, incarnation)
        return self.links[node_name]

    def remove(self, node_name: str) -> None:
        """Make a node unreachable."""
        self.links.pop(node_name, None)

    def partition(self, *groups: set[str]) -> None:
        """Deliver messages only within each of `groups`; without groups deliver all."""
        self.groups = list(groups)

    def is_delivered(self, sender: str, receiver: str) -> bool:
        """Return whether messages pass between two nodes."""
        return not self.groups or any({sender, receiver} <= group for group in self.groups)

    def encode_and_decode(self, message: Any, sender: str) -> Any:
        """Return `message` encoded and decoded again; count its bytes for the sender."""
        data = encode_frame(Frame(kind=FrameKind.REQUEST, number=0, message=message))
        self.message_bytes[sender] = self.message_bytes.get(sender, 0) + len(data)
        return decode_frame(data, peer=sender).message


class MemoryNodeLink:
    """In-memory implementation of `flamingoshelf.base.NodeLink`."""

    def __init__(self, network: MemoryNetwork, node_name: str, incarnation: str) -> None:
        self._network = network
        self._node_name = node_name
        self._incarnation = incarnation
        self._handlers: dict[type[Any], Callable[[str, Any], Awaitable[Any]]] = {}

    @property
    def node_name(self) -> str:
        """VM name of this node."""
        return self._node_name

    @property
    def incarnation(self) -> str:
        """Identifier of this run of the node's process."""
        return self._incarnation

    def register(self, message_type: type[Any], handler: Callable[..., Awaitable[Any]]) -> None:
        """Register ``handler(peer, message)`` for messages of `message_type`."""
        self._handlers[message_type] = handler

    async def request(self, peer: str, message: Any, *, timeout_s: float) -> Any:
        """Send `message` and return the peer's reply; errors as in `NodeLink`."""
        await asyncio.sleep(self._network.delay_s)
        target = self._network.links.get(peer)
        if target is None or not self._network.is_delivered(self._node_name, peer):
            raise PeerUnreachableError("cut off", step="request", peer=peer)
        received = self._network.encode_and_decode(message, self._node_name)
        try:
            async with asyncio.timeout(timeout_s):
                reply = await target._handlers[type(received)](self._node_name, received)
                await asyncio.sleep(self._network.delay_s)
        except TimeoutError as error:
            raise OutcomeUnknownError("no reply", step="request", peer=peer) from error
        except Exception as error:
            raise RemoteError(str(error), step="request", peer=peer) from error
        if not self._network.is_delivered(self._node_name, peer):
            raise OutcomeUnknownError("cut off", step="request", peer=peer)
        return self._network.encode_and_decode(reply, peer)

    def notify(self, peer: str, message: Any) -> None:
        """Send `message` without a reply; it may be lost."""
        target = self._network.links.get(peer)
        if target is not None and self._network.is_delivered(self._node_name, peer):
            received = self._network.encode_and_decode(message, self._node_name)
            task = asyncio.ensure_future(
                target._handlers[type(received)](self._node_name, received)
            )
            task.add_done_callback(lambda done: done.exception())
