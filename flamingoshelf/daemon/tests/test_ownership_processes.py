"""Slot ownership among nodes that run as separate processes."""

import asyncio
import signal

import pytest

pytestmark = pytest.mark.processes

SLOT_COUNT = 1152


async def membership_of(site, name):
    return (await site.status(name))["membership"]


async def wait_all_slots_held(site, names, timeout_s=40.0):
    """Wait until these nodes together hold all slots, and each of them at least one."""
    async with asyncio.timeout(timeout_s):
        while True:
            held = [(await membership_of(site, name))["held_slots"] for name in names]
            assert sum(held) <= SLOT_COUNT
            if sum(held) == SLOT_COUNT and all(held):
                return
            await asyncio.sleep(0.2)


async def wait_slots_balanced(site, names):
    async with asyncio.timeout(40.0):
        while True:
            slot_counts = (await membership_of(site, names[0]))["slots_by_holder"]
            if slot_counts == dict.fromkeys(names, SLOT_COUNT // len(names)):
                return
            await asyncio.sleep(0.2)


async def test_a_paused_node_is_replaced_only_after_the_list_and_stays_without_slots(site):
    await wait_slots_balanced(site, ["node-0", "node-1", "node-2"])
    paused = site.nodes["node-2"].process
    paused.send(signal.SIGSTOP)
    try:
        await asyncio.sleep(8.0)
        state = await membership_of(site, "node-0")
        assert state["suspected"] == ["node-2"]
        assert state["slots_by_holder"]["node-2"] == SLOT_COUNT // 3
        await site.list_vms(["node-0", "node-1"])
        await wait_all_slots_held(site, ["node-0", "node-1"])
    finally:
        paused.send(signal.SIGCONT)
    for _ in range(20):
        assert (await membership_of(site, "node-2"))["held_slots"] == 0
        await asyncio.sleep(0.1)


async def test_restarting_all_nodes_keeps_every_slot_and_orders_reach_the_engines(site):
    names = ["node-0", "node-1", "node-2"]
    await wait_all_slots_held(site, names)
    for name in names:
        others = [other for other in names if other != name]
        assert await site.nodes[name].process.stop() == 0
        await wait_all_slots_held(site, others, timeout_s=5.0)
        site.start_node(name)
        await site.wait_until_ready(name)
    await wait_all_slots_held(site, names)
    async with asyncio.timeout(30):
        for address in site.engine_addresses.values():
            while True:
                orders = (await site.control(address, {})).get("orders")
                if orders is None or (orders and orders[-1]["versions"] == {"writer": "writer-1"}):
                    break
                await asyncio.sleep(0.2)
