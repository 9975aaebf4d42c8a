"""Client of plain services."""

import asyncio
from collections.abc import Mapping, Sequence

import attrs
from aiosonic.exceptions import (
    AiosonicError,
    BaseTimeout,
    ConnectionPoolAcquireTimeout,
    ConnectTimeout,
)
from aiosonic.timeout import Timeouts

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.utils import new_http_client

__all__ = ["PlainCall", "PlainReply", "PlainServiceClient"]

_CONNECT_TIMEOUT_S = 1.0


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


class PlainServiceClient:
    """Calls plain services, each over a connection of its own.

    Notes
    -----
    A kept connection that the server closes at the same moment leaves open whether a request was
    seen. With a new connection, a failed connect proves that no byte of the request left.
    """

    def __init__(self) -> None:
        self._client = new_http_client()

    async def call(self, address: str, call: PlainCall, *, timeout_s: float) -> PlainReply:
        """Send `call` to the server at `address` once.

        Raises
        ------
        PeerUnreachableError
            No byte of the call left.
        OutcomeUnknownError
            The call may have been carried out.
        """
        headers = [*call.headers, ("Connection", "close")]
        try:
            response = await self._client.request(
                f"http://{address}{call.target}",
                method=call.method,
                data=call.body or None,
                headers=headers,
                timeouts=Timeouts(
                    sock_connect=_CONNECT_TIMEOUT_S, sock_read=timeout_s, request_timeout=timeout_s
                ),
            )
            body = await response.content()
        except (ConnectTimeout, ConnectionPoolAcquireTimeout, ConnectionRefusedError) as error:
            raise PeerUnreachableError(repr(error), step="call", peer=address) from error
        except (AiosonicError, BaseTimeout, OSError, asyncio.IncompleteReadError) as error:
            raise OutcomeUnknownError(repr(error), step="call", peer=address) from error
        return PlainReply(
            status=response.status_code, headers=dict(response.headers.items()), body=body
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.connector.cleanup()
