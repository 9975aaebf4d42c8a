"""Pool of connections to backend servers."""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from types import TracebackType
from typing import Self

import attrs
from loguru import logger

from flamingoshelf.exceptions import PeerUnreachableError
from flamingoshelf.http1._buffer_budget import BufferBudget
from flamingoshelf.http1._client import BackendConnection
from flamingoshelf.http1._heads import RequestHead
from flamingoshelf.utils import Pacer, TaskGroup, now_s

__all__ = ["ConnectionPool", "NoFreeConnectionError", "PooledCall", "SlowConnectionError"]

_CONNECT_TIMEOUT_S = 0.4  # connecting within a region takes a few milliseconds
_SWEEP_INTERVAL_S = 1.0  # idle connections are closed at most this long after they expire
_IDLE_WAIT_S = 0.1  # for an open connection; a plain call takes some 20 ms
_MAX_IDLE_S = 30.0  # well below the minutes after which servers usually close idle connections
_MAX_IDLE_CONNECTIONS_PER_SERVER = 16  # more than a node uses at one server at a time


class NoFreeConnectionError(PeerUnreachableError):
    """This node holds as many connections to the server as it may; nothing was sent."""


class SlowConnectionError(NoFreeConnectionError):
    """New connections to the server are slow, and all open ones are in use; nothing was sent."""


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


@attrs.define(kw_only=True, eq=False)
class _ServerConnections:
    """Connections to one server.

    Attributes
    ----------
    calls : int
        Calls that run, or that wait for a connection.
    connecting : int
        Connections that are being established.
    lent : list of BackendConnection
        Connections that carry a call.
    idle : list of BackendConnection
        Connections that wait for a call; that used last is the last one.
    waiting : deque of Future
        Calls that wait for a connection, in the order in which they began to.
    """

    calls: int = 0
    connecting: int = 0
    lent: list[BackendConnection] = attrs.field(factory=list)
    idle: list[BackendConnection] = attrs.field(factory=list)
    waiting: deque[asyncio.Future[None]] = attrs.field(factory=deque)

    @property
    def opening(self) -> int:
        """Number of connections that have not brought any answer yet."""
        return self.connecting + sum(not connection.has_answered for connection in self.lent)

    @property
    def may_be_returned(self) -> bool:
        """Whether a connection is lent that has brought answers before."""
        return any(connection.has_answered for connection in self.lent)

    async def wait(self, timeout_s: float) -> None:
        """Wait until `wake`, or for a time at most."""
        woken = asyncio.get_running_loop().create_future()
        self.waiting.append(woken)
        try:
            await asyncio.wait({woken}, timeout=timeout_s)
        finally:
            woken.cancel()

    def wake(self, count: float) -> None:
        """Wake the calls that have waited longest."""
        while self.waiting and count >= 1:
            woken = self.waiting.popleft()
            if not woken.done():
                woken.set_result(None)
                count -= 1


class ConnectionPool:
    """Connections to backend servers, kept between requests.

    Parameters
    ----------
    max_connections : callable
        ``max_connections(key)`` returns how many connections to a server this node may hold.
    max_opening : callable, optional
        ``max_opening(key)`` returns how many new connections to a server may wait for their first
        answers at a time. Beyond it, calls wait for one that is in use. No bound by default.
    pacer : Pacer, optional
        Shares the event loop among all connections whose bytes take long to parse.
    budget : BufferBudget, optional
        Bounds what all connections together have read ahead of their callers.

    Notes
    -----
    Connections are kept by the server's identity and not by its address, since an address may be
    reassigned to another server.
    """

    def __init__(
        self,
        *,
        max_connections: Callable[[str], int],
        max_opening: Callable[[str], float] = lambda key: math.inf,
        pacer: Pacer | None = None,
        budget: BufferBudget | None = None,
    ) -> None:
        self._max_connections = max_connections
        self._max_opening = max_opening
        self._pacer = pacer or Pacer()
        self._budget = budget or BufferBudget()
        self._servers: dict[str, _ServerConnections] = {}
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
        for key in list(self._servers):
            self.close_idle(key)

    def in_use(self, key: str) -> int:
        """Return the number of running requests at a server."""
        server = self._servers.get(key)
        return 0 if server is None else server.calls

    def has_idle(self, key: str) -> bool:
        """Return whether a connection to a server is open and idle."""
        server = self._servers.get(key)
        return server is not None and any(connection.is_reusable for connection in server.idle)

    async def call(
        self,
        key: str,
        address: str,
        head: RequestHead,
        body: bytes,
        *,
        request_id: str | None = None,
        fresh: bool = False,
        check: Callable[[], None] = lambda: None,
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
            Whether to open a new connection, even if there are idle ones or many being opened.
        check : callable
            Called once there is a connection; nothing is written if it raises.

        Raises
        ------
        SlowConnectionError
            No more connections may be opened now, and none has become idle; nothing was written.
        PeerUnreachableError
            Nothing was written.
        """
        if self.in_use(key) >= self._max_connections(key):
            raise NoFreeConnectionError("all connections are in use", step="connect", peer=address)
        server = self._servers.setdefault(key, _ServerConnections())
        server.calls += 1
        try:
            connection = None
            if not fresh:
                connection = await self._find_idle(key, server, request_id, peer=address)
            if connection is None:
                connection = await self._open(server, address)
            try:
                check()
            except BaseException:
                server.idle.append(connection)
                raise
            connection.send(head, body, request_id=request_id)
        except BaseException:
            self._end_call(key, server)
            raise
        server.lent.append(connection)
        return PooledCall(pool=self, key=key, connection=connection)

    def return_connection(self, key: str, connection: BackendConnection) -> None:
        """Keep a connection for other requests if it is reusable, or close it."""
        server = self._servers[key]
        server.lent.remove(connection)
        if connection.is_reusable and len(server.idle) < _MAX_IDLE_CONNECTIONS_PER_SERVER:
            server.idle.append(connection)
        else:
            connection.close()
        if server.waiting:
            server.wake(1 + max(0, self._max_opening(key) - server.opening))
        self._end_call(key, server)

    async def wait_for_connection(self, key: str, timeout_s: float) -> None:
        """Wait until a connection to a server may be used or opened, or for a time at most."""
        server = self._servers.setdefault(key, _ServerConnections())
        server.calls += 1
        try:
            await server.wait(timeout_s)
        finally:
            self._end_call(key, server)

    def close_idle(self, key: str) -> None:
        """Close the idle connections to a server."""
        server = self._servers.get(key)
        if server is None:
            return
        for connection in server.idle:
            connection.close()
        server.idle.clear()
        self._drop_if_unused(key, server)

    def close_idle_except(self, keys: set[str]) -> None:
        """Close the idle connections to all servers except `keys`."""
        for key in self._servers.keys() - keys:
            self.close_idle(key)

    async def _open(self, server: _ServerConnections, address: str) -> BackendConnection:
        server.connecting += 1
        try:
            connection = await BackendConnection.open(
                address,
                timeout_s=_CONNECT_TIMEOUT_S,
                pacer=self._pacer,
                budget=self._budget,
            )
        finally:
            server.connecting -= 1
        self._opened += 1
        return connection

    async def _find_idle(
        self, key: str, server: _ServerConnections, request_id: str | None, *, peer: str
    ) -> BackendConnection | None:
        """Return an idle connection, or None if a new one may be opened.

        Raises `SlowConnectionError` if neither comes in time.
        """
        until_s = now_s() + _IDLE_WAIT_S
        while (connection := self._pop_idle(server, request_id)) is None:
            if server.opening < self._max_opening(key):
                return None
            wait_s = until_s - now_s()
            if wait_s <= 0 or not server.may_be_returned:
                raise SlowConnectionError(
                    "new connections are slow, and all open ones are in use",
                    step="connect",
                    peer=peer,
                )
            await server.wait(wait_s)
        return connection

    def _pop_idle(
        self, server: _ServerConnections, request_id: str | None
    ) -> BackendConnection | None:
        """Return the idle connection that was used last, or None if there is none.

        The server may be about to close those that have been idle for longer. One that has carried
        the request before may yet bring a second copy of an earlier answer to it.
        """
        for connection in reversed(server.idle):
            if request_id is not None and connection.has_carried(request_id):
                continue
            server.idle.remove(connection)
            if connection.is_reusable and not connection.has_unread_bytes:
                return connection
            connection.close()
        return None

    def _end_call(self, key: str, server: _ServerConnections) -> None:
        server.calls -= 1
        self._drop_if_unused(key, server)

    def _drop_if_unused(self, key: str, server: _ServerConnections) -> None:
        if not server.calls and not server.idle and self._servers.get(key) is server:
            del self._servers[key]

    async def _close_expired(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            for key, server in list(self._servers.items()):
                kept = [c for c in server.idle if c.is_reusable and c.idle_s < _MAX_IDLE_S]
                for connection in server.idle:
                    if connection not in kept:
                        logger.bind(peer=key, step="pool").debug("idle connection closed")
                        connection.close()
                server.idle = kept
                self._drop_if_unused(key, server)
