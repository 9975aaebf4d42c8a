"""Requests around a planned stop: pipelined, with an expectation, or followed by other bytes."""

import asyncio

import pytest

from flamingoshelf.http1 import ResponseHead
from flamingoshelf.http1.tests.conftest import run_pending_callbacks

pytestmark = pytest.mark.looptime

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
LAST_GET = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
EXPECT = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"


@pytest.fixture
def release(server):
    """Answer requests with one part at once and the end when the event is set."""
    released = asyncio.Event()

    async def handle(exchange):
        exchange.start_response(ResponseHead(status=200))
        await exchange.write(b"begin")
        await released.wait()
        await exchange.write(b"finish")
        exchange.end()

    server.handle = handle
    return released


async def answer_later(exchange):
    await asyncio.sleep(1.0)
    exchange.respond(ResponseHead(status=200), b"ok")


async def echo(exchange):
    exchange.respond(ResponseHead(status=200), b"echo " + await exchange.read_body(limit=100))


async def refuse(exchange):
    exchange.respond(ResponseHead(status=404))


async def test_bytes_after_the_last_request_do_not_abort_its_answer_at_a_drain(server, release):
    """A request sent behind a running stream of a draining node must not cut the stream."""
    server.connection.close_after_response()
    written = await server.receive(GET)
    written += await server.receive(GET)
    assert not server.transport.is_aborted
    release.set()
    await run_pending_callbacks()
    written += server.transport.pop_written()
    assert b"finish" in written and written.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("split", [True, False], ids=["later", "in one piece"])
async def test_bytes_after_a_request_that_asks_to_close_do_not_abort_it(server, release, split):
    """Stray bytes, as an empty line, behind "Connection: close" must not cut the answer."""
    written = await server.receive(LAST_GET + b"" if split else LAST_GET + b"\r\n")
    if split:
        written += await server.receive(b"\r\n")
    assert not server.transport.is_aborted
    release.set()
    await run_pending_callbacks()
    written += server.transport.pop_written()
    assert b"finish" in written and written.endswith(b"0\r\n\r\n")


async def test_pipelined_requests_that_were_read_before_a_drain_are_all_answered(server):
    """Requests in the buffer must not be dropped when the first answer is the last by plan."""
    server.handle = answer_later
    await server.receive(GET + GET + GET)
    server.connection.close_after_response()
    await asyncio.sleep(5.0)
    written = server.transport.pop_written()
    assert written.count(b"HTTP/1.1 200") == 3
    assert written.count(b"Connection: close") == 1
    assert written.rindex(b"HTTP/1.1 200") < written.index(b"Connection: close")
    assert server.transport.has_eof


async def test_pipelined_request_is_answered_if_the_drain_comes_after_the_head(server, release):
    """The head announced that the connection stays, and the next request is there."""
    written = await server.receive(GET + GET)
    server.connection.close_after_response()
    release.set()
    await run_pending_callbacks()
    written += server.transport.pop_written()
    assert written.count(b"HTTP/1.1 200") == written.count(b"finish") == 2
    assert server.transport.has_eof


async def test_connection_is_not_closed_under_an_answer_that_announced_that_it_stays(
    server, release
):
    """Its caller may send the next request at once; that must not cross the close."""
    await server.receive(GET)
    server.connection.close_after_response()
    release.set()
    await run_pending_callbacks()
    server.transport.pop_written()
    assert not server.transport.has_eof
    assert b"Connection: close" in await server.receive(GET)
    assert server.transport.has_eof


async def test_connection_that_becomes_idle_after_the_idle_ones_were_closed_is_closed(
    server, release
):
    await server.receive(GET)
    server.connection.close_after_response()
    server.connection.close_if_idle()
    assert not server.transport.has_eof
    release.set()
    await run_pending_callbacks()
    assert server.transport.has_eof


async def test_request_with_an_expectation_is_answered_at_a_drain(server):
    server.handle = echo
    server.connection.close_after_response()
    assert await server.receive(EXPECT) == b"HTTP/1.1 100 \r\n\r\n"
    server.connection.close_if_idle()
    assert b"echo ab" in await server.receive(b"ab")
    assert server.transport.has_eof


async def test_refusal_instead_of_100_continue_closes_the_connection(server):
    """A caller that then sends no body would have its next request read as that body."""
    server.handle = refuse
    written = await server.receive(EXPECT)
    assert b" 404 " in written and b"Connection: close" in written
    assert server.transport.has_eof
