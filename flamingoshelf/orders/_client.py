"""Client interface for orders to backend servers, and its HTTP implementation."""

import asyncio
import json
from collections.abc import Mapping
from typing import Any, Protocol

import attrs
from aiosonic.exceptions import AiosonicError, BaseTimeout
from aiosonic.timeout import Timeouts
from result import Err, Ok, Result

from flamingoshelf.exceptions import EngineError
from flamingoshelf.http_client import new_http_client, read_content

__all__ = ["HttpOrderClient", "ObservedServer", "OrderClient", "ServerOrder"]

_REQUEST_TIMEOUT_S = 2.0
_STALE_FENCING_NUMBER_STATUS = 409


@attrs.frozen(kw_only=True)
class ServerOrder:
    """One order; idempotent.

    Parameters
    ----------
    role : str
        Role that the server should have.
    versions : mapping of str to str
        Version that the server should run, by model.
    fencing_number : int
        Fencing number of the sender's duty. Servers that check fencing numbers refuse an order
        with a lower number than the highest that they have seen.
    """

    role: str
    versions: Mapping[str, str]
    fencing_number: int


@attrs.frozen(kw_only=True)
class ObservedServer:
    """State of a backend server as reported by the server."""

    role: str
    versions: Mapping[str, str]
    is_loading: bool


class OrderClient(Protocol):
    """Sends orders to backend servers.

    Both methods raise `EngineError` if the server does not answer.
    """

    async def observe(self, address: str) -> ObservedServer:
        """Return the state of the server."""

    async def order(self, address: str, order: ServerOrder) -> Result[None, str]:
        """Send an order; return Err with a reason if the fencing number is outdated."""


class HttpOrderClient:
    """Orders over HTTP; implements `OrderClient`."""

    def __init__(self) -> None:
        self._client = new_http_client()

    async def observe(self, address: str) -> ObservedServer:
        """Return the state of the server."""
        _, document = await self._call("GET", address, b"")
        return ObservedServer(
            role=document["role"],
            versions=document["versions"],
            is_loading=document["is_loading"],
        )

    async def order(self, address: str, order: ServerOrder) -> Result[None, str]:
        """Send an order; return Err with a reason if the fencing number is outdated."""
        status, document = await self._call(
            "POST", address, json.dumps(attrs.asdict(order)).encode()
        )
        return Err(str(document)) if status == _STALE_FENCING_NUMBER_STATUS else Ok(None)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.connector.cleanup()

    async def _call(self, method: str, address: str, body: bytes) -> tuple[int, Any]:
        try:
            response = await self._client.request(
                f"http://{address}/orders",
                method=method,
                data=body or None,
                timeouts=Timeouts(
                    sock_connect=1.0,
                    sock_read=_REQUEST_TIMEOUT_S,
                    request_timeout=_REQUEST_TIMEOUT_S,
                ),
            )
            content = await read_content(response)
            if response.status_code not in (200, _STALE_FENCING_NUMBER_STATUS):
                raise EngineError(f"status {response.status_code}", step="order", peer=address)
            return response.status_code, json.loads(content)
        except (
            AiosonicError,
            BaseTimeout,
            OSError,
            ValueError,
            asyncio.IncompleteReadError,
        ) as error:
            raise EngineError(repr(error), step="order", peer=address) from error
