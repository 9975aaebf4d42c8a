"""Servers whose new connections are answered slowly, over a simulated network, clock paused."""

import asyncio
import math

import pytest

from flamingoshelf.paths import PathState
from flamingoshelf.paths._slow_start import SlowStart
from flamingoshelf.paths.tests.fake_fleet import REFUSED, SILENT, STALLED, suspect
from flamingoshelf.utils import now_s

pytestmark = pytest.mark.looptime

WATCHED_S = 10.0
MAX_PROBES_PER_S = 4  # of a node that reaches few servers, or none
REFUSED_LOST_S, UNANSWERED_LOST_S = 2.0, 3.5


async def watch_probes(node, seconds):
    """Return the times of a node's probes over new connections in the next seconds, by server."""
    await asyncio.sleep(3.0)
    began_s = now_s()
    await asyncio.sleep(seconds)
    times: dict[str, list[float]] = {}
    for at_s, key, is_fresh in node.probes:
        if at_s >= began_s and is_fresh:
            times.setdefault(key, []).append(at_s)
    return times


# Where connections were slow to open, the probes of nodes that were cut off kept them slow.
async def test_node_that_reaches_no_server_opens_few_connections(new_fleet):
    fleet = await new_fleet(servers=5)
    node = fleet.nodes["n0"]
    node.cut(REFUSED)
    suspect(node, "s0", REFUSED)
    times = await watch_probes(node, WATCHED_S)
    assert sum(map(len, times.values())) <= MAX_PROBES_PER_S * WATCHED_S
    assert set(times) == set(fleet.servers)


async def test_probes_of_one_server_become_rarer_and_have_jitter(new_fleet):
    fleet = await new_fleet(servers=1)
    node = fleet.nodes["n0"]
    node.cut(REFUSED)
    suspect(node, "s0", REFUSED)
    times = (await watch_probes(node, WATCHED_S))["s0"]
    pauses = {round(late - early, 3) for early, late in zip(times, times[1:], strict=False)}
    assert len(times) <= WATCHED_S / 0.5 and len(pauses) > 2


# Nodes that reached a server came to believe that nobody did, as new connections were slow, and
# called it no more, though their open connections carried calls.
async def test_server_that_answers_on_open_connections_is_not_lost(new_fleet):
    fleet = await new_fleet()
    for node in fleet.nodes.values():
        node.open.update(fleet.servers)
        node.cut(SILENT)
    until_s = now_s() + 2 * UNANSWERED_LOST_S
    while now_s() < until_s:
        for node in fleet.nodes.values():
            suspect(node, "s0", SILENT)
        await asyncio.sleep(0.1)
        assert all(n.table.state("s0") is not PathState.LOST for n in fleet.nodes.values())


@pytest.mark.parametrize(
    ("fault", "after_s"),
    [(REFUSED, REFUSED_LOST_S), (SILENT, UNANSWERED_LOST_S), (STALLED, UNANSWERED_LOST_S)],
)
async def test_server_that_may_only_be_slow_is_lost_later(new_fleet, fault, after_s):
    fleet = await new_fleet()
    node = fleet.nodes["n0"]
    fleet.servers["s0"] = fault
    began_s = now_s()
    while node.table.state("s0") is not PathState.LOST:
        suspect(node, "s0", fault)
        await asyncio.sleep(0.05)
    assert after_s <= now_s() - began_s <= after_s + 1.0


# A sound server whose health check takes longer than a probe waits was taken for lost, though it
# answered calls all the while.
@pytest.mark.parametrize("is_fresh", [True, False])
async def test_answer_begins_the_time_anew_after_which_a_server_is_lost(new_fleet, is_fresh):
    fleet = await new_fleet()
    node = fleet.nodes["n0"]
    fleet.servers["s0"] = SILENT
    for number in range(120):
        suspect(node, "s0", SILENT)
        await asyncio.sleep(0.1)
        if number % 20 == 0:
            node.service.record_answer("s0", is_fresh=is_fresh, seconds=2.0)
        assert node.table.state("s0") is PathState.DIRECT


# Each call opened a connection of its own while none was answered, and all waited for their turns.
async def test_connections_are_bounded_while_new_ones_are_slow(new_fleet):
    fleet = await new_fleet()
    node = fleet.nodes["n0"]
    assert node.service.max_opening("s0") == math.inf
    fleet.servers["s0"] = SILENT
    suspect(node, "s0", SILENT)
    await asyncio.sleep(0.5)
    assert node.service.max_opening("s0") == 0
    assert node.service.max_opening("s1") == math.inf
    node.service.record_answer("s0", is_fresh=False)
    assert node.service.max_opening("s0") == 0
    node.service.record_answer("s0", is_fresh=True, seconds=2.0)
    assert node.service.max_opening("s0") == 1


async def test_refused_connections_are_not_slow(new_fleet):
    fleet = await new_fleet()
    node = fleet.nodes["n0"]
    fleet.servers["s0"] = REFUSED
    suspect(node, "s0", REFUSED)
    await asyncio.sleep(0.5)
    assert node.service.max_opening("s0") == math.inf


def test_bound_doubles_with_each_prompt_answer():
    slow_start = SlowStart()
    slow_start.record_answer("x", is_prompt=True)
    assert slow_start.bound("x") == math.inf
    slow_start.record_silence("x")
    bounds = []
    while slow_start.bound("x") < math.inf:
        bounds.append(slow_start.bound("x"))
        slow_start.record_answer("x", is_prompt=True)
    assert bounds == [0, 1, 2, 4, 8, 16]


def test_late_answer_allows_one_connection_at_a_time():
    slow_start = SlowStart()
    slow_start.record_silence("x")
    for _ in range(4):
        slow_start.record_answer("x", is_prompt=True)
    slow_start.record_answer("x", is_prompt=False)
    assert slow_start.bound("x") == 1


def test_bounds_of_servers_that_left_are_dropped():
    slow_start = SlowStart()
    for key in "xy":
        slow_start.record_silence(key)
    slow_start.retain({"y"})
    assert (slow_start.bound("x"), slow_start.bound("y")) == (math.inf, 0)
