"""Pool of connections to backend servers."""

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Self

from loguru import logger

from flamingoshelf.exceptions import PeerUnreachableError
from flamingoshelf.http1._client import BackendConnection
from flamingoshelf.http1._heads import RequestHead
from flamingoshelf.utils import Pacer, TaskGroup

__all__ = ["ConnectionPool", "NoFreeConnectionError", "PooledCall"]

_CONNECT_TIMEOUT_S = 0.4  # connecting within a region takes a few milliseconds
_SWEEP_INTERVAL_S = 1.0  # idle connections are closed at most this long after they expire
_MAX_IDLE_S = 30.0  # well below the minutes after which servers usually close idle connections
_MAX_IDLE_CONNECTIONS_PER_SERVER = 16  # more than a node uses at one server at a time


class NoFreeConnectionError(PeerUnreachableError):
    """This node holds as many connections to the server as it may; nothing was sent."""


class PooledCall:
    """One request on a connection of a pool, for use with ``async with``.

    Attributes
    ----------
    connection : BackendConnection
        Connection that the request was written to.
    """

    def __init__(self, *, pool: "ConnectionPool", key: str, connection: BackendConnection) -> None:
        self._pool = pool
        self._key = key
        self.connection = connection

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        error_class: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.connection.finish()
        self._pool.return_connection(self._key, self.connection)


class ConnectionPool:
    """Connections to backend servers, kept between requests.

    Parameters
    ----------
    max_connections : callable
        ``max_connections(key)`` returns how many connections to a server this node may hold.
    pacer : Pacer, optional
        Shares the event loop among all connections whose bytes take long to parse.

    Notes
    -----
    Connections are kept by the server's identity and not by its address, since an address may be
    reassigned to another server.
    """

    def __init__(
        self, *, max_connections: Callable[[str], int], pacer: Pacer | None = None
    ) -> None:
        self._max_connections = max_connections
        self._pacer = pacer or Pacer()
        self._idle: dict[str, list[BackendConnection]] = {}
        self._in_use: dict[str, int] = {}
        self._opened = 0
        self._tasks = TaskGroup(owner="pool")

    @property
    def opened(self) -> int:
        """Number of connections that were opened."""
        return self._opened

    async def start(self) -> None:
        """Start closing connections that have been idle for too long."""
        self._tasks.start(self._close_expired(), name="sweep")

    async def stop(self) -> None:
        """Close all idle connections."""
        await self._tasks.stop()
        for key in list(self._idle):
            self.close_idle(key)

    def in_use(self, key: str) -> int:
        """Return the number of running requests at a server."""
        return self._in_use.get(key, 0)

    def has_idle(self, key: str) -> bool:
        """Return whether a connection to a server is open and idle."""
        return any(connection.is_reusable for connection in self._idle.get(key, ()))

    async def call(
        self,
        key: str,
        address: str,
        head: RequestHead,
        body: bytes,
        *,
        request_id: str | None = None,
        fresh: bool = False,
    ) -> PooledCall:
        """Write a request to a server, over a connection that has not carried its id before.

        Parameters
        ----------
        key : str
            Identity of the server.
        address : str
            ``ip:port`` of the server.
        head : RequestHead
            Head of the request, with its length.
        body : bytes
            Body of the request.
        request_id : str or None
            Id that the response names, None if it names none.
        fresh : bool
            Whether to open a new connection even if there are idle ones.

        Raises
        ------
        PeerUnreachableError
            Nothing was written.
        """
        if self.in_use(key) >= self._max_connections(key):
            raise NoFreeConnectionError("all connections are in use", step="connect", peer=address)
        self._in_use[key] = self.in_use(key) + 1
        try:
            connection = None if fresh else self._pop_idle(key, request_id)
            if connection is None:
                connection = await BackendConnection.open(
                    address, timeout_s=_CONNECT_TIMEOUT_S, pacer=self._pacer
                )
                self._opened += 1
            connection.send(head, body, request_id=request_id)
        except BaseException:
            self._decrement_in_use(key)
            raise
        return PooledCall(pool=self, key=key, connection=connection)

    def return_connection(self, key: str, connection: BackendConnection) -> None:
        """Keep a connection for other requests if it is reusable, or close it."""
        self._decrement_in_use(key)
        idle = self._idle.setdefault(key, [])
        if connection.is_reusable and len(idle) < _MAX_IDLE_CONNECTIONS_PER_SERVER:
            idle.append(connection)
        else:
            connection.close()

    def close_idle(self, key: str) -> None:
        """Close the idle connections to a server."""
        for connection in self._idle.pop(key, []):
            connection.close()

    def close_idle_except(self, keys: set[str]) -> None:
        """Close the idle connections to all servers except `keys`."""
        for key in self._idle.keys() - keys:
            self.close_idle(key)

    def _pop_idle(self, key: str, request_id: str | None) -> BackendConnection | None:
        """Return the idle connection that was used last, or None if there is none.

        The server may be about to close those that have been idle for longer. One that has carried
        the request before may yet bring a second copy of an earlier answer to it.
        """
        idle = self._idle.get(key, [])
        for connection in reversed(idle):
            if request_id is not None and connection.has_carried(request_id):
                continue
            idle.remove(connection)
            if connection.is_reusable and not connection.has_unread_bytes:
                return connection
            connection.close()
        return None

    def _decrement_in_use(self, key: str) -> None:
        count = self._in_use.get(key, 0) - 1
        if count > 0:
            self._in_use[key] = count
        else:
            self._in_use.pop(key, None)

    async def _close_expired(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            for key, idle in list(self._idle.items()):
                kept = [c for c in idle if c.is_reusable and c.idle_s < _MAX_IDLE_S]
                for connection in idle:
                    if connection not in kept:
                        logger.bind(peer=key, step="pool").debug("idle connection closed")
                        connection.close()
                if kept:
                    self._idle[key] = kept
                else:
                    del self._idle[key]
