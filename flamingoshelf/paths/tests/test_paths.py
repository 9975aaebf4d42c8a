"""Lost paths told from lost servers, over a simulated network with the clock paused."""

import asyncio
import random
from typing import Any, cast

import pytest

from flamingoshelf.exceptions import OutcomeUnknownError
from flamingoshelf.paths import PathService, PathState, PathTable, ProbeResult
from flamingoshelf.routing import BackendInstance
from flamingoshelf.utils import now_s

pytestmark = pytest.mark.looptime

CONTACT_S = 3.0  # time after which nodes are to have adapted to a cut
MAX_QUESTIONS_PER_S = 50  # of one node, however many servers it doesn't reach
SILENT, REFUSED, STALLED = "silent", "refused", "stalled"  # what is wrong with a path
PROBE_S, PROBE_TIMEOUT_S = 0.005, 0.3


def server(name):
    return BackendInstance(
        instance_id=name, service="s", address=f"{name}:80", data_centre="a", started_ms=1
    )


class Node:
    """One node: its paths, and the faults of the paths by server."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.faults = {}
        self.open: set[str] = set()  # servers with an idle connection
        self.open_faults = {}
        self.probes = []
        self.is_down = False
        self.table = PathTable()
        self.service = PathService(
            table=self.table,
            probe=self.probe,
            servers=lambda: [server(name) for name in fleet.servers],
            has_open_connection=self.open.__contains__,
            close_connections=self.open.discard,
        )
        self.service.connect(cast(Any, self), self.peers)

    def peers(self):
        names = [name for name in self.fleet.nodes if name != self.name]
        random.Random(len(self.fleet.asked)).shuffle(names)
        return names

    def register(self, message_type, handler):
        self.handler = handler

    async def request(self, peer, message, *, timeout_s):
        other = self.fleet.nodes[peer]
        self.fleet.asked.append((self.name, peer, message.server))
        await asyncio.sleep(0.001)
        if other.is_down:
            await asyncio.sleep(timeout_s)
            raise OutcomeUnknownError("no reply", step="request", peer=peer)
        async with asyncio.timeout(timeout_s):
            return await other.handler(self.name, message)

    async def probe(self, instance, is_fresh):
        key = instance.key
        self.probes.append((now_s(), key, is_fresh))
        uses_open = not is_fresh and key in self.open
        fault = self.open_faults.get(key) if uses_open else self.faults.get(key)
        fault = fault or self.fleet.servers[key]
        if fault in (SILENT, STALLED):
            await asyncio.sleep(PROBE_TIMEOUT_S)
            return ProbeResult.SILENT if fault is SILENT else ProbeResult.FAILED
        await asyncio.sleep(PROBE_S)
        if fault is REFUSED:
            return ProbeResult.FAILED
        self.service.record_answer(key, is_fresh=is_fresh)
        return ProbeResult.ANSWERED

    def cut(self, fault, *keys):
        """Let the paths to some servers, or all, fail from now on."""
        self.faults = dict.fromkeys(keys or self.fleet.servers, fault)

    def states(self):
        return {key: self.table.state(key) for key in self.fleet.servers}


class Fleet:
    """Nodes and servers; a server's value is what is wrong with it, None if nothing is."""

    def __init__(self, *, nodes=4, servers=3):
        self.servers = {f"s{number}": None for number in range(servers)}
        self.asked = []
        self.nodes = {}
        for number in range(nodes):
            self.nodes[f"n{number}"] = Node(self, f"n{number}")

    async def start(self):
        for node in self.nodes.values():
            await node.service.start()

    async def stop(self):
        for node in self.nodes.values():
            await node.service.stop()


@pytest.fixture
async def new_fleet():
    fleets = []

    async def make(**sizes):
        fleets.append(Fleet(**sizes))
        await fleets[-1].start()
        return fleets[-1]

    yield make
    for fleet in fleets:
        await fleet.stop()


def suspect(node, key, fault):
    """Report a failed call to a server as the clients of servers do."""
    if fault is REFUSED:
        node.service.record_refusal(server(key))
    else:
        node.service.record_silence(server(key), since_s=now_s() - 0.2)


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
    fleet = await new_fleet(nodes=20, servers=30)
    for node in fleet.nodes.values():
        node.cut(REFUSED)
        for key in fleet.servers:
            node.table.record_failure(server(key), since_s=now_s())
            node.table.mark_lost(server(key))
    await asyncio.sleep(5.0)
    began = len(fleet.asked)
    await asyncio.sleep(10.0)
    assert len(fleet.asked) - began <= MAX_QUESTIONS_PER_S * 10 * len(fleet.nodes)
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
    fleet = await new_fleet(nodes=4)
    node, helper = fleet.nodes["n0"], fleet.nodes.pop("n3")
    for other in fleet.nodes.values():
        other.cut(REFUSED)
    while node.table.state("s0") is not PathState.LOST:
        suspect(node, "s0", REFUSED)
        await asyncio.sleep(0.1)
    await asyncio.sleep(20.0)
    fleet.nodes["n3"] = helper
    await asyncio.sleep(1.0)
    assert node.table.peers("s0") == ("n3",)


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
