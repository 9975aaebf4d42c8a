"""A simulated fleet of nodes and their paths to servers."""

import asyncio
import random
from typing import Any, cast

from flamingoshelf.exceptions import OutcomeUnknownError
from flamingoshelf.paths import PathService, PathTable, ProbeResult
from flamingoshelf.routing import BackendInstance
from flamingoshelf.utils import now_s

__all__ = [
    "CONTACT_S",
    "PROBE_TIMEOUT_S",
    "REFUSED",
    "SILENT",
    "STALLED",
    "Fleet",
    "Node",
    "server",
    "suspect",
]

CONTACT_S = 3.0  # time after which nodes are to have adapted to a cut
SILENT, REFUSED, STALLED = "silent", "refused", "stalled"  # what is wrong with a path
PROBE_S, PROBE_TIMEOUT_S = 0.005, 0.3


def server(name):
    return BackendInstance(
        instance_id=name, service="s", address=f"{name}:80", data_centre="a", started_ms=1
    )


class Node:
    """One node: its paths, and the faults of the paths by server."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.faults = {}
        self.open: set[str] = set()  # servers with an idle connection
        self.open_faults = {}
        self.probes = []
        self.is_down = False
        self.table = PathTable()
        self.service = PathService(
            table=self.table,
            probe=self.probe,
            servers=lambda: [server(name) for name in fleet.servers],
            has_open_connection=self.open.__contains__,
            close_connections=self.open.discard,
            random_source=random.Random(1),
        )
        self.service.connect(cast(Any, self), self.peers)

    def peers(self):
        names = [name for name in self.fleet.nodes if name != self.name]
        random.Random(len(self.fleet.asked)).shuffle(names)
        return names

    def register(self, message_type, handler):
        self.handler = handler

    async def request(self, peer, message, *, timeout_s):
        other = self.fleet.nodes[peer]
        self.fleet.asked.append((self.name, peer, message.server))
        await asyncio.sleep(0.001)
        if other.is_down:
            await asyncio.sleep(timeout_s)
            raise OutcomeUnknownError("no reply", step="request", peer=peer)
        async with asyncio.timeout(timeout_s):
            return await other.handler(self.name, message)

    async def probe(self, instance, is_fresh):
        key = instance.key
        self.probes.append((now_s(), key, is_fresh))
        uses_open = not is_fresh and key in self.open
        fault = self.open_faults.get(key) if uses_open else self.faults.get(key)
        fault = fault or self.fleet.servers[key]
        if fault in (SILENT, STALLED):
            await asyncio.sleep(PROBE_TIMEOUT_S)
            return ProbeResult.SILENT if fault is SILENT else ProbeResult.UNCONNECTED
        await asyncio.sleep(PROBE_S)
        if fault is REFUSED:
            return ProbeResult.FAILED
        self.service.record_answer(key, is_fresh=is_fresh)
        return ProbeResult.ANSWERED

    def cut(self, fault, *keys):
        """Let the paths to some servers, or all, fail from now on."""
        self.faults = dict.fromkeys(keys or self.fleet.servers, fault)

    def states(self):
        return {key: self.table.state(key) for key in self.fleet.servers}


class Fleet:
    """Nodes and servers; a server's value is what is wrong with it, None if nothing is."""

    def __init__(self, *, nodes=4, servers=3):
        self.servers = {f"s{number}": None for number in range(servers)}
        self.asked = []
        self.nodes = {}
        for number in range(nodes):
            self.nodes[f"n{number}"] = Node(self, f"n{number}")

    async def start(self):
        for node in self.nodes.values():
            await node.service.start()

    async def stop(self):
        for node in self.nodes.values():
            await node.service.stop()


def suspect(node, key, fault):
    """Report a failed call to a server as the clients of servers do."""
    if fault is REFUSED:
        node.service.record_refusal(server(key))
    else:
        node.service.record_silence(server(key), since_s=now_s() - 0.2)
