"""Client of plain services."""

import asyncio
from collections.abc import Mapping, Sequence
from contextvars import ContextVar

import aiosonic
import attrs
from aiosonic.connectors import TCPConnector
from aiosonic.exceptions import AiosonicError
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.http_client import MAX_ANSWER_BYTES, BoundedConnection
from flamingoshelf.utils import Pacer

__all__ = ["PlainCall", "PlainReply", "PlainServiceClient"]

_CONNECT_TIMEOUT_S = 1.0
_POOL_TIMEOUT_S = 1.0
_MAX_CONNECTIONS = 1024
_MAX_CHUNKS_PER_TURN = 32  # each takes some 10 us
_MAX_STATUS = 599  # codes above have no meaning in HTTP
_BODILESS_STATUSES = frozenset({204, 304})
_CALL_ERRORS = (AiosonicError, OSError, asyncio.IncompleteReadError, ValueError, TimeoutError)


@attrs.frozen(kw_only=True)
class PlainCall:
    """One call to a plain service; it must not contain the caller's key."""

    method: str
    target: str
    headers: Sequence[tuple[str, str]]
    body: bytes


@attrs.frozen(kw_only=True)
class PlainReply:
    """Response of a plain service."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@attrs.define
class _SendState:
    """Whether a byte of the current call may have been sent."""

    may_have_sent: bool = False


_send_state: ContextVar[_SendState] = ContextVar("_send_state")


class _SingleUseConnection(BoundedConnection):
    """Connection that serves one call, even if the server offers to keep it alive."""

    def reuse(self, urlparsed: object, verify: bool) -> bool:
        """Never serve a second call."""
        return False

    def keep_alive(self) -> None:
        """Do nothing, so that the connection is closed after the reply."""

    def write(self, data: bytes) -> None:
        """Record that the call may have been sent, then write."""
        _send_state.get().may_have_sent = True
        super().write(data)


class PlainServiceClient:
    """Calls plain services, each call over a new connection.

    Parameters
    ----------
    max_reply_bytes : int
        Maximum size of a reply body.

    Notes
    -----
    If a server closes a kept-alive connection while a request is sent, it is unknown whether the
    server received the request, and `aiosonic` sends PUT and DELETE again when such a connection
    drops. A connection is therefore never reused, even if the server ignores ``Connection: close``.

    A flag that is set before the first write decides which of its two errors `call` raises.
    """

    def __init__(self, *, max_reply_bytes: int = MAX_ANSWER_BYTES) -> None:
        self._max_reply_bytes = max_reply_bytes
        self._pacer = Pacer()
        connector = TCPConnector(
            pool_configs={":default": PoolConfig(size=_MAX_CONNECTIONS)},
            timeouts=Timeouts(pool_acquire=_POOL_TIMEOUT_S),
            connection_cls=_SingleUseConnection,
        )
        self._client = aiosonic.HTTPClient(connector=connector, trust_env=False)

    async def call(self, address: str, call: PlainCall, *, timeout_s: float) -> PlainReply:
        """Send `call` to the server at `address` once.

        Raises
        ------
        PeerUnreachableError
            No byte of the call was sent.
        OutcomeUnknownError
            The call may have been executed, or its reply was not valid.
        """
        send_state = _SendState()
        _send_state.set(send_state)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(address, call, timeout_s=timeout_s)
        except _CALL_ERRORS as error:
            error_class = OutcomeUnknownError if send_state.may_have_sent else PeerUnreachableError
            raise error_class(repr(error), step="call", peer=address) from error

    async def close(self) -> None:
        """Close all connections."""
        await self._client.connector.cleanup()

    async def _exchange(self, address: str, call: PlainCall, *, timeout_s: float) -> PlainReply:
        response = await self._client.request(
            f"http://{address}{call.target}",
            method=call.method,
            data=call.body or None,
            headers=[*call.headers, ("Connection", "close")],
            timeouts=Timeouts(
                sock_connect=_CONNECT_TIMEOUT_S, sock_read=timeout_s, request_timeout=None
            ),
            follow=False,
            stream=True,
        )
        try:
            body = await self._read_body(response, method=call.method)
        finally:
            await response.aclose()
        headers = {name.lower(): value for name, value in response.headers.items()}
        return PlainReply(status=response.status_code, headers=headers, body=body)

    async def _read_body(self, response: aiosonic.HttpResponse, *, method: str) -> bytes:
        status = response.status_code
        if not 200 <= status <= _MAX_STATUS:
            raise ValueError(f"status {status} instead of that of a final reply")
        if method == "HEAD" or status in _BODILESS_STATUSES:
            return b""
        length = response.headers.get("content-length")
        if not response.chunked and length is None:
            raise ValueError("reply has neither Content-Length nor chunked encoding")
        if not response.chunked and int(length) == 0:
            return b""
        body = bytearray()
        number = 0
        async for chunk in response.read_chunks():
            body += chunk
            if len(body) > self._max_reply_bytes:
                raise ValueError(f"reply exceeds {self._max_reply_bytes} bytes")
            number += 1
            if number % _MAX_CHUNKS_PER_TURN == 0:  # those that have arrived are read at once
                await self._pacer.turn()
        return bytes(body)
