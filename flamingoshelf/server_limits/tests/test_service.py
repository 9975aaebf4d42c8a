"""Limits that all nodes keep together, while nodes fail, are cut off and start again."""

import asyncio
import itertools

import pytest

from flamingoshelf.server_limits.tests.conftest import A, most_in_window
from flamingoshelf.utils import now_s

pytestmark = pytest.mark.looptime

PER_S = 2.0
ALLOWED = 1.5 * 4.0 * PER_S + 5


def names(count):
    return [f"n{number:03d}" for number in range(count)]


# A limit that each node kept by itself was multiplied by the number of nodes.
@pytest.mark.parametrize("count", [1, 3, 60])
async def test_limit_holds_for_all_nodes_together_and_is_used_up(fleet, count):
    await fleet.add(*names(count))
    fleet.limits[A] = PER_S
    await fleet.load(3.0)
    sent = await fleet.load(20.0)
    assert most_in_window(sent) <= 4.0 * PER_S + 2
    assert len(sent) >= 0.9 * 20.0 * PER_S
    assert None not in fleet.refused


async def test_limit_that_one_node_was_told_is_known_by_all_soon(fleet):
    await fleet.add(*names(6))
    fleet.limits[A] = PER_S
    await fleet.send("n003")
    await asyncio.sleep(0.5)
    assert {fleet.stated_at(name) for name in fleet.nodes} == {PER_S}


# A limit that ended stayed in force at nodes that had no answer since.
async def test_end_of_a_limit_is_known_at_once_where_it_is_asked_for(fleet):
    await fleet.add(*names(6))
    fleet.limits[A] = PER_S
    await fleet.load(5.0)
    fleet.limits[A] = None
    await fleet.load(1.0)
    refused = len(fleet.refused)
    sent = await fleet.load(3.0)
    assert len(sent) == 3 * 14 and len(fleet.refused) == refused
    assert not [name for name in fleet.nodes if fleet.stated_at(name) is not None]


async def test_limit_of_zero_ends_with_a_rare_probe(fleet):
    await fleet.add(*names(3))
    fleet.limits[A] = 0.0
    await fleet.load(5.0)
    sent = await fleet.load(8.0)
    assert 3 <= len(sent) <= 5
    fleet.limits[A] = None
    await fleet.load(2.2)
    assert len(await fleet.load(1.0)) == 14


# Each new keeper of the permits gave out another burst.
async def test_limit_holds_while_its_keeper_is_lost_again_and_again(fleet):
    await fleet.add(*names(8))
    fleet.limits[A] = PER_S
    await fleet.load(3.0)
    load = asyncio.ensure_future(fleet.load(20.0))
    for name in names(4):
        await asyncio.sleep(4.0)
        await fleet.kill(name)
    sent = await load
    assert most_in_window(sent) <= ALLOWED
    assert len(sent) >= 0.6 * 20.0 * PER_S  # nodes that are down count until they are removed


async def test_new_keeper_begins_without_permits(fleet):
    await fleet.add(*names(3))
    fleet.limits[A] = 20.0
    await fleet.load(2.0)
    await asyncio.sleep(5.0)  # permits accrue
    await fleet.kill("n000")
    keeper = fleet.nodes["n001"].service.keeper
    await fleet.nodes["n001"].coordination.wait_for_coordinator_change("n000")
    while not fleet.nodes["n001"].coordination.is_coordinator:
        await asyncio.sleep(0.01)
    assert keeper.permits(A) < 2.0


async def test_limit_holds_while_nodes_are_cut_off(fleet):
    await fleet.add(*names(6))
    fleet.limits[A] = PER_S
    await fleet.load(3.0)
    fleet.cut("n000")  # the keeper
    fleet.cut("n004")
    sent = await fleet.load(20.0)
    assert most_in_window(sent) <= ALLOWED
    assert len(sent) >= 0.5 * 20.0 * PER_S
    fleet.network.cut.clear()
    await fleet.load(5.0)
    sent = await fleet.load(10.0)
    assert most_in_window(sent) <= 4.0 * PER_S + 2
    assert len(sent) >= 0.9 * 10.0 * PER_S


async def test_node_that_starts_again_learns_of_limits(fleet):
    await fleet.add(*names(3))
    fleet.limits[A] = PER_S
    await fleet.load(2.0)
    await fleet.kill("n002")
    await fleet.add("n002")
    assert fleet.stated_at("n002") == PER_S


async def test_keeper_that_starts_again_learns_of_limits(fleet):
    await fleet.add(*names(3))
    fleet.limits[A] = PER_S
    await fleet.load(2.0)
    for name in ("n000", "n001"):
        await fleet.kill(name)
    await fleet.add("n000", "n001")
    assert {fleet.stated_at(name) for name in fleet.nodes} == {PER_S}
    await fleet.load(2.0)
    assert most_in_window(await fleet.load(10.0)) <= 4.0 * PER_S + 2


async def test_late_word_of_a_limit_that_ended_does_not_bring_it_back(fleet):
    await fleet.add(*names(4))
    fleet.limits[A] = PER_S
    await fleet.load(3.0)
    fleet.cut("n003")
    fleet.limits[A] = None
    await fleet.load(3.0, names=names(3))
    assert fleet.stated_at("n003") == PER_S
    fleet.network.cut.clear()
    await asyncio.sleep(6.0)  # the node looks for the others again within 4 s
    assert {fleet.stated_at(name) for name in fleet.nodes} == {None}


# While a node of an earlier version coordinates, no node keeps the permits of all.
async def test_nodes_keep_parts_of_a_limit_beside_a_coordinator_of_an_earlier_version(fleet):
    await fleet.add("n000", is_earlier_version=True)
    await fleet.add("n001", "n002", "n003")
    fleet.limits[A] = PER_S
    later = ["n001", "n002", "n003"]
    await fleet.load(3.0, names=later)
    sent = await fleet.load(20.0, names=later)
    assert most_in_window(sent) <= ALLOWED
    assert len(sent) >= 0.9 * 0.75 * 20.0 * PER_S


async def test_request_is_not_held_while_the_keeper_is_silent(fleet):
    await fleet.add(*names(3))
    fleet.limits[A] = PER_S
    await fleet.load(2.0)
    fleet.network.silent.add("n000")
    service = fleet.nodes["n001"].service
    async with asyncio.timeout(0.8):
        assert await service.acquire([A], priority=0, wait_s=0.1) is None


# Each call that another server could have served waited until a lost keeper was replaced.
async def test_request_that_can_not_wait_is_told_at_once_that_there_is_no_keeper(fleet):
    await fleet.add(*names(8))
    fleet.limits[A] = PER_S
    await fleet.load(2.0)
    node = fleet.nodes["n007"]
    fleet.network.silent |= set(names(8))
    await node.coordination.wait_for_coordinator_change("n000")
    assert node.coordination.coordinator is None
    began_s = now_s()
    assert await node.service.acquire([A], priority=0, wait_s=0.0) is None
    assert now_s() == began_s


async def test_servers_are_counted_apart(fleet):
    await fleet.add(*names(3))
    runs = [A, *(A.__class__(instance_id=f"s{number}", started_ms=1) for number in range(40))]
    fleet.limits = dict.fromkeys(runs, PER_S)
    for run, name in zip(runs, itertools.cycle(names(3))):
        await fleet.send(name, run)
    await asyncio.sleep(1.0)
    assert {fleet.stated_at(name, run) for name in fleet.nodes for run in runs} == {PER_S}
    sent = await asyncio.gather(*(fleet.load(10.0, per_s=6.0, run=run) for run in runs))
    assert max(map(most_in_window, sent)) <= 4.0 * PER_S + 2
    assert min(map(len, sent)) >= 0.9 * 10.0 * PER_S
