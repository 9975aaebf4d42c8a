"""Connections that this node opens to its peers."""

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

_DIAL_TIMEOUT_S = 0.8  # before a lost opening packet is sent again
_BACKOFF_MIN_S = 0.1
_BACKOFF_MAX_S = 2.0


@attrs.frozen(kw_only=True)
class _Backoff:
    """When a peer may be dialled again after a failure."""

    until_s: float
    wait_s: float


class Dialler:
    """Opens one connection to each peer that is used, and keeps it.

    One dial at a time runs for a peer; whoever needs the connection waits for it. After a failure
    further uses fail at once until a backoff that doubles with each failure has passed.

    Parameters
    ----------
    resolve : callable
        ``resolve(peer)`` returns the ``ip:port`` of a peer, or None if it is not known.
    open_connection : callable
        ``open_connection(peer, address)`` returns an authenticated connection.
    counters : LinkCounters
        Counts the dials.
    random_source : random.Random
        Spreads the backoffs.
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
        self._open = open_connection
        self._counters = counters
        self._random = random_source
        self._connections: dict[str, NodeConnection] = {}
        self._dials: dict[str, asyncio.Task[Result[NodeConnection, PeerUnreachableError]]] = {}
        self._backoffs: dict[str, _Backoff] = {}
        self._tasks = TaskGroup(owner="dialler")

    def get(self, peer: str) -> NodeConnection | None:
        """Return the open connection to a peer."""
        return self._connections.get(peer)

    async def connection(self, peer: str) -> NodeConnection:
        """Return the connection to a peer, after opening it where needed.

        Raises
        ------
        PeerUnreachableError
            It could not be opened.
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

    def forget(self, peer: str) -> None:
        """Drop the connection to a peer and the backoff of its dials."""
        self._backoffs.pop(peer, None)
        connection = self._connections.pop(peer, None)
        if connection is not None:
            self._tasks.start(connection.close(), name=f"close.{peer}")

    async def stop(self) -> None:
        """Close all connections."""
        await self._tasks.stop()
        await asyncio.gather(*(c.close() for c in list(self._connections.values())))

    def abort(self) -> None:
        """Break all connections off."""
        for connection in list(self._connections.values()):
            connection.abort()

    async def _dial(self, peer: str) -> Result[NodeConnection, PeerUnreachableError]:
        try:
            return Ok(await self._open_to(peer))
        except PeerUnreachableError as error:
            return Err(error)
        except (OSError, TimeoutError, WebSocketException, FlamingoshelfError) as error:
            self._counters.failed_dials += 1
            self._delay(peer)
            return Err(PeerUnreachableError(repr(error), step="dial", peer=peer))
        finally:
            self._dials.pop(peer, None)

    async def _open_to(self, peer: str) -> NodeConnection:
        address = self._resolve(peer)
        if address is None:
            self._backoffs.pop(peer, None)
            raise PeerUnreachableError("not in the VM list", step="dial", peer=peer)
        self._counters.dials += 1
        async with asyncio.timeout(_DIAL_TIMEOUT_S):
            connection = await self._open(peer, address)
        self._backoffs.pop(peer, None)
        self._connections[peer] = connection
        self._tasks.start(self._run(peer, connection), name=f"peer.{peer}")
        return connection

    async def _run(self, peer: str, connection: NodeConnection) -> None:
        try:
            await connection.run()
        finally:
            if self._connections.get(peer) is connection:
                del self._connections[peer]

    def _check_backoff(self, peer: str) -> None:
        backoff = self._backoffs.get(peer)
        if backoff is not None and now_s() < backoff.until_s:
            raise PeerUnreachableError("dialled in vain a moment ago", step="dial", peer=peer)

    def _delay(self, peer: str) -> None:
        last = self._backoffs.get(peer)
        wait_s = _BACKOFF_MIN_S if last is None else min(2 * last.wait_s, _BACKOFF_MAX_S)
        until_s = now_s() + wait_s * self._random.uniform(0.5, 1.0)
        self._backoffs[peer] = _Backoff(until_s=until_s, wait_s=wait_s)
