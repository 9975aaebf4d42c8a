"""The client of the platform's store, tested against a fake store server."""

import asyncio

import pytest

from flamingoshelf.exceptions import (
    ConflictError,
    HistoryLostError,
    ObjectServiceError,
    OutcomeUnknownError,
)
from flamingoshelf.http1 import ConnectionPool
from flamingoshelf.platform import PlatformStore
from lab.gateway import StoreStandIn
from lab.processes import AddressPool


@pytest.fixture
async def platform():
    address = AddressPool().reserve()[0]
    platform = StoreStandIn(address=address)
    await platform.start()
    yield platform
    await platform.stop()


@pytest.fixture
async def store(platform):
    address = platform._server._address
    pool = ConnectionPool(max_connections=lambda key: 8)
    yield PlatformStore(address=address, pool=pool)
    await pool.stop()


async def test_objects_are_created_replaced_and_deleted(store):
    created = await store.create("k", "a", {"x": 1})
    with pytest.raises(ConflictError):
        await store.create("k", "a", {"x": 2})
    replaced = await store.replace("k", "a", {"x": 2}, expected_revision=created.revision)
    assert replaced.revision > created.revision
    with pytest.raises(ConflictError):
        await store.replace("k", "a", {"x": 3}, expected_revision=created.revision)
    snapshot = await store.list("k")
    assert snapshot.objects["a"].content == {"x": 2}
    await store.delete("k", "a")
    await store.delete("k", "a")
    assert (await store.list("k")).objects == {}


@pytest.mark.parametrize("is_likely_new", [True, False])
async def test_object_is_put_whether_it_exists_or_not(store, platform, is_likely_new):
    first = await store.put("k", "a", 1, is_likely_new=is_likely_new)
    second = await store.put("k", "a", 2, is_likely_new=is_likely_new)
    assert second.revision > first.revision
    assert platform.objects("k") == {"a": 2}


async def test_long_lists_come_in_pages(store, platform):
    for number in range(55):
        platform.put("k", f"n{number:03d}", number)
    assert len((await store.list("k")).objects) == 55
    assert platform.calls["GET"] == 3


async def test_watch_brings_changes_in_order(store, platform):
    snapshot = await store.list("k")
    waiting = asyncio.ensure_future(store.watch("k", after_revision=snapshot.revision, timeout_s=5))
    await asyncio.sleep(0.05)
    platform.put("other", "x", 1)
    platform.put("k", "a", 1)
    changes = await waiting
    assert [item.content for item in changes.changed] == [1]
    platform.put("k", "a", 2)
    platform.remove("k", "a")
    platform.put("k", "b", 3)
    changes = await store.watch("k", after_revision=changes.revision, timeout_s=1)
    assert [item.name for item in changes.changed] == ["b"]
    assert changes.removed == ("a",)


async def test_watch_without_changes_ends_with_its_wait(store, platform):
    platform.put("k", "a", 1)
    changes = await store.watch("k", after_revision=platform.revision, timeout_s=0.05)
    assert changes.changed == () and changes.last_change == 0


async def test_forgotten_history_is_an_error_of_its_own(store, platform):
    platform.put("k", "a", 1)
    platform.forget_history()
    with pytest.raises(HistoryLostError):
        await store.watch("k", after_revision=1, timeout_s=1)


@pytest.mark.parametrize("mode", ["busy", "reset", "silent"])
async def test_reads_that_fail_have_done_nothing(store, platform, mode, monkeypatch):
    monkeypatch.setattr("flamingoshelf.platform._store._CALL_TIMEOUT_S", 0.2)
    platform.faults.mode = mode
    with pytest.raises(ObjectServiceError):
        await store.list("k")
    platform.faults.mode = ""
    assert (await store.list("k")).objects == {}


async def test_refused_write_has_done_nothing(store, platform):
    platform.faults.mode = "busy"
    with pytest.raises(ObjectServiceError):
        await store.create("k", "a", 1)
    assert platform.objects("k") == {}


async def test_write_whose_answer_is_lost_may_have_been_done(store, platform):
    platform.faults.lost_writes = 1
    with pytest.raises(OutcomeUnknownError):
        await store.create("k", "a", 1)
    assert platform.objects("k") == {"a": 1}
