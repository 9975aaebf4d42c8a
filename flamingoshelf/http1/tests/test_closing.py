"""Ends of connections: the last answer arrives whole, and no caller can hold a connection."""

import asyncio
import socket

import pytest

from flamingoshelf.http1 import HttpServer, ResponseHead

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
LARGE = 8 * 1024 * 1024  # more than the socket buffers of both sides hold


async def answer(exchange):
    exchange.respond(ResponseHead(status=200), b"ok")


async def answer_large(exchange):
    exchange.respond(ResponseHead(status=200), bytes(LARGE))


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
