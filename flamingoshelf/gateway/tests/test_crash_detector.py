"""Lost runs that count as crashes."""

import asyncio

import attrs
import pytest
from loguru import logger

from flamingoshelf.gateway import CallerRequest
from flamingoshelf.gateway._crash_detector import CrashDetector
from flamingoshelf.gateway.tests.conftest import server
from flamingoshelf.quarantine import Quarantine
from lab.processes import AddressPool


@pytest.fixture
async def detector():
    quarantine = Quarantine()
    detector = CrashDetector(guard=lambda: quarantine)
    yield detector
    await detector.stop()


def server_at(name, address):
    return attrs.evolve(server(name), address=address)


async def lose_runs(detector, request, *addresses):
    for number, address in enumerate(addresses):
        detector.record_lost_run(request, server_at(f"s{number}", address))
    await asyncio.sleep(0.4)


async def test_content_that_crashed_two_servers_is_refused(detector, new_request):
    closed = AddressPool().reserve(2)  # nothing listens at these addresses
    await lose_runs(detector, new_request(), *closed)
    refusal = detector.check(new_request())
    assert refusal is not None and (refusal.status, refusal.not_run) == (503, True)


async def test_server_that_still_listens_has_not_crashed(detector, new_request):
    addresses = AddressPool().reserve(2)
    servers = []
    for address in addresses:
        host, _, port = address.rpartition(":")
        servers.append(await asyncio.start_server(lambda r, w: w.close(), host, int(port)))
    await lose_runs(detector, new_request(), *addresses)
    assert detector.check(new_request()) is None
    for item in servers:
        item.close()


async def test_success_clears_one_crash(detector, new_request):
    one, two = AddressPool().reserve(2)
    await lose_runs(detector, new_request(), one)
    detector.record_success(new_request())
    await lose_runs(detector, new_request(), two)
    assert detector.check(new_request()) is None


async def test_crash_line_tells_the_parts_of_the_prompt_and_the_events_sent(detector, new_request):
    lines = []
    sink = logger.add(lambda line: lines.append(line.record["extra"]), level="WARNING")
    request = new_request(caller=CallerRequest(request_id="q1", prompt="5c1e:800,91bd:410"))
    detector.record_lost_run(request, server_at("s", AddressPool().reserve(1)[0]), events=7)
    await asyncio.sleep(0.1)
    logger.remove(sink)
    assert [(line["prompt"], line["events"]) for line in lines] == [("5c1e:800,91bd:410", 7)]
