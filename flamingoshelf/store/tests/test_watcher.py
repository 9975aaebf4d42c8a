"""Tests of watching one kind of objects through store outages and lost history."""

import asyncio

import pytest

pytestmark = pytest.mark.looptime


async def test_changes_arrive_at_once(store, listener, watcher):
    store.set("a", 1)
    await watcher.start()
    await asyncio.sleep(0.1)
    assert listener.objects == {"a": 1}
    store.set("b", 2)
    store.remove("a")
    await asyncio.sleep(0.01)
    assert listener.objects == {"b": 2}
    assert store.calls.count("list") == 1


async def test_idle_watch_costs_one_call_for_each_wait(store, watcher):
    await watcher.start()
    await asyncio.sleep(50)
    assert store.calls.count("watch") <= 11


async def test_lost_history_leads_to_a_new_list(store, listener, watcher):
    await watcher.start()
    await asyncio.sleep(0.1)
    store.is_down = True
    store.set("a", 1)
    await asyncio.sleep(2)
    store.set("b", 2)
    store.forget_history()
    store.is_down = False
    await asyncio.sleep(1)
    assert listener.objects == {"a": 1, "b": 2}


# A change that could not be applied ended the watch for good.
async def test_change_that_can_not_be_applied_does_not_end_the_watch(
    store, listener, watcher, monkeypatch
):
    await watcher.start()
    await asyncio.sleep(0.1)
    with monkeypatch.context() as patch:
        patch.setattr(listener, "on_changes", lambda changes: 1 / 0)
        store.set("a", 1)
        await asyncio.sleep(0.01)
    store.set("b", 2)
    await asyncio.sleep(1)
    assert listener.objects == {"a": 1, "b": 2}


async def test_recovery_of_the_store_is_detected_without_a_change(store, listener, watcher):
    await watcher.start()
    await asyncio.sleep(0.1)
    store.is_down = True
    store.set("a", 1)
    await asyncio.sleep(20)
    store.is_down = False
    returned_s = asyncio.get_running_loop().time()
    await asyncio.sleep(4)
    assert len(listener.recoveries) == 1
    assert listener.recoveries[0] - returned_s < 1.0
    assert listener.objects == {"a": 1}


async def test_change_that_others_know_restarts_the_watch(store, listener, watcher):
    await watcher.start()
    await asyncio.sleep(0.1)
    # The open watch does not return this change, as on a connection that went silent.
    store.revision += 1
    store.set("a", 1)
    store.changed.clear()
    calls = len(store.calls)
    watcher.expect_change(store.revision)
    await asyncio.sleep(0.01)
    assert listener.objects == {"a": 1}
    assert len(store.calls) > calls


async def test_writes_of_other_kinds_cause_no_calls(store, watcher):
    """The store has one revision counter for all kinds, of which nodes know different values.

    A revision that another kind's write caused must not restart the watch.
    """
    await watcher.start()
    store.set("a", 1)
    await asyncio.sleep(0.4)
    calls = len(store.calls)
    for _ in range(20):
        store.revision += 1
        watcher.expect_change(2)
        await asyncio.sleep(0.05)
    assert len(store.calls) <= calls + 1


async def test_expected_change_that_never_arrives_restarts_the_watch_once(store, watcher):
    await watcher.start()
    await asyncio.sleep(0.1)
    calls = len(store.calls)
    for _ in range(20):
        watcher.expect_change(99)
        await asyncio.sleep(0.05)
    assert len(store.calls) <= calls + 2
