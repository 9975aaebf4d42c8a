"""Whole nodes, some of which are cut from all backend servers while all else reaches them."""

import asyncio

import pytest

from flamingoshelf.utils import now_s
from lab.gateway._checks import is_served
from lab.gateway._cut_load import CutLoad, served_share
from lab.gateway._paths import CutForm
from lab.gateway._site import NOTES

pytestmark = [pytest.mark.processes, pytest.mark.timeout(90)]

CALM_S, CUT_S, AFTER_S = 2.0, 8.0, 3.0
CONTACT_S = 3.0  # time after which nodes are to have adapted
DIRECT_S = 1.0  # time after the end of a cut from which nodes use their own paths again
INTERVAL_S = 0.12  # between two requests to one node
MIN_SHARE = 0.9  # of the share that is served at the other nodes
MAX_FAILED_SHARE = 1 / 50
LOST_S = 5.0  # time after which servers that no node reaches are to be known as such
AT_ONCE_S = 0.3
STOP_EVENTS = 65  # 3.3 s; the grace period is 4 s
BEGIN_S = 5.0  # in which streams begin, also on a busy machine
MIN_SERVED = 0.98  # at nodes that reach all servers, and at all in calm times


async def cut_under_load(site, nodes, form):
    """Cut nodes for a time; return the load, and the time at which the cut began."""
    load = CutLoad(site, interval_s=INTERVAL_S)
    running = asyncio.ensure_future(load.run(CALM_S + CUT_S + AFTER_S))
    await asyncio.sleep(CALM_S)
    began_s = now_s()
    site.cut(nodes, form)
    await asyncio.sleep(CUT_S)
    site.heal()
    await running
    return load, began_s


def check_shares(load, nodes, others, began_s):
    """Check the requests from the time at which the nodes are to have adapted."""
    span = (began_s + CONTACT_S, began_s + CUT_S)
    at_cut, at_others = load.between(*span, nodes), load.between(*span, others)
    failed = [item for item in at_cut if not item.is_served]
    statuses = sorted((item.path, item.answer.status) for item in failed)
    assert len(failed) <= MAX_FAILED_SHARE * len(at_cut + at_others), statuses
    assert served_share(at_cut) >= MIN_SHARE * served_share(at_others)
    assert served_share(at_others) >= MIN_SERVED


def coordinator_of(site):
    """Return the number of the node that coordinates the others."""
    names = [
        node.log.rpartition('"step": "coordinator", "peer": "front-')[2] for node in site.nodes
    ]
    return int(names[0].partition('"')[0])


# Callers of nodes that reached no server were refused or failed, though other nodes served all,
# and the streams of nodes that reached every engine were refused as well.
@pytest.mark.parametrize("form", list(CutForm))
@pytest.mark.parametrize(
    ("node_count", "cut_count", "with_coordinator"),
    [(3, 1, True), (3, 1, False), (4, 2, True), (6, 4, False)],
)
async def test_callers_of_nodes_that_reach_no_server_are_served(
    new_path_site, form, node_count, cut_count, with_coordinator
):
    site = await new_path_site(node_count)
    first = coordinator_of(site)
    numbers = [(first + step + (not with_coordinator)) % node_count for step in range(node_count)]
    nodes, others = numbers[:cut_count], numbers[cut_count:]
    load, began_s = await cut_under_load(site, nodes, form)
    assert load.find_breaches() == []
    assert served_share(load.between(0, began_s - 0.5, numbers)) >= MIN_SERVED
    check_shares(load, nodes, others, began_s)
    healed_s = began_s + CUT_S
    after = load.between(healed_s + DIRECT_S, now_s(), numbers)
    assert served_share(after) >= MIN_SERVED
    node_of = {arrival.request_id: arrival.node for arrival in site.arrivals}
    assert all(node_of[item.answer.request_id] == item.node for item in after)


# While no node reached a server, calls hung until their deadlines and streams waited in vain.
@pytest.mark.parametrize("form", [CutForm.HANG, CutForm.RESET])
async def test_callers_are_refused_at_once_while_no_node_reaches_a_server(new_path_site, form):
    site = await new_path_site(3)
    nodes = range(3)
    load, began_s = await cut_under_load(site, nodes, form)
    assert load.find_breaches() == []
    healed_s = began_s + CUT_S
    refused = load.between(began_s + LOST_S, healed_s - AT_ONCE_S, nodes)
    assert len(refused) >= 30
    for item in refused:
        answer = item.answer
        assert answer.status == 503, item.path
        assert answer.head_s - item.sent_s < AT_ONCE_S, item.path
        assert float(answer.headers.get("Retry-After")) > 0
    after = load.between(healed_s + DIRECT_S, now_s(), nodes)
    assert served_share(after) >= MIN_SERVED


# Answers that a node passed on for another one ended with its planned stop.
async def test_planned_stop_cuts_no_answer_that_is_passed_on_for_another_node(new_path_site):
    site = await new_path_site(2)
    for engine in site.engines:
        engine.s_per_event = 0.05  # so that a stream takes longer than the notice of the stop
    cut = coordinator_of(site)
    address = site.node_addresses[cut]
    site.cut([cut], CutForm.RESET)
    async with asyncio.timeout(BEGIN_S):  # until the paths are known to be cut
        while not is_served(await site.caller.call(address, NOTES, tokens=(100, 8))):
            await asyncio.sleep(0.05)
    begun = len(site.log.runs)
    calls = []
    for number in range(6):
        tokens = (100, 8 * STOP_EVENTS)
        call = site.caller.call(address, f"{NOTES}{number}", tokens=tokens)
        calls.append(asyncio.ensure_future(call))
    async with asyncio.timeout(BEGIN_S):
        while len(site.log.runs) < begun + len(calls):
            await asyncio.sleep(0.01)
    stopped = site.nodes[1 - cut]
    assert await stopped.stop(timeout_s=6.0) == 0
    answers = await asyncio.gather(*calls)
    assert [len(answer.events) for answer in answers] == [STOP_EVENTS] * 6
    assert all(is_served(answer) for answer in answers)
