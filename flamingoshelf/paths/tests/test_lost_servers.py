"""Servers that no node is known to reach, over a simulated network with the clock paused."""

import asyncio

import pytest

from flamingoshelf.paths import PathState
from flamingoshelf.paths.tests.fake_fleet import (
    CONTACT_S,
    REFUSED,
    STALLED,
    server,
    suspect,
)
from flamingoshelf.utils import now_s

pytestmark = pytest.mark.looptime

MAX_QUESTIONS_PER_S = 50  # of one node, however many servers it doesn't reach


# Nobody reaches a server for long: callers are to hear so at once, until it answers again.
async def test_server_that_no_node_reaches_for_long_is_not_called(new_fleet):
    fleet = await new_fleet()
    node = fleet.nodes["n0"]
    fleet.servers["s0"] = STALLED
    began_s = now_s()
    while node.table.state("s0") is not PathState.LOST:
        suspect(node, "s0", STALLED)
        await asyncio.sleep(0.1)
        assert now_s() < began_s + 4.0
    assert now_s() - began_s >= 1.9  # a sound server may be silent for a second or so
    fleet.servers["s0"] = None
    await asyncio.sleep(1.0)
    assert node.table.state("s0") is PathState.DIRECT


# All nodes were cut off, and others heal first.
async def test_lost_server_is_called_through_the_first_node_that_reaches_it(new_fleet):
    fleet = await new_fleet()
    node = fleet.nodes["n0"]
    for other in fleet.nodes.values():
        other.cut(REFUSED)
    while node.table.state("s0") is not PathState.LOST:
        suspect(node, "s0", REFUSED)
        await asyncio.sleep(0.1)
    fleet.nodes["n2"].faults.clear()
    await asyncio.sleep(2.0)
    assert node.table.peers("s0") == ("n2",)


# Nodes that reached none of many servers asked each other about each server all the time.
async def test_nodes_that_reach_no_server_ask_few_questions_and_find_the_first_that_does(new_fleet):
    fleet = await new_fleet(nodes=26, servers=16)
    for node in fleet.nodes.values():
        node.cut(REFUSED)
        for key in fleet.servers:
            node.table.record_failure(server(key), since_s=now_s())
            node.table.mark_lost(server(key))
    await asyncio.sleep(35.0)  # more and more nodes are asked about each server
    began = len(fleet.asked)
    await asyncio.sleep(5.0)
    assert len(fleet.asked) - began <= MAX_QUESTIONS_PER_S * 5 * len(fleet.nodes)
    fleet.nodes["n0"].faults.clear()
    await asyncio.sleep(CONTACT_S)
    for node in fleet.nodes.values():
        is_healed = node.name == "n0"
        state = PathState.DIRECT if is_healed else PathState.CUT
        assert set(node.states().values()) == {state}
        assert is_healed or all(node.table.peers(key) == ("n0",) for key in fleet.servers)


async def test_server_that_is_down_for_long_is_asked_about_less_and_less_often(new_fleet):
    fleet = await new_fleet(nodes=4)
    node = fleet.nodes["n0"]
    fleet.servers["s0"] = STALLED
    while node.table.state("s0") is not PathState.LOST:
        suspect(node, "s0", STALLED)
        await asyncio.sleep(0.1)
    await asyncio.sleep(8.0)
    began = len(fleet.asked)
    await asyncio.sleep(20.0)
    assert len(fleet.asked) - began <= 3 * 20 / 4


# A node that had stopped or been killed is asked as soon as it is back.
async def test_node_that_is_back_is_asked_about_servers_that_have_been_lost_for_long(new_fleet):
    fleet = await new_fleet(nodes=4, servers=1)
    node, helper = fleet.nodes["n0"], fleet.nodes.pop("n3")
    for other in fleet.nodes.values():
        other.cut(REFUSED)
    while node.table.state("s0") is not PathState.LOST:
        suspect(node, "s0", REFUSED)
        await asyncio.sleep(0.1)
    await asyncio.sleep(20.0)
    asked = len(fleet.asked)
    while len(fleet.asked) == asked:  # so that seconds pass before it is asked about again anyway
        await asyncio.sleep(0.1)
    fleet.nodes["n3"] = helper
    await asyncio.sleep(1.0)
    assert node.table.peers("s0") == ("n3",)


# Once the only node that reached the servers had been lost, nobody was asked again.
async def test_node_that_reaches_the_servers_again_is_used_again(new_fleet):
    fleet = await new_fleet()
    node, helper = fleet.nodes["n0"], fleet.nodes["n1"]
    for other in fleet.nodes.values():
        if other is not helper:
            other.cut(REFUSED)
    assert await node.service.is_cut(server("s0"))
    helper.is_down = True
    node.service.record_peer_failure(server("s0"), "n1")
    await asyncio.sleep(1.5)
    assert not node.table.peers("s0")
    helper.is_down = False
    await asyncio.sleep(CONTACT_S / 2)
    assert node.table.peers("s0") == ("n1",)
