"""Requests around a planned stop: pipelined, with an expectation, or followed by other bytes."""

import asyncio

import pytest

from flamingoshelf.http1 import ResponseHead
from flamingoshelf.http1.tests.conftest import run_pending_callbacks

pytestmark = pytest.mark.looptime

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
LAST_GET = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


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
