"""An engine in trouble sends bytes without end behind an answer: no node may die of it."""

import asyncio
import itertools
from pathlib import Path
from typing import Any

from flamingoshelf.http1 import Exchange
from flamingoshelf.utils import now_s
from lab.gateway._server_base import transport_of
from lab.gateway._servers import EngineStandIn
from lab.gateway._site import RESUMABLE
from review.deployment_2 import Deployment, Record, has_trouble, run_case
from review.memory_2 import KeptConnections, MemoryLimit

_EVENTS = 22_000  # of the answer, 240 KB in all
_PIECE = b"x" * 65_536
_MAX_UNSENT_BYTES = 1 << 20
_LINK_BYTES_S = 125e6  # limits.linkMbps of the settings
_SPAN_S = 30.0
_STREAM_INTERVAL_S = 0.5


async def _send_without_end(exchange: Exchange, request_id: str, server: str) -> None:
    """Send a whole answer, and bytes that belong to no request until the caller closes."""
    transport = transport_of(exchange)
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"Request-Id: {request_id}\r\nServer-Seal: seal-{server}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    body = b"".join(b"id: %d\n\n" % number for number in range(1, _EVENTS + 1))
    transport.write(head.encode() + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body))
    began_s, sent_bytes = now_s(), 0
    while not transport.is_closing():
        is_allowed = sent_bytes < _LINK_BYTES_S * (now_s() - began_s)
        if is_allowed and transport.get_write_buffer_size() < _MAX_UNSENT_BYTES:
            transport.write(_PIECE)
            sent_bytes += len(_PIECE)
        await asyncio.sleep(0)


async def _ask_for_streams(deployment: Deployment, record: Record, until_s: float) -> None:
    """Send a stream twice a second, to each node in turn."""
    for number in itertools.count():
        if now_s() >= until_s:
            return
        name = f"note-{number}"
        answer = await deployment.caller.call(
            deployment.node_addresses[number % len(deployment.node_addresses)],
            f"{RESUMABLE}{name}",
            tokens=(500, 160),
            request_id=name,
        )
        record.add(f"{name}: {answer.status}, {len(answer.events)} events")
        await asyncio.sleep(_STREAM_INTERVAL_S)


async def _case(deployment: Deployment, record: Record) -> list[str]:
    limit = MemoryLimit(deployment, record)
    callers = KeptConnections(deployment, record)
    if has_trouble():
        engine: EngineStandIn = deployment.engines[-1]

        async def stream(exchange: Exchange, run: Any, *, events: int) -> None:
            record.add(f"{run.request_id} runs at {run.server}, which is in trouble")
            await _send_without_end(exchange, run.request_id, run.server)

        engine._stream = stream  # type: ignore[method-assign]
    until_s = now_s() + _SPAN_S
    async with asyncio.TaskGroup() as group:
        group.create_task(callers.run(until_s))
        group.create_task(_ask_for_streams(deployment, record, until_s))
    limit.stop()
    return callers.find_breaches()


if __name__ == "__main__":
    run_case(
        Path(__file__).parent, _case, node_count=3, prefill_count=1, decode_count=3, plain_count=3
    )
