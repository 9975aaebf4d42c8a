"""An engine in trouble sends bytes without end behind an answer: no node may die of it."""

import asyncio
import itertools
from collections import Counter
from functools import partial
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
_SPAN_S = 40.0
_STREAM_INTERVAL_S = 0.08
_SOUND_ANSWERS = 49  # of an engine, before each that has no end: a share of 0.02


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
    """Send streams, to each node in turn."""

    async def send(number: int) -> None:
        name = f"note-{number}"
        answer = await deployment.caller.call(
            deployment.node_addresses[number % len(deployment.node_addresses)],
            f"{RESUMABLE}{name}",
            tokens=(500, 160),
            request_id=name,
        )
        record.add(f"{name}: {answer.status}, {len(answer.events)} events {answer.failure}")

    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            if now_s() >= until_s:
                return
            group.create_task(send(number))
            await asyncio.sleep(_STREAM_INTERVAL_S)


class _Trouble:
    """Gives the engine that answers most trouble with a share of its answers, one at a time."""

    def __init__(self, engines: list[EngineStandIn], record: Record) -> None:
        self._record = record
        self._engine: EngineStandIn | None = None  # the first that has given enough answers
        self.answers: Counter[str] = Counter()
        self.endless: Counter[str] = Counter()
        for engine in engines:
            sound = engine._stream
            engine._stream = partial(self._stream, engine, sound)  # type: ignore[method-assign]

    async def _stream(
        self, engine: EngineStandIn, sound: Any, exchange: Exchange, run: Any, *, events: int
    ) -> None:
        self.answers[run.server] += 1
        is_due = self.answers[run.server] % (_SOUND_ANSWERS + 1) == 0
        if is_due and self._engine in (None, engine):
            self._engine = engine
            self.endless[run.server] += 1
            self._record.add(f"{run.request_id}: the answer of {run.server} has no end")
            await _send_without_end(exchange, run.request_id, run.server)
        else:
            await sound(exchange, run, events=events)


async def _case(deployment: Deployment, record: Record) -> list[str]:
    limit = MemoryLimit(deployment, record)
    callers = KeptConnections(deployment, record)
    trouble = _Trouble(deployment.engines[1:], record) if has_trouble() else None
    until_s = now_s() + _SPAN_S
    async with asyncio.TaskGroup() as group:
        group.create_task(callers.run(until_s))
        group.create_task(_ask_for_streams(deployment, record, until_s))
    limit.stop()
    if trouble is not None:
        record.add(f"answers: {dict(trouble.answers)}, without end: {dict(trouble.endless)}")
    return callers.find_breaches()


if __name__ == "__main__":
    run_case(
        Path(__file__).parent, _case, node_count=3, prefill_count=1, decode_count=3, plain_count=3
    )
