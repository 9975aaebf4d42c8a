"""Entries of backend servers that are added, removed and expire."""

import asyncio

import pytest

from flamingoshelf.routing import BackendInstance, EngineRole, InstanceDirectory, InstanceState
from flamingoshelf.store import join_revision

pytestmark = pytest.mark.looptime


def instance(name, state=InstanceState.READY, **fields):
    return BackendInstance(
        instance_id=name,
        service="notes",
        address="10.0.0.1:80",
        data_centre="a",
        state=state,
        **fields,
    )


@pytest.fixture
def directory():
    directory = InstanceDirectory()
    directory.replace({"i": instance("i")}, 5)
    return directory


def ready(directory):
    return [server.key for server in directory.ready("notes")]


async def test_leaving_server_gets_no_new_work(directory):
    directory.apply([instance("i", InstanceState.DRAINING)], [], 6)
    assert ready(directory) == []
    assert directory.ids() == {"i"}


async def test_removed_server_gets_no_new_work(directory):
    directory.apply([], ["i"], 6)
    assert ready(directory) == []


async def test_entry_that_expired_in_an_outage_is_used_for_the_grace_period(directory):
    directory.record_outage_end()
    await asyncio.sleep(0.5)
    directory.replace({}, 6)
    assert ready(directory) == ["i"]
    await asyncio.sleep(1.2)
    assert ready(directory) == ["i"]
    # Two seconds after the store has recovered, a server without an entry gets no new work.
    await asyncio.sleep(0.3)
    assert ready(directory) == []


async def test_entry_that_returns_within_the_grace_period_stays(directory):
    directory.record_outage_end()
    directory.replace({}, 6)
    directory.apply([instance("i")], [], 7)
    await asyncio.sleep(10)
    assert ready(directory) == ["i"]


async def test_draining_entry_that_expires_is_removed_at_once(directory):
    directory.apply([instance("i", InstanceState.DRAINING)], [], 6)
    directory.record_outage_end()
    directory.apply([], ["i"], 7)
    assert ready(directory) == []


async def test_older_list_changes_nothing(directory):
    directory.replace({}, 4)
    assert ready(directory) == ["i"]


async def test_entry_of_an_earlier_run_is_ignored(directory):
    directory.apply([instance("i", started_ms=2000, role=EngineRole.DECODE)], [], 6)
    directory.apply([instance("i", started_ms=1000, role=EngineRole.PREFILL)], [], 7)
    assert directory.ready("notes", role=EngineRole.PREFILL) == []


async def test_servers_by_role(directory):
    directory.apply([instance("p", role=EngineRole.PREFILL)], [], 6)
    assert [s.key for s in directory.ready("notes", role=EngineRole.PREFILL)] == ["p"]


async def test_server_whose_address_belongs_to_another_is_not_used(directory):
    directory.mark_replaced("i")
    directory.replace({"i": instance("i")}, 6)
    assert ready(directory) == []
    directory.apply([instance("i", started_ms=9)], [], 7)
    assert ready(directory) == ["i"]


@pytest.fixture
def restored(directory):
    """A function that lists servers as a store does that was restored from a copy."""

    def replace(*instances):
        directory.replace({item.key: item for item in instances}, join_revision(1, 3))

    return replace


async def test_server_that_left_before_a_restore_gets_no_work_though_it_is_listed(
    directory, restored
):
    directory.apply([], ["i"], 6)
    restored(instance("i"), instance("j"))
    assert ready(directory) == ["j"]
    # The store removes the entries of silent servers; this one has written its own again.
    await asyncio.sleep(5.1)
    assert ready(directory) == ["i", "j"]


async def test_draining_server_that_a_restored_store_lists_as_ready_stays_draining(
    directory, restored
):
    directory.apply([instance("i", started_ms=100)], [], 6)
    directory.apply([instance("i", InstanceState.DRAINING, started_ms=100)], [], 7)
    restored(instance("i", started_ms=100))
    assert ready(directory) == []
    directory.apply([instance("i", started_ms=100)], [], join_revision(1, 4))
    await asyncio.sleep(60)
    assert ready(directory) == []
    directory.apply([instance("i", started_ms=200)], [], join_revision(1, 5))  # a new run of it
    assert ready(directory) == ["i"]


async def test_server_that_a_restored_store_does_not_list_is_used_for_the_grace_period(
    directory, restored
):
    restored()
    assert ready(directory) == ["i"]
    await asyncio.sleep(2.0)
    assert ready(directory) == []


async def test_new_run_of_a_server_that_left_is_used_at_once_after_a_restore(directory, restored):
    directory.apply([instance("i", InstanceState.DRAINING, started_ms=100)], ["i"], 6)
    restored(instance("i", started_ms=200))
    assert ready(directory) == ["i"]
