"""Sends requests to backend servers and validates the heads of their responses."""

import asyncio
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager
from enum import StrEnum

import attrs
from loguru import logger

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.gateway._admission import AdmittedRequest
from flamingoshelf.gateway._wire import BackendCall, BackendResponseHead, KvHandle, WireFormat
from flamingoshelf.http1 import BackendConnection, ConnectionPool, RequestHead, ResponseHead
from flamingoshelf.routing import BackendInstance, ServerNotices
from flamingoshelf.server_limits import StatedLimits
from flamingoshelf.utils import TaskGroup, now_s

__all__ = [
    "BackendClient",
    "BackendResponse",
    "NotRunError",
    "ServerPausedError",
    "WrongInstanceError",
]

_RELEASE_HANDLE_TIMEOUT_S = 0.5  # lifetime of a handle; later it has expired anyway
_DISCARD_TIMEOUT_S = 0.05  # the body of a refusal follows its head immediately
_MAX_HANDLE_BYTES = 16 * 1024  # a handle has some hundred bytes
_MAX_CALL_BYTES = 1024 * 1024  # a report lists each run in some tens of bytes
_MAX_STALE_ANSWERS = 2  # late responses to earlier requests skipped per request


class NotRunError(PeerUnreachableError):
    """The server states that it did not run the request and will not run it."""


class ServerPausedError(NotRunError):
    """The server wants no requests from this node for a time.

    Parameters
    ----------
    message, step, peer : str
        As in `FlamingoshelfError`.
    pause_s : float
        Seconds until the pause ends.
    was_sent : bool
        Whether the request was sent and turned away, rather than held back by this node.
    """

    def __init__(
        self, message: str, *, step: str, peer: str = "", pause_s: float, was_sent: bool
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.pause_s = pause_s
        self.was_sent = was_sent


class WrongInstanceError(NotRunError):
    """The address belongs to another server than the expected one."""


class ResponseFault(StrEnum):
    """Why a response is not accepted as the server's answer."""

    OTHER_REQUEST = "answers no known request"
    ENCODED = "has an encoding that was not asked for"


@attrs.frozen(kw_only=True)
class BackendResponse:
    """A response whose head was validated as the answer to the request.

    Parameters
    ----------
    head : ResponseHead
        Status and headers.
    is_signed : bool
        Whether it carries the server's signature.
    connection : BackendConnection
        Connection to read the body from.
    """

    head: ResponseHead
    is_signed: bool
    connection: BackendConnection

    async def read(self) -> bytes:
        """Return the next bytes of the body, or empty bytes at its regular end."""
        return await self.connection.read()

    async def read_all(self, *, limit: int) -> bytes | None:
        """Return the whole body, or None if it has more than `limit` bytes."""
        return await _read_all(self.connection, limit=limit)


class BackendClient:
    """Sends requests to backend servers.

    Parameters
    ----------
    pool : ConnectionPool
        Connections reused across requests.
    wire : WireFormat
        Encodes and decodes heads.
    notices : ServerNotices
        Servers that leave, and pauses that they ask for; nothing is sent to a server in its pause.
    limits : StatedLimits
        Learns of the limits that servers state.
    """

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        wire: WireFormat,
        notices: ServerNotices,
        limits: StatedLimits,
    ) -> None:
        self._notices = notices
        self._limits = limits
        self._pool = pool
        self._wire = wire
        self._tasks = TaskGroup(owner="backend_client")

    async def stop(self) -> None:
        """Cancel background calls."""
        await self._tasks.stop()

    @asynccontextmanager
    async def send(
        self,
        request: AdmittedRequest,
        call: BackendCall,
        *,
        fresh: bool = False,
        on_sent: Callable[[BackendConnection], None] = lambda connection: None,
    ) -> AsyncGenerator[BackendResponse, None]:
        """Send a request; leaving the context before the end of the body cancels it at the server.

        With `fresh`, a new connection is opened even if there are idle ones. `on_sent` is called
        with the connection that the request was written to.

        Raises
        ------
        NotRunError
            The server did not run the request.
        PeerUnreachableError
            Nothing was sent.
        OutcomeUnknownError
            The server may have run the request, but gave no valid answer.
        """
        instance = call.instance
        self._check_pause(instance)
        head = self._wire.encode_request(request.head, call, body_bytes=len(request.body))
        sent_s = now_s()
        self._limits.count_request(instance.run)
        async with await self._pool.call(
            instance.key, instance.address, head, request.body, fresh=fresh
        ) as pooled:
            on_sent(pooled.connection)
            yield await self._read_response(request, instance, pooled.connection, sent_s=sent_s)

    async def prefill(self, request: AdmittedRequest, call: BackendCall) -> KvHandle:
        """Run a prefill and return its KV cache handle; errors as in `send`."""
        async with self.send(request, call) as response:
            body = await response.read_all(limit=_MAX_HANDLE_BYTES)
            if response.head.status != 200 or body is None:
                raise OutcomeUnknownError(
                    f"status {response.head.status}", step="prefill", peer=call.instance.key
                )
            try:
                return self._wire.decode_handle(body, call.instance)
            except ValueError as error:
                raise OutcomeUnknownError(
                    f"no handle: {error}", step="prefill", peer=call.instance.key
                ) from error

    async def call(
        self,
        instance: BackendInstance,
        head: RequestHead,
        body: bytes,
        *,
        step: str,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        """Send a call that originates at this node; return status and body of the response.

        Raises
        ------
        PeerUnreachableError
            The call was not sent.
        OutcomeUnknownError
            The call may have taken effect, but no complete answer arrived in time.
        """
        self._check_pause(instance)
        sent_s = now_s()
        try:
            async with asyncio.timeout(timeout_s):
                async with await self._pool.call(
                    instance.key, instance.address, head, body
                ) as pooled:
                    answer = await pooled.connection.read_head()
                    decoded = self._wire.decode_response_head(answer)
                    self._record_notices(instance, decoded)
                    if decoded.limit_per_s is not None:  # a report need not repeat the limit
                        self._record_limit(instance, decoded, sent_s=sent_s)
                    content = await _read_all(pooled.connection, limit=_MAX_CALL_BYTES)
                    if content is None:
                        reason = f"its answer has more than {_MAX_CALL_BYTES} bytes"
                        raise OutcomeUnknownError(reason, step=step, peer=instance.key)
                    return answer.status, content
        except TimeoutError as error:
            reason = f"no answer within {timeout_s} s"
            raise OutcomeUnknownError(reason, step=step, peer=instance.key) from error

    def release_handle(self, handle: KvHandle, instance: BackendInstance) -> None:
        """Release a KV cache handle in the background.

        That of an engine at its limit expires by itself soon.
        """
        if self._limits.limit(instance.run) is not None:
            logger.bind(step="free_handle", peer=instance.key).debug(
                "handle not released; the engine limits its requests"
            )
            return
        self._tasks.start(self._send_handle_release(handle, instance), name="free_handle")

    async def _send_handle_release(self, handle: KvHandle, instance: BackendInstance) -> None:
        head = self._wire.encode_handle_release(handle, instance)
        try:
            await self.call(
                instance, head, b"", step="free_handle", timeout_s=_RELEASE_HANDLE_TIMEOUT_S
            )
        except (PeerUnreachableError, OutcomeUnknownError) as error:
            logger.bind(step="free_handle", peer=instance.key).info(
                "handle release not confirmed; the handle will expire: {!r}", error
            )

    async def _read_response(
        self,
        request: AdmittedRequest,
        instance: BackendInstance,
        connection: BackendConnection,
        *,
        sent_s: float,
    ) -> BackendResponse:
        """Return the response to `request`; skip late responses to other requests.

        A response that names no request is late as well if the connection carried another one
        before.
        """
        for _ in range(_MAX_STALE_ANSWERS + 1):
            head = await connection.read_head()
            answer = self._wire.decode_response_head(head)
            self._record_notices(instance, answer)
            names_none = answer.request_id is None
            if answer.request_id == request.request_id or (names_none and connection.calls == 1):
                self._record_limit(instance, answer, sent_s=sent_s)
                if answer.has_not_run:
                    await _discard_body(connection)
                self._check_answer(answer, head, instance)
                return BackendResponse(head=head, is_signed=answer.is_signed, connection=connection)
            logger.bind(request_id=request.request_id, step="answer", peer=instance.key).warning(
                "skipped a late response to request {}", answer.request_id or "(no id)"
            )
            await connection.skip_response()
        raise OutcomeUnknownError(ResponseFault.OTHER_REQUEST, step="answer", peer=instance.key)

    def _check_pause(self, instance: BackendInstance) -> None:
        """Raise `ServerPausedError` if the server wants nothing from this node now."""
        pause_s = self._notices.pause_s(instance)
        if pause_s > 0:
            raise ServerPausedError(
                f"asked for a pause of another {pause_s:.1f} s",
                step="pause",
                peer=instance.key,
                pause_s=pause_s,
                was_sent=False,
            )

    def _record_notices(self, instance: BackendInstance, answer: BackendResponseHead) -> None:
        """Record what the server states about itself, unless another one has its address."""
        if answer.is_wrong_instance:
            return
        if answer.is_leaving:
            self._notices.record_leaving(instance.run, source="server")
        if answer.pause_s is not None:
            self._notices.record_pause(instance, answer.pause_s)

    def _record_limit(
        self, instance: BackendInstance, answer: BackendResponseHead, *, sent_s: float
    ) -> None:
        """Record the limit that the answer to a request sent at `sent_s` states, or its end."""
        if not answer.is_wrong_instance:
            self._limits.record_answer(instance.run, answer.limit_per_s, sent_s=sent_s)

    def _check_answer(
        self, answer: BackendResponseHead, head: ResponseHead, instance: BackendInstance
    ) -> None:
        """Raise unless the head belongs to an answer of the expected server."""
        if answer.is_wrong_instance:
            raise WrongInstanceError("another server", step="answer", peer=instance.key)
        if answer.has_not_run and answer.pause_s is not None:
            raise ServerPausedError(
                f"status {head.status}, asks for a pause",
                step="answer",
                peer=instance.key,
                pause_s=self._notices.pause_s(instance),
                was_sent=True,
            )
        if answer.has_not_run:
            raise NotRunError(f"status {head.status}", step="answer", peer=instance.key)
        if answer.is_encoded:
            raise OutcomeUnknownError(ResponseFault.ENCODED, step="answer", peer=instance.key)
        if head.is_success and answer.request_id is None:
            raise OutcomeUnknownError(ResponseFault.OTHER_REQUEST, step="answer", peer=instance.key)


async def _read_all(connection: BackendConnection, *, limit: int) -> bytes | None:
    """Return the whole body, or None if it has more than `limit` bytes."""
    parts = []
    size = 0
    while part := await connection.read():
        size += len(part)
        if size > limit:
            return None
        parts.append(part)
    return b"".join(parts)


async def _discard_body(connection: BackendConnection) -> None:
    """Read and drop a short body, so that the connection can be reused."""
    try:
        async with asyncio.timeout(_DISCARD_TIMEOUT_S):
            while await connection.read():
                pass
    except (OutcomeUnknownError, TimeoutError) as error:
        logger.bind(step="discard").debug(
            "response body not drained; closing the connection: {!r}", error
        )
