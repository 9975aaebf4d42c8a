"""One authenticated websocket between two nodes."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

from loguru import logger
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed

from flamingoshelf.exceptions import OutcomeUnknownError, ProtocolError, RemoteError
from flamingoshelf.nodes._codec import Frame, FrameKind, decode_frame, encode_frame
from flamingoshelf.nodes._handshake import Identity
from flamingoshelf.nodes._messages import Acknowledgement, Failure
from flamingoshelf.nodes._traffic import Traffic
from flamingoshelf.utils import TaskGroup

__all__ = ["Dispatch", "NodeConnection"]

Dispatch = Callable[[str, Any], Awaitable[Any]]


class NodeConnection:
    """Requests, replies and notifications over one websocket.

    Parameters
    ----------
    socket : ClientConnection or ServerConnection
        The websocket, authenticated.
    peer : Identity
        The node at the other end.
    dispatch : callable
        ``dispatch(peer_name, message)`` answers the peer's messages.
    traffic : Traffic
        Counts of the node.
    """

    def __init__(
        self,
        *,
        socket: ClientConnection | ServerConnection,
        peer: Identity,
        dispatch: Dispatch,
        traffic: Traffic,
    ) -> None:
        self._socket = socket
        self._peer = peer
        self._dispatch = dispatch
        self._traffic = traffic
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Any]] = {}
        self._tasks = TaskGroup(owner=f"connection.{peer.name}")

    @property
    def peer(self) -> Identity:
        """The node at the other end."""
        return self._peer

    async def run(self) -> None:
        """Receive frames until the connection closes."""
        try:
            async for data in self._socket:
                self._receive(data)
        except (ConnectionClosed, ProtocolError) as error:
            logger.bind(step="receive", peer=self._peer.name).debug("closed: {}", error)
        finally:
            await self.close()

    async def close(self) -> None:
        """Close the websocket; pending requests end with an unknown outcome."""
        for future in self._pending.values():
            if not future.done():
                future.set_exception(self._lost("connection closed"))
        self._pending.clear()
        await self._tasks.stop()
        await self._socket.close()

    async def request(self, message: Any, *, timeout_s: float) -> Any:
        """Send `message` and return the reply; errors as in `flamingoshelf.base.NodeLink`."""
        number = next(self._numbers)
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        try:
            async with asyncio.timeout(timeout_s):
                await self._send(FrameKind.REQUEST, number, message)
                return await future
        except TimeoutError as error:
            raise self._lost(f"no reply within {timeout_s} s") from error
        except ConnectionClosed as error:
            raise self._lost("connection closed") from error
        finally:
            self._pending.pop(number, None)

    async def notify(self, message: Any) -> None:
        """Send `message` without a reply."""
        await self._send(FrameKind.NOTIFICATION, 0, message)

    async def _send(self, kind: FrameKind, number: int, message: Any) -> None:
        data = encode_frame(Frame(kind=kind, number=number, message=message))
        self._traffic.sent_bytes += len(data)
        await self._socket.send(data)

    def _receive(self, data: str | bytes) -> None:
        if isinstance(data, str):
            raise ProtocolError("text frame", step="receive", peer=self._peer.name)
        self._traffic.received_bytes += len(data)
        frame = decode_frame(data, peer=self._peer.name)
        if frame.kind in (FrameKind.REPLY, FrameKind.ERROR):
            self._settle(frame)
        else:
            self._tasks.start(self._answer(frame), name="answer")

    def _settle(self, frame: Frame) -> None:
        future = self._pending.get(frame.number)
        if future is None or future.done():
            return
        if frame.kind is FrameKind.REPLY:
            future.set_result(frame.message)
        else:
            failure: Failure = frame.message
            error = RemoteError(failure.reason, step=failure.step, peer=self._peer.name)
            future.set_exception(error)

    async def _answer(self, frame: Frame) -> None:
        try:
            reply = await self._dispatch(self._peer.name, frame.message)
            kind = FrameKind.REPLY
        except Exception as error:
            name = type(frame.message).__name__
            logger.bind(step=name, peer=self._peer.name).warning("handler failed: {!r}", error)
            reply = Failure(step=name, reason=str(error))
            kind = FrameKind.ERROR
        if frame.kind is FrameKind.REQUEST:
            await self._send(kind, frame.number, Acknowledgement() if reply is None else reply)

    def _lost(self, reason: str) -> OutcomeUnknownError:
        return OutcomeUnknownError(reason, step="request", peer=self._peer.name)
