"""HTTP client for platform services, with typed errors."""

import asyncio
from collections.abc import Mapping

import attrs
from aiosonic.exceptions import (
    AiosonicError,
    BaseTimeout,
    ConnectionPoolAcquireTimeout,
    ConnectTimeout,
)
from aiosonic.timeout import Timeouts

from flamingoshelf.exceptions import ObjectServiceError, OutcomeUnknownError
from flamingoshelf.http_client import new_http_client, read_content

__all__ = ["HttpAnswer", "PlatformHttpClient"]

_CONNECT_TIMEOUT_S = 2.0
# Requests with these statuses were not executed. Other server errors may follow the effect.
_NOT_EXECUTED_STATUSES = frozenset({429, 503})


@attrs.frozen(kw_only=True)
class HttpAnswer:
    """Status, headers with lower-case names, and body of a response."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class PlatformHttpClient:
    """Call one platform service over HTTP.

    Parameters
    ----------
    address : str
        ``ip:port`` of the service.
    timeout_s : float
        Timeout of one call in seconds.
    """

    def __init__(self, *, address: str, timeout_s: float = 3.0) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._client = new_http_client()

    async def call(
        self,
        method: str,
        path: str,
        *,
        step: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        extra_timeout_s: float = 0.0,
    ) -> HttpAnswer:
        """Send one request and return its response.

        `extra_timeout_s` is added to the timeout, for calls that wait at the service.

        Raises
        ------
        ObjectServiceError
            The service refused the request, or the request was not sent.
        OutcomeUnknownError
            The request may have been executed, but no response arrived or it was a server error.
        """
        timeout_s = self._timeout_s + extra_timeout_s
        try:
            response = await self._client.request(
                f"http://{self._address}{path}",
                method=method,
                data=body or None,
                headers=dict(headers or {}),
                timeouts=Timeouts(
                    sock_connect=_CONNECT_TIMEOUT_S,
                    sock_read=timeout_s,
                    request_timeout=timeout_s,
                ),
            )
            content = await read_content(response)
        except (ConnectTimeout, ConnectionPoolAcquireTimeout, ConnectionRefusedError) as error:
            raise ObjectServiceError(repr(error), step=step, peer=self._address) from error
        except (AiosonicError, BaseTimeout, OSError, asyncio.IncompleteReadError) as error:
            raise OutcomeUnknownError(repr(error), step=step, peer=self._address) from error
        message = f"status {response.status_code}"
        if response.status_code in _NOT_EXECUTED_STATUSES:
            raise ObjectServiceError(message, step=step, peer=self._address)
        if response.status_code >= 500:
            raise OutcomeUnknownError(message, step=step, peer=self._address)
        return HttpAnswer(
            status=response.status_code,
            headers={name.lower(): value for name, value in response.headers.items()},
            body=content,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.connector.cleanup()
