"""Probes of backend servers, over real connections that are answered late."""

import asyncio
import random

import attrs
import pytest

from flamingoshelf.gateway import _server_probe
from flamingoshelf.gateway._direct_calls import DirectCalls
from flamingoshelf.gateway._server_probe import ServerProbe
from flamingoshelf.gateway.tests.conftest import server
from flamingoshelf.gateway.tests.test_backend_client import Wire, response
from flamingoshelf.http1 import ConnectionPool, Headers, RequestHead
from flamingoshelf.paths import PathService, PathTable, ProbeResult

HEAD = RequestHead(method="GET", target="/health", headers=Headers([("Host", "h")]))
TIMEOUT_S, PATIENCE_S = 0.1, 0.5


class SlowServer:
    """Server that answers only once `is_open` is set."""

    def __init__(self):
        self.is_open = asyncio.Event()
        self.connections = 0
        self.instance = server("x")

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                await self.is_open.wait()
                writer.write(response())
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


@pytest.fixture(autouse=True)
def _short_times(monkeypatch):
    monkeypatch.setattr(_server_probe, "_TIMEOUT_S", TIMEOUT_S)
    monkeypatch.setattr(_server_probe, "_PATIENCE_S", PATIENCE_S)


@pytest.fixture
async def slow_server():
    slow = SlowServer()
    listener = await asyncio.start_server(slow.serve, "127.0.0.1", 0)
    slow.instance = attrs.evolve(
        server("x"), address="{}:{}".format(*listener.sockets[0].getsockname())
    )
    yield slow
    slow.is_open.set()
    listener.close()


@pytest.fixture
def table():
    return PathTable()


@pytest.fixture
async def pool():
    pool = ConnectionPool(max_connections=lambda key: 8)
    yield pool
    await pool.stop()


@pytest.fixture
async def probe(pool, table, notices, limits):
    async def run_probe(instance, is_fresh):
        return await made.run(instance, is_fresh)

    paths = PathService(
        table=table,
        probe=run_probe,
        servers=tuple,
        has_open_connection=pool.has_idle,
        close_connections=pool.close_idle,
        random_source=random.Random(1),
    )

    async def may_call(instance):
        return True

    direct = DirectCalls(pool=pool, wire=Wire(), notices=notices, limits=limits, paths=paths)
    made = ServerProbe(direct=direct, encode=lambda instance: HEAD, may_call=may_call)
    yield made
    await made.stop()
    await paths.stop()


# A probe that had no answer in time was given up and followed by another one, and all of them
# waited where connections were slow.
async def test_one_new_connection_at_a_time_waits_for_its_answer(probe, slow_server):
    results = [await probe.run(slow_server.instance, is_fresh) for is_fresh in (True, False, True)]
    assert results == [ProbeResult.SILENT] * 3 and slow_server.connections == 1
    slow_server.is_open.set()
    assert await probe.run(slow_server.instance, True) is ProbeResult.ANSWERED
    assert slow_server.connections == 1


async def test_late_answer_restores_the_path(probe, slow_server, table, pool):
    instance = slow_server.instance
    table.mark_cut(instance, ["b"], checked_s=0.0, keeps_connections=False)
    assert await probe.run(instance, True) is ProbeResult.SILENT
    slow_server.is_open.set()
    await asyncio.sleep(0.05)
    assert not table.peers("x") and pool.has_idle("x")


async def test_probe_that_is_never_answered_is_followed_by_a_more_patient_one(probe, slow_server):
    began_s = asyncio.get_running_loop().time()
    times: list[float] = []
    while len(times) < 3:
        seen = slow_server.connections
        await probe.run(slow_server.instance, True)
        if slow_server.connections > seen:
            times.append(asyncio.get_running_loop().time() - began_s)
    first, second = times[1] - times[0], times[2] - times[1]
    assert first >= 0.9 * PATIENCE_S and second >= 1.8 * PATIENCE_S


async def test_open_connection_is_probed_beside_a_new_one_that_waits(probe, slow_server, pool):
    slow_server.is_open.set()
    assert await probe.run(slow_server.instance, True) is ProbeResult.ANSWERED
    assert await probe.run(slow_server.instance, False) is ProbeResult.ANSWERED
    assert slow_server.connections == 1
    slow_server.is_open.clear()
    assert await probe.run(slow_server.instance, True) is ProbeResult.SILENT
    slow_server.is_open.set()
    assert await probe.run(slow_server.instance, False) is ProbeResult.ANSWERED


async def test_connection_that_is_refused_is_told_from_one_that_is_silent(probe, slow_server):
    gone = attrs.evolve(slow_server.instance, address="127.0.0.1:1")
    assert await probe.run(gone, True) is ProbeResult.FAILED
