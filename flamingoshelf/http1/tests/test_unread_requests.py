"""Requests that have arrived, but were not read when their connection is to be closed."""

import asyncio
import socket
import time
from contextlib import asynccontextmanager

from flamingoshelf.gateway._shutdown import ShutdownPlan
from flamingoshelf.http1 import ConnectionLimits, HttpServer, ResponseHead

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


async def answer(exchange):
    exchange.respond(ResponseHead(status=200), b"ok")


@asynccontextmanager
async def connected_caller(**limits):
    """Yield a server and a socket whose connection the server has accepted."""
    server = HttpServer(
        address="127.0.0.1:0", handle=answer, limits=lambda: ConnectionLimits(**limits)
    )
    await server.start()
    with socket.socket() as caller:
        caller.setblocking(False)
        await asyncio.get_running_loop().sock_connect(caller, ("127.0.0.1", server.port))
        await asyncio.sleep(0.05)
        assert server.connections == 1
        yield server, caller
    await server.stop()


async def read_answer(caller):
    async with asyncio.timeout(3.0):
        return await asyncio.get_running_loop().sock_recv(caller, 65_536)


async def test_request_that_arrived_before_a_late_idle_timer_is_answered():
    """A process that stood still reads what has arrived before it closes idle connections."""
    async with connected_caller(idle_timeout_s=0.2) as (_, caller):
        caller.send(GET)
        time.sleep(0.4)  # the process stands still
        assert (await read_answer(caller)).startswith(b"HTTP/1.1 200 ")


async def test_request_that_arrives_just_before_the_idle_timer_is_answered():
    """It arrives after this round of the event loop has looked for data."""
    async with connected_caller(idle_timeout_s=0.3) as (_, caller):
        asyncio.get_running_loop().call_later(0.1, caller.send, GET)
        time.sleep(0.5)  # the caller's request and the timer are due in the same round
        assert (await read_answer(caller)).startswith(b"HTTP/1.1 200 ")


async def test_request_that_arrives_just_before_idle_connections_are_closed_is_answered():
    """A planned stop closes idle connections, and must look for requests first."""
    async with connected_caller() as (server, caller):
        caller.send(GET)
        server.stop_accepting()
        assert (await read_answer(caller)).startswith(b"HTTP/1.1 200 ")


async def test_stop_waits_for_a_request_that_was_not_read_yet(monkeypatch):
    monkeypatch.setattr("flamingoshelf.gateway._shutdown._BALANCER_NOTICE_S", 0.0)
    async with connected_caller() as (server, caller):
        stop_accepting = server.stop_accepting

        def stop_accepting_after_a_request():
            caller.send(GET)
            stop_accepting()

        monkeypatch.setattr(server, "stop_accepting", stop_accepting_after_a_request)
        stopping = asyncio.create_task(ShutdownPlan(grace_s=3.0).run(server))
        assert (await read_answer(caller)).startswith(b"HTTP/1.1 200 ")
        monkeypatch.setattr(server, "stop_accepting", stop_accepting)
        await stopping
