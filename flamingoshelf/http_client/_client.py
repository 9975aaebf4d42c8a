"""HTTP clients for calls to other systems."""

import aiosonic
from aiosonic.connectors import TCPConnector
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from flamingoshelf.http_client._bounded import BoundedConnection

__all__ = ["new_http_client"]

_MAX_CONNECTIONS = 1024  # with aiosonic's default of 30, calls waited for one another
_POOL_TIMEOUT_S = 1.0


def new_http_client(*, max_connections: int = _MAX_CONNECTIONS) -> aiosonic.HTTPClient:
    """Return a client with at most `max_connections` connections to all hosts together.

    Notes
    -----
    A call that gets no connection within a second fails with
    `aiosonic.exceptions.ConnectionPoolAcquireTimeout`; nothing was sent.
    """
    connector = TCPConnector(
        pool_configs={":default": PoolConfig(size=max_connections)},
        timeouts=Timeouts(pool_acquire=_POOL_TIMEOUT_S),
        connection_cls=BoundedConnection,
    )
    return aiosonic.HTTPClient(connector=connector)
