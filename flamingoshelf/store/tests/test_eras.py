"""Restores of the store from a copy that is some seconds old."""

import asyncio
import random
from typing import cast

import pytest

from flamingoshelf.exceptions import HistoryLostError
from flamingoshelf.store import (
    KindSnapshot,
    KindStore,
    KindWatcher,
    StoreEras,
    StoreObject,
    join_revision,
)
from flamingoshelf.store.tests.conftest import FakeStore

pytestmark = pytest.mark.looptime


@pytest.fixture
def store(eras):
    store = FakeStore(eras)
    store.revision = join_revision(1, 1)
    return store


def test_revisions_grow_over_restores():
    assert join_revision(1, 2**39) < join_revision(2, 1) < join_revision(2, 2)


def test_listeners_hear_of_restores_only():
    heard = []
    eras = StoreEras()
    eras.subscribe(lambda: heard.append(eras.current))
    for era in (3, 3, 2, 4, 4):
        eras.observe(era, source="store")
    assert heard == [4] and eras.current == 4


async def test_lost_and_older_objects_show_after_a_restore(store, listener, watcher):
    store.set("old", 1)
    copy = dict(store.objects)
    store.set("old", 2)
    store.set("new", 1)
    await watcher.start()
    await asyncio.sleep(0.1)
    assert listener.objects == {"old": 2, "new": 1}
    store.restore(copy)
    store.set("written-again", 1)  # ends the watch that waits, with a revision given out before
    await asyncio.sleep(0.1)
    assert listener.objects == {"old": 1, "written-again": 1}


async def test_restore_that_another_node_tells_of_ends_the_watch_that_waits(
    store, listener, watcher, eras
):
    store.set("a", 1)
    copy = dict(store.objects)
    store.set("b", 1)
    await watcher.start()
    await asyncio.sleep(0.1)
    store.restore(copy)
    eras.observe(2, source="another node")
    await asyncio.sleep(0.1)
    assert listener.objects == {"a": 1}


async def test_change_after_a_restore_is_seen_though_its_revision_was_seen_before(
    store, listener, watcher
):
    copy = dict(store.objects)
    for number in range(5):
        store.set(f"n{number}", number)
    await watcher.start()
    await asyncio.sleep(0.1)
    store.restore(copy)
    store.set("again", 1)  # its own revision is that of n0
    await asyncio.sleep(0.1)
    store.set("more", 2)
    await asyncio.sleep(0.1)
    assert listener.objects == {"again": 1, "more": 2}


async def test_list_of_an_earlier_era_that_arrives_late_is_not_used(listener, eras):
    """Answers of two eras can cross on the way."""

    class CrossingStore:
        def __init__(self):
            self.answers = [(2, "stale"), (3, "current")]

        async def list(self, kind):
            era, content = self.answers.pop(0)
            eras.observe(3, source="another node")
            item = StoreObject(name="a", revision=join_revision(era, 5), content=content)
            return KindSnapshot(objects={"a": item}, revision=join_revision(era, 5))

        async def watch(self, kind, *, after_revision, timeout_s):
            await asyncio.sleep(timeout_s)
            raise HistoryLostError("unused", step="watch")

    watcher = KindWatcher(
        store=cast(KindStore, CrossingStore()),
        kind="k",
        listener=listener,
        wait_s=60.0,
        random_source=random.Random(1),
        eras=eras,
    )
    await watcher.start()
    await asyncio.sleep(1.0)
    assert listener.objects == {"a": "current"}
    assert listener.snapshots == [{"a": "current"}]  # not even for a moment
    await watcher.stop()
