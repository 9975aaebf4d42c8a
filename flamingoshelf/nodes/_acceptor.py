"""Connections that peers open to this node."""

import asyncio
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Any, cast

from loguru import logger
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.http11 import Request, Response

from flamingoshelf.exceptions import ProtocolError
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
    """Accepts websockets of nodes; anything else is closed without a reply.

    Parameters
    ----------
    identity : Identity
        Identity of this node.
    listen_address : str
        ``ip:port`` at which peers reach this node.
    secret : bytes
        Secret that the nodes share.
    tls : NodeTls or None
        If given, connections without it are not accepted.
    dispatch : callable
        ``dispatch(peer_name, message)`` answers the peers' messages.
    counters : LinkCounters
        Counts what is carried and refused.
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
        self._checker = GreetingChecker(node_name=identity.name, secret=secret)
        self._greetings: dict[_Socket, Greeting] = {}
        self._incarnations: dict[str, str] = {}
        self._sockets: set[_Socket] = set()
        self._server: Server | None = None

    def incarnation_of(self, peer: str) -> str | None:
        """Return the incarnation of a peer that is connected to this node."""
        return self._incarnations.get(peer)

    async def start(self) -> None:
        """Listen; raises OSError if the address is taken."""
        host, _, port = self._listen_address.rpartition(":")
        self._server = await serve(
            self._serve,
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
                Any, partial(_Socket, on_stranger=self._refuse, sockets=self._sockets)
            ),
        )

    async def stop(self) -> None:
        """Close all accepted connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def abort(self) -> None:
        """Break all accepted connections off; what waits for their ends goes on at once."""
        for socket in list(self._sockets):
            socket.transport.abort()

    async def _check_request(self, socket: ServerConnection, request: Request) -> Response | None:
        assert isinstance(socket, _Socket)
        try:
            greeting = self._checker.check(request.headers.get(GREETING_HEADER))
        except ProtocolError as error:
            self._refuse(socket, error)
            socket.transport.abort()
            return socket.respond(HTTPStatus.FORBIDDEN, "")  # not sent, the transport is closed
        socket.is_judged = True
        self._greetings[socket] = greeting
        return None

    async def _serve(self, socket: ServerConnection) -> None:
        assert isinstance(socket, _Socket)
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
            self._refuse(socket, error)
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

    def _refuse(self, socket: "_Socket", error: Exception) -> None:
        socket.is_judged = True
        self._counters.strangers += 1
        logger.bind(step="handshake", peer=socket.where).warning("refused: {!r}", error)


class _Socket(ServerConnection):
    """A websocket that reports a connection which ends before its greeting was checked."""

    def __init__(
        self,
        *arguments: Any,
        on_stranger: Callable[["_Socket", Exception], None],
        sockets: set["_Socket"],
        **options: Any,
    ) -> None:
        super().__init__(*arguments, **options)
        self._on_stranger = on_stranger
        self._sockets = sockets  # all that are open
        self.is_judged = False
        self.where = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the other side's address while it is known."""
        super().connection_made(transport)
        self._sockets.add(self)
        self.where = str(transport.get_extra_info("peername"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end if nothing was judged before."""
        super().connection_lost(exc)
        self._sockets.discard(self)
        if not self.is_judged:
            self._on_stranger(self, exc or ProtocolError("no greeting", step="handshake"))
