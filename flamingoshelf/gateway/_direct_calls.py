"""Calls to backend servers over this node's own connections."""

import asyncio
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager

from loguru import logger

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.gateway._backend_response import (
    BackendResponse,
    EvacuatedError,
    NotRunError,
    ResponseFault,
    ServerPausedError,
    WrongInstanceError,
)
from flamingoshelf.gateway._wire import BackendResponseHead, WireFormat
from flamingoshelf.http1 import (
    BackendConnection,
    ConnectionPool,
    NoFreeConnectionError,
    PooledCall,
    RequestHead,
    ResponseHead,
)
from flamingoshelf.paths import PathService
from flamingoshelf.routing import BackendInstance, ServerNotices
from flamingoshelf.server_limits import StatedLimits
from flamingoshelf.utils import now_s

__all__ = ["DirectCalls"]

_DISCARD_TIMEOUT_S = 0.05  # the body of a refusal follows its head immediately
_MAX_STALE_ANSWERS = 2  # late responses to earlier requests skipped per request


class DirectCalls:
    """Writes requests to backend servers and validates the heads of their responses.

    Parameters
    ----------
    pool : ConnectionPool
        Connections reused across requests.
    wire : WireFormat
        Decodes heads.
    notices : ServerNotices
        Servers that leave, and pauses that they ask for; nothing is sent to a server in its pause.
    limits : StatedLimits
        Learns of the limits that servers state.
    paths : PathService
        Learns of answers and failures.
    is_evacuated : callable
        ``is_evacuated(instance)`` returns whether nothing may be sent to a server.
    """

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        wire: WireFormat,
        notices: ServerNotices,
        limits: StatedLimits,
        paths: PathService,
        is_evacuated: Callable[[BackendInstance], bool] = lambda instance: False,
    ) -> None:
        self._is_evacuated = is_evacuated
        self._pool = pool
        self._wire = wire
        self._notices = notices
        self._limits = limits
        self._paths = paths

    def has_open_connection(self, key: str) -> bool:
        """Return whether a connection to a server is open and idle."""
        return self._pool.has_idle(key)

    async def wait_for_connection(self, key: str, timeout_s: float) -> None:
        """Wait until a connection to a server may be used or opened, or for a time at most."""
        await self._pool.wait_for_connection(key, timeout_s)

    @asynccontextmanager
    async def exchange(
        self,
        instance: BackendInstance,
        head: RequestHead,
        body: bytes,
        *,
        request_id: str | None,
        fresh: bool = False,
        is_probe: bool = False,
        on_sent: Callable[[BackendConnection], None] = lambda connection: None,
    ) -> AsyncGenerator[BackendResponse, None]:
        """Send a request; leaving the context before the end of the body cancels it at the server.

        Parameters
        ----------
        instance : BackendInstance
            Server to call.
        head : RequestHead
            Head of the request, with its length.
        body : bytes
            Body of the request.
        request_id : str or None
            Identifier that the answer must name; None for a call that has none, whose answer isn't
            checked either.
        fresh : bool
            Whether to open a new connection even if there are idle ones.
        is_probe : bool
            Whether a failure gives no reason to check the path, as this call is such a check.
        on_sent : callable
            Called with the connection that the request was written to.

        Raises
        ------
        NotRunError
            The server did not run the request.
        PeerUnreachableError
            Nothing was sent.
        OutcomeUnknownError
            The server may have run the request, but gave no valid answer.
        """
        self._check_evacuation(instance)
        self._check_pause(instance)
        sent_s = now_s()
        pooled_call = await self._send(
            instance, head, body, request_id=request_id, fresh=fresh, is_probe=is_probe
        )
        self._limits.count_request(instance.run)
        async with pooled_call as pooled:
            connection = pooled.connection
            is_fresh = connection.calls == 1
            on_sent(connection)
            try:
                if request_id is None:
                    response = await self._read_own(instance, connection, sent_s=sent_s)
                else:
                    response = await self._read_response(
                        request_id, instance, connection, sent_s=sent_s
                    )
                self._paths.record_answer(instance.key, is_fresh=is_fresh, seconds=now_s() - sent_s)
                yield response
            except OutcomeUnknownError:
                if connection.is_closed and not is_probe:
                    self._paths.record_break(instance, is_fresh=is_fresh)
                raise

    async def _send(
        self,
        instance: BackendInstance,
        head: RequestHead,
        body: bytes,
        *,
        request_id: str | None,
        fresh: bool,
        is_probe: bool,
    ) -> PooledCall:
        try:
            return await self._pool.call(
                instance.key,
                instance.address,
                head,
                body,
                request_id=request_id,
                fresh=fresh,
                check=lambda: self._check_evacuation(instance),
            )
        except NoFreeConnectionError:  # says nothing about the path
            raise
        except PeerUnreachableError:
            if not is_probe:
                self._paths.record_refusal(instance)
            raise

    async def _read_own(
        self, instance: BackendInstance, connection: BackendConnection, *, sent_s: float
    ) -> BackendResponse:
        """Return the response to a call that originates at a node; such a call has no id."""
        head, answer = await self._read_answer(
            instance,
            connection,
            request_id=None,
            is_meant=lambda named: named is None or not connection.has_carried(named),
        )
        if answer.limit_per_s is not None:  # a report need not repeat the limit
            self._record_limit(instance, answer, sent_s=sent_s)
        return BackendResponse(head=head, is_signed=answer.is_signed, connection=connection)

    async def _read_response(
        self,
        request_id: str,
        instance: BackendInstance,
        connection: BackendConnection,
        *,
        sent_s: float,
    ) -> BackendResponse:
        """Return the response to a request.

        A response that names no request may be a late one if the connection carried another before.
        """
        head, answer = await self._read_answer(
            instance,
            connection,
            request_id=request_id,
            is_meant=lambda named: named == request_id or (named is None and connection.calls == 1),
        )
        self._record_limit(instance, answer, sent_s=sent_s)
        if answer.has_not_run:
            await _discard_body(connection)
        self._check_answer(answer, head, instance)
        return BackendResponse(head=head, is_signed=answer.is_signed, connection=connection)

    async def _read_answer(
        self,
        instance: BackendInstance,
        connection: BackendConnection,
        *,
        request_id: str | None,
        is_meant: Callable[[str | None], bool],
    ) -> tuple[ResponseHead, BackendResponseHead]:
        """Return the head of the first response that names a meant request; skip late ones.

        ``is_meant(named)`` returns whether a response that names that request, or none, is the
        answer to the call under way.
        """
        for _ in range(_MAX_STALE_ANSWERS + 1):
            head = await connection.read_head()
            answer = self._wire.decode_response_head(head)
            self._record_notices(instance, answer)
            if is_meant(answer.request_id):
                connection.accept_response()
                return head, answer
            logger.bind(
                request_id=request_id,
                step="answer",
                peer=instance.key,
                status=head.status,
                named=answer.request_id,
                calls=connection.calls,
            ).warning("skipped a late response to request {}", answer.request_id or "(no id)")
            await connection.skip_response()
        raise OutcomeUnknownError(ResponseFault.OTHER_REQUEST, step="answer", peer=instance.key)

    def _check_evacuation(self, instance: BackendInstance) -> None:
        """Raise `EvacuatedError` if a server's data centre is evacuated."""
        if self._is_evacuated(instance):
            raise EvacuatedError(instance)

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
        if answer.cold_s is not None:
            self._limits.cold.record_answer(instance, answer.cold_s)

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
