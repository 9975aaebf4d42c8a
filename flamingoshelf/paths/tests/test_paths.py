"""Lost paths told from lost servers, over a simulated network with the clock paused."""

import asyncio

import pytest

from flamingoshelf.paths import PathState
from flamingoshelf.paths.tests.fake_fleet import (
    CONTACT_S,
    PROBE_TIMEOUT_S,
    REFUSED,
    SILENT,
    STALLED,
    server,
    suspect,
)
from flamingoshelf.utils import now_s

pytestmark = pytest.mark.looptime


# A node that reached no server failed all its callers, though other nodes reached every server.
@pytest.mark.parametrize("fault", [REFUSED, SILENT, STALLED])
async def test_node_that_reaches_no_server_finds_nodes_that_do(new_fleet, fault):
    fleet = await new_fleet()
    node = fleet.nodes["n0"]
    node.cut(fault)
    suspect(node, "s0", fault)
    await asyncio.sleep(CONTACT_S / 2)
    assert set(node.states().values()) == {PathState.CUT}
    for key in fleet.servers:
        assert node.table.peers(key) and "n0" not in node.table.peers(key)


@pytest.mark.parametrize("fault", [REFUSED, SILENT, STALLED])
async def test_server_that_no_node_reaches_is_no_cut(new_fleet, fault):
    fleet = await new_fleet()
    node = fleet.nodes["n0"]
    fleet.servers["s0"] = fault
    assert not await node.service.is_cut(server("s0"))
    assert node.states() == dict.fromkeys(fleet.servers, PathState.DIRECT)


# A sound server may be silent for a second or so, which is no failure of anything.
async def test_silent_server_is_neither_cut_off_nor_lost(new_fleet):
    fleet = await new_fleet()
    fleet.servers["s0"] = SILENT
    for _ in range(15):
        for node in fleet.nodes.values():
            suspect(node, "s0", SILENT)
        await asyncio.sleep(0.1)
    assert all(n.table.state("s0") is PathState.DIRECT for n in fleet.nodes.values())
    fleet.servers["s0"] = None
    await asyncio.sleep(1.0)
    assert all(n.table.state("s0") is PathState.DIRECT for n in fleet.nodes.values())


@pytest.mark.parametrize("keys", [("s0",), ("s0", "s1")])
async def test_only_the_servers_that_are_not_reached_are_cut_off(new_fleet, keys):
    fleet = await new_fleet(servers=4)
    node = fleet.nodes["n0"]
    node.cut(STALLED, *keys)
    suspect(node, "s0", STALLED)
    await asyncio.sleep(CONTACT_S / 2)
    cut = {key for key, state in node.states().items() if state is PathState.CUT}
    assert cut == set(keys)


# A busy server doesn't answer a probe in time either, while open connections of others carry on.
async def test_one_silent_server_is_checked_twice_before_it_counts_as_cut_off(new_fleet):
    fleet = await new_fleet()
    node = fleet.nodes["n0"]
    node.cut(SILENT, "s0")
    suspect(node, "s0", SILENT)
    await asyncio.sleep(PROBE_TIMEOUT_S + 0.15)
    assert node.table.state("s0") is PathState.DIRECT
    node.faults.clear()
    await asyncio.sleep(1.0)
    assert node.table.state("s0") is PathState.DIRECT


@pytest.mark.parametrize("cut_count", [3, 5, 28])
async def test_few_nodes_that_reach_the_servers_are_found_among_many(new_fleet, cut_count):
    fleet = await new_fleet(nodes=30 if cut_count > 5 else 6)
    cut = list(fleet.nodes.values())[:cut_count]
    for node in cut:
        node.cut(STALLED)
    for node in cut:
        suspect(node, "s0", STALLED)
    until_s = now_s() + CONTACT_S
    while now_s() < until_s:
        await asyncio.sleep(0.1)
        for node in cut:
            for key in fleet.servers:
                if node.table.state(key) is PathState.DIRECT:
                    suspect(node, key, STALLED)
    reaching = {f"n{number}" for number in range(cut_count, len(fleet.nodes))}
    for node in cut:
        for key in fleet.servers:
            assert node.table.peers(key) and set(node.table.peers(key)) <= reaching


async def test_only_node_that_reaches_the_server_is_found_by_asking_more_and_more(new_fleet):
    fleet = await new_fleet(nodes=40, servers=1)
    for name, node in fleet.nodes.items():
        if name != "n39":
            node.cut(REFUSED)
    node = fleet.nodes["n0"]
    until_s = now_s() + CONTACT_S / 2
    while now_s() < until_s:
        suspect(node, "s0", REFUSED)
        await asyncio.sleep(0.1)
    assert node.table.peers("s0") == ("n39",)


async def test_nodes_that_are_cut_off_too_name_the_one_that_they_use(new_fleet):
    fleet = await new_fleet(nodes=40, servers=1)
    for name, node in fleet.nodes.items():
        if name != "n39":
            node.cut(REFUSED)
            if name != "n0":
                node.table.mark_cut(
                    server("s0"), ["n39"], checked_s=now_s(), keeps_connections=False
                )
    assert await fleet.nodes["n0"].service.is_cut(server("s0"))
    assert fleet.nodes["n0"].table.peers("s0") == ("n39",)


async def test_node_that_is_about_to_stop_is_not_used(new_fleet):
    fleet = await new_fleet()
    node = fleet.nodes["n0"]
    fleet.nodes["n1"].service.leave()
    node.cut(REFUSED)
    assert await node.service.is_cut(server("s0"))
    assert set(node.table.peers("s0")) == {"n2", "n3"}


# Probes of a node that reaches none of many servers must not become a load of their own.
async def test_end_of_a_cut_is_noticed_within_a_second_with_few_probes(new_fleet):
    fleet = await new_fleet(servers=40)
    node = fleet.nodes["n0"]
    node.cut(STALLED)
    suspect(node, "s0", STALLED)
    await asyncio.sleep(CONTACT_S)
    began = len(node.probes)
    await asyncio.sleep(2.0)
    assert len(node.probes) - began <= 40
    node.faults.clear()
    await asyncio.sleep(1.0)
    assert set(node.states().values()) == {PathState.DIRECT}


# Open connections may live on in a cut; an answer on one must not end it.
async def test_answer_on_an_open_connection_does_not_end_a_cut(new_fleet):
    fleet = await new_fleet()
    node = fleet.nodes["n0"]
    node.open.update(fleet.servers)
    node.cut(REFUSED)
    assert await node.service.is_cut(server("s0"))
    assert node.table.keeps_connections("s0") and "s0" in node.open
    node.service.record_answer("s0", is_fresh=False)
    assert node.table.state("s0") is PathState.CUT
    node.service.record_break(server("s0"), is_fresh=False)
    assert not node.table.keeps_connections("s0") and "s0" not in node.open


async def test_open_connections_that_are_silent_too_are_closed(new_fleet):
    fleet = await new_fleet()
    node = fleet.nodes["n0"]
    node.open.update(fleet.servers)
    node.cut(STALLED)
    node.open_faults = dict.fromkeys(fleet.servers, SILENT)
    assert await node.service.is_cut(server("s0"))
    assert not node.table.keeps_connections("s0") and "s0" not in node.open


async def test_node_that_no_longer_reaches_the_server_is_replaced(new_fleet):
    fleet = await new_fleet()
    node = fleet.nodes["n0"]
    node.cut(REFUSED)
    assert await node.service.is_cut(server("s0"))
    for peer in node.table.peers("s0"):
        if peer != "n3":
            fleet.nodes[peer].cut(REFUSED)
            node.service.record_peer_failure(server("s0"), peer)
    await asyncio.sleep(0.5)
    assert node.table.peers("s0") == ("n3",)


async def test_node_that_is_silent_itself_is_replaced(new_fleet):
    fleet = await new_fleet()
    node = fleet.nodes["n0"]
    node.cut(REFUSED)
    assert await node.service.is_cut(server("s0"))
    silent = node.table.peers("s0")[0]
    fleet.nodes[silent].is_down = True
    await asyncio.sleep(0.5)
    node.service.record_silence(server("s0"), since_s=now_s() - 0.5)
    await asyncio.sleep(1.0)
    assert node.table.peers("s0") and silent not in node.table.peers("s0")


# A server that fails calls but answers probes was probed after each failure.
async def test_probes_of_a_server_that_answers_them_become_rare(new_fleet):
    fleet = await new_fleet()
    node = fleet.nodes["n0"]
    for _ in range(100):
        suspect(node, "s0", REFUSED)
        await asyncio.sleep(0.1)
    assert len(node.probes) <= 10
    assert len(fleet.asked) <= 30


async def test_node_asks_nobody_while_its_calls_are_answered(new_fleet):
    fleet = await new_fleet()
    node = fleet.nodes["n0"]
    for _ in range(20):
        node.service.record_answer("s0", is_fresh=False)
        node.service.record_silence(server("s0"), since_s=now_s() - 0.1)
        await asyncio.sleep(0.1)
    assert not node.probes and not fleet.asked


# The answer to another node's call tells as much as a probe, and costs the server nothing.
async def test_recent_answer_at_another_node_saves_its_probe(new_fleet):
    fleet = await new_fleet(nodes=2)
    node, other = fleet.nodes.values()
    node.cut(STALLED)
    suspect(node, "s0", STALLED)
    other.service.record_answer("s0", is_fresh=False)
    await asyncio.sleep(1.0)
    assert node.table.peers("s0") == ("n1",)
    assert not [probe for probe in other.probes if probe[1] == "s0"]


async def test_paths_to_servers_that_left_are_dropped(new_fleet):
    fleet = await new_fleet()
    node = fleet.nodes["n0"]
    node.cut(REFUSED)
    assert await node.service.is_cut(server("s0"))
    await asyncio.sleep(0.5)
    node.table.retain({"s1"})
    assert node.table.state("s0") is PathState.DIRECT
    assert node.table.state("s1") is PathState.CUT
