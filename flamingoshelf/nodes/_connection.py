"""One authenticated websocket between two nodes."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

from loguru import logger
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed

from flamingoshelf.exceptions import (
    OutcomeUnknownError,
    PeerUnreachableError,
    ProtocolError,
    RemoteError,
)
from flamingoshelf.nodes._codec import Frame, FrameKind, decode_frame, encode_frame
from flamingoshelf.nodes._counters import LinkCounters
from flamingoshelf.nodes._handshake import Identity
from flamingoshelf.nodes._messages import Acknowledgement, Failure
from flamingoshelf.utils import TaskGroup

__all__ = ["MAX_FRAME_BYTES", "Dispatch", "NodeConnection"]

MAX_FRAME_BYTES = 4 * 1024 * 1024
_MAX_REASON_CHARS = 1000  # of a failure; a longer text would not fit into a frame
_MAX_CONCURRENT_HANDLERS = 256

Dispatch = Callable[[str, Any], Awaitable[Any]]


class NodeConnection:
    """Requests, replies and notifications over one websocket.

    Handlers of received messages run concurrently, so replies may be sent in any order. While
    `_MAX_CONCURRENT_HANDLERS` handlers run, reading pauses at the next request or notification.

    Parameters
    ----------
    socket : ClientConnection or ServerConnection
        Websocket whose handshake has succeeded.
    peer : Identity
        The node at the other end.
    dispatch : callable
        ``dispatch(peer_name, message)`` handles a message and returns the reply.
    counters : LinkCounters
        Counts messages and bytes.
    """

    def __init__(
        self,
        *,
        socket: ClientConnection | ServerConnection,
        peer: Identity,
        dispatch: Dispatch,
        counters: LinkCounters,
    ) -> None:
        self._socket = socket
        self._peer = peer
        self._dispatch = dispatch
        self._counters = counters
        self._request_numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Any]] = {}
        self._handler_slots = asyncio.Semaphore(_MAX_CONCURRENT_HANDLERS)
        self._tasks = TaskGroup(owner=f"connection.{peer.name}")

    @property
    def peer(self) -> Identity:
        """The node at the other end."""
        return self._peer

    async def run(self) -> None:
        """Receive frames until the connection closes."""
        try:
            async for data in self._socket:
                await self._receive(data)
        except (ConnectionClosed, ProtocolError) as error:
            logger.bind(step="receive", peer=self._peer.name).debug("connection closed: {}", error)
        finally:
            await self.close()

    async def close(self) -> None:
        """Close the websocket; pending requests raise `OutcomeUnknownError`."""
        for future in self._pending.values():
            if not future.done():
                future.set_exception(self._unknown_outcome("connection closed"))
        self._pending.clear()
        await self._tasks.stop()
        await self._socket.close()

    def abort(self) -> None:
        """Close the transport at once, without the closing handshake of the websocket."""
        self._socket.transport.abort()

    async def request(self, message: Any) -> Any:
        """Send `message` and return the reply.

        Raises
        ------
        PeerUnreachableError
            The message is too large to be sent.
        OutcomeUnknownError
            The connection closed before the reply arrived.
        RemoteError
            The peer's handler failed.
        """
        number = next(self._request_numbers)
        data = self._encode(FrameKind.REQUEST, number, message)
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        try:
            await self._send(data)
            return await future
        except ConnectionClosed as error:
            raise self._unknown_outcome("connection closed") from error
        finally:
            self._pending.pop(number, None)

    async def notify(self, message: Any) -> None:
        """Send `message` without a reply."""
        await self._send(self._encode(FrameKind.NOTIFICATION, 0, message))

    def _encode(self, kind: FrameKind, number: int, message: Any) -> bytes:
        data = encode_frame(Frame(kind=kind, number=number, message=message))
        if len(data) > MAX_FRAME_BYTES:
            name = type(message).__name__
            text = f"{name} has {len(data)} bytes; at most {MAX_FRAME_BYTES} are allowed"
            raise PeerUnreachableError(text, step="encode", peer=self._peer.name)
        return data

    async def _send(self, data: bytes) -> None:
        self._counters.messages_sent += 1
        self._counters.bytes_sent += len(data)
        await self._socket.send(data)

    async def _receive(self, data: str | bytes) -> None:
        if isinstance(data, str):
            raise ProtocolError("unexpected text frame", step="receive", peer=self._peer.name)
        self._counters.messages_received += 1
        self._counters.bytes_received += len(data)
        frame = decode_frame(data, peer=self._peer.name)
        if frame.kind in (FrameKind.REPLY, FrameKind.ERROR):
            self._resolve_request(frame)
            return
        await self._handler_slots.acquire()
        self._tasks.start(self._handle_frame(frame), name="answer")

    def _resolve_request(self, frame: Frame) -> None:
        future = self._pending.get(frame.number)
        if future is None or future.done():
            return
        if frame.kind is FrameKind.REPLY:
            future.set_result(frame.message)
            return
        failure = frame.message
        if not isinstance(failure, Failure):
            raise ProtocolError("error frame has no Failure", step="receive", peer=self._peer.name)
        error = RemoteError(failure.reason, step=failure.step, peer=self._peer.name)
        future.set_exception(error)

    async def _handle_frame(self, frame: Frame) -> None:
        try:
            data = await self._build_reply(frame)
            if frame.kind is FrameKind.REQUEST:
                await self._send(data)
        except ConnectionClosed as error:
            logger.bind(step="reply", peer=self._peer.name).debug("reply not sent: {}", error)
        finally:
            self._handler_slots.release()

    async def _build_reply(self, frame: Frame) -> bytes:
        name = type(frame.message).__name__
        try:
            reply = await self._dispatch(self._peer.name, frame.message)
            reply = Acknowledgement() if reply is None else reply
            return self._encode(FrameKind.REPLY, frame.number, reply)
        except Exception as error:
            logger.bind(step=name, peer=self._peer.name).warning(
                "message handler failed: {!r}", error
            )
            failure = Failure(step=name, reason=str(error)[:_MAX_REASON_CHARS])
            return self._encode(FrameKind.ERROR, frame.number, failure)

    def _unknown_outcome(self, reason: str) -> OutcomeUnknownError:
        return OutcomeUnknownError(reason, step="request", peer=self._peer.name)
