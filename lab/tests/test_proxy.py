"""The fault proxy treats traffic as its mode and its refused sources require."""

import asyncio

import pytest

from lab.processes import AddressPool
from lab.proxy import FaultProxy, ProxyMode


@pytest.fixture
async def proxy():
    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
            await writer.drain()
        writer.close()

    listen, target = AddressPool().reserve(2)
    host, _, port = target.rpartition(":")
    server = await asyncio.start_server(echo, host, int(port))
    proxy = FaultProxy(listen_address=listen, target_address=target)
    await proxy.start()
    yield proxy
    await proxy.stop()
    server.close()


async def exchange(proxy):
    host, _, port = proxy.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(b"hello")
        async with asyncio.timeout(0.3):
            return await reader.read(100)
    except TimeoutError:
        return "nothing came back"
    except ConnectionResetError:
        return "reset"
    finally:
        writer.close()


@pytest.mark.parametrize(
    ("mode", "outcomes"),
    [
        (ProxyMode.PASS, {b"hello"}),
        (ProxyMode.REFUSE, {"reset", b""}),
        (ProxyMode.STALL, {"nothing came back"}),
        (ProxyMode.LOSE_ANSWERS, {"nothing came back"}),
    ],
)
async def test_mode(proxy, mode, outcomes):
    proxy.mode = mode
    assert await exchange(proxy) in outcomes


async def test_refused_source(proxy):
    proxy.refused_sources.add("127.0.0.1")
    assert await exchange(proxy) in {"reset", b""}
