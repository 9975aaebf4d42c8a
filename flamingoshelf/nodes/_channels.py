"""Connections between two nodes that carry messages and bytes in order, one exchange at a time.

The connection of a link is shared by all messages between two nodes, so a reader that is slow would
hold up the others. A channel is a websocket of its own, which passes the back pressure on.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from loguru import logger
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed, WebSocketException

from flamingoshelf.exceptions import (
    FlamingoshelfError,
    OutcomeUnknownError,
    PeerUnreachableError,
    ProtocolError,
)
from flamingoshelf.nodes._codec import Frame, FrameKind, decode_frame, encode_frame
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["CHANNEL_PATH", "ChannelHandler", "ChannelPool", "NodeChannel", "serve_channel"]

CHANNEL_PATH = "/channel"  # of the websocket's opening request
_BYTES_PREFIX = b"\0"  # a message is a CBOR array, which begins with another byte
_DIAL_TIMEOUT_S = 0.4  # a node within the region replies within milliseconds
_MAX_IDLE_S = 10.0
_SWEEP_INTERVAL_S = 2.0
_MAX_IDLE_CHANNELS_PER_PEER = 16


class NodeChannel:
    """One channel to a peer.

    Parameters
    ----------
    socket : ClientConnection or ServerConnection
        Websocket whose handshake has succeeded.
    peer : str
        Name of the node at the other end.
    """

    def __init__(self, *, socket: ClientConnection | ServerConnection, peer: str) -> None:
        self._socket = socket
        self._peer = peer
        self._is_closed = False
        self.idle_since_s = 0.0

    @property
    def peer(self) -> str:
        """Name of the node at the other end."""
        return self._peer

    @property
    def is_closed(self) -> bool:
        """Whether the channel was found closed, or was closed by this node."""
        return self._is_closed or self._socket.close_code is not None

    async def send(self, message: Any) -> None:
        """Send a message, or bytes as they are; wait while the peer doesn't read.

        Raises
        ------
        OutcomeUnknownError
            The channel is closed.
        """
        if isinstance(message, bytes):
            data = _BYTES_PREFIX + message
        else:
            data = encode_frame(Frame(kind=FrameKind.NOTIFICATION, number=0, message=message))
        try:
            await self._socket.send(data)
        except ConnectionClosed as error:
            raise self._closed() from error

    async def receive(self) -> Any:
        """Return the next message or bytes.

        Raises
        ------
        OutcomeUnknownError
            The channel is closed.
        ProtocolError
            The peer sent something else.
        """
        try:
            data = await self._socket.recv(decode=False)
        except ConnectionClosed as error:
            raise self._closed() from error
        if data[:1] == _BYTES_PREFIX:
            return bytes(data[1:])
        return decode_frame(data, peer=self._peer).message

    def abort(self) -> None:
        """Close the channel at once; the peer ends what it does for it."""
        self._is_closed = True
        self._socket.transport.abort()

    def _closed(self) -> OutcomeUnknownError:
        self._is_closed = True
        return OutcomeUnknownError("channel closed", step="channel", peer=self._peer)


ChannelHandler = Callable[[NodeChannel], Awaitable[None]]


class ChannelPool:
    """Channels that this node has opened, kept between exchanges.

    Parameters
    ----------
    open_channel : callable
        ``await open_channel(peer)`` opens an authenticated channel.
    """

    def __init__(self, *, open_channel: Callable[[str], Awaitable[NodeChannel]]) -> None:
        self._open_channel = open_channel
        self._idle: dict[str, list[NodeChannel]] = {}
        self._tasks = TaskGroup(owner="channels")

    async def start(self) -> None:
        """Start closing channels that have been idle for too long."""
        self._tasks.start(self._close_expired(), name="sweep")

    async def stop(self) -> None:
        """Close all idle channels."""
        await self._tasks.stop()
        for peer in list(self._idle):
            self._close_idle(peer)

    async def take(self, peer: str) -> NodeChannel:
        """Return an idle channel to a peer, or a new one.

        Raises
        ------
        PeerUnreachableError
            No channel could be opened.
        """
        idle = self._idle.get(peer, [])
        while idle:
            channel = idle.pop()
            if not channel.is_closed:
                return channel
        try:
            async with asyncio.timeout(_DIAL_TIMEOUT_S):
                return await self._open_channel(peer)
        except (OSError, TimeoutError, WebSocketException, FlamingoshelfError) as error:
            raise PeerUnreachableError(repr(error), step="channel", peer=peer) from error

    def give_back(self, channel: NodeChannel) -> None:
        """Keep a channel for another exchange."""
        idle = self._idle.setdefault(channel.peer, [])
        if channel.is_closed or len(idle) >= _MAX_IDLE_CHANNELS_PER_PEER:
            channel.abort()
            return
        channel.idle_since_s = now_s()
        idle.append(channel)

    def _close_idle(self, peer: str) -> None:
        for channel in self._idle.pop(peer, []):
            channel.abort()

    async def _close_expired(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            oldest_s = now_s() - _MAX_IDLE_S
            for peer, idle in list(self._idle.items()):
                for channel in idle:
                    if channel.idle_since_s < oldest_s or channel.is_closed:
                        channel.abort()
                self._idle[peer] = [channel for channel in idle if not channel.is_closed]
                if not self._idle[peer]:
                    del self._idle[peer]


async def serve_channel(channel: NodeChannel, handler: ChannelHandler) -> None:
    """Run ``handler(channel)``, which ends when the peer closes the channel."""
    try:
        await handler(channel)
    except (OutcomeUnknownError, ProtocolError) as error:
        logger.bind(step="channel", peer=channel.peer).debug("channel closed: {}", error.message)
    finally:
        channel.abort()
