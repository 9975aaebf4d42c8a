"""Origins of streams at any node, while nodes and the store fail."""

import asyncio
from typing import Any

import pytest

from flamingoshelf.stream_origins.tests.conftest import KEEP_S, V1, V2
from flamingoshelf.utils import now_s

pytestmark = pytest.mark.looptime

LAG_S = 0.4  # of the records in the store
FOUND_S = 0.7  # a caller isn't held for longer


def names(count):
    return [f"n{number:03d}" for number in range(count)]


async def test_other_nodes_find_the_origin_at_once_without_the_store(fleet):
    await fleet.add(*names(3))
    fleet.record("n001", "a")
    await asyncio.sleep(0.05)
    fleet.store.is_down = True
    began_s = now_s()
    assert [await fleet.find(name, "a") for name in names(3)] == [V1] * 3
    assert now_s() - began_s < 0.05


# Take-ups after the loss of all nodes were joined, as no node knew what had begun the stream.
@pytest.mark.parametrize("count", [1, 3, 6])
async def test_origin_is_known_after_all_nodes_were_killed(fleet, count):
    await fleet.add(*names(count))
    for number in range(40):
        fleet.record(names(count)[number % count], f"k{number}", V1 if number % 2 else V2)
    await asyncio.sleep(LAG_S)
    await fleet.kill(*names(count))
    await fleet.add(*(f"new-{name}" for name in names(count)))
    for number in range(40):
        node = f"new-{names(count)[(number + 1) % count]}"
        assert await fleet.find(node, f"k{number}") == (V1 if number % 2 else V2)
    assert fleet.store.reads <= 2 * count


async def test_unknown_origin_is_not_guessed(fleet):
    await fleet.add(*names(2))
    fleet.record("n000", "a")
    await asyncio.sleep(LAG_S)
    began_s = now_s()
    assert await fleet.find("n001", "b") is None
    assert now_s() - began_s < FOUND_S


@pytest.mark.parametrize("delay_s", [0.004, 30.0])
async def test_take_up_does_not_wait_for_a_store_that_is_away(fleet, delay_s):
    await fleet.add(*names(2))
    fleet.store.is_down = delay_s < 1
    fleet.store.delay_s = delay_s
    began_s = now_s()
    assert await fleet.find("n001", "b") is None
    assert now_s() - began_s < FOUND_S


async def test_origin_is_known_after_its_node_and_the_coordinator_were_killed(fleet):
    await fleet.add(*names(4))
    fleet.record("n000", "a")
    fleet.record("n001", "b")
    await asyncio.sleep(LAG_S)
    await fleet.kill("n000", "n001")
    assert await fleet.find("n003", "a") == V1
    assert await fleet.find("n003", "b") == V1


# The next coordinator knew only what began after it had taken over.
async def test_new_coordinator_is_told_of_all_streams(fleet):
    await fleet.add(*names(3))
    fleet.store.is_down = True
    fleet.record("n002", "a")
    await asyncio.sleep(LAG_S)
    await fleet.kill("n000")
    await asyncio.sleep(3.0)
    assert await fleet.find("n001", "a") == V1


async def test_node_without_a_coordinator_stores_its_own_streams(fleet):
    await fleet.add(*names(3))
    fleet.network.cut |= {("n002", "n000"), ("n002", "n001"), ("n000", "n002"), ("n001", "n002")}
    await asyncio.sleep(1.0)
    fleet.record("n002", "a")
    await asyncio.sleep(2.0)
    assert await fleet.find("n001", "a") == V1


async def test_node_beside_a_coordinator_of_an_earlier_version_stores_its_own_streams(fleet):
    await fleet.add("n000", is_earlier_version=True)
    await fleet.add("n001", "n002")
    fleet.record("n001", "a")
    await asyncio.sleep(2.0)
    assert await fleet.find("n002", "a") == V1


async def test_origins_are_stored_once_the_store_is_back(fleet):
    await fleet.add(*names(2))
    fleet.store.is_down = True
    fleet.record("n001", "a")
    await asyncio.sleep(5.0)
    fleet.store.is_down = False
    await asyncio.sleep(LAG_S)
    await fleet.kill(*names(2))
    await fleet.add("new")
    assert await fleet.find("new", "a") == V1


# A store that came back from a copy had lost the origins of its last seconds.
async def test_origins_are_stored_again_after_a_restore(fleet):
    await fleet.add(*names(2))
    copy = dict(fleet.store.objects)
    fleet.record("n001", "a")
    await asyncio.sleep(LAG_S)
    fleet.store.eras.observe(1, source="store")
    fleet.store.restore(copy)
    await asyncio.sleep(LAG_S)
    await fleet.kill(*names(2))
    await fleet.add("new")
    assert await fleet.find("new", "a") == V1


async def test_node_that_stops_hands_on_its_last_streams(fleet):
    await fleet.add(*names(1))
    fleet.record("n000", "a")
    await fleet.nodes["n000"].service.stop()
    await fleet.kill("n000")
    await fleet.add("new")
    assert await fleet.find("new", "a") == V1


async def test_unreadable_object_in_the_store_is_ignored(fleet):
    await fleet.add(*names(1))
    fleet.record("n000", "a")
    await asyncio.sleep(LAG_S)
    unreadable: tuple[Any, ...] = (None, [], {"streams": [{"keys": 5}]})
    for content in unreadable:
        await fleet.store.put("gateway-streams", f"{content}", content, is_likely_new=True)
    await fleet.kill("n000")
    await fleet.add("new")
    assert await fleet.find("new", "a") == V1


# The platform allows 400 writes/s of all nodes, and each of them has a price.
@pytest.mark.parametrize("count", [3, 195])
async def test_writes_do_not_grow_with_streams_or_nodes(fleet, count):
    await fleet.add(*names(count))
    began_s = now_s()
    for number in range(int(500 * 10.0)):
        if number % 50 == 0:
            await asyncio.sleep(began_s + number / 500 - now_s())
        fleet.record(names(count)[number % count], f"{number:016x}")
    await asyncio.sleep(1.0)
    assert len(fleet.store.writes) <= 5 * 11
    largest = max(len(str(item.content)) for item in fleet.store.objects.values())
    assert largest < 1_000_000 / 2
    assert await fleet.find("n001", f"{4_000:016x}") == V1


async def test_no_writes_without_streams_and_few_objects_are_used(fleet):
    await fleet.add(*names(2))
    await asyncio.sleep(60.0)
    assert not fleet.store.writes
    for number in range(120):
        fleet.record("n001", f"k{number}")
        await asyncio.sleep(1.0)
    assert len(set(fleet.store.writes)) <= KEEP_S / 2 + 3


async def test_objects_of_nodes_that_are_gone_are_removed(fleet):
    await fleet.add("old")
    fleet.record("old", "a")
    await asyncio.sleep(LAG_S)
    await fleet.kill("old")
    await fleet.add("new")
    await asyncio.sleep(130.0)
    assert not [name for kind, name in fleet.store.objects if name.startswith("old")]
