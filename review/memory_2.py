"""The platform's limit of memory, and callers whose connections show who dies of it."""

import asyncio
import itertools
from collections import Counter
from typing import Any

from flamingoshelf.exceptions import PeerUnreachableError
from flamingoshelf.http1 import BackendConnection
from flamingoshelf.utils import now_s
from lab.gateway._site import BOOKINGS
from review.deployment_2 import Deployment, Node, Record

__all__ = ["KeptConnections", "MemoryLimit"]

_MEMORY_MIB = 150.0  # limits.memoryMb of the settings; the platform kills a process above it
_RESTART_S = 0.5  # after which the platform starts a process again
_LOOK_INTERVAL_S = 0.01
_SHOWN_STEP_MIB = 20.0
_CONNECTIONS = 12  # kept ones at each node
_BOOKING_S = 0.1  # of a server's time
_MAX_LOST = 3


class MemoryLimit:
    """Kills nodes above their memory, as the platform does, and starts them again.

    Only the resident memory without mapped files counts here; the platform also counts bytes that
    wait in sockets.
    """

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._record = record
        self.ends: Counter[str] = Counter()
        nodes: list[Any] = list(deployment.nodes)
        self._tasks = [asyncio.create_task(self._watch(node)) for node in nodes]

    def stop(self) -> None:
        """Stop to watch, and record how often each node was killed."""
        for task in self._tasks:
            task.cancel()
        self._record.add(f"killed for their memory: {dict(self.ends)}")

    async def _watch(self, node: Node) -> None:
        shown_mib = 0.0
        while True:
            await asyncio.sleep(_LOOK_INTERVAL_S)
            used_mib = node.memory_mib() if node.is_running else 0.0
            if used_mib > shown_mib + _SHOWN_STEP_MIB:
                shown_mib = used_mib
                self._record.add(f"{node.name} uses {used_mib:.0f} MiB")
            if used_mib <= _MEMORY_MIB:
                continue
            self.ends[node.name] += 1
            self._record.add(f"{node.name} is killed, as it uses more than {_MEMORY_MIB:.0f} MiB")
            await asyncio.to_thread(node.kill)
            await asyncio.sleep(_RESTART_S)
            node.start()
            shown_mib = 0.0


class KeptConnections:
    """Callers that send bookings over connections which they keep."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._deployment = deployment
        self._record = record
        self._numbers = itertools.count()
        self._unanswered: list[tuple[str, str]] = []  # node and id
        self._answered = 0
        for server in deployment.plain:
            server.work_s = _BOOKING_S

    async def run(self, until_s: float) -> None:
        """Send bookings to all nodes until a time."""
        async with asyncio.TaskGroup() as group:
            for node, address in zip(
                self._deployment.nodes, self._deployment.node_addresses, strict=True
            ):
                for _ in range(_CONNECTIONS):
                    group.create_task(self._book(node.name, address, until_s))

    def find_breaches(self) -> list[str]:
        """Return a line for each node that broke the rule LOST."""
        lost = Counter(
            node for node, name in self._unanswered if self._deployment.log.runs_of(name)
        )  # they were passed on, to sound servers
        self._record.add(f"bookings that were answered: {self._answered}")
        self._record.add(f"bookings that ran and got no answer, by node: {dict(lost)}")
        return [
            f"LOST: {node} closed {count} kept connections after it had passed bookings on"
            for node, count in sorted(lost.items())
            if count > _MAX_LOST
        ]

    async def _book(self, node: str, address: str, until_s: float) -> None:
        while now_s() < until_s:
            try:
                connection = await BackendConnection.open(address, timeout_s=1.0)
            except PeerUnreachableError:
                await asyncio.sleep(0.1)
                continue
            while now_s() < until_s and connection.is_reusable:
                await self._send(node, address, connection)
                await asyncio.sleep(0.01)
            connection.close()

    async def _send(self, node: str, address: str, connection: BackendConnection) -> None:
        name = f"booking-{next(self._numbers)}"
        answer = await self._deployment.caller.call(
            address, f"{BOOKINGS}{name}", connection=connection, request_id=name
        )
        if answer.is_complete:
            self._answered += 1
        else:
            self._unanswered.append((node, name))
            self._record.add(f"{name} sent to {node}: no answer, {answer.failure}")
