"""Inbound connections from peers."""

import asyncio
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Any, cast

from loguru import logger
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.http11 import Request, Response

from flamingoshelf.exceptions import ProtocolError
from flamingoshelf.nodes._channels import (
    CHANNEL_PATH,
    ChannelHandler,
    NodeChannel,
    serve_channel,
)
from flamingoshelf.nodes._connection import MAX_FRAME_BYTES, Dispatch, NodeConnection
from flamingoshelf.nodes._counters import LinkCounters
from flamingoshelf.nodes._handshake import (
    GREETING_HEADER,
    Greeting,
    GreetingChecker,
    Identity,
    accept_handshake,
)
from flamingoshelf.nodes._tls import NodeTls

__all__ = ["PING_INTERVAL_S", "PING_TIMEOUT_S", "Acceptor"]

PING_INTERVAL_S = 10.0
PING_TIMEOUT_S = 5.0
_HANDSHAKE_TIMEOUT_S = 2.0
_CLOSE_TIMEOUT_S = 2.0


class Acceptor:
    """Accepts websockets from other nodes; closes any other connection without a reply.

    Parameters
    ----------
    identity : Identity
        Identity of this node.
    listen_address : str
        ``ip:port`` to listen on.
    secret : bytes
        Secret that the nodes share, for the handshake.
    tls : NodeTls or None
        If given, connections without TLS are not accepted.
    dispatch : callable
        ``dispatch(peer_name, message)`` handles a message and returns the reply.
    counters : LinkCounters
        Counts messages, bytes and rejected connections.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        listen_address: str,
        secret: bytes,
        tls: NodeTls | None,
        dispatch: Dispatch,
        counters: LinkCounters,
    ) -> None:
        self._identity = identity
        self._listen_address = listen_address
        self._secret = secret
        self._tls = tls
        self._dispatch = dispatch
        self._counters = counters
        self._greeting_checker = GreetingChecker(node_name=identity.name, secret=secret)
        self._greetings: dict[_PeerSocket, Greeting] = {}
        self._incarnations: dict[str, str] = {}
        self._sockets: set[_PeerSocket] = set()
        self._server: Server | None = None
        self._channel_handler: ChannelHandler | None = None

    def serve_channels(self, handler: ChannelHandler) -> None:
        """Run ``handler(channel)`` for each channel that a peer opens."""
        self._channel_handler = handler

    def incarnation_of(self, peer: str) -> str | None:
        """Return the incarnation of a peer that is connected to this node, None if it is not."""
        return self._incarnations.get(peer)

    async def start(self) -> None:
        """Start listening.

        Raises
        ------
        OSError
            The address is in use.
        """
        host, _, port = self._listen_address.rpartition(":")
        self._server = await serve(
            self._handle_connection,
            host,
            int(port),
            process_request=self._check_request,
            ssl=None if self._tls is None else self._tls.server,
            open_timeout=_HANDSHAKE_TIMEOUT_S,
            close_timeout=_CLOSE_TIMEOUT_S,
            max_size=MAX_FRAME_BYTES,
            compression=None,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            create_connection=cast(
                Any, partial(_PeerSocket, on_unauthenticated=self._reject, sockets=self._sockets)
            ),
        )

    async def stop(self) -> None:
        """Stop listening and close all accepted connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def abort(self) -> None:
        """Close the transports of all accepted connections, so that a pending `stop` returns."""
        for socket in list(self._sockets):
            socket.transport.abort()

    async def _check_request(self, socket: ServerConnection, request: Request) -> Response | None:
        assert isinstance(socket, _PeerSocket)
        try:
            greeting = self._greeting_checker.check(request.headers.get(GREETING_HEADER))
        except ProtocolError as error:
            self._reject(socket, error)
            socket.transport.abort()
            return socket.respond(HTTPStatus.FORBIDDEN, "")  # not sent: the transport is closed
        socket.is_checked = True
        self._greetings[socket] = greeting
        return None

    async def _handle_connection(self, socket: ServerConnection) -> None:
        assert isinstance(socket, _PeerSocket)
        greeting = self._greetings.pop(socket)
        try:
            async with asyncio.timeout(_HANDSHAKE_TIMEOUT_S):
                peer = await accept_handshake(
                    socket,
                    identity=self._identity,
                    greeting=greeting,
                    secret=self._secret,
                    certificate_digest=b"" if self._tls is None else self._tls.certificate_digest,
                )
        except Exception as error:
            self._reject(socket, error)
            return
        if socket.request is not None and socket.request.path == CHANNEL_PATH:
            if self._channel_handler is not None:
                channel = NodeChannel(socket=socket, peer=peer.name)
                await serve_channel(channel, self._channel_handler)
            return
        connection = NodeConnection(
            socket=socket, peer=peer, dispatch=self._dispatch, counters=self._counters
        )
        self._incarnations[peer.name] = peer.incarnation
        try:
            await connection.run()
        finally:
            if self._incarnations.get(peer.name) == peer.incarnation:
                del self._incarnations[peer.name]

    def _reject(self, socket: "_PeerSocket", error: Exception) -> None:
        socket.is_checked = True
        self._counters.strangers += 1
        logger.bind(step="handshake", peer=socket.peer_address).warning(
            "inbound connection rejected: {!r}", error
        )


class _PeerSocket(ServerConnection):
    """Server side of a websocket; reports a connection that ends before its greeting was checked.

    Parameters
    ----------
    on_unauthenticated : callable
        ``on_unauthenticated(socket, error)`` is called for such a connection.
    sockets : set
        Set of open sockets, to which this one adds itself while it is open.
    """

    def __init__(
        self,
        *arguments: Any,
        on_unauthenticated: Callable[["_PeerSocket", Exception], None],
        sockets: set["_PeerSocket"],
        **options: Any,
    ) -> None:
        super().__init__(*arguments, **options)
        self._on_unauthenticated = on_unauthenticated
        self._sockets = sockets
        self.is_checked = False
        self.peer_address = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the remote address, which the transport no longer knows once it is closed."""
        super().connection_made(transport)
        self._sockets.add(self)
        self.peer_address = str(transport.get_extra_info("peername"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the connection if its greeting was neither accepted nor rejected."""
        super().connection_lost(exc)
        self._sockets.discard(self)
        if not self.is_checked:
            self._on_unauthenticated(
                self, exc or ProtocolError("closed without a greeting", step="handshake")
            )
