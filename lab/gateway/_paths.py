"""Paths from nodes to backend servers, each of which may be cut for some nodes."""

import asyncio
import math
import re
import socket
from collections.abc import Callable, Collection
from enum import StrEnum
from typing import Any, cast

import attrs

from flamingoshelf.utils import now_s
from lab.gateway._servers import EngineStandIn, PlainStandIn
from lab.gateway._site import GatewaySite

__all__ = ["Arrival", "CutForm", "PathSite", "ServerPath"]

_REQUEST_ID = re.compile(rb"\r\nrequest-id: *([^\r]+)\r", re.IGNORECASE)


class CutForm(StrEnum):
    """What a cut does to the connections of a node to a server.

    ``HANG`` holds up all bytes; ``RESET`` resets connections, new ones at once; ``REFUSE_NEW``
    resets only new ones.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE_NEW = "refuse_new"


@attrs.frozen(kw_only=True)
class Arrival:
    """A request that reached a server, with the number of the node that it came from."""

    request_id: str
    node: int | None
    at_s: float


class AcceptQueue:
    """New connections of all paths, which are taken one after another.

    A connection that was given up while it waited takes as long as any other.

    Attributes
    ----------
    per_s : float
        Connections taken in a second.
    waiting : int
        Number of connections that wait.
    """

    def __init__(self) -> None:
        self.per_s = math.inf
        self.waiting = 0
        self._free_s = 0.0

    def take(self, on_taken: Callable[[], None]) -> None:
        """Call `on_taken` when the turn of a new connection has come."""
        if math.isinf(self.per_s):
            on_taken()
            return
        self.waiting += 1
        self._free_s = max(self._free_s, now_s()) + 1 / self.per_s
        asyncio.get_running_loop().call_at(self._free_s, self._finish, on_taken)

    def _finish(self, on_taken: Callable[[], None]) -> None:
        self.waiting -= 1
        on_taken()


class ServerPath:
    """Forwards the connections of all nodes to one server.

    Parameters
    ----------
    address : str
        Address that the server is registered with.
    target : str
        Address at which the server listens.
    node_of : callable
        ``node_of(ip)`` returns the number of the node whose connections come from an IP address,
        None if there is none.
    queue : AcceptQueue
        Takes new connections.

    Attributes
    ----------
    arrivals : list of Arrival
        Requests that were passed on to the server.
    opened : list of tuple
        Node and time of each new connection, also if it was reset.
    """

    def __init__(
        self,
        *,
        address: str,
        target: str,
        node_of: Callable[[str], int | None],
        queue: AcceptQueue,
    ) -> None:
        self.queue = queue
        self.address = address
        self.target = target
        self.arrivals: list[Arrival] = []
        self.opened: list[tuple[int | None, float]] = []
        self._node_of = node_of
        self._server: asyncio.Server | None = None
        self._cut: frozenset[int] = frozenset()
        self._form = CutForm.RESET
        self._sides: set[_Side] = set()

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _NodeSide(path=self), host, int(port))

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for side in list(self._sides):
            side.abort()

    def cut(self, nodes: Collection[int], form: CutForm) -> None:
        """Cut the path of some nodes, and heal it for all others."""
        self._cut, self._form = frozenset(nodes), form
        for side in list(self._sides):
            if form is CutForm.RESET and side.node in self._cut:
                side.abort()
            elif not self.is_held(side.node):
                side.flush()

    def is_refused(self, node: int | None) -> bool:
        """Return whether new connections of a node are reset."""
        return node in self._cut and self._form is not CutForm.HANG

    def is_held(self, node: int | None) -> bool:
        """Return whether the bytes of a node are held up."""
        return node in self._cut and self._form is CutForm.HANG

    def find_node(self, transport: asyncio.BaseTransport) -> int | None:
        """Return the number of the node at the other end of an accepted connection."""
        return self._node_of(transport.get_extra_info("peername")[0])

    def record(self, node: int | None, data: bytes) -> None:
        """Record the requests in bytes that are passed on to the server."""
        for found in _REQUEST_ID.findall(data):
            arrival = Arrival(request_id=found.decode().strip(), node=node, at_s=now_s())
            self.arrivals.append(arrival)

    def add(self, side: "_Side") -> None:
        """Add one end of a connection."""
        self._sides.add(side)

    def remove(self, side: "_Side") -> None:
        """Remove one end of a connection."""
        self._sides.discard(side)


class _Side(asyncio.Protocol):
    """One end of a forwarded connection; holds bytes for the other end while the path is cut."""

    def __init__(self, *, path: ServerPath) -> None:
        self.node: int | None = None
        self._path = path
        self._transport: asyncio.Transport | None = None
        self._other: _Side | None = None
        self._held = bytearray()
        self._is_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._path.add(self)

    def data_received(self, data: bytes) -> None:
        self._held += data
        if not self._path.is_held(self.node):
            self.flush()

    def eof_received(self) -> bool:
        self._is_ended = True
        if not self._path.is_held(self.node):
            self.flush()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._path.remove(self)
        self._held.clear()  # bytes that were held up are lost with their sender
        if self._other is not None:
            self._other.abort()

    def flush(self) -> None:
        """Pass held bytes on to the other end."""
        if self._other is None or self._other._transport is None:
            return
        if self._held:
            data = bytes(self._held)
            self._held.clear()
            self._on_forward(data)
            self._other._transport.write(data)
        if self._is_ended:
            self._other._transport.close()

    def abort(self) -> None:
        """Reset this end."""
        if self._transport is not None:
            raw = self._transport.get_extra_info("socket")
            if raw is not None and raw.fileno() >= 0:
                linger = b"\1\0\0\0\0\0\0\0"  # on, 0 s: the close sends a reset
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self._transport.abort()

    def _on_forward(self, data: bytes) -> None:
        """Look at bytes that are passed on."""


class _ServerSide(_Side):
    """The end at the server."""

    def __init__(self, *, path: ServerPath, other: "_NodeSide") -> None:
        super().__init__(path=path)
        self._other = other
        self.node = other.node


class _NodeSide(_Side):
    """The end at the node; connects to the server once the path is open."""

    def __init__(self, *, path: ServerPath) -> None:
        super().__init__(path=path)
        self._is_taken = False
        self._connecting: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.node = self._path.find_node(transport)
        self._path.opened.append((self.node, now_s()))
        self._path.queue.take(self._on_taken)

    def _on_taken(self) -> None:
        self._is_taken = True
        if self._path.is_refused(self.node):
            self.abort()
        elif not self._path.is_held(self.node):
            self._connect()

    def eof_received(self) -> bool:
        if self._path.is_held(self.node):
            # What a node that closes a connection has not delivered by then is lost.
            return False
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._is_taken = False
        if self._connecting is not None:
            self._connecting.cancel()

    def flush(self) -> None:
        if self._other is None:
            self._connect()
        else:
            super().flush()

    def _connect(self) -> None:
        is_open = self._transport is not None and not self._transport.is_closing()
        if self._is_taken and is_open and self._connecting is None:
            self._connecting = asyncio.ensure_future(self._open())

    async def _open(self) -> None:
        host, _, port = self._path.target.rpartition(":")
        try:
            _, other = await asyncio.get_running_loop().create_connection(
                lambda: _ServerSide(path=self._path, other=self), host, int(port)
            )
        except OSError:
            self.abort()
            return
        self._other = other
        if not self._path.is_held(self.node):
            self.flush()

    def _on_forward(self, data: bytes) -> None:
        self._path.record(self.node, data)


class PathSite(GatewaySite):
    """A site with a path from the nodes to each server; parameters as for `GatewaySite`."""

    def __init__(self, **arguments: Any) -> None:
        super().__init__(**arguments)
        self.accept_queue = AcceptQueue()
        self.paths = [
            ServerPath(
                address=self._addresses.reserve()[0],
                target=server.address,
                node_of=self._find_node,
                queue=self.accept_queue,
            )
            for server in self.servers
        ]
        self._path_of = {path.target: path for path in self.paths}

    @property
    def arrivals(self) -> list[Arrival]:
        """Requests that reached any server, in order."""
        arrivals = [arrival for path in self.paths for arrival in path.arrivals]
        return sorted(arrivals, key=lambda arrival: arrival.at_s)

    async def start(self) -> None:
        """Start everything and wait until all nodes are ready."""
        for path in self.paths:
            await path.start()
        await super().start()

    async def stop(self) -> None:
        """Kill the nodes and stop everything else."""
        await super().stop()
        for path in self.paths:
            await path.stop()

    def register(self, server: EngineStandIn | PlainStandIn) -> None:
        """Write a server's registration to the store, with the address of its path."""
        entry = {**server.entry(), "address": self._path_of[server.address].address}
        self.store.put("servers", server.instance_id, entry)

    def engine_at(self, address: str) -> EngineStandIn | None:
        """Return the engine at an address, which may be that of the path to it."""
        targets = {path.address: path.target for path in self.paths}
        return super().engine_at(targets.get(address, address))

    def cut(
        self,
        nodes: Collection[int],
        form: CutForm,
        *,
        servers: Collection[EngineStandIn | PlainStandIn] | None = None,
    ) -> None:
        """Cut nodes from servers, by default from all; other paths are healed."""
        targets = {server.address for server in (self.servers if servers is None else servers)}
        for path in self.paths:
            path.cut(nodes if path.target in targets else (), form)

    def heal(self) -> None:
        """Heal all paths."""
        self.cut((), CutForm.HANG)

    def _node_program(self, address: str) -> list[str]:
        return ["lab.gateway._bound_node", address.rpartition(":")[0]]

    def _find_node(self, ip: str) -> int | None:
        """Return the number of the node whose connections come from an IP address."""
        for number, address in enumerate(self.node_addresses):
            if address.rpartition(":")[0] == ip:
                return number
        return None
