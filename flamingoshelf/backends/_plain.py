"""Client of plain services."""

import asyncio
from collections.abc import Mapping, Sequence
from contextvars import ContextVar

import aiosonic
import attrs
from aiosonic.connection import Connection
from aiosonic.connectors import TCPConnector
from aiosonic.exceptions import AiosonicError
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError

__all__ = ["PlainCall", "PlainReply", "PlainServiceClient"]

_CONNECT_TIMEOUT_S = 1.0
_POOL_TIMEOUT_S = 1.0
_MAX_CONNECTIONS = 1024
_MAX_REPLY_BYTES = 8 * 1024 * 1024
_BODILESS_STATUSES = frozenset({204, 304})
_CALL_ERRORS = (AiosonicError, OSError, asyncio.IncompleteReadError, ValueError, TimeoutError)


@attrs.frozen(kw_only=True)
class PlainCall:
    """One call to a plain service, without anything that names the caller's key."""

    method: str
    target: str
    headers: Sequence[tuple[str, str]]
    body: bytes


@attrs.frozen(kw_only=True)
class PlainReply:
    """Answer of a plain service."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@attrs.define
class _SendMark:
    """Whether a byte of the current call can have left."""

    is_set: bool = False


_send_mark: ContextVar[_SendMark] = ContextVar("_send_mark")


class _SingleUseConnection(Connection):
    """A connection that serves one call, whatever the server says about keeping it."""

    def reuse(self, urlparsed: object, verify: bool) -> bool:
        """Never serve a second call."""
        return False

    def keep_alive(self) -> None:
        """Leave the connection to be closed after the reply."""

    def write(self, data: bytes) -> None:
        """Mark the call as sent, then write."""
        _send_mark.get().is_set = True
        super().write(data)


class PlainServiceClient:
    """Calls plain services, each call over a connection of its own.

    Parameters
    ----------
    max_reply_bytes : int
        Largest reply that is accepted.

    Notes
    -----
    A kept connection that the server closes at the same moment leaves open whether a request was
    seen, and `aiosonic` sends PUT and DELETE again when such a connection drops. A connection is
    therefore never used twice, also when the server ignores ``Connection: close``.

    The mark that is set before the first write tells the two errors of `call` apart.
    """

    def __init__(self, *, max_reply_bytes: int = _MAX_REPLY_BYTES) -> None:
        self._max_reply_bytes = max_reply_bytes
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
            No byte of the call left.
        OutcomeUnknownError
            The call may have been carried out.
        """
        mark = _SendMark()
        _send_mark.set(mark)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(address, call, timeout_s=timeout_s)
        except _CALL_ERRORS as error:
            error_class = OutcomeUnknownError if mark.is_set else PeerUnreachableError
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
        if status < 200:
            raise ValueError(f"interim status {status} in place of a reply")
        if method == "HEAD" or status in _BODILESS_STATUSES:
            return b""
        length = response.headers.get("content-length")
        if not response.chunked and length is None:
            raise ValueError("reply without a length")
        if not response.chunked and int(length) == 0:
            return b""
        chunks: list[bytes] = []
        size = 0
        async for chunk in response.read_chunks():
            size += len(chunk)
            if size > self._max_reply_bytes:
                raise ValueError(f"reply has more than {self._max_reply_bytes} bytes")
            chunks.append(chunk)
        return b"".join(chunks)
