"""Base of the stand-ins for backend servers."""

import asyncio
import itertools
import random
import weakref
from collections.abc import Sequence
from typing import Any, cast

from flamingoshelf.http1 import Exchange, Headers, HttpServer, ResponseHead
from flamingoshelf.utils import TaskGroup, now_s
from lab.gateway._records import LimitSpan, Run, RunLog, ServerFaults, Silence

__all__ = ["ServerStandIn", "id_numbers", "transport_of"]

_MAX_BODY_BYTES = 8 * 1024 * 1024
_ENDLESS_PIECE_BYTES = 16 * 1024
_MAX_ENDLESS_UNSENT_BYTES = 256 * 1024
_ENDLESS_INTERVAL_S = 0.001
_EARLY_RESET_S = 0.1
_EVENTS_BEFORE = 20_000  # bytes without end; a node passes them on for about a second
id_numbers = itertools.count(1)  # of servers and of handles


class ServerStandIn:
    """Base of the servers: identity, check of ``Expect-Instance`` and faults."""

    def __init__(
        self, *, address: str, service: str, zone: str, log: RunLog, random_source: random.Random
    ) -> None:
        self.instance_id = f"i-{next(id_numbers):04d}"
        self.address = address
        self.service = service
        self.zone = zone
        self.log = log
        self.random = random_source
        self.faults = ServerFaults()
        self.silence = Silence()
        self.state = "ready"
        self.is_leaving = False  # stated in all answers
        self.limit: LimitSpan | None = None  # stated in all answers
        self.started_ms = 1_700_000_000_000
        self.version = "v1"  # of its software
        self.tasks = TaskGroup(owner="server")
        self._late_copies: weakref.WeakKeyDictionary[Any, bytes] = weakref.WeakKeyDictionary()
        self._server = HttpServer(address=address, handle=self._handle)

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop immediately, as in a crash."""
        self.end_limit()
        await self._server.stop()
        self.silence.end()
        await self.tasks.stop()

    def state_limit(self, per_s: float) -> LimitSpan:
        """State a limit from now on."""
        self.end_limit()
        self.limit = LimitSpan(server=self.instance_id, per_s=per_s, start_s=now_s())
        return self.limit

    def end_limit(self) -> None:
        """State no limit from now on."""
        if self.limit is not None:
            self.limit.end_s = now_s()
            self.limit = None

    def renew(self) -> None:
        """Become a new server at the same address."""
        self.instance_id = f"i-{next(id_numbers):04d}"
        self.started_ms += 1

    async def freeze(self, seconds: float) -> None:
        """Fall silent for a time with all connections open; then go on where it was.

        Running streams, calls and prefills stand still, and new connections are accepted but not
        answered. Nothing is lost.
        """
        await self.silence.last(seconds)

    def entry(self) -> dict[str, object]:
        """Return the server's registration, as it is written to the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": 1,
            "born": self.started_ms,
        }

    async def _handle(self, exchange: Exchange) -> None:
        if self.faults.early_next > 0 and exchange.head.headers.get("Request-Id"):
            self.faults.early_next -= 1
            await self._answer_early(exchange)
            return
        body = await exchange.read_body(limit=_MAX_BODY_BYTES)
        transport = transport_of(exchange)
        transport.write(self._late_copies.pop(transport, b""))
        if self.faults.silent:
            await asyncio.sleep(3600)
        try:
            await self.silence.wait()
        except asyncio.CancelledError:
            # The request was received, and a silent server doesn't notice that its caller left: it
            # begins afterwards, and ends when it first waits.
            await self.silence.wait()
            cast(asyncio.Task[None], asyncio.current_task()).cancel()
        expected = exchange.head.headers.get("Expect-Instance")
        if expected is not None and expected != self.instance_id:
            self._respond(exchange, 421, b"", ("Instance-Id", self.instance_id))
            return
        await self._serve(exchange, body)

    async def _serve(self, exchange: Exchange, body: bytes) -> None:
        raise NotImplementedError

    def _start_run(self, exchange: Exchange, body: bytes) -> Run | None:
        """Return the run of a new request, or None if a fault prevents it from running."""
        if self._draw_fault(self.faults.reset_before):
            exchange.abort()
            return None
        request_id = exchange.head.headers.get("Request-Id") or ""
        run = Run(
            server=self.instance_id,
            request_id=request_id,
            service=self.service,
            headers=exchange.head.headers,
            method=exchange.head.method,
            target=exchange.head.target,
            body=body,
            at_s=now_s(),
        )
        self.log.arrivals.append(run)
        if self.faults.full or self.faults.refuse_next:
            self.faults.refuse_next = max(0, self.faults.refuse_next - 1)
            headers = [("Not-Run", "1"), ("Request-Id", request_id)]
            if self.faults.pause_s:
                headers.append(("Retry-After", str(self.faults.pause_s)))
            self._respond(exchange, 503, b"", *headers)
            if self._draw_fault(self.faults.repeated_refusals):
                self._late_copies[transport_of(exchange)] = _encode_refusal(headers)
            return None
        return run

    def _respond(
        self, exchange: Exchange, status: int, body: bytes, *items: tuple[str, str]
    ) -> None:
        """Write a complete response, with the id of the request if it has one."""
        request_id = exchange.head.headers.get("Request-Id")
        if request_id and "Request-Id" not in dict(items):
            items = (*items, ("Request-Id", request_id))
        head = ResponseHead(status=status, headers=Headers([*items, *self._notices()]))
        exchange.respond(head, body)

    async def _send_endless(self, exchange: Exchange, *items: tuple[str, str]) -> None:
        """Send an answer, or what looks like one, until the caller closes the connection."""
        transport = transport_of(exchange)
        begin, unit = _endless_parts(self.faults.endless_place, self.faults.endless_chunk)
        fields = "".join(f"{name}: {value}\r\n" for name, value in items)
        transport.write(b"HTTP/1.1 200 OK\r\n" + fields.encode() + begin)
        piece = unit * (1 + _ENDLESS_PIECE_BYTES // len(unit))
        while not transport.is_closing():
            if transport.get_write_buffer_size() < _MAX_ENDLESS_UNSENT_BYTES:
                transport.write(piece)
            await asyncio.sleep(_ENDLESS_INTERVAL_S)

    async def _answer_early(self, exchange: Exchange) -> None:
        """Send a part of an answer before the request's body is read; then reset the connection."""
        transport = transport_of(exchange)
        request_id = exchange.head.headers.get("Request-Id") or ""
        head = [
            f"HTTP/1.1 {self.faults.early_status:03} X",
            f"Request-Id: {request_id}",
            f"Server-Seal: seal-{self.instance_id}",
            "Content-Type: text/event-stream",
        ]
        transport.pause_reading()
        transport.write("\r\n".join([*head, "", "id: 1\n\n"]).encode())
        if self.faults.ends_side:
            transport.write_eof()
        await asyncio.sleep(_EARLY_RESET_S)
        exchange.abort()

    def _draws_endless(self) -> bool:
        """Return whether the next answer doesn't end."""
        if self.faults.endless_next <= 0:
            return False
        self.faults.endless_next -= 1
        return True

    def _notices(self) -> list[tuple[str, str]]:
        """Return the headers that state something about the server in all its answers."""
        notices = [("Server-Leaving", "1")] if self.is_leaving else []
        if self.limit is not None:
            notices.append(("Server-Limit", str(self.limit.per_s)))
        return notices

    def _draw_fault(self, share: float) -> bool:
        """Return True with probability `share`."""
        return share > 0 and self.random.random() < share


def _endless_parts(place: str, chunk: bytes) -> tuple[bytes, bytes]:
    """Return what ends the head of an answer without end, and what is then repeated."""
    match place:
        case "head":
            return b"", b"More: " + chunk + b"\r\n"
        case "unframed":
            return b"\r\n", chunk
        case "behind":
            events = b"".join(b"id: %d\n\n" % number for number in range(1, _EVENTS_BEFORE + 1))
            return b"Content-Length: %d\r\n\r\n" % len(events) + events, chunk
    return b"Transfer-Encoding: chunked\r\n\r\n", b"%x\r\n%s\r\n" % (len(chunk), chunk)


def transport_of(exchange: Exchange) -> Any:
    """Return the transport of an exchange, to write what its framing would refuse."""
    return cast(Any, exchange)._output._transport


def _encode_refusal(headers: Sequence[tuple[str, str]]) -> bytes:
    fields = [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(["HTTP/1.1 503 X", *fields, "Content-Length: 0", "", ""]).encode()
