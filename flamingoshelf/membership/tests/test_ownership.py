import asyncio
import contextlib

import pytest

from flamingoshelf.base import Duty
from flamingoshelf.membership._slots import COLUMNS, PARTS
from flamingoshelf.membership.tests.fakes import LAG_S, FakeFleet

pytestmark = pytest.mark.looptime

SLOT_COUNT = COLUMNS * PARTS


@contextlib.asynccontextmanager
async def running_fleet():
    """Run three nodes and check that no slot is ever exercised by two of them.

    This is a context manager because fixtures run on another clock than the tests.
    """
    fleet = FakeFleet()
    overlaps: list[list[str]] = []

    def record_overlaps():
        overlaps.extend(names for names in fleet.holders_of().values() if len(names) > 1)

    fleet.on_table = record_overlaps
    for number, data_centre in enumerate("abc", start=1):
        await fleet.add(f"vm-{number}", data_centre)
    await settle(fleet)
    yield fleet
    record_overlaps()
    await fleet.stop()
    assert overlaps == []


async def settle(fleet, timeout_s=30.0):
    """Wait until every slot is exercised by one running node."""
    async with asyncio.timeout(timeout_s):
        while len(fleet.holders_of()) < SLOT_COUNT:
            await asyncio.sleep(0.25)


def ownership(fleet, name):
    return fleet.nodes[name].membership.ownership


async def test_a_killed_process_keeps_its_slots_until_its_vm_is_removed():
    async with running_fleet() as fleet:
        await fleet.kill("vm-3")
        await asyncio.sleep(10 * LAG_S)
        table = fleet.nodes["vm-1"].membership._tables.table
        assert len(table.held_by("vm-3")) == SLOT_COUNT // 3
        fleet.delist("vm-3")
        await asyncio.sleep(0.9 * LAG_S)
        assert len(fleet.holders_of()) < SLOT_COUNT
        await settle(fleet, timeout_s=2 * LAG_S)


async def test_a_restarted_process_holds_only_what_it_acquired_anew():
    async with running_fleet() as fleet:
        key = next(k for k in map(str, range(99)) if ownership(fleet, "vm-2").holds(Duty.SWEEP, k))
        before = ownership(fleet, "vm-2").fencing_number(Duty.SWEEP, key)
        await fleet.kill("vm-2")
        fleet.platform.is_down = True
        await fleet.start("vm-2")
        await asyncio.sleep(5.0)
        assert not ownership(fleet, "vm-2").holds(Duty.SWEEP, key)
        fleet.platform.is_down = False
        await settle(fleet)
        assert ownership(fleet, "vm-2").holds(Duty.SWEEP, key)
        assert ownership(fleet, "vm-2").fencing_number(Duty.SWEEP, key) > before


async def test_a_paused_holder_that_resumes_after_the_move_exercises_nothing():
    async with running_fleet() as fleet:
        paused = fleet.nodes["vm-2"]
        held = set(paused.held)
        await paused.pause()
        fleet.delist("vm-2")
        while len(fleet.holders_of()) < SLOT_COUNT:
            await asyncio.sleep(0.25)
        paused.resume()
        assert held and paused.held == []
        await asyncio.sleep(5.0)
        assert paused.held == []


async def test_only_a_long_pause_requires_a_check():
    async with running_fleet() as fleet:
        node = fleet.nodes["vm-2"]
        await node.pause()
        await asyncio.sleep(1.0)
        node.resume()
        assert node.held
        await node.pause()
        await asyncio.sleep(10.0)
        node.resume()
        assert node.held == []
        await settle(fleet, timeout_s=5.0)


async def test_a_running_holder_stops_when_its_vm_is_no_longer_listed():
    async with running_fleet() as fleet:
        fleet.delist("vm-3")
        await asyncio.sleep(0.8 * LAG_S)
        assert fleet.nodes["vm-3"].held == []
        await settle(fleet)


@pytest.mark.parametrize("cut", ["is_cut_from_store", "is_cut_from_peers"])
async def test_a_holder_that_is_cut_off_keeps_its_slots(cut):
    async with running_fleet() as fleet:
        setattr(fleet.nodes["vm-3"], cut, True)
        await asyncio.sleep(60.0)
        assert len(fleet.nodes["vm-3"].held) == SLOT_COUNT // 3


@pytest.mark.parametrize("fault", ["lost", "late"])
async def test_a_holder_whose_release_has_no_answer_exercises_nothing(fault):
    async with running_fleet() as fleet:
        node = fleet.nodes["vm-3"]
        fleet.platform.write_fault = fault
        leaving = asyncio.create_task(node.membership.leave())
        while fleet.platform.write_fault is not None:
            await asyncio.sleep(0.0005)
        node.is_cut_from_store = True
        node.is_cut_from_peers = True
        await asyncio.sleep(3.0)
        fleet.platform.deliver_late_writes()
        await asyncio.sleep(3.0)
        assert len(fleet.holders_of()) == SLOT_COUNT
        assert node.held == []
        leaving.cancel()


async def test_replacing_all_vms_leaves_no_slot_without_a_holder():
    async with running_fleet() as fleet:
        for number in range(1, 4):
            name = f"vm-{number}"
            await fleet.add(f"vm-{number + 3}", "abc"[number - 1])
            fleet.list_leaving(name)
            await asyncio.sleep(5.0)
            assert len(fleet.holders_of()) == SLOT_COUNT
            assert fleet.nodes[name].held == []
            await fleet.kill(name)
            fleet.delist(name)
        assert set().union(*fleet.holders_of().values()) == {"vm-4", "vm-5", "vm-6"}


async def test_a_silent_node_is_suspected_and_cleared_when_it_answers():
    async with running_fleet() as fleet:
        await fleet.nodes["vm-3"].pause()
        await asyncio.sleep(5.0)
        assert ownership(fleet, "vm-1").is_suspected("vm-3")
        assert "vm-3" not in ownership(fleet, "vm-2").candidates(Duty.DISPATCH, "key")
        fleet.nodes["vm-3"].resume()
        await asyncio.sleep(8.0)
        assert ownership(fleet, "vm-1").is_reachable("vm-3")
        assert "vm-3" in ownership(fleet, "vm-2").candidates(Duty.DISPATCH, "key")


async def test_holders_of_a_duty_are_in_different_data_centres():
    async with running_fleet() as fleet:
        for key in map(str, range(50)):
            assert len(ownership(fleet, "vm-1").holders(Duty.WORKSPACE_LIMIT, key, count=2)) == 2


async def test_reads_of_the_platform_do_not_grow_with_the_fleet():
    async with running_fleet() as fleet:
        for number in range(4, 9):
            await fleet.add(f"vm-{number}", "abc"[number % 3])
        await asyncio.sleep(30.0)
        calls = dict.fromkeys(fleet.nodes, 0)

        def count(name, node):
            original = node.store._call

            async def counted():
                calls[name] += 1
                await original()

            node.store._call = counted

        for name, node in fleet.nodes.items():
            count(name, node)
        await asyncio.sleep(20.0)
        assert sum(1 for number in calls.values() if number) == 3
