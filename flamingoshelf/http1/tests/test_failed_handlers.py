"""Handlers that fail: the caller gets an answer, or sees that a started one is not complete."""

import asyncio

import pytest

from flamingoshelf.http1 import Headers, ResponseHead

pytestmark = pytest.mark.looptime

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


async def answer(exchange):
    exchange.respond(ResponseHead(status=200), b"ok")


async def wait_for_cancelled_future(exchange):
    future = asyncio.get_running_loop().create_future()
    future.cancel()
    await future


async def test_request_whose_awaited_future_is_cancelled_is_answered(server):
    """The caller must not wait without end, and the connection must go on."""
    server.handle = wait_for_cancelled_future
    assert b"HTTP/1.1 500 " in await server.receive(GET)
    server.handle = answer
    assert b"HTTP/1.1 200 " in await server.receive(GET)


async def test_started_answer_whose_awaited_future_is_cancelled_is_aborted(server):
    async def handle(exchange):
        exchange.start_response(ResponseHead(status=200))
        await wait_for_cancelled_future(exchange)

    server.handle = handle
    written = await server.receive(GET)
    assert server.transport.is_aborted and not written.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("value", ["\N{SNOWMAN}", "a\nb"], ids=["text", "line break"])
async def test_head_that_can_not_be_written_gives_500(server, value):
    """Nothing was written yet, so the connection must not be aborted."""

    async def handle(exchange):
        exchange.respond(ResponseHead(status=200, headers=Headers([("X", value)])), b"ok")

    server.handle = handle
    assert b"HTTP/1.1 500 " in await server.receive(GET)


async def test_field_of_a_server_that_is_not_ascii_is_passed_on(server):
    """Fields are decoded as Latin-1, and must be written as that."""

    async def handle(exchange):
        exchange.respond(ResponseHead(status=200, headers=Headers([("X", "caf\xe9")])), b"ok")

    server.handle = handle
    assert b"X: caf\xe9\r\n" in await server.receive(GET)


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [(GET.replace(b"GET", b"HEAD"), 404), (GET, 204), (GET, 304)],
    ids=["HEAD", "204", "304"],
)
async def test_answer_without_a_body_is_complete(server, request_bytes, status):
    """The body of an answer that may have none is left out, and must not cost the connection."""

    async def handle(exchange):
        exchange.respond(ResponseHead(status=status), b"document")

    server.handle = handle
    written = await server.receive(request_bytes)
    assert written.startswith(b"HTTP/1.1 %d " % status) and b"document" not in written
    server.handle = answer
    assert b"HTTP/1.1 200 " in await server.receive(GET)


async def test_handler_that_goes_on_after_its_answer_does_not_hide_the_next_one(server):
    """If the caller leaves, the request that runs by then is cancelled."""
    cancelled = []

    async def handle(exchange):
        if exchange.head.target == "/a":
            exchange.respond(ResponseHead(status=200))
            await asyncio.sleep(1.0)
            return
        try:
            await asyncio.sleep(100.0)
        except asyncio.CancelledError:
            cancelled.append(exchange.head.target)
            raise

    server.handle = handle
    await server.receive(GET)
    await server.receive(GET.replace(b"/a", b"/b"))
    await asyncio.sleep(2.0)
    server.transport.abort()
    await asyncio.sleep(0.1)
    assert cancelled == ["/b"]
