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
from flamingoshelf.store import StoreEras, era_of
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
def eras():
    return StoreEras()


@pytest.fixture
async def store(platform, eras):
    address = platform._server._address
    pool = ConnectionPool(max_connections=lambda key: 8)
    yield PlatformStore(address=address, pool=pool, eras=eras)
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
    snapshot = await store.list("k")
    changes = await store.watch("k", after_revision=snapshot.revision, timeout_s=0.05)
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


async def test_watch_from_before_a_restore_loses_its_history(store, platform):
    copy = platform.take_copy()
    for number in range(3):
        platform.put("k", f"n{number}", 1)
    snapshot = await store.list("k")
    waiting = asyncio.ensure_future(store.watch("k", after_revision=snapshot.revision, timeout_s=5))
    await asyncio.sleep(0.05)
    platform.restore(copy)
    with pytest.raises(HistoryLostError):
        await waiting
    for number in range(5):
        platform.put("k", f"m{number}", 1)  # the store's own revisions pass the former one
    with pytest.raises(HistoryLostError):
        await store.watch("k", after_revision=snapshot.revision, timeout_s=5)
    again = await store.list("k")
    assert again.revision > snapshot.revision and era_of(again.revision) == 2


@pytest.fixture
async def reused(store, platform):
    """Revision of an object of ours that another writer's has after a restore, by chance."""
    copy = platform.take_copy()
    mine = await store.create("k", "a", "mine")
    platform.restore(copy)
    other = platform.put("k", "a", "another's")
    assert other == mine.revision % 2**40
    return mine.revision


async def test_conditional_write_is_not_sent_to_another_era(store, platform, eras, reused):
    eras.observe(2, source="another node")
    with pytest.raises(ConflictError):
        await store.replace("k", "a", "mine again", expected_revision=reused)
    assert platform.objects("k") == {"a": "another's"}


async def test_conditional_write_that_meets_a_restore_counts_as_unknown(store, reused):
    with pytest.raises(OutcomeUnknownError):  # the node learns of the era by this answer
        await store.replace("k", "a", "mine again", expected_revision=reused)


async def test_changes_of_a_new_era_do_not_continue_a_watch(store, platform):
    """The store's own revisions have passed the former one when the watch is answered."""
    copy = platform.take_copy()
    for number in range(3):
        platform.put("k", f"n{number}", 1)
    snapshot = await store.list("k")
    waiting = asyncio.ensure_future(store.watch("k", after_revision=snapshot.revision, timeout_s=5))
    await asyncio.sleep(0.05)
    platform.restore(copy)
    for number in range(5):
        platform.put("k", f"m{number}", 1)
    with pytest.raises(HistoryLostError):
        await waiting


async def test_answer_of_an_earlier_era_that_arrives_late_is_not_used(store, platform, eras):
    await store.list("k")
    eras.observe(2, source="another node")
    with pytest.raises(ObjectServiceError):
        await store.list("k")
    with pytest.raises(OutcomeUnknownError):
        await store.create("k", "a", 1)


@pytest.mark.parametrize("value", ["", "-1", "two", "1e3", "9" * 400])
async def test_era_that_is_not_readable_changes_nothing(store, platform, eras, value):
    await store.list("k")
    platform.era = value
    await store.list("k")
    assert eras.current == 1
