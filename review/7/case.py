"""An engine in trouble sends bytes without end behind an answer: no node may die of it."""

import asyncio
import itertools
from collections import Counter
from pathlib import Path
from typing import Any

from flamingoshelf.exceptions import PeerUnreachableError
from flamingoshelf.http1 import BackendConnection, Exchange
from flamingoshelf.utils import now_s
from lab.gateway._server_base import transport_of
from lab.gateway._servers import EngineStandIn
from lab.gateway._site import BOOKINGS, RESUMABLE
from review.deployment_2 import Deployment, Node, Record, has_trouble, run_case

_MEMORY_MB = 150.0  # limits.memoryMb of the settings; the platform kills a process above it
_RESTART_S = 0.5  # after which the platform starts a process again
_EVENTS = 12_000  # of the answer, 220 KB in all
_PIECE = b"x" * 65_536
_MAX_UNSENT_BYTES = 1 << 20
_LINK_BYTES_S = 125e6  # limits.linkMbps of the settings
_SPAN_S = 30.0
_CONNECTIONS = 12  # kept ones at each node
_MAX_LOST = 3


async def _send_without_end(exchange: Exchange, request_id: str, server: str) -> None:
    """Send a whole answer, and bytes that belong to no request until the caller closes."""
    transport = transport_of(exchange)
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"Request-Id: {request_id}\r\nServer-Seal: seal-{server}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    body = b"".join(b"id: %d\ndata: t\n\n" % number for number in range(1, _EVENTS + 1))
    transport.write(head.encode() + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body))
    began_s, sent_bytes = now_s(), 0
    while not transport.is_closing():
        is_allowed = sent_bytes < _LINK_BYTES_S * (now_s() - began_s)
        if is_allowed and transport.get_write_buffer_size() < _MAX_UNSENT_BYTES:
            transport.write(_PIECE)
            sent_bytes += len(_PIECE)
        await asyncio.sleep(0)


async def _keep_within_memory(node: Node, record: Record, ends: Counter[str]) -> None:
    """Kill a node above its memory as the platform does, and start it again."""
    shown_mb = 0.0
    while True:
        await asyncio.sleep(0.01)
        used_mb = node.resident_mb() if node.is_running else 0.0
        if used_mb > shown_mb + 20:
            shown_mb = used_mb
            record.add(f"{node.name} uses {used_mb:.0f} MB")
        if used_mb <= _MEMORY_MB:
            continue
        ends[node.name] += 1
        record.add(f"{node.name} is killed, as it uses more than {_MEMORY_MB:.0f} MB")
        await asyncio.to_thread(node.kill)
        await asyncio.sleep(_RESTART_S)
        node.start()
        shown_mb = 0.0


class _Callers:
    """Callers that keep their connections, and one that asks for streams."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._deployment = deployment
        self._record = record
        self._numbers = itertools.count()
        self._end_s = now_s() + _SPAN_S
        self.unanswered: list[tuple[str, str]] = []  # node and id

    async def book(self, node: Node, address: str) -> None:
        """Send bookings over one connection after another."""
        while now_s() < self._end_s:
            try:
                connection = await BackendConnection.open(address, timeout_s=1.0)
            except PeerUnreachableError:
                await asyncio.sleep(0.1)
                continue
            while now_s() < self._end_s and connection.is_reusable:
                name = f"booking-{next(self._numbers)}"
                answer = await self._deployment.caller.call(
                    address, f"{BOOKINGS}{name}", connection=connection, request_id=name
                )
                if not answer.is_complete:
                    self.unanswered.append((node.name, name))
                    self._record.add(f"{name} sent to {node.name}: no answer, {answer.failure}")
                await asyncio.sleep(0.01)
            connection.close()

    async def ask_for_streams(self) -> None:
        """Send a stream twice a second, to each node in turn."""
        while now_s() < self._end_s:
            number = next(self._numbers)
            addresses = self._deployment.node_addresses
            name = f"note-{number}"
            answer = await self._deployment.caller.call(
                addresses[number % len(addresses)],
                f"{RESUMABLE}{name}",
                tokens=(500, 160),
                request_id=name,
            )
            self._record.add(f"{name}: {answer.status}, {len(answer.events)} events")
            await asyncio.sleep(0.5)


async def _case(deployment: Deployment, record: Record) -> list[str]:
    ends: Counter[str] = Counter()
    nodes: list[Any] = list(deployment.nodes)
    watches = [asyncio.create_task(_keep_within_memory(n, record, ends)) for n in nodes]
    for server in deployment.plain:
        server.work_s = 0.04
    if has_trouble():
        engine: EngineStandIn = deployment.engines[-1]

        async def stream(exchange: Exchange, run: Any, *, events: int) -> None:
            record.add(f"{run.request_id} runs at {run.server}, which is in trouble")
            await _send_without_end(exchange, run.request_id, run.server)

        engine._stream = stream  # type: ignore[method-assign]
    callers = _Callers(deployment, record)
    async with asyncio.TaskGroup() as group:
        for node, address in zip(nodes, deployment.node_addresses, strict=True):
            for _ in range(_CONNECTIONS):
                group.create_task(callers.book(node, address))
        group.create_task(callers.ask_for_streams())
    for task in watches:
        task.cancel()
    lost = Counter(
        node for node, name in callers.unanswered if deployment.log.runs_of(name)
    )  # passed on to a sound server
    record.add(f"killed for their memory: {dict(ends)}")
    record.add(f"bookings that ran and got no answer, by node: {dict(lost)}")
    return [
        f"LOST: {node} closed {count} kept connections after it had passed bookings on"
        for node, count in lost.items()
        if count > _MAX_LOST
    ]


if __name__ == "__main__":
    run_case(
        Path(__file__).parent, _case, node_count=3, prefill_count=1, decode_count=3, plain_count=3
    )
