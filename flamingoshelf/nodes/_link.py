"""All connections of one node to its peers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from loguru import logger
from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import WebSocketException

from flamingoshelf.exceptions import FlamingoshelfError, PeerUnreachableError, ProtocolError
from flamingoshelf.nodes._connection import NodeConnection
from flamingoshelf.nodes._handshake import Identity, accept_handshake, offer_handshake
from flamingoshelf.nodes._traffic import Traffic
from flamingoshelf.utils import TaskGroup

__all__ = ["WebsocketNodeLink"]

MessageT = TypeVar("MessageT")

_HANDSHAKE_TIMEOUT_S = 2.0
_MAX_FRAME_BYTES = 4 * 1024 * 1024
_PING_INTERVAL_S = 10.0
_NOTIFY_TIMEOUT_S = 2.0


class WebsocketNodeLink:
    """Websockets to other nodes; implements `flamingoshelf.base.NodeLink`.

    Each node dials the peers that it sends requests to and keeps these connections. Replies come
    back over the connection that brought the request.

    Parameters
    ----------
    node_name, incarnation : str
        Identity of this node.
    listen_address : str
        ``ip:port`` at which peers reach this node.
    secret : bytes
        Secret that the nodes share.
    resolve : callable
        ``resolve(peer)`` returns the ``ip:port`` of a peer, or None if it is not known.
    """

    def __init__(
        self,
        *,
        node_name: str,
        incarnation: str,
        listen_address: str,
        secret: bytes,
        resolve: Callable[[str], str | None],
    ) -> None:
        self._identity = Identity(name=node_name, incarnation=incarnation)
        self._listen_address = listen_address
        self._secret = secret
        self._resolve = resolve
        self._handlers: dict[type[Any], Callable[[str, Any], Awaitable[Any]]] = {}
        self._connections: dict[str, NodeConnection] = {}
        self._dialling: dict[str, asyncio.Lock] = {}
        self._server: Server | None = None
        self._tasks = TaskGroup(owner="nodes")
        self.traffic = Traffic()

    @property
    def node_name(self) -> str:
        """VM name of this node."""
        return self._identity.name

    @property
    def incarnation(self) -> str:
        """Identifier of this run of the node's process."""
        return self._identity.incarnation

    def register(
        self, message_type: type[MessageT], handler: Callable[[str, MessageT], Awaitable[Any]]
    ) -> None:
        """Have ``handler(peer, message)`` answer messages of `message_type`."""
        self._handlers[message_type] = handler

    async def start(self) -> None:
        """Accept connections of peers."""
        host, _, port = self._listen_address.rpartition(":")
        self._server = await serve(
            self._accept,
            host,
            int(port),
            max_size=_MAX_FRAME_BYTES,
            compression=None,
            ping_interval=_PING_INTERVAL_S,
        )

    async def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        await self._tasks.stop()
        for connection in list(self._connections.values()):
            await connection.close()

    async def request(self, peer: str, message: Any, *, timeout_s: float) -> Any:
        """Send `message` and return the peer's reply; errors as in `NodeLink`.

        A message to this node itself is answered without a connection.
        """
        if peer == self.node_name:
            return await self._dispatch(peer, message)
        connection = await self._connection(peer)
        return await connection.request(message, timeout_s=timeout_s)

    def notify(self, peer: str, message: Any) -> None:
        """Send `message` without a reply; it may be lost."""
        self._tasks.start(self._notify(peer, message), name="notify")

    async def _notify(self, peer: str, message: Any) -> None:
        try:
            if peer == self.node_name:
                await self._dispatch(peer, message)
                return
            async with asyncio.timeout(_NOTIFY_TIMEOUT_S):
                connection = await self._connection(peer)
                await connection.notify(message)
        except (FlamingoshelfError, WebSocketException, TimeoutError) as error:
            logger.bind(step="notify", peer=peer).debug("lost: {!r}", error)

    async def _dispatch(self, peer: str, message: Any) -> Any:
        handler = self._handlers.get(type(message))
        if handler is None:
            name = type(message).__name__
            raise ProtocolError(f"no handler for {name}", step="dispatch", peer=peer)
        return await handler(peer, message)

    async def _connection(self, peer: str) -> NodeConnection:
        lock = self._dialling.setdefault(peer, asyncio.Lock())
        async with lock:
            connection = self._connections.get(peer)
            if connection is None:
                connection = await self._dial(peer)
            return connection

    async def _dial(self, peer: str) -> NodeConnection:
        address = self._resolve(peer)
        if address is None:
            raise PeerUnreachableError("not in the VM list", step="dial", peer=peer)
        try:
            async with asyncio.timeout(_HANDSHAKE_TIMEOUT_S):
                connection = await self._open(address, peer)
        except (OSError, TimeoutError, WebSocketException, FlamingoshelfError) as error:
            raise PeerUnreachableError(repr(error), step="dial", peer=peer) from error
        self._connections[peer] = connection
        self._tasks.start(self._run_dialled(peer, connection), name=f"peer.{peer}")
        return connection

    async def _open(self, address: str, peer: str) -> NodeConnection:
        socket = await connect(
            f"ws://{address}",
            max_size=_MAX_FRAME_BYTES,
            compression=None,
            ping_interval=_PING_INTERVAL_S,
            proxy=None,
        )
        try:
            identity = await offer_handshake(socket, identity=self._identity, secret=self._secret)
            if identity.name != peer:
                raise ProtocolError(f"{identity.name} answered", step="handshake", peer=peer)
        except BaseException:
            await socket.close()
            raise
        return NodeConnection(
            socket=socket, peer=identity, dispatch=self._dispatch, traffic=self.traffic
        )

    async def _run_dialled(self, peer: str, connection: NodeConnection) -> None:
        try:
            await connection.run()
        finally:
            if self._connections.get(peer) is connection:
                del self._connections[peer]

    async def _accept(self, socket: ServerConnection) -> None:
        try:
            async with asyncio.timeout(_HANDSHAKE_TIMEOUT_S):
                peer = await accept_handshake(socket, identity=self._identity, secret=self._secret)
        except Exception as error:
            where = str(socket.remote_address)
            logger.bind(step="handshake", peer=where).warning("refused: {!r}", error)
            return
        connection = NodeConnection(
            socket=socket, peer=peer, dispatch=self._dispatch, traffic=self.traffic
        )
        await connection.run()
