"""Planned stops of whole nodes: requests that come late in the grace period, or run at its end."""

import asyncio
import signal

import pytest

from flamingoshelf.utils import now_s
from lab.gateway._late_request import LateRequest
from lab.gateway._site import BOOKINGS, NOTES, RESUMABLE
from lab.processes import wait_until_listening

pytestmark = [pytest.mark.processes, pytest.mark.timeout(60)]

GRACE_S = 4.0
OFFSETS_S = [0.2, 1.0, 1.9, 2.1, 2.3, 2.5, 2.7, 2.9, 3.1, 3.2, 3.3, 3.4, 3.5, 3.6, 3.7]
TOKENS, EVENTS = (100, 80), 10
MEASURED = 6  # calls from which the node knows how long one takes
NOT_RUN_STATUSES = (408, 421, 429, 503)


async def start_site(new_site, path, work_s, **sizes):
    """Start a site whose servers take some seconds, and let its nodes measure that."""
    site = await new_site(**sizes)
    for server in site.plain:
        server.work_s = work_s
    for engine in site.engines:
        engine.s_per_event = work_s / EVENTS
    tokens = TOKENS if path in (NOTES, RESUMABLE) else None
    for address in site.node_addresses:
        calls = (site.caller.call(address, path, tokens=tokens) for _ in range(MEASURED))
        answers = await asyncio.gather(*calls)
        assert any(answer.status == 200 for answer in answers)
    return site


def new_requests(address, path, offsets_s):
    headers = [("Token-Counts", "{},{}".format(*TOKENS))] if path in (NOTES, RESUMABLE) else []
    return [
        LateRequest(
            address=address,
            path=f"{path}{number}",
            request_id=f"late-{address}-{number}",
            headers=headers,
        )
        for number, _ in enumerate(offsets_s)
    ]


async def finish_after_stop(site, nodes, requests, offsets_s):
    """Stop nodes, and finish each request some seconds later; return the exit statuses."""
    stopped_s = now_s()
    for node in nodes:
        node.send(signal.SIGTERM)

    async def finish(request, offset_s):
        await asyncio.sleep(max(0.0, stopped_s + offset_s - now_s()))
        await request.finish()

    await asyncio.gather(*map(finish, requests, offsets_s))
    statuses = [await asyncio.to_thread(node._popen.wait) for node in nodes]
    assert now_s() - stopped_s < GRACE_S
    return statuses


def check_answers(site, requests):
    """Check that each request was answered, and that none that was refused has run."""
    cut = [request.request_id for request in requests if not request.is_answered]
    assert not cut
    for request in requests:
        runs = site.log.runs_of(request.request_id)
        assert len(runs) <= 1
        assert not (runs and request.statuses[0] in NOT_RUN_STATUSES), request.request_id


# Requests whose bodies came late in the grace period were passed on and cut at its end, without an
# answer: the time by which a node must have answered held only for heads that came after SIGTERM.
@pytest.mark.parametrize("work_s", [0.3, 1.5])
@pytest.mark.parametrize("path", [BOOKINGS, NOTES, RESUMABLE])
async def test_request_whose_body_comes_late_in_the_grace_period_is_answered(
    new_site, path, work_s
):
    site = await start_site(new_site, path, work_s)
    requests = new_requests(site.node_addresses[0], path, OFFSETS_S)
    for request in requests:
        await request.begin()
    await asyncio.sleep(0.2)
    assert await finish_after_stop(site, site.nodes[:1], requests, OFFSETS_S) == [0]
    check_answers(site, requests)
    statuses = [request.statuses[0] for request in requests]
    # Whether there is time for an answer is known before: no request is run in vain.
    assert statuses[0] == 200 and statuses[-1] == 503 and set(statuses) <= {200, 503}
    assert sum(status == 200 for status in statuses) >= 2


# Requests that ran when SIGTERM came, for longer than the grace period, were cut without an answer.
async def test_booking_that_outlasts_the_grace_period_is_answered(new_site):
    site = await start_site(new_site, BOOKINGS, 0.05)
    for server in site.plain:
        server.work_s = 30.0
    requests = new_requests(site.node_addresses[0], BOOKINGS, range(8))
    for request in requests:
        await request.begin()
    finishing = [asyncio.ensure_future(request.finish()) for request in requests]
    while len([run for run in site.log.runs if not run.ended]) < len(requests):
        await asyncio.sleep(0.02)
    assert await finish_after_stop(site, site.nodes[:1], [], []) == [0]
    await asyncio.gather(*finishing)
    check_answers(site, requests)
    assert {request.statuses[0] for request in requests} == {504}


async def test_two_planned_stops_at_once_cut_nothing(new_site):
    site = await start_site(new_site, BOOKINGS, 0.3, node_count=3)
    requests, offsets_s = [], []
    for address in site.node_addresses[:2]:
        requests += new_requests(address, BOOKINGS, OFFSETS_S)
        offsets_s += OFFSETS_S
    for request in requests:
        await request.begin()
    await asyncio.sleep(0.2)
    site.nodes[1].send(signal.SIGHUP)  # a reload of the settings changes nothing of the stop
    assert await finish_after_stop(site, site.nodes[:2], requests, offsets_s) == [0, 0]
    check_answers(site, requests)


@pytest.mark.parametrize("after_s", [0.0, 0.1, 0.3, 0.6])
async def test_node_that_is_stopped_while_it_starts_ends_in_time(new_site, after_s):
    site = await new_site(node_count=2)
    node = site.nodes[1]
    assert await node.stop() == 0
    node.start()
    await wait_until_listening(site.node_addresses[1])
    await asyncio.sleep(after_s)
    assert await node.stop(timeout_s=GRACE_S) == 0
