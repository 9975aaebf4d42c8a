"""Contract tests of the VM list: handling of valid, invalid, stale and missing responses."""

import asyncio
import contextlib
import itertools
import json
import os

import pytest

from flamingoshelf.exceptions import ObjectServiceError, ProtocolError
from flamingoshelf.membership import VmView
from flamingoshelf.object_service import HttpVmList

_hosts = itertools.count(1)


def entry(name, state="live"):
    return {"name": name, "address": "127.0.0.1:1", "data_centre": "a", "state": state}


def listing(version, *entries):
    return 200, json.dumps({"version": version, "vms": entries}).encode()


@contextlib.asynccontextmanager
async def platform(answers):
    """Serve `answers` in order and repeat the last; None closes the connection."""
    pid = os.getpid()
    host = f"127.{200 + (pid >> 8) % 20}.{pid & 255}.{next(_hosts)}"

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                answer = answers.pop(0) if len(answers) > 1 else answers[0]
                if answer is None:
                    break
                status, body = answer
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, host, 7500)
    vm_list = HttpVmList(address=f"{host}:7500")
    try:
        yield vm_list
    finally:
        await vm_list.close()
        server.close()


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        (None, ObjectServiceError),
        ((503, b"down"), ObjectServiceError),
        ((429, b"too many"), ObjectServiceError),
        ((200, b"no json"), ProtocolError),
        ((200, b"[]"), ProtocolError),
        ((200, b'{"version": 2}'), ProtocolError),
        ((404, b"{}"), ProtocolError),
        (listing("x"), ProtocolError),
        (listing(2, {"name": "vm-1"}), ProtocolError),
        (listing(2, entry("vm-1", state="gone")), ProtocolError),
        (listing(2, entry("vm-1"), entry("vm-1")), ProtocolError),
    ],
)
async def test_a_failed_read_keeps_the_list(answer, error):
    async with platform([listing(1, entry("vm-1")), answer]) as vm_list:
        view = VmView(vm_list=vm_list)
        assert await view.refresh()
        read_s = view.read_s
        with pytest.raises(error):
            await view.refresh()
        assert view.find("vm-1") is not None
        assert view.read_s == read_s


async def test_an_unreachable_list_is_an_error():
    with pytest.raises(ObjectServiceError):
        await HttpVmList(address="127.199.1.1:7500").snapshot()


async def test_an_older_list_is_ignored():
    answers = [listing(5, entry("vm-1")), listing(4), listing(6, entry("vm-2", state="leaving"))]
    async with platform(answers) as vm_list:
        view = VmView(vm_list=vm_list)
        assert await view.refresh()
        assert not await view.refresh()
        assert view.find("vm-1") is not None
        assert await view.refresh()
        assert view.find("vm-1") is None
        assert view.live_names == []
