"""RECOVER: machines that are partitioned from all replicas go on taking clients."""

import asyncio
import random
import socket
from collections.abc import Callable
from pathlib import Path

import attrs

from flamingoshelf.utils import TaskGroup, now_s
from lab.gateway import Answer, EngineStandIn, PlainStandIn
from lab.gateway._site import BOOKINGS, NOTES, STOCK
from review.case import CaseError, Record, run_case
from review.site import ReviewSite, with_trouble

_ZONES = ("zone-a", "zone-b")
_CALM_S, _CUT_S = 6.0, 12.0
_CONTACT_S = 3.0
_INTERVAL_S = 0.04  # between two clients of a zone
_CHECK_INTERVAL_S = 1.0  # of readiness, by the platform
_MISSES = 2
_LEAST_SHARE = 2 / 3
_ALLOWED_FAILED, _ALLOWED_FAILED_SHARE = 10, 1 / 50


class ServerPath:
    """Path from the nodes to one server, which may be cut for some nodes.

    Parameters
    ----------
    address : str
        Address that the server is registered with.
    target : str
        Address at which the server listens.
    node_of : callable
        ``node_of(port, address)`` returns the number of the node connected from a local port
        to an address, or None.
    """

    def __init__(
        self, *, address: str, target: str, node_of: Callable[[int, str], int | None]
    ) -> None:
        self.address = address
        self._target = target
        self._node_of = node_of
        self._server: asyncio.Server | None = None
        self._cut: frozenset[int] = frozenset()
        self._writers: dict[asyncio.StreamWriter, int | None] = {}
        self._tasks = TaskGroup(owner="path")

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self._reset(lambda node: True)
        await self._tasks.stop()

    def cut(self, nodes: frozenset[int]) -> None:
        """Reset the connections of some nodes, and new ones until another call."""
        self._cut = nodes
        self._reset(lambda node: node in nodes)

    def _reset(self, is_meant: Callable[[int | None], bool]) -> None:
        for writer, node in list(self._writers.items()):
            if is_meant(node):
                writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        node = self._node_of(writer.get_extra_info("peername")[1], self.address)
        if node is None or node in self._cut:  # None: its process has closed it meanwhile
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            answers, requests = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer: node, requests: node}
        self._tasks.start(self._forward(reader, requests), name="request")
        self._tasks.start(self._forward(answers, writer), name="answer")

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while chunk := await reader.read(65_536):
                writer.write(chunk)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        finally:
            self._writers.pop(writer, None)
            writer.close()


class Site(ReviewSite):
    """Two zones with two nodes each, and a path to each server."""

    def __init__(self, *, folder: Path) -> None:
        super().__init__(folder=folder, node_count=4, prefill_count=1, decode_count=2)
        self._paths = {
            server.address: ServerPath(
                address=self._addresses.reserve()[0],
                target=server.address,
                node_of=self._node_of,
            )
            for server in self.servers
        }

    async def start(self) -> None:
        """Start everything and wait until all nodes are ready."""
        for path in self._paths.values():
            await path.start()
        await super().start()

    async def stop(self) -> None:
        """Kill the nodes and stop everything else."""
        await super().stop()
        for path in self._paths.values():
            await path.stop()

    def zone_of(self, number: int) -> str:
        """Return the zone of a node."""
        return _ZONES[number % 2]

    def register(self, server: EngineStandIn | PlainStandIn) -> None:
        """Write a server's registration to the store, with the address of its path."""
        entry = {**server.entry(), "address": self._paths[server.address].address}
        self.store.put("servers", server.instance_id, entry)

    def engine_at(self, address: str) -> EngineStandIn | None:
        """Return the engine at an address, which may be that of the path to it."""
        targets = {path.address: target for target, path in self._paths.items()}
        return super().engine_at(targets.get(address, address))

    def cut(self, zone: str | None) -> None:
        """Cut the nodes of a zone from all servers; None ends the cut."""
        nodes = frozenset(n for n in range(len(self.nodes)) if self.zone_of(n) == zone)
        for path in self._paths.values():
            path.cut(nodes)

    def _node_of(self, port: int, address: str) -> int | None:
        """Return the number of the node that is connected from a local port to an address."""
        name = _connected_socket(port, address)
        for number, node in enumerate(self.nodes):
            if name is not None and _holds(node.pid, name):
                return number
        return None


def _connected_socket(port: int, address: str) -> str | None:
    """Return the name of the socket that is connected from a local port to an address."""
    host, _, remote_port = address.rpartition(":")
    remote = f"{int.from_bytes(socket.inet_aton(host), 'little'):08X}:{int(remote_port):04X}"
    with Path("/proc/self/net/tcp").open() as lines:
        for line in lines:
            if remote in line[20:36] and f":{port:04X} " in line[:20]:
                return f"socket:[{line.split()[9]}]"
    return None


def _holds(pid: int, name: str) -> bool:
    """Return whether one of this script's processes holds a socket."""
    for entry in Path(f"/proc/{pid}/fd").iterdir():
        try:
            if str(entry.readlink()) == name:
                return True
        except OSError:  # closed meanwhile
            continue
    return False


class Ingress:
    """The platform's ingress: chooses the node of each new connection by readiness.

    Parameters
    ----------
    site : Site
        The site.
    """

    def __init__(self, *, site: Site) -> None:
        self._site = site
        self._misses = [0] * len(site.nodes)
        self._tasks = TaskGroup(owner="ingress")
        self._random = random.Random(1)

    def start(self) -> None:
        """Start asking each node once a second."""
        for number in range(len(self._misses)):
            self._tasks.start(self._check(number), name="check")

    async def stop(self) -> None:
        """Stop asking."""
        await self._tasks.stop()

    def choose(self, zone: str) -> int:
        """Return the node for a new connection of a client in a zone."""
        for candidate in (zone, *(other for other in _ZONES if other != zone)):
            nodes = [n for n in range(len(self._misses)) if self._site.zone_of(n) == candidate]
            in_rotation = [number for number in nodes if self._misses[number] < _MISSES]
            if in_rotation:
                few = len(in_rotation) < len(nodes) / 2
                return self._random.choice(nodes if few else in_rotation)
        return self._random.randrange(len(self._misses))

    async def _check(self, number: int) -> None:
        while True:
            answer = await self._site.caller.call(
                self._site.ready_addresses[number], "/ready", method="GET", deadline_ms=800
            )
            self._misses[number] = 0 if answer.status == 200 else self._misses[number] + 1
            await asyncio.sleep(_CHECK_INTERVAL_S)


@attrs.frozen
class FirstTry:
    """First try of a client at a node."""

    node: int
    kind: str
    sent_s: float
    answer: Answer

    @property
    def is_served(self) -> bool:
        """Whether it was answered with success."""
        return self.answer.status == 200 and self.answer.is_complete


async def play(folder: Path, record: Record) -> bool:
    """Cut the nodes of a zone from all servers for some seconds."""
    site = Site(folder=folder)
    ingress = Ingress(site=site)
    tries: list[FirstTry] = []
    try:
        await site.start()
        ingress.start()
        began_s = now_s()
        clients = [
            asyncio.create_task(
                _send_calls(site, ingress, tries, zone, seconds=_CALM_S + _CUT_S + 3.0)
            )
            for zone in _ZONES
        ]
        await asyncio.sleep(_CALM_S)
        if with_trouble():
            record.add("zone-a is cut from all servers")
            site.cut("zone-a")
        await asyncio.sleep(_CUT_S)
        if with_trouble():
            site.cut(None)
            record.add("the cut has healed")
        await asyncio.gather(*clients)
        return _check(site, tries, began_s, record)
    finally:
        await ingress.stop()
        await site.stop()


async def _send_calls(
    site: Site, ingress: Ingress, tries: list[FirstTry], zone: str, *, seconds: float
) -> None:
    began_s = now_s()
    running = []
    number = 0
    while now_s() < began_s + seconds:
        number += 1
        running.append(asyncio.create_task(_send_call(site, ingress, tries, zone, number)))
        await asyncio.sleep(_INTERVAL_S)
    await asyncio.gather(*running)


async def _send_call(
    site: Site, ingress: Ingress, tries: list[FirstTry], zone: str, number: int
) -> None:
    node, sent_s = ingress.choose(zone), now_s()
    method, path = (("POST", BOOKINGS), ("GET", STOCK), ("POST", NOTES))[number % 3]
    answer = await site.caller.call(
        site.node_addresses[node],
        f"{path}{number}",
        method=method,
        deadline_ms=5000 if path == NOTES else 1500,
        tokens=(100, 40) if path == NOTES else None,
    )
    tries.append(FirstTry(node=node, kind=path.strip("/"), sent_s=sent_s, answer=answer))


def _check(site: Site, tries: list[FirstTry], began_s: float, record: Record) -> bool:
    """Compare the tries at the nodes that were cut off with those at the others."""
    for item in tries:
        record.add(
            f"{item.answer.request_id} ({item.kind}) at {item.sent_s - began_s:.3f} s to node "
            f"{item.node}: status {item.answer.status or 'none'}"
        )
    calm = [item for item in tries if item.sent_s < began_s + _CALM_S]
    if sum(item.is_served for item in calm) < 0.9 * len(calm):
        raise CaseError("requests were not served before the cut")
    from_s, to_s = began_s + _CALM_S + _CONTACT_S, began_s + _CALM_S + _CUT_S
    judged = [item for item in tries if from_s <= item.sent_s < to_s]
    there = [item for item in judged if site.zone_of(item.node) == "zone-a"]
    others = [item for item in judged if site.zone_of(item.node) != "zone-a"]
    failed = sum(not item.is_served for item in there)
    served_there, served_others = _served_share(there), _served_share(others)
    record.add(
        f"RECOVER: from {_CONTACT_S} s after the cut began: {len(there)} first tries at the "
        f"machines that were cut off, served {served_there:.2f}; {len(others)} at the others, "
        f"served {served_others:.2f}; {failed} failed there"
    )
    for kind in sorted({item.kind for item in others}):
        share = _served_share([item for item in others if item.kind == kind])
        record.add(f"of {kind}, {share:.2f} were served at the others")
    is_less = served_there < _LEAST_SHARE * served_others
    return not (is_less and failed > _ALLOWED_FAILED + _ALLOWED_FAILED_SHARE * len(tries))


def _served_share(tries: list[FirstTry]) -> float:
    return sum(item.is_served for item in tries) / len(tries) if tries else 1.0


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
