"""Revisions and confirmations that a node gets from single calls to the object service."""

import pytest

from flamingoshelf.configuration import HEAD_KEY, Repository
from flamingoshelf.configuration._freshness import Freshness
from flamingoshelf.configuration._state import RevisionState
from flamingoshelf.configuration._store_watch import StoreWatch
from flamingoshelf.configuration.tests.conftest import merging, workspace
from flamingoshelf.configuration.tests.fleet import NodeStore
from flamingoshelf.exceptions import ObjectServiceError
from flamingoshelf.objects import Fleet

pytestmark = pytest.mark.looptime


async def no_wait():
    return None


class Node:
    """One node's watch of the object service."""

    def __init__(self, store):
        self.store = NodeStore(store)
        self.state = RevisionState()
        self.freshness = Freshness(fleet=Fleet, vms=lambda: ())
        self.events: list[str] = []
        self._watch = StoreWatch(
            store=self.store,
            state=self.state,
            freshness=self.freshness,
            count_event=self.events.append,
        )

    async def watch(self):
        await self._watch.watch_once(before_load=no_wait)


@pytest.fixture
async def repository(store):
    return Repository(store=store)


@pytest.mark.parametrize("knows_version", [False, True])
async def test_an_old_head_confirms_nothing(store, repository, knows_version):
    await repository.apply(merging(workspace("a")))
    old_head = await store.get(HEAD_KEY)
    await repository.apply(merging(workspace("b")))
    node = Node(store)
    if knows_version:
        await node.watch()
    else:
        newest = await repository.newest()
        node.state.adopt(newest.catalog, manifest=newest.head.manifest)
    age_s = node.freshness.age_s
    node.store.stale_head = old_head
    with pytest.raises(ObjectServiceError, match="old head"):
        await node.watch()
    assert node.freshness.age_s >= age_s
    assert node.state.revision == 2


async def test_one_change_costs_a_watch_and_a_read(store, repository):
    await repository.apply(merging(*(workspace(f"w{number}") for number in range(1500))))
    node = Node(store)
    await node.watch()
    await repository.apply(merging(workspace("w7", rate=7.0)))
    store.calls.clear()
    await node.watch()
    assert node.state.revision == 2
    assert dict(store.calls) == {"watch": 1, "read": 1}
    assert node.events == ["configuration_loaded_from_store"]


async def test_a_large_change_is_loaded_as_a_whole(store, repository):
    await repository.apply(merging(workspace("a")))
    node = Node(store)
    await node.watch()
    await repository.apply(merging(*(workspace(f"w{number}") for number in range(1500))))
    await node.watch()
    assert len(node.state.catalog) == 1501


async def test_a_watch_that_hangs_ends_as_an_outage(store):
    node = Node(store)
    node.store.hangs = True
    with pytest.raises(ObjectServiceError, match="no answer"):
        await node.watch()
