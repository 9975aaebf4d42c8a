"""Ends of connections: the last answer arrives whole, and no caller can hold a connection."""

import asyncio
import socket

import attrs
import pytest

from flamingoshelf.http1 import HttpServer, ResponseHead
from flamingoshelf.http1.tests.conftest import run_pending_callbacks

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
LARGE = 8 * 1024 * 1024  # more than the socket buffers of both sides hold


async def answer(exchange):
    exchange.respond(ResponseHead(status=200), b"ok")


async def answer_large(exchange):
    exchange.respond(ResponseHead(status=200), bytes(LARGE))


async def refuse(exchange):
    exchange.respond(ResponseHead(status=404))


async def read_slowly(port, request, *, step_s, step_bytes=256 * 1024):
    """Return the size of the body that a caller with a small buffer gets."""
    loop = asyncio.get_running_loop()
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        caller.setblocking(False)
        await loop.sock_connect(caller, ("127.0.0.1", port))
        await loop.sock_sendall(caller, request)
        received = b""
        while part := await loop.sock_recv(caller, step_bytes):
            received += part
            await asyncio.sleep(step_s)
    return len(received.partition(b"\r\n\r\n")[2])


@pytest.mark.looptime
@pytest.mark.parametrize("cause", ["drain", "caller"])
async def test_slow_reader_gets_the_whole_last_answer(server, cause):
    """An answer still in the write buffer a second after the close must not be dropped."""
    server.handle = answer
    if cause == "drain":
        server.connection.close_after_response()
    close = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    await server.receive(GET if cause == "drain" else close)
    for unsent_bytes in (9000, 6000, 3000, 1):
        server.transport.unsent_bytes = unsent_bytes
        await asyncio.sleep(3.0)
        assert not server.transport.is_aborted
    server.transport.unsent_bytes = 0
    await asyncio.sleep(1.2)
    assert server.transport.is_aborted


@pytest.mark.looptime
async def test_caller_that_reads_nothing_is_cut_in_time(server):
    """A connection that makes no progress must not stay forever."""
    server.handle = answer
    server.connection.close_after_response()
    await server.receive(GET)
    server.transport.unsent_bytes = 9000
    await asyncio.sleep(4.5)
    assert not server.transport.is_aborted
    await asyncio.sleep(1.0)
    assert server.transport.is_aborted


async def test_large_last_answer_arrives_whole_over_a_socket():
    """A caller that needs longer than a second for the last answer must get all of it."""
    server = HttpServer(address="127.0.0.1:0", handle=answer_large)
    await server.start()
    server.drain()
    assert await read_slowly(server.port, GET, step_s=0.05) == LARGE
    await server.stop()


@pytest.mark.looptime
async def test_refused_body_does_not_cost_the_answer(server):
    """A caller that uploads more than 256 KiB after its refusal must be able to read it."""
    server.handle = refuse
    server.limits = attrs.evolve(server.limits, max_body_bytes=4 * 1024 * 1024)
    size = 1024 * 1024
    written = await server.receive(POST % size + bytes(1000))
    assert b" 404 " in written
    server.handle = answer
    sent = 1000
    while sent < size:
        part = bytes(min(64 * 1024, size - sent))
        await server.receive(part)
        sent += len(part)
    assert not server.transport.is_aborted
    assert b" 200 " in await server.receive(GET)


@pytest.mark.looptime
async def test_refused_bodies_of_a_connection_are_not_added_up(server):
    """Several small refused bodies on one connection must not end it."""
    server.handle = refuse
    for _ in range(8):
        await server.receive(POST % 50_000 + b"x")
        await server.receive(bytes(49_999))
        assert not server.transport.is_aborted


@pytest.mark.looptime
async def test_endless_refused_body_ends_the_connection(server):
    """A caller can't send a refused body without end."""
    server.handle = refuse
    await server.receive(POST % (1 << 40) + b"x")
    for _ in range(200):
        await server.receive(bytes(64 * 1024))
    await asyncio.sleep(7.0)
    assert server.transport.is_aborted


async def test_refusal_of_a_large_body_arrives_over_a_socket_while_draining():
    """A caller that reads only after it has sent everything must find the refusal."""
    server = HttpServer(address="127.0.0.1:0", handle=refuse)
    await server.start()
    server.drain()
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    size = 3 * 1024 * 1024
    writer.write(POST % size)
    for _ in range(size // (64 * 1024)):
        writer.write(bytes(64 * 1024))
        await writer.drain()
        await asyncio.sleep(0.001)
    assert (await reader.read()).startswith(b"HTTP/1.1 404 ")
    writer.close()
    await server.stop()


@pytest.mark.looptime
async def test_request_that_crosses_the_close_ends_the_connection_at_once(server):
    """Its caller learns within 200 ms of its last byte that it gets no answer."""
    server.handle = answer
    await server.receive(GET)
    server.connection.close_if_idle()
    await server.receive(GET[:10])
    await asyncio.sleep(0.05)
    await server.receive(GET[10:])
    await asyncio.sleep(0.19)
    await run_pending_callbacks()
    assert server.transport.is_aborted


@pytest.mark.looptime
async def test_request_that_crosses_the_close_does_not_cost_the_answer_before_it(server):
    """Bytes after the last request must not cut an answer that its caller still reads."""
    server.handle = answer
    server.connection.close_after_response()
    await server.receive(GET)
    server.transport.unsent_bytes = 9000
    await server.receive(GET)
    await asyncio.sleep(2.0)
    assert not server.transport.is_aborted
    server.transport.unsent_bytes = 0
    await asyncio.sleep(1.2)
    assert server.transport.is_aborted


@pytest.mark.looptime
async def test_close_of_a_connection_that_its_caller_has_reset_does_not_fail(server):
    """The reset may not have been read yet; the write side can't be closed any more then."""

    def write_eof():
        raise OSError(107, "Transport endpoint is not connected")

    server.transport.write_eof = write_eof
    assert await server.receive(GET)
    server.connection.close_if_idle()
    await run_pending_callbacks()
    assert server.transport.is_aborted


@pytest.mark.looptime
async def test_answers_do_not_pile_up_for_a_pipelining_caller_that_reads_nothing(server):
    """The next request waits for the write buffer, is kept for so long, and is answered then."""
    handled = []

    async def handle(exchange):
        handled.append(exchange)
        server.connection.pause_writing()  # the answer fills the write buffer
        exchange.respond(ResponseHead(status=200), b"ok")

    server.handle = handle
    await server.receive(GET * 5)
    await asyncio.sleep(4.0)  # longer than a head may take
    assert len(handled) == 1
    for count in range(2, 6):
        server.connection.resume_writing()
        await run_pending_callbacks()
        assert len(handled) == count
    assert not server.transport.has_eof


@pytest.mark.looptime
async def test_pipelining_caller_can_not_fill_the_memory_with_requests(server):
    """What a caller sends behind a running request is read up to a limit only, and no part lost."""
    handled = []

    async def handle(exchange):
        handled.append(exchange)
        await asyncio.sleep(0.1)
        exchange.respond(ResponseHead(status=200), b"ok")

    server.handle = handle
    await server.receive(GET)
    sent = 1
    while not server.transport.is_paused and sent * len(GET) < 10_000_000:
        await server.receive(GET * 100)
        sent += 100
    assert sent * len(GET) < 1_000_000
    await asyncio.sleep(0.2 * sent)
    assert len(handled) == sent
    assert not server.transport.is_paused
