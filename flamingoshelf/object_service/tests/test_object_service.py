"""Contract tests of `ObjectService`; add further adapters as parameters of the fixture."""

import asyncio

import pytest
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from flamingoshelf.daemon._http_server import HttpServer
from flamingoshelf.exceptions import ConflictError, ObjectServiceError, OutcomeUnknownError
from flamingoshelf.http_client import new_http_client
from flamingoshelf.object_service import HttpObjectService
from lab.memory_store import MemoryObjectService, StoreFault
from lab.platform import build_platform_app
from lab.processes import AddressPool


class MemoryHarness:
    """In-memory service whose faults are injected by name."""

    def __init__(self):
        self.service = MemoryObjectService()

    async def set_fault(self, name):
        if name == "down":
            self.service.set_down(True)
        else:
            self.service.faults = [
                {
                    "lose_answers": StoreFault.LOST_ANSWER,
                    "lose_reads": StoreFault.LOST_ANSWER,
                    "stale_reads": StoreFault.STALE_READ,
                }[name]
            ]


class HttpHarness:
    """HTTP client and fake platform whose faults are injected by name."""

    def __init__(self, address):
        self._address = address
        self._client = new_http_client()
        self.service = HttpObjectService(address=address)

    async def set_fault(self, name):
        control_request = {"faults": {name: True if name == "down" else 1}}
        await self._client.post(f"http://{self._address}/control", json=control_request)

    async def close(self):
        await self.service.close()
        await self._client.connector.cleanup()


@pytest.fixture(params=["memory", "http"])
async def harness(request):
    if request.param == "memory":
        yield MemoryHarness()
        return
    address = AddressPool().reserve()[0]
    server = HttpServer(app=build_platform_app(), address=address, shutdown_timeout_s=1.0)
    await server.start()
    harness = HttpHarness(address)
    yield harness
    await harness.close()
    await server.stop()


async def test_objects_are_written_read_listed_and_deleted(harness):
    service = harness.service
    assert await service.get("a/x") is None
    first = await service.put("a/x", b"1", expected_version=0)
    second = await service.put("a/x", b"2", expected_version=first)
    assert second > first
    await service.put("b/y", b"3", expected_version=0)
    found = await service.get("a/x")
    assert (found.key, found.value, found.version) == ("a/x", b"2", second)
    assert list(await service.keys("a/")) == ["a/x"]
    await service.delete("a/x", expected_version=second)
    assert await service.get("a/x") is None
    third = await service.put("a/x", b"4", expected_version=0)
    assert third > second


@pytest.mark.parametrize("offset", [-1, 1])
async def test_another_version_is_a_conflict_and_changes_nothing(harness, offset):
    await harness.service.put("other", b"0", expected_version=0)
    version = await harness.service.put("x", b"1", expected_version=0)
    for call in (
        harness.service.put("x", b"2", expected_version=version + offset),
        harness.service.delete("x", expected_version=version + offset),
        harness.service.put("new", b"2", expected_version=version + offset),
    ):
        with pytest.raises(ConflictError):
            await call
    assert (await harness.service.get("x")).value == b"1"
    assert await harness.service.get("new") is None


async def test_values_above_a_megabyte_are_refused(harness):
    await harness.service.put("x", b"0" * 1_000_000, expected_version=0)
    with pytest.raises(ValueError, match="1000001"):
        await harness.service.put("y", b"0" * 1_000_001, expected_version=0)


async def test_watch_returns_the_newer_object_or_none_in_time(harness):
    version = await harness.service.put("x", b"1", expected_version=0)
    assert await harness.service.watch("x", after_version=version, timeout_s=0.05) is None
    assert await harness.service.watch("none", after_version=0, timeout_s=0.05) is None
    found = await harness.service.watch("x", after_version=0, timeout_s=5.0)
    assert found.version == version
    waiting = asyncio.create_task(harness.service.watch("x", after_version=version, timeout_s=20.0))
    await asyncio.sleep(0.05)
    newer = await harness.service.put("x", b"2", expected_version=version)
    assert (await waiting).version == newer


@pytest.mark.parametrize(
    ("status", "error"),
    [
        (429, ObjectServiceError),
        (503, ObjectServiceError),
        (500, OutcomeUnknownError),
        (502, OutcomeUnknownError),
        (504, OutcomeUnknownError),
    ],
)
async def test_only_a_refusal_says_that_nothing_was_written(status, error):
    async def answer(request):
        return Response(status_code=status)

    app = Starlette(routes=[Route("/objects/{key}", answer, methods=["PUT"])])
    address = AddressPool().reserve()[0]
    server = HttpServer(app=app, address=address, shutdown_timeout_s=1.0)
    await server.start()
    service = HttpObjectService(address=address)
    with pytest.raises(error):
        await service.put("x", b"1", expected_version=0)
    await service.close()
    await server.stop()


FAULTS = [
    # fault, call, error, whether the write took effect
    ("down", "put", ObjectServiceError, False),
    ("down", "delete", ObjectServiceError, False),
    ("down", "get", ObjectServiceError, False),
    ("down", "keys", ObjectServiceError, False),
    ("down", "watch", ObjectServiceError, False),
    ("lose_answers", "put", OutcomeUnknownError, True),
    ("lose_answers", "delete", OutcomeUnknownError, True),
    ("lose_reads", "get", ObjectServiceError, False),
]


@pytest.mark.parametrize(("fault", "call", "error", "took_effect"), FAULTS)
async def test_faults(harness, fault, call, error, took_effect):
    service = harness.service
    version = await service.put("x", b"1", expected_version=0)
    calls = {
        "put": lambda: service.put("x", b"2", expected_version=version),
        "delete": lambda: service.delete("x", expected_version=version),
        "get": lambda: service.get("x"),
        "keys": lambda: service.keys("x"),
        "watch": lambda: service.watch("x", after_version=0, timeout_s=1.0),
    }
    await harness.set_fault(fault)
    with pytest.raises(error):
        await calls[call]()
    if fault != "down":
        found = await service.get("x")
        expected = {"put": b"2", "delete": None}[call] if took_effect else b"1"
        assert (None if found is None else found.value) == expected


async def test_a_stale_read_returns_the_version_before(harness):
    first = await harness.service.put("x", b"1", expected_version=0)
    second = await harness.service.put("x", b"2", expected_version=first)
    await harness.set_fault("stale_reads")
    assert (await harness.service.get("x")).version == first
    assert (await harness.service.get("x")).version == second


@pytest.mark.parametrize("version", [None, "", "seven", "-1"])
async def test_success_without_a_version_is_an_error_of_its_own(version):
    """The write took effect, but at an unknown version."""
    headers = {} if version is None else {"ETag": version}

    async def answer(request):
        return Response(b"x", headers=headers)

    address = AddressPool().reserve()[0]
    app = Starlette(routes=[Route("/objects/{key}", answer, methods=["GET", "PUT"])])
    server = HttpServer(app=app, address=address, shutdown_timeout_s=0.5)
    await server.start()
    service = HttpObjectService(address=address)
    try:
        with pytest.raises(OutcomeUnknownError):
            await service.put("k", b"x", expected_version=0)
        with pytest.raises(ObjectServiceError):
            await service.get("k")
    finally:
        await service.close()
        await server.stop()
