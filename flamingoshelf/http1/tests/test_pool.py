"""Which connection of a pool carries a request, over real connections."""

import asyncio
import math
import socket

import pytest

from flamingoshelf.http1 import ConnectionPool, Headers, RequestHead, SlowConnectionError

GET = RequestHead(method="GET", target="/a", headers=Headers([("Host", "h")]))
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Server:
    """Accepts connections, and answers when the test says so."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.connections = []

    @property
    def address(self):
        return "{}:{}".format(*self.listener.getsockname())

    async def answer(self, *, is_new):
        if is_new:
            self.connections.append(self.listener.accept()[0])
        await asyncio.to_thread(self.connections[-1].recv, 4096)
        self.connections[-1].sendall(ANSWER)


@pytest.fixture
def server():
    server = Server()
    yield server
    for connection in (*server.connections, server.listener):
        connection.close()


@pytest.fixture
def bound():
    """Return how many connections may be opened at a time, by server."""
    return {}


@pytest.fixture
async def pool(bound):
    pool = ConnectionPool(
        max_connections=lambda key: 4, max_opening=lambda key: bound.get(key, math.inf)
    )
    yield pool
    await pool.stop()


@pytest.fixture
def ask(server, pool):
    async def run(*, request_id=None, is_new=False):
        sent = await pool.call("x", server.address, GET, b"", request_id=request_id)
        async with sent as call:
            await server.answer(is_new=is_new)
            return (await call.connection.read_head()).status, await call.connection.read()

    return run


async def test_connections_are_reused(ask, server):
    await ask(request_id="1", is_new=True)
    await ask(request_id="2")
    assert len(server.connections) == 1


async def test_request_with_a_known_id_takes_another_idle_connection(ask, server):
    await ask(request_id="1", is_new=True)
    await ask(request_id="1", is_new=True)
    await ask(request_id="2")
    assert len(server.connections) == 2


# Bytes that had arrived before a request was sent were taken for its answer.
async def test_connection_with_unread_bytes_carries_no_request(ask, server):
    await ask(is_new=True)
    server.connections[-1].sendall(ANSWER.replace(b"ok", b"no"))
    assert await ask(is_new=True) == (200, b"ok")


# Each call opened a connection of its own while those before it waited for their first answers.
async def test_call_beyond_the_bound_of_new_connections_is_not_sent(pool, server, bound):
    bound["x"] = 1
    first = await pool.call("x", server.address, GET, b"")
    with pytest.raises(SlowConnectionError):
        await pool.call("x", server.address, GET, b"")
    assert pool.opened == 1 and pool.in_use("x") == 1
    async with first:
        pass
    assert pool.in_use("x") == 0


async def test_call_beyond_the_bound_uses_a_connection_that_comes_back(pool, ask, server, bound):
    await ask(is_new=True)
    first = await pool.call("x", server.address, GET, b"")
    bound["x"] = 0
    second = asyncio.ensure_future(pool.call("x", server.address, GET, b""))
    await asyncio.sleep(0.02)
    assert not second.done()
    async with first as call:
        await server.answer(is_new=False)
        while await call.connection.read():
            pass
    assert (await second).connection is first.connection and pool.opened == 1
    async with await second:
        pass


async def test_call_beyond_the_bound_waits_a_short_time_only(pool, ask, server, bound):
    await ask(is_new=True)
    first = await pool.call("x", server.address, GET, b"")
    bound["x"] = 0
    began_s = asyncio.get_running_loop().time()
    with pytest.raises(SlowConnectionError):
        await pool.call("x", server.address, GET, b"")
    assert 0.09 <= asyncio.get_running_loop().time() - began_s < 1.0
    async with first:
        pass


# As many calls go on as connections may be used or opened then.
@pytest.mark.parametrize(("allowed", "woken"), [(0, 1), (2, 3)])
async def test_answer_wakes_calls_that_wait_for_a_connection(
    pool, ask, server, bound, allowed, woken
):
    bound["x"] = allowed
    waiting = [asyncio.ensure_future(pool.wait_for_connection("x", 5.0)) for _ in range(3)]
    await asyncio.sleep(0)
    async with await pool.call("x", server.address, GET, b"", fresh=True) as call:
        await server.answer(is_new=True)
        while await call.connection.read():
            pass
        assert not any(wait.done() for wait in waiting)
    done, _ = await asyncio.wait(waiting, timeout=0.05)
    assert len(done) == woken
    for wait in waiting:
        wait.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)
    pool.close_idle("x")
    assert pool.in_use("x") == 0 and not pool._servers


async def test_nothing_is_kept_of_a_server_without_connections(pool, server):
    async with await pool.call("x", server.address, GET, b""):
        pass
    assert not pool._servers
