"""Messages between this node and its peers over websockets."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import attrs
from loguru import logger
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import WebSocketException

from flamingoshelf.exceptions import (
    FlamingoshelfError,
    OutcomeUnknownError,
    PeerUnreachableError,
    ProtocolError,
    RemoteError,
)
from flamingoshelf.nodes._acceptor import PING_INTERVAL_S, PING_TIMEOUT_S, Acceptor
from flamingoshelf.nodes._channels import (
    CHANNEL_PATH,
    ChannelHandler,
    ChannelPool,
    NodeChannel,
)
from flamingoshelf.nodes._connection import MAX_FRAME_BYTES, NodeConnection
from flamingoshelf.nodes._counters import LinkCounters
from flamingoshelf.nodes._dialler import Dialler
from flamingoshelf.nodes._handshake import (
    GREETING_HEADER,
    Identity,
    initiate_handshake,
    new_greeting,
)
from flamingoshelf.nodes._messages import Acknowledgement
from flamingoshelf.nodes._tls import NodeTls, peer_certificate_digest
from flamingoshelf.utils import TaskGroup

__all__ = ["WebsocketNodeLink"]

MessageT = TypeVar("MessageT")

_NOTIFY_TIMEOUT_S = 2.0
_CLOSE_TIMEOUT_S = 2.0
# Limit for closing all connections together. A live peer takes part in the closing handshake within
# milliseconds, and only 0.25 s of a grace period are left after its last request ended.
_STOP_TIMEOUT_S = 0.15
_REPORT_INTERVAL_S = 5.0


class WebsocketNodeLink:
    """Exchanges messages with other nodes; implements `flamingoshelf.base.NodeLink`.

    Each node dials the peers to which it sends requests and keeps these connections open. A reply
    is sent over the connection on which the request arrived.

    Parameters
    ----------
    node_name, incarnation : str
        Identity of this node.
    listen_address : str
        ``ip:port`` to listen on.
    secret : bytes
        Secret that the nodes share, for the handshake.
    resolve : callable
        ``resolve(peer)`` returns the ``ip:port`` of a peer, or None if it is not known.
    tls : NodeTls, optional
        If given, connections without TLS are neither opened nor accepted.
    count_event : callable, optional
        ``count_event(event, amount)`` is called every `_REPORT_INTERVAL_S` seconds and at the stop
        with the increase of each counter.
    """

    def __init__(
        self,
        *,
        node_name: str,
        incarnation: str,
        listen_address: str,
        secret: bytes,
        resolve: Callable[[str], str | None],
        tls: NodeTls | None = None,
        count_event: Callable[[str, int], None] | None = None,
    ) -> None:
        self._identity = Identity(name=node_name, incarnation=incarnation)
        self._secret = secret
        self._tls = tls
        self._count_event = count_event
        self._counters = LinkCounters()
        self._reported_counters = LinkCounters()
        self._handlers: dict[type[Any], Callable[[str, Any], Awaitable[Any]]] = {}
        self._dialler = Dialler(
            resolve=resolve,
            open_connection=self._open_connection,
            counters=self._counters,
            random_source=random.Random(incarnation),
        )
        self._acceptor = Acceptor(
            identity=self._identity,
            listen_address=listen_address,
            secret=secret,
            tls=tls,
            dispatch=self._dispatch,
            counters=self._counters,
        )
        self._resolve = resolve
        self._channels = ChannelPool(open_channel=self._open_channel)
        self._tasks = TaskGroup(owner="nodes")

    @property
    def node_name(self) -> str:
        """VM name of this node."""
        return self._identity.name

    @property
    def incarnation(self) -> str:
        """Identifier of this run of the node's process."""
        return self._identity.incarnation

    @property
    def counters(self) -> LinkCounters:
        """Traffic totals since the start."""
        return self._counters

    def incarnation_of(self, peer: str) -> str | None:
        """Return the authenticated incarnation of a connected peer, None if it is not connected."""
        connection = self._dialler.get(peer)
        return (
            self._acceptor.incarnation_of(peer)
            if connection is None
            else connection.peer.incarnation
        )

    def register(
        self, message_type: type[MessageT], handler: Callable[[str, MessageT], Awaitable[Any]]
    ) -> None:
        """Register ``handler(peer, message)`` for messages of `message_type`."""
        self._handlers[message_type] = handler

    async def start(self) -> None:
        """Start accepting connections from peers.

        Raises
        ------
        OSError
            The address is in use, for instance by an earlier run of this node that has not ended.
        """
        await self._acceptor.start()
        await self._channels.start()
        self._tasks.start(self._run_reports(), name="report")

    async def stop(self) -> None:
        """Close all connections; abort those whose peers do not respond in time."""
        await self._tasks.stop()
        await self._channels.stop()
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                await asyncio.gather(self._dialler.stop(), self._acceptor.stop())
        except TimeoutError:
            logger.bind(step="stop").info("closing timed out; aborting the remaining connections")
            # Otherwise the websockets library would wait for these peers until its own close
            # timeout, even in tasks that are cancelled when the process ends.
            self._dialler.abort()
            self._acceptor.abort()
            await self._acceptor.stop()
        self._report_counters()

    async def request(self, peer: str, message: Any, *, timeout_s: float) -> Any:
        """Send `message` and return the peer's reply; raise the errors of `NodeLink.request`.

        A message to this node itself is dispatched without a connection.
        """
        if peer == self.node_name:
            return await self._request_self(message, timeout_s=timeout_s)
        connection: NodeConnection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._dialler.connection(peer)
                return await connection.request(message)
        except TimeoutError as error:
            reason = f"no reply within {timeout_s} s"
            if connection is None:
                raise PeerUnreachableError(reason, step="dial", peer=peer) from error
            raise OutcomeUnknownError(reason, step="request", peer=peer) from error

    def notify(self, peer: str, message: Any) -> None:
        """Send `message` without a reply; it may be lost."""
        self._tasks.start(self._notify(peer, message), name="notify")

    def drop_connection(self, peer: str) -> None:
        """Close the connection to a peer, so that the next message opens a new one."""
        self._dialler.drop_connection(peer)

    def serve_channels(self, handler: ChannelHandler) -> None:
        """Run ``handler(channel)`` for each channel that a peer opens."""
        self._acceptor.serve_channels(handler)

    async def take_channel(self, peer: str) -> NodeChannel:
        """Return a channel to a peer for one exchange; raise `PeerUnreachableError` if none opens.

        It is given back, or aborted if the exchange has not ended.
        """
        return await self._channels.take(peer)

    def give_back_channel(self, channel: NodeChannel) -> None:
        """Keep a channel whose exchange has ended for another one."""
        self._channels.give_back(channel)

    async def _notify(self, peer: str, message: Any) -> None:
        try:
            async with asyncio.timeout(_NOTIFY_TIMEOUT_S):
                if peer == self.node_name:
                    await self._dispatch(peer, message)
                    return
                connection = await self._dialler.connection(peer)
                await connection.notify(message)
        except (FlamingoshelfError, WebSocketException, TimeoutError) as error:
            logger.bind(step="notify", peer=peer).debug("notification lost: {!r}", error)

    async def _request_self(self, message: Any, *, timeout_s: float) -> Any:
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self._dispatch(self.node_name, message)
        except TimeoutError as error:
            reason = f"no reply within {timeout_s} s"
            raise OutcomeUnknownError(reason, step="request", peer=self.node_name) from error
        except Exception as error:
            name = type(message).__name__
            raise RemoteError(str(error), step=name, peer=self.node_name) from error
        return Acknowledgement() if reply is None else reply

    async def _dispatch(self, peer: str, message: Any) -> Any:
        handler = self._handlers.get(type(message))
        if handler is None:
            name = type(message).__name__
            raise ProtocolError(f"no handler for {name}", step="dispatch", peer=peer)
        return await handler(peer, message)

    async def _open_connection(self, peer: str, address: str) -> NodeConnection:
        socket, identity = await self._open_socket(peer, address, path="")
        return NodeConnection(
            socket=socket, peer=identity, dispatch=self._dispatch, counters=self._counters
        )

    async def _open_channel(self, peer: str) -> NodeChannel:
        address = self._resolve(peer)
        if address is None:
            raise PeerUnreachableError("no address is known", step="channel", peer=peer)
        self._counters.dials += 1
        socket, identity = await self._open_socket(peer, address, path=CHANNEL_PATH)
        return NodeChannel(socket=socket, peer=identity.name)

    async def _open_socket(
        self, peer: str, address: str, *, path: str
    ) -> tuple[ClientConnection, Identity]:
        """Open an authenticated websocket to a peer."""
        greeting = new_greeting(self._identity, target=peer)
        scheme = "ws" if self._tls is None else "wss"
        socket = await connect(
            f"{scheme}://{address}{path}",
            additional_headers={GREETING_HEADER: greeting.encode(self._secret)},
            ssl=None if self._tls is None else self._tls.client,
            max_size=MAX_FRAME_BYTES,
            compression=None,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            close_timeout=_CLOSE_TIMEOUT_S,
            proxy=None,
        )
        try:
            identity = await initiate_handshake(
                socket,
                greeting=greeting,
                secret=self._secret,
                certificate_digest=peer_certificate_digest(socket.transport),
            )
        except BaseException:
            await socket.close()
            raise
        return socket, identity

    async def _run_reports(self) -> None:
        while True:
            await asyncio.sleep(_REPORT_INTERVAL_S)
            self._report_counters()

    def _report_counters(self) -> None:
        """Report the increase of each counter since the last report."""
        if self._count_event is None:
            return
        for name in attrs.fields_dict(LinkCounters):
            total = getattr(self._counters, name)
            amount = total - getattr(self._reported_counters, name)
            if amount:
                self._count_event(f"link_{name}", amount)
            setattr(self._reported_counters, name, total)
