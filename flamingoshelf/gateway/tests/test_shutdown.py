"""Planned stops over sockets: requests that have begun are answered before the process ends."""

import asyncio
import socket
import struct

import pytest
from loguru import logger

from flamingoshelf.gateway import _shutdown
from flamingoshelf.gateway._shutdown import ShutdownPlan
from flamingoshelf.http1 import HttpServer, ResponseHead

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
LARGE = 8 * 1024 * 1024  # more than the socket buffers of both sides hold


@pytest.fixture(autouse=True)
def _short_notice(monkeypatch):
    monkeypatch.setattr(_shutdown, "_BALANCER_NOTICE_S", 0.1)


async def echo(exchange):
    body = await exchange.read_body(limit=1000)
    exchange.respond(ResponseHead(status=200), b"echo " + body)


async def answer_large(exchange):
    exchange.respond(ResponseHead(status=200), bytes(LARGE))


async def start(handle):
    server = HttpServer(address="127.0.0.1:0", handle=handle)
    await server.start()
    return server


async def read_slowly(port, *, step_s):
    """Return the size of the body that a caller with a small buffer gets."""
    loop = asyncio.get_running_loop()
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        caller.setblocking(False)
        await loop.sock_connect(caller, ("127.0.0.1", port))
        await loop.sock_sendall(caller, GET)
        received = b""
        while part := await loop.sock_recv(caller, 256 * 1024):
            received += part
            await asyncio.sleep(step_s)
    return len(received.partition(b"\r\n\r\n")[2])


async def test_stop_waits_for_answers_that_are_not_wholly_sent():
    """A written answer that its caller doesn't have yet must not be dropped by the stop."""
    server = await start(answer_large)
    reading = asyncio.create_task(read_slowly(server.port, step_s=0.05))
    await asyncio.sleep(0.05)
    await ShutdownPlan(grace_s=20.0).run(server)
    assert await reading == LARGE


async def test_stop_ends_in_time_beside_a_caller_that_reads_nothing():
    server = await start(answer_large)
    reading = asyncio.create_task(read_slowly(server.port, step_s=30.0))
    await asyncio.sleep(0.05)
    started_s = asyncio.get_running_loop().time()
    await ShutdownPlan(grace_s=1.0).run(server)
    assert asyncio.get_running_loop().time() - started_s < 1.0
    reading.cancel()


@pytest.mark.parametrize("sent", [10, 60], ids=["within the head", "within the body"])
async def test_stop_answers_a_request_that_is_still_arriving(sent):
    """A stop must wait for a request that has begun, also if its head is not complete."""
    request = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n0123456789"
    server = await start(echo)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(request[:sent])
    await asyncio.sleep(0.05)
    stopping = asyncio.create_task(ShutdownPlan(grace_s=5.0).run(server))
    await asyncio.sleep(0.4)  # after the listening socket was closed
    writer.write(request[sent:])
    answer = await reader.read()
    assert answer.endswith(b"echo 0123456789")
    await stopping
    writer.close()


async def test_caller_that_reset_its_connection_does_not_end_the_stop():
    """The reset was not read yet; closing that connection must not fail the stop of all others."""
    server = await start(echo)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
    with socket.socket() as caller:
        caller.setblocking(False)
        await asyncio.get_running_loop().sock_connect(caller, ("127.0.0.1", server.port))
        await asyncio.sleep(0.05)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    server.stop_accepting()
    stopping = asyncio.create_task(ShutdownPlan(grace_s=5.0).run(server))
    await asyncio.sleep(0.2)
    writer.write(b"b")
    assert (await reader.read()).endswith(b"echo ab")
    await stopping
    writer.close()


# A connection that was opened just before the stop closed idle ones was closed before its first
# request had arrived.
async def test_first_request_of_a_new_connection_is_answered():
    server = await start(echo)
    stopping = asyncio.create_task(ShutdownPlan(grace_s=5.0).run(server))
    await asyncio.sleep(0.08)  # shortly before idle connections are closed
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    await asyncio.sleep(0.1)
    writer.write(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na")
    assert (await reader.read()).endswith(b"echo a")
    await stopping
    writer.close()


# The close of the listening socket resets connections that wait there.
async def test_waiting_connection_is_accepted_before_the_listening_socket_closes():
    server = await start(echo)
    with socket.create_connection(("127.0.0.1", server.port)) as caller:
        await server.accept_waiting()
        server.stop_accepting()
        assert server.connections == 1
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(caller, GET)
        assert (await loop.sock_recv(caller, 4096)).startswith(b"HTTP/1.1 200")
    await server.stop()


async def test_connection_on_which_nothing_comes_holds_up_no_stop():
    server = await start(echo)
    _, writer = await asyncio.open_connection("127.0.0.1", server.port)
    began_s = asyncio.get_running_loop().time()
    await ShutdownPlan(grace_s=10.0).run(server)
    assert asyncio.get_running_loop().time() - began_s < 3.0
    writer.close()


async def test_stop_names_the_requests_that_it_cuts_within_a_bound():
    """The log says which requests were cut, and a stop with many of them writes few lines."""

    async def wait(exchange):
        exchange.request_id = exchange.head.target
        await asyncio.sleep(60.0)

    server = await start(wait)
    callers = [await asyncio.open_connection("127.0.0.1", server.port) for _ in range(110)]
    for number, (_, writer) in enumerate(callers):
        writer.write(GET.replace(b"/a", b"/%d" % number))
    await asyncio.sleep(0.1)
    named = []
    sink = logger.add(
        lambda message: named.append(message.record["extra"]["request_id"]),
        filter=lambda record: record["message"] == "request cut off",
    )
    await ShutdownPlan(grace_s=0.5).run(server)
    logger.remove(sink)
    assert len(set(named)) == len(named) == 100
    for _, writer in callers:
        writer.close()
