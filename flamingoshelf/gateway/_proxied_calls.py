"""Calls to backend servers that this node doesn't reach, made by another node in its place."""

import asyncio
from collections import deque
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager
from typing import Any, Protocol

from loguru import logger

from flamingoshelf.exceptions import (
    FlamingoshelfError,
    OutcomeUnknownError,
    PeerUnreachableError,
    ProtocolError,
)
from flamingoshelf.gateway._backend_response import (
    BackendResponse,
    EvacuatedError,
    NotRunError,
    ServerPausedError,
    WrongInstanceError,
)
from flamingoshelf.gateway._proxy_messages import (
    ConfirmRun,
    ProxyCall,
    ProxyEnd,
    ProxyFailure,
    ProxyFailureKind,
    ProxyHead,
    RunConfirmed,
)
from flamingoshelf.gateway._wire import WireFormat
from flamingoshelf.http1 import RequestHead, ResponseHead
from flamingoshelf.nodes import NodeChannel
from flamingoshelf.routing import BackendInstance, ServerNotices
from flamingoshelf.server_limits import StatedLimits
from flamingoshelf.utils import now_s

__all__ = ["ChannelLink", "PeerPassedError", "ProxiedCall", "ProxiedCalls"]

_CHUNK_BYTES = 256 * 1024  # of a body, in one frame
_CONFIRM_TIMEOUT_S = 2.0  # the other node asks the engine a few times
_MAX_BUFFERED_BYTES = 256 * 1024  # of a body that the caller takes more slowly than it arrives


class ChannelLink(Protocol):
    """Where channels to other nodes come from."""

    async def take_channel(self, peer: str) -> NodeChannel:
        """Return a channel to a peer; raise `PeerUnreachableError` if none opens."""

    def give_back_channel(self, channel: NodeChannel) -> None:
        """Keep a channel whose exchange has ended for another one."""


class PeerPassedError(PeerUnreachableError):
    """The other node could not make the call; nothing was sent to the server.

    Parameters
    ----------
    message, step, peer : str
        As in `FlamingoshelfError`; `peer` is the node.
    reason : ProxyFailureKind
        ``UNREACHABLE``; or ``BUSY`` or ``LEAVING`` if that node reaches the server.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str,
        reason: ProxyFailureKind = ProxyFailureKind.UNREACHABLE,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.reason = reason


class ProxiedCall:
    """One call that another node makes; a `BodySource`.

    Several tasks may wait for different messages: one of them reads for all.

    Parameters
    ----------
    channel : NodeChannel
        Channel that the call has to itself.
    instance : BackendInstance
        Server that is called.
    """

    def __init__(self, *, channel: NodeChannel, instance: BackendInstance) -> None:
        self._channel = channel
        self._instance = instance
        self._head: ResponseHead | None = None
        self._body: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._is_complete = False
        self._has_ended = False
        self._is_confirming = False
        self._is_confirmed: bool | None = None
        self._error: FlamingoshelfError | None = None
        self._is_reading = False
        self._changed = asyncio.Event()

    @property
    def has_ended(self) -> bool:
        """Whether the other node sends nothing more for this call."""
        return self._has_ended and not self._is_confirming

    @property
    def is_closed(self) -> bool:
        """Whether the connection to the server, or the one to the other node, has ended."""
        return self._error is not None or self._channel.is_closed

    async def read_head(self) -> ResponseHead:
        """Return the head of the answer; errors as in `DirectCalls.exchange`."""
        await self._wait_until(lambda: self._head is not None)
        assert self._head is not None
        return self._head

    async def read(self) -> bytes:
        """Return the next bytes of the body, or empty bytes at its regular end."""
        await self._wait_until(lambda: bool(self._body) or self._is_complete)
        if not self._body:
            return b""
        part = self._body.popleft()
        self._buffered_bytes -= len(part)
        self._notify()
        return part

    async def confirm_run(self) -> bool:
        """Return whether the server is the run that the call names, as the other node finds."""
        self._is_confirming = True
        try:
            async with asyncio.timeout(_CONFIRM_TIMEOUT_S):
                await self._channel.send(ConfirmRun())
                await self._wait_until(lambda: self._is_confirmed is not None)
        except (FlamingoshelfError, TimeoutError) as error:
            logger.bind(step="engine_run", peer=self._instance.key).info(
                "run of the engine not confirmed by {}: {!r}", self._channel.peer, error
            )
            return False
        return bool(self._is_confirmed)

    async def _wait_until(self, is_ready: Callable[[], bool]) -> None:
        while not is_ready():
            if self._error is not None:
                raise self._error
            if self._is_reading or self._buffered_bytes > _MAX_BUFFERED_BYTES:
                await self._changed.wait()
                continue
            self._is_reading = True
            try:
                self._take(await self._channel.receive())
            except (OutcomeUnknownError, ProtocolError) as error:
                self._error = OutcomeUnknownError(
                    f"lost by another node: {error.message}", step="proxy", peer=self._channel.peer
                )
            finally:
                self._is_reading = False
                self._notify()

    def _notify(self) -> None:
        """Wake all tasks that wait for a message, or for room in the buffer."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _take(self, received: Any) -> None:
        match received:
            case bytes():
                self._body.append(received)
                self._buffered_bytes += len(received)
            case ProxyHead():
                self._head = received.head
                if received.body is not None:
                    self._body.extend([received.body] if received.body else [])
                    self._buffered_bytes += len(received.body)
                    self._is_complete = self._has_ended = True
            case ProxyEnd():
                self._is_complete = self._has_ended = True
            case RunConfirmed():
                self._is_confirmed = received.is_confirmed
                self._is_confirming = False
            case ProxyFailure():
                self._has_ended = True
                self._error = _to_error(received, self._instance, peer=self._channel.peer)
            case _:
                raise ProtocolError(
                    f"unexpected {type(received).__name__}", step="proxy", peer=self._channel.peer
                )


class ProxiedCalls:
    """Makes calls through other nodes; each is made by one node, which passes it on to no other.

    Parameters
    ----------
    wire : WireFormat
        Decodes heads.
    notices : ServerNotices
        Learns of servers that leave. A pause that a server asks for holds for the other node.
    limits : StatedLimits
        Learns of the limits that servers state.
    is_evacuated : callable
        ``is_evacuated(instance)`` returns whether nothing may be sent to a server.
    """

    def __init__(
        self,
        *,
        wire: WireFormat,
        notices: ServerNotices,
        limits: StatedLimits,
        is_evacuated: Callable[[BackendInstance], bool] = lambda instance: False,
    ) -> None:
        self._is_evacuated = is_evacuated
        self._wire = wire
        self._notices = notices
        self._limits = limits
        self._link: ChannelLink | None = None
        self._running: dict[str, int] = {}

    def connect(self, link: ChannelLink) -> None:
        """Use the channels of a link from now on."""
        self._link = link

    def running(self, peer: str) -> int:
        """Return the number of running calls that a node makes."""
        return self._running.get(peer, 0)

    @asynccontextmanager
    async def exchange(
        self,
        peer: str,
        instance: BackendInstance,
        head: RequestHead,
        body: bytes,
        *,
        request_id: str | None,
        on_sent: Callable[[ProxiedCall], None] = lambda call: None,
    ) -> AsyncGenerator[BackendResponse, None]:
        """Let another node send a request; leaving the context early cancels it at the server.

        Parameters and errors are those of `DirectCalls.exchange`.

        Raises
        ------
        PeerPassedError
            That node has not sent the request.
        """
        if self._is_evacuated(instance):
            raise EvacuatedError(instance)
        channel = await self._take_channel(peer)
        self._running[peer] = self.running(peer) + 1
        call = ProxiedCall(channel=channel, instance=instance)
        sent_s = now_s()
        try:
            await self._send(channel, instance, head, body, request_id=request_id)
            on_sent(call)
            answer_head = await call.read_head()
            answer = self._wire.decode_response_head(answer_head)
            if answer.is_leaving:
                self._notices.record_leaving(instance.run, source=peer)
            if answer.cold_s is not None and not answer.is_wrong_instance:
                self._limits.cold.record_answer(instance, answer.cold_s)
            if request_id is not None or answer.limit_per_s is not None:
                self._limits.record_answer(instance.run, answer.limit_per_s, sent_s=sent_s)
            yield BackendResponse(head=answer_head, is_signed=answer.is_signed, connection=call)
        except PeerPassedError as error:
            if error.reason is ProxyFailureKind.LEAVING:
                self._notices.record_leaving(instance.run, source=peer)
            raise
        finally:
            self._running[peer] -= 1
            if not self._running[peer]:
                del self._running[peer]
            self._release(channel, call)

    async def _take_channel(self, peer: str) -> NodeChannel:
        if self._link is None:
            raise PeerPassedError("not connected to the fleet", step="proxy", peer=peer)
        try:
            return await self._link.take_channel(peer)
        except PeerUnreachableError as error:
            raise PeerPassedError(error.message, step="proxy", peer=peer) from error

    async def _send(
        self,
        channel: NodeChannel,
        instance: BackendInstance,
        head: RequestHead,
        body: bytes,
        *,
        request_id: str | None,
    ) -> None:
        await channel.send(
            ProxyCall(
                server=instance.instance_id,
                service=instance.service,
                address=instance.address,
                started_ms=instance.started_ms,
                request_id=request_id,
                method=head.method,
                target=head.target,
                headers=tuple(head.headers),
                body_bytes=len(body),
            )
        )
        for begin in range(0, len(body), _CHUNK_BYTES):
            await channel.send(body[begin : begin + _CHUNK_BYTES])

    def _release(self, channel: NodeChannel, call: ProxiedCall) -> None:
        """Keep the channel of a call that has ended, or close it to cancel the call."""
        if call.has_ended and self._link is not None:
            self._link.give_back_channel(channel)
        else:
            channel.abort()


def _to_error(failure: ProxyFailure, instance: BackendInstance, *, peer: str) -> FlamingoshelfError:
    """Return the error that a call ends with here, as it ended at another node."""
    text = f"{failure.text} at {peer}"
    match failure.kind:
        case ProxyFailureKind.UNREACHABLE | ProxyFailureKind.BUSY | ProxyFailureKind.LEAVING:
            return PeerPassedError(text, step="proxy", peer=peer, reason=failure.kind)
        case ProxyFailureKind.PAUSED:
            return ServerPausedError(
                text,
                step="proxy",
                peer=instance.key,
                pause_s=failure.pause_s,
                was_sent=failure.was_sent,
            )
        case ProxyFailureKind.NOT_RUN:
            return NotRunError(text, step="proxy", peer=instance.key)
        case ProxyFailureKind.WRONG_INSTANCE:
            return WrongInstanceError(text, step="proxy", peer=instance.key)
    return OutcomeUnknownError(text, step="proxy", peer=instance.key)
