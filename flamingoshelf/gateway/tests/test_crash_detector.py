"""Lost runs that count as crashes, and what is refused for them."""

import asyncio
import random

import attrs
import pytest
from loguru import logger

from flamingoshelf.gateway import CallerRequest
from flamingoshelf.gateway._crash_detector import BEGUN_EVENTS, CrashDetector
from flamingoshelf.gateway.tests.conftest import server
from flamingoshelf.gateway.tests.fake_paths import FakePaths
from flamingoshelf.quarantine import Quarantine, QuarantineService, Suspect
from flamingoshelf.refusals import Refusal
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import now_s
from lab.processes import AddressPool

_numbers = iter(range(10_000))


@pytest.fixture
def guard():
    return QuarantineService(
        quarantine=Quarantine(),
        peers=tuple,
        metrics=Metrics(node_name="n"),
        random_source=random.Random(1),
    )


@pytest.fixture
def succeeded():
    return set()


@pytest.fixture
def paths():
    return FakePaths()


@pytest.fixture
async def detector(guard, succeeded, paths):
    detector = CrashDetector(
        guard=guard,
        is_succeeded=lambda server: server.key in succeeded,
        is_cut=paths.is_cut,
    )
    yield detector
    await detector.stop()


@pytest.fixture
def new_parts_request(new_request):
    """Return a request whose prompt has the given parts and one of its own."""

    def make(*parts):
        listed = (*parts, f"own{next(_numbers)}")
        caller = CallerRequest(
            request_id="q1",
            model="m",
            prompt=",".join(f"{part}:100" for part in listed),
            prompt_parts=listed,
        )
        return new_request(caller=caller)

    return make


def server_at(name, address):
    return attrs.evolve(server(name), address=address)


async def lose_runs(detector, *runs):
    """Lose runs one after the other, each of a request at an address."""
    for request, address in runs:
        detector.record_lost_run(request, server_at(f"s{next(_numbers)}", address), sent_s=now_s())
        await asyncio.sleep(0.3)
    await asyncio.sleep(0.1)


async def test_content_that_crashed_two_servers_is_refused(detector, new_request):
    closed = AddressPool().reserve(2)  # nothing listens at these addresses
    await lose_runs(detector, *((new_request(), address) for address in closed))
    refusal = detector.check(new_request())
    assert refusal is not None and (refusal.status, refusal.not_run) == (503, True)


# No two requests were alike, so that no crash was held against what they had in common.
async def test_part_that_crashed_two_servers_is_refused(detector, new_parts_request):
    closed = AddressPool().reserve(2)
    await lose_runs(detector, *((new_parts_request(f"a{a}", "bad"), a) for a in closed))
    refusal = detector.check(new_parts_request("a3", "bad"))
    assert refusal is not None and (refusal.status, refusal.not_run) == (503, True)
    assert refusal.retry_after_s is not None
    assert detector.check(new_parts_request(f"a{closed[0]}")) is None


# A sound stream that two crashes cut in the middle was refused for ten minutes.
async def test_request_whose_answer_had_begun_is_not_suspected(detector, new_request):
    for address in AddressPool().reserve(3):
        instance = server_at(f"s{address}", address)
        detector.record_lost_run(new_request(), instance, events=BEGUN_EVENTS, sent_s=now_s())
        await asyncio.sleep(0.3)
    assert detector.check(new_request()) is None


async def test_server_that_still_listens_has_not_crashed(detector, new_request):
    addresses = AddressPool().reserve(2)
    servers = []
    for address in addresses:
        host, _, port = address.rpartition(":")
        servers.append(await asyncio.start_server(lambda r, w: w.close(), host, int(port)))
    await lose_runs(detector, *((new_request(), address) for address in addresses))
    assert detector.check(new_request()) is None
    for item in servers:
        item.close()


# Resets and refused connections of a node that was cut off looked like crashes of the servers, and
# the requests that they ended were refused by all nodes.
async def test_server_that_refuses_this_node_alone_has_not_crashed(detector, new_request, paths):
    closed = AddressPool().reserve(2)
    paths.is_cut_from_all = True
    await lose_runs(detector, *((new_request(), address) for address in closed))
    assert detector.check(new_request()) is None


async def test_success_clears_one_crash(detector, new_request):
    one, two = AddressPool().reserve(2)
    await lose_runs(detector, (new_request(), one))
    detector.record_success(new_request())
    await lose_runs(detector, (new_request(), two))
    assert detector.check(new_request()) is None


# A run that a reset ended hid a crash of the same server some seconds later.
@pytest.mark.looptime
async def test_crash_soon_after_a_lost_run_without_a_crash_is_noticed_at_once(
    detector, new_parts_request, monkeypatch
):
    down = set()

    async def refuses_connections(address):
        return address in down

    monkeypatch.setattr(
        "flamingoshelf.gateway._crash_detector._refuses_connections", refuses_connections
    )
    for name in ("s1", "s2"):
        detector.record_lost_run(new_parts_request("a"), server(name), sent_s=now_s())
        await asyncio.sleep(2.0)
        down.add(server(name).address)
        detector.record_lost_run(new_parts_request("bad"), server(name), sent_s=now_s())
        await asyncio.sleep(0.3)
    assert detector.check(new_parts_request("bad")) is not None


# A crash counted only at nodes that saw a connection refused within 0.22 s.
@pytest.mark.looptime
async def test_crash_that_another_node_reports_counts_for_lost_runs_of_this_one(
    detector, guard, new_parts_request, monkeypatch
):
    monkeypatch.setattr(
        "flamingoshelf.gateway._crash_detector._refuses_connections", accepts_connections
    )
    detector.record_lost_run(new_parts_request("bad"), server("s1"), sent_s=now_s())
    detector.record_lost_run(new_parts_request("other"), server("s2"), sent_s=now_s())
    await asyncio.sleep(0.5)
    guard.report_crash("s1", [Suspect(keys=("another",))])
    await asyncio.sleep(0.5)
    guard.report_crash("s2", [Suspect(keys=("one more",))])
    detector.record_lost_run(new_parts_request("bad"), server("s2"), sent_s=now_s())  # noticed last
    assert detector.check(new_parts_request("bad")) is not None
    assert detector.check(new_parts_request("other")) is None


@pytest.mark.looptime
async def test_server_whose_place_another_one_takes_has_crashed(
    detector, succeeded, new_parts_request, monkeypatch
):
    monkeypatch.setattr(
        "flamingoshelf.gateway._crash_detector._refuses_connections", accepts_connections
    )
    for number in range(2):
        instance = server(f"s{number}")
        detector.record_lost_run(new_parts_request("bad"), instance, sent_s=now_s())
        await asyncio.sleep(1.0)
        succeeded.add(instance.key)
        await asyncio.sleep(6.0)
    assert detector.check(new_parts_request("bad")) is not None


async def accepts_connections(address):
    return False


@pytest.mark.looptime
async def test_waiting_requests_learn_that_their_content_is_refused(
    detector, guard, new_parts_request
):
    refused: list[Refusal] = []
    bad, sound = new_parts_request("bad"), new_parts_request("a")
    with detector.watch(bad, refused.append), detector.watch(sound, refused.append):
        for number in range(4):
            guard.report_crash(f"s{number}", [Suspect(keys=new_parts_request("bad").content_keys)])
            await asyncio.sleep(0.5)
    assert [refusal.status for refusal in refused] == [503]  # once


async def test_crash_line_tells_the_parts_of_the_prompt(detector, new_parts_request):
    lines = []
    sink = logger.add(lambda line: lines.append(line.record["extra"]), level="WARNING")
    request = new_parts_request("5c1e")
    await lose_runs(detector, (request, AddressPool().reserve(1)[0]))
    logger.remove(sink)
    assert [line["prompt"] for line in lines] == [request.caller.prompt]
