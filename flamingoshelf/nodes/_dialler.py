"""Outbound connections to peers."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs
from result import Err, Ok, Result
from websockets.exceptions import WebSocketException

from flamingoshelf.exceptions import FlamingoshelfError, PeerUnreachableError
from flamingoshelf.nodes._connection import NodeConnection
from flamingoshelf.nodes._counters import LinkCounters
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["Dialler"]

_DIAL_TIMEOUT_S = 0.8  # ends before a lost SYN packet is sent again
_BACKOFF_MIN_S = 0.1
_BACKOFF_MAX_S = 2.0


@attrs.frozen(kw_only=True)
class _Backoff:
    """Backoff of one peer after failed dials.

    Parameters
    ----------
    until_s : float
        Time before which the peer is not dialled again.
    wait_s : float
        Length of the backoff before jitter, in seconds.
    """

    until_s: float
    wait_s: float


class Dialler:
    """Opens connections on demand and keeps one for each peer.

    At most one dial runs for a peer; concurrent callers wait for the same dial. After a failure,
    further calls fail at once until a backoff ends, which doubles with each failure.

    Parameters
    ----------
    resolve : callable
        ``resolve(peer)`` returns the ``ip:port`` of a peer, or None if it is not known.
    open_connection : callable
        ``open_connection(peer, address)`` returns an authenticated connection.
    counters : LinkCounters
        Counts dials and failed dials.
    random_source : random.Random
        Source of the jitter of the backoffs.
    """

    def __init__(
        self,
        *,
        resolve: Callable[[str], str | None],
        open_connection: Callable[[str, str], Awaitable[NodeConnection]],
        counters: LinkCounters,
        random_source: random.Random,
    ) -> None:
        self._resolve = resolve
        self._open_connection = open_connection
        self._counters = counters
        self._random = random_source
        self._connections: dict[str, NodeConnection] = {}
        self._dials: dict[str, asyncio.Task[Result[NodeConnection, PeerUnreachableError]]] = {}
        self._backoffs: dict[str, _Backoff] = {}
        self._tasks = TaskGroup(owner="dialler")

    def get(self, peer: str) -> NodeConnection | None:
        """Return the open connection to a peer, None if there is none."""
        return self._connections.get(peer)

    async def connection(self, peer: str) -> NodeConnection:
        """Return the connection to a peer; open one if there is none.

        Raises
        ------
        PeerUnreachableError
            The connection could not be opened, or the backoff after a failed dial has not ended.
        """
        connection = self._connections.get(peer)
        if connection is not None:
            return connection
        dial = self._dials.get(peer)
        if dial is None:
            self._check_backoff(peer)
            dial = self._tasks.start(self._dial(peer), name=f"dial.{peer}")
            self._dials[peer] = dial
        outcome = await asyncio.shield(dial)
        if isinstance(outcome, Err):
            raise outcome.err_value
        return outcome.ok_value

    def drop_connection(self, peer: str) -> None:
        """Close the connection to a peer and reset its backoff."""
        self._backoffs.pop(peer, None)
        connection = self._connections.pop(peer, None)
        if connection is not None:
            self._tasks.start(connection.close(), name=f"close.{peer}")

    async def stop(self) -> None:
        """Close all connections."""
        await self._tasks.stop()
        await asyncio.gather(*(c.close() for c in list(self._connections.values())))

    def abort(self) -> None:
        """Close the transports of all connections at once."""
        for connection in list(self._connections.values()):
            connection.abort()

    async def _dial(self, peer: str) -> Result[NodeConnection, PeerUnreachableError]:
        try:
            return Ok(await self._connect(peer))
        except PeerUnreachableError as error:
            return Err(error)
        except (OSError, TimeoutError, WebSocketException, FlamingoshelfError) as error:
            self._counters.failed_dials += 1
            self._extend_backoff(peer)
            return Err(PeerUnreachableError(repr(error), step="dial", peer=peer))
        finally:
            self._dials.pop(peer, None)

    async def _connect(self, peer: str) -> NodeConnection:
        address = self._resolve(peer)
        if address is None:
            self._backoffs.pop(peer, None)
            raise PeerUnreachableError("no address is known for this peer", step="dial", peer=peer)
        self._counters.dials += 1
        async with asyncio.timeout(_DIAL_TIMEOUT_S):
            connection = await self._open_connection(peer, address)
        self._backoffs.pop(peer, None)
        self._connections[peer] = connection
        self._tasks.start(self._run_connection(peer, connection), name=f"peer.{peer}")
        return connection

    async def _run_connection(self, peer: str, connection: NodeConnection) -> None:
        try:
            await connection.run()
        finally:
            if self._connections.get(peer) is connection:
                del self._connections[peer]

    def _check_backoff(self, peer: str) -> None:
        backoff = self._backoffs.get(peer)
        if backoff is not None and now_s() < backoff.until_s:
            raise PeerUnreachableError("the last dial failed; backing off", step="dial", peer=peer)

    def _extend_backoff(self, peer: str) -> None:
        last = self._backoffs.get(peer)
        wait_s = _BACKOFF_MIN_S if last is None else min(2 * last.wait_s, _BACKOFF_MAX_S)
        until_s = now_s() + wait_s * self._random.uniform(0.5, 1.0)
        self._backoffs[peer] = _Backoff(until_s=until_s, wait_s=wait_s)
