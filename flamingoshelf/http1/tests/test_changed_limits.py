"""Limits that change while connections are open."""

import asyncio

import attrs
import pytest

from flamingoshelf.http1 import ResponseHead

pytestmark = pytest.mark.looptime

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
LARGE_GET = b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 4000 + b"\r\n\r\n"


@pytest.fixture(autouse=True)
def _handler(server):
    async def answer(exchange):
        exchange.respond(ResponseHead(status=200), b"ok")

    server.handle = answer


def change(server, **limits):
    server.limits = attrs.evolve(server.limits, **limits)


async def receive_in_parts(server, data, size=1500):
    written = b""
    for start in range(0, len(data), size):
        written += await server.receive(data[start : start + size])
    return written


async def test_kept_connection_applies_a_raised_header_limit(server):
    """A head that the limit in force allows must not get 431 for an older limit."""
    await server.receive(GET)
    change(server, max_header_bytes=8192)
    assert b"HTTP/1.1 200 " in await receive_in_parts(server, LARGE_GET)


async def test_kept_connection_applies_a_lowered_header_limit(server):
    change(server, max_header_bytes=8192)
    assert b"HTTP/1.1 200 " in await receive_in_parts(server, LARGE_GET)
    change(server, max_header_bytes=1024)
    assert b"HTTP/1.1 431 " in await receive_in_parts(server, LARGE_GET[:3000])


async def test_raised_idle_limit_holds_for_connections_that_are_idle_already(server):
    """A caller may use a connection that was idle for four fifths of the newest limit."""
    await server.receive(GET)
    await asyncio.sleep(10.0)
    change(server, idle_timeout_s=30)
    await asyncio.sleep(14.0)
    assert b"HTTP/1.1 200 " in await server.receive(GET)


async def test_idle_connection_stays_as_long_as_its_last_answer_said(server):
    """A limit that is lowered between head and end of an answer must not break its promise."""

    async def handle(exchange):
        exchange.start_response(ResponseHead(status=200))
        await asyncio.sleep(1.0)
        exchange.end()

    server.handle = handle
    assert b"Keep-Alive: timeout=15" in await server.receive(GET)
    change(server, idle_timeout_s=2)
    await asyncio.sleep(1.0 + 14.5)
    assert not server.transport.has_eof
    await asyncio.sleep(1.0)
    assert server.transport.has_eof


async def test_raised_limit_for_heads_holds_for_a_head_that_is_arriving(server):
    """A head within the limit in force must not get 408 for an older limit."""
    await server.receive(GET)
    await server.receive(GET[:10])
    await asyncio.sleep(2.0)
    change(server, header_timeout_s=6)
    await asyncio.sleep(3.0)
    assert b"HTTP/1.1 200 " in await server.receive(GET[10:])
    await server.receive(GET[:10])
    await asyncio.sleep(6.1)
    assert b"HTTP/1.1 408 " in server.transport.pop_written()


async def test_head_that_trickles_in_is_still_limited_in_time(server):
    await server.receive(GET)
    written = b""
    for number in range(20):
        written += await server.receive(GET[number : number + 1])
        await asyncio.sleep(0.2)
    assert b"HTTP/1.1 408 " in written
