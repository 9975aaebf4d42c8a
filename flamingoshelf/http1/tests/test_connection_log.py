"""Log lines about connections that end with a request or a response on them."""

import asyncio

import pytest
from loguru import logger

from flamingoshelf.http1 import ResponseHead
from flamingoshelf.http1._connection_log import CloseReason
from flamingoshelf.http1.tests.conftest import run_pending_callbacks

pytestmark = pytest.mark.looptime

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
CHUNKED = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.fixture
def lines():
    """Log lines as pairs of text and fields."""
    found = []
    sink = logger.add(
        lambda message: found.append((message.record["message"], message.record["extra"])),
        level="INFO",
    )
    yield found
    logger.remove(sink)


async def wait_long(exchange):
    exchange.request_id = "q1"
    await asyncio.sleep(100)


async def answer(exchange):
    exchange.request_id = "q1"
    exchange.respond(ResponseHead(status=200), b"ok")


async def test_ordinary_requests_are_not_logged(server, lines):
    server.handle = answer
    await server.receive(GET + GET)
    server.transport.abort()
    await run_pending_callbacks()
    assert lines == []


async def test_malformed_body_names_the_request_that_it_ends(server, lines):
    server.handle = wait_long
    await server.receive(CHUNKED + b"2\r\nab\r\n")
    await server.receive(b"nonsense\r\n")
    (text, fields), *_ = lines
    assert text == "request cut off"
    assert (fields["request_id"], fields["reason"]) == ("q1", "malformed input")
    assert fields["body_complete"] is False


async def test_request_that_is_cut_at_the_end_of_the_grace_period_is_named(server, lines):
    server.handle = wait_long
    await server.receive(GET)
    server.connection.abort(CloseReason.STOP)
    await run_pending_callbacks()
    assert [(text, fields["request_id"], fields["reason"]) for text, fields in lines] == [
        ("request cut off", "q1", "grace period over")
    ]


async def test_bytes_after_an_idle_close_are_logged_once(server, lines):
    await server.receive(GET)
    await asyncio.sleep(15.1)
    await server.receive(GET)
    await server.receive(GET)
    await asyncio.sleep(1.1)
    ((text, fields),) = lines
    assert text == "received bytes discarded; the connection is closing"
    assert (fields["reason"], fields["bytes"]) == ("idle timeout", 2 * len(GET))


async def test_response_that_is_not_wholly_sent_is_logged(server, lines):
    server.handle = answer
    server.connection.close_after_response()
    await server.receive(GET)
    server.transport.unsent_bytes = 7
    await asyncio.sleep(30.0)
    ((text, fields),) = lines
    assert text == "response not wholly sent"
    assert (fields["request_id"], fields["unsent_bytes"]) == ("q1", 7)
