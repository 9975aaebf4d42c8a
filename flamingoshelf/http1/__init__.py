"""HTTP/1.1 server and client connections of the gateway, on `h11` and asyncio transports.

`uvicorn` and `aiosonic` do not expose what the gateway needs: bytes after a complete response, a
response that arrives before the request is written, and header limits and timeouts that change
while the process runs. See ``docs/design/gateway.md``.
"""

from flamingoshelf.http1._buffer_budget import BufferBudget
from flamingoshelf.http1._client import BackendConnection
from flamingoshelf.http1._exchange import BodyTooLargeError, Exchange
from flamingoshelf.http1._heads import Headers, RequestHead, ResponseHead
from flamingoshelf.http1._pool import (
    ConnectionPool,
    NoFreeConnectionError,
    PooledCall,
    SlowConnectionError,
)
from flamingoshelf.http1._server import ConnectionLimits, HttpServer

__all__ = [
    "BackendConnection",
    "BodyTooLargeError",
    "BufferBudget",
    "ConnectionLimits",
    "ConnectionPool",
    "Exchange",
    "Headers",
    "HttpServer",
    "NoFreeConnectionError",
    "PooledCall",
    "RequestHead",
    "ResponseHead",
    "SlowConnectionError",
]
