"""HTTP server for callers."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from flamingoshelf.http1._connection_log import CloseReason
from flamingoshelf.http1._exchange import Exchange
from flamingoshelf.http1._linger import has_input
from flamingoshelf.http1._server_connection import ServerConnection
from flamingoshelf.utils import Pacer

__all__ = ["ConnectionLimits", "HttpServer"]

_BACKLOG_CONNECTIONS = 512  # callers that connect at once after a restart
_MAX_ACCEPT_TURNS = 10  # in each of which the event loop accepts as many as may wait
_MAX_NAMED_CUTS = 100  # log lines about requests that are cut off at the end of the grace period


@attrs.frozen(kw_only=True)
class ConnectionLimits:
    """Limits on the size and duration of a caller's requests.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Largest head and body of a request.
    header_timeout_s : float
        Longest time from the first byte of a request to the end of its head.
    idle_timeout_s : float
        Longest time between two requests of a connection.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


class HttpServer:
    """Accepts connections at one address.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    handle : callable
        ``await handle(exchange)`` answers a request. It is cancelled when the caller disconnects.
    limits : callable
        Returns the limits in force.
    pacer : Pacer, optional
        Shares the event loop among all connections whose bytes take long to parse.
    """

    def __init__(
        self,
        *,
        address: str,
        handle: Callable[[Exchange], Awaitable[None]],
        limits: Callable[[], ConnectionLimits] = ConnectionLimits,
        pacer: Pacer | None = None,
    ) -> None:
        self._pacer = pacer or Pacer()
        self._address = address
        self._handle = handle
        self._limits = limits
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._is_draining = False

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def running_requests(self) -> int:
        """Number of requests that are being answered."""
        return sum(connection.is_busy for connection in self._connections)

    @property
    def unfinished_connections(self) -> int:
        """Number of connections with a request that has begun, or a response to send."""
        return sum(connection.is_unfinished for connection in self._connections)

    @property
    def port(self) -> int:
        """Port of the listening socket, also if the operating system chose it."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Start listening.

        Raises
        ------
        OSError
            The address is in use.
        """
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._new_connection, host, int(port), backlog=_BACKLOG_CONNECTIONS, reuse_address=True
        )

    def drain(self) -> None:
        """Make every connection close after its next response."""
        self._is_draining = True
        for connection in self._connections:
            connection.close_after_response()

    async def accept_waiting(self) -> None:
        """Accept the connections that wait at the listening socket; its close would reset them."""
        sockets = () if self._server is None else self._server.sockets
        for _ in range(_MAX_ACCEPT_TURNS):
            has_waiting = any(has_input(listener) for listener in sockets)
            await asyncio.sleep(0)  # an accepted connection gets its protocol in the next turn
            if not has_waiting:
                return

    def stop_accepting(self) -> None:
        """Close the listening socket and the idle connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close_if_idle()

    async def stop(self) -> None:
        """Stop accepting connections and abort the open ones."""
        self.stop_accepting()
        connections = sorted(self._connections, key=lambda connection: not connection.is_busy)
        for number, connection in enumerate(connections):
            connection.abort(CloseReason.STOP if number < _MAX_NAMED_CUTS else None)
        await asyncio.sleep(0)

    def _new_connection(self) -> ServerConnection:
        connection = ServerConnection(
            handle=self._handle,
            limits=self._limits,
            on_lost=self._connections.discard,
            pacer=self._pacer,
        )
        self._connections.add(connection)
        if self._is_draining:
            connection.close_after_response()
        return connection
