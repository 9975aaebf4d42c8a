"""Connections of callers: framing, limits, timeouts and shutdown."""

import asyncio

import attrs
import pytest

from flamingoshelf.http1 import BodyTooLargeError, Headers, ResponseHead
from flamingoshelf.http1.tests.conftest import Server, run_pending_callbacks

pytestmark = pytest.mark.looptime

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


async def echo(exchange):
    body = await exchange.read_body(limit=100)
    exchange.respond(ResponseHead(status=200), exchange.head.target.encode() + body)


@pytest.fixture(autouse=True)
def _handler(server):
    server.handle = echo


async def test_requests_of_one_connection_are_answered_in_order(server):
    written = await server.receive(GET + GET.replace(b"/a", b"/b"))
    assert written.index(b"/a") < written.index(b"/b")
    assert written.count(b"HTTP/1.1 200") == 2


async def test_bodies_with_a_length_and_in_chunks(server):
    written = await server.receive(
        b"POST /l HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
        b"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ncd\r\n0\r\n\r\n"
    )
    assert b"/lab" in written and b"/ccd" in written


async def test_request_within_a_body_is_not_parsed_as_a_request(server):
    server.handle = echo
    inner = b"POST /x HTTP/1.1\r\nHost: h\r\n\r\n"
    head = b"POST /l HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(inner)
    written = await server.receive(head + inner)
    assert written.count(b"HTTP/1.1 200") == 1


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 2000 + b"\r\n\r\n", b"431"),
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /a HTTP/1.1\r\n\r\n", b"400"),
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked"
            b"\r\n\r\n1\r\na\r\n0\r\n\r\n",
            b"400",
        ),
        (b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", b"400"),
    ],
    ids=["large head", "not HTTP", "no host", "length and chunks", "two lengths"],
)
async def test_malformed_requests_reach_no_handler(server, request_bytes, status):
    handled = []

    async def handle(exchange):
        handled.append(exchange)
        await echo(exchange)

    server.handle = handle
    written = await server.receive(request_bytes)
    assert written.split()[1] == status
    assert not handled


async def test_slow_head_is_timed_out(server):
    await server.receive(b"GET /a HT")
    await asyncio.sleep(2.9)
    assert not server.transport.pop_written()
    await asyncio.sleep(0.2)
    assert b" 408 " in server.transport.pop_written()
    assert server.transport.has_eof


async def test_idle_connection_is_closed_after_the_limit_in_force(server):
    await server.receive(GET)
    server.limits = attrs.evolve(server.limits, idle_timeout_s=4)
    await server.receive(GET)
    await asyncio.sleep(3.9)
    assert not server.transport.has_eof
    await asyncio.sleep(0.2)
    assert server.transport.has_eof


async def test_large_body_is_refused_and_the_caller_can_read_the_answer(server):
    async def handle(exchange):
        with pytest.raises(BodyTooLargeError):
            await exchange.read_body(limit=10)
        exchange.respond(ResponseHead(status=413))

    server.handle = handle
    written = await server.receive(
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n" + b"x" * 20
    )
    assert b" 413 " in written
    # The rest of the body is read and dropped, then the next request is served.
    server.handle = echo
    written = await server.receive(b"x" * 30 + GET)
    assert b" 200 " in written


async def test_disconnected_caller_cancels_its_request(server):
    cancelled = []

    async def handle(exchange):
        try:
            await asyncio.sleep(100)
        except asyncio.CancelledError:
            cancelled.append(True)
            raise

    server.handle = handle
    await server.receive(GET)
    server.connection.connection_lost(None)
    await run_pending_callbacks()
    assert cancelled and server.lost_connections


async def test_failing_handler_gives_500(server):
    async def handle(exchange):
        raise RuntimeError("no")

    server.handle = handle
    assert b" 500 " in await server.receive(GET)


async def test_aborted_stream_does_not_look_complete(server):
    async def handle(exchange):
        exchange.start_response(ResponseHead(status=200))
        await exchange.write(b"part")
        raise RuntimeError("no")

    server.handle = handle
    written = await server.receive(GET)
    assert b"part" in written and not written.endswith(b"0\r\n\r\n")
    assert server.transport.is_aborted


async def test_hop_by_hop_headers_are_not_forwarded(server):
    async def handle(exchange):
        headers = Headers([("Keep-Alive", "timeout=1"), ("Connection", "X"), ("X", "1")])
        exchange.respond(ResponseHead(status=200, headers=headers))

    server.handle = handle
    written = await server.receive(GET)
    assert b"X: 1" not in written and b"timeout=1\r\n" not in written


async def test_draining_connection_closes_after_its_answer(server):
    server.connection.close_after_response()
    written = await server.receive(GET)
    assert b"Connection: close" in written
    assert server.transport.has_eof and not server.transport.is_aborted
    await asyncio.sleep(1.1)
    assert server.transport.is_aborted


async def test_idle_connection_is_closed_when_the_server_stops(server):
    assert await server.receive(GET)
    server.connection.close_if_idle()
    assert server.transport.has_eof


# A new connection was closed before its first request had arrived.
async def test_first_request_of_a_connection_is_waited_for_when_the_server_stops(server):
    server.connection.close_if_idle()
    assert server.connection.is_unfinished and not server.transport.has_eof
    assert (await server.receive(GET)).startswith(b"HTTP/1.1 200")
    assert server.transport.has_eof


async def test_first_request_of_a_connection_is_waited_for_a_short_time_only():
    server = Server()  # whose connection begins now
    server.connection.close_if_idle()
    await asyncio.sleep(0.6)
    assert server.transport.has_eof and not server.connection.is_unfinished


async def test_expect_100_continue_is_answered(server):
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"
    assert await server.receive(head) == b"HTTP/1.1 100 \r\n\r\n"
    assert b"/aab" in await server.receive(b"ab")


async def test_slow_caller_applies_backpressure(server):
    written = []

    async def handle(exchange):
        exchange.start_response(ResponseHead(status=200))
        for _ in range(3):
            await exchange.write(b"x")
            written.append(1)
        exchange.end()

    server.handle = handle
    server.connection.pause_writing()
    await server.receive(GET)
    assert len(written) == 0
    server.connection.resume_writing()
    await run_pending_callbacks()
    assert len(written) == 3
