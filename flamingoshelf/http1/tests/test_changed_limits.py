"""Limits that change while connections are open."""

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
