"""Bookings on real processes under faults; callers repeat through other nodes."""

import asyncio
import itertools
import json
import signal
from collections import Counter

import pytest
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts

from flamingoshelf.http_client import new_http_client
from lab.scenarios import api_key_of

pytestmark = pytest.mark.processes

WORKERS = 6
LOAD_S = 6.0
TRIES = 25
TRIES_WHILE_UNKNOWN = 4
RETRY_DELAY_S = 0.3
AUTHORIZATION = f"Bearer {api_key_of('kathmandu-north')}"
TIMEOUTS = Timeouts(sock_connect=1, sock_read=15, request_timeout=15)


class Callers:
    """Callers that book vans, each under one key, and retry until the outcome is settled."""

    def __init__(self, site):
        self.site = site
        self.client = new_http_client()
        self.numbers = itertools.count()
        self.refused_attempts = set()
        self.answers = {}

    async def work(self):
        ends_at = asyncio.get_running_loop().time() + LOAD_S
        while asyncio.get_running_loop().time() < ends_at:
            name = f"van-{next(self.numbers)}"
            self.answers[name] = await self.book(name)

    async def book(self, name):
        result = "no answer"
        addresses = self.site.node_addresses
        first = len(self.answers)
        for number in range(TRIES):
            address = addresses[(first + number) % len(addresses)]
            status, content = await self.attempt(address, name, f"{name}.{number}")
            if status is not None and status < 300:
                return "booked"
            result = content.get("reason", "no answer")
            if result == "claim_outcome_unknown" and number >= TRIES_WHILE_UNKNOWN:
                return result
            await asyncio.sleep(RETRY_DELAY_S)
        return result

    async def attempt(self, address, name, attempt):
        headers = {
            "Authorization": AUTHORIZATION,
            "Idempotency-Key": f'"key-{name}"',
            "X-Attempt": attempt,
        }
        try:
            response = await self.client.post(
                f"http://{address}/bookings/{name}",
                json={"van": name},
                headers=headers,
                timeouts=TIMEOUTS,
            )
            content = await response.content()
        except (AiosonicError, OSError, asyncio.IncompleteReadError):
            return None, {}
        if response.status_code < 300:
            return response.status_code, {}
        problem = json.loads(content)
        if problem.get("not_run"):
            self.refused_attempts.add(attempt)
        return response.status_code, problem


async def kill_nodes(site):
    for name in ("node-0", "node-1"):
        await asyncio.sleep(1)
        site.nodes[name].process.kill()
        await asyncio.sleep(0.5)
        site.start_node(name)


async def crash_services(site):
    for name, moment in (("plain-0", "before"), ("plain-1", "after"), ("plain-2", "after")):
        await site.control(site.engine_addresses[name], {"crash": moment})
        await asyncio.sleep(1)
        site.engines[name].kill()
        site.engines[name].start()
        await asyncio.sleep(0.5)


async def break_store(site):
    for _ in range(3):
        await site.control(site.platform_address, {"faults": {"lose_answers": 8}})
        await asyncio.sleep(0.8)
        await site.control(site.platform_address, {"faults": {"down": True}})
        await asyncio.sleep(0.5)
        await site.control(site.platform_address, {"faults": {"down": False}})
        await asyncio.sleep(0.3)


@pytest.mark.parametrize("fault", [kill_nodes, crash_services, break_store])
async def test_bookings_run_at_most_once(site, fault):
    callers = Callers(site)
    async with asyncio.timeout(100):
        await asyncio.gather(fault(site), *(callers.work() for _ in range(WORKERS)))
    await callers.client.connector.cleanup()
    records = site.records()
    by_name = Counter(record.subject for record in records if record.event == "execution")
    attempts = {record.subject for record in records if record.event == "attempt"}
    assert [name for name, count in by_name.items() if count > 1] == []
    assert callers.refused_attempts & attempts == set()
    results = Counter(callers.answers.values())
    assert results["booked"] >= 20
    assert set(results) <= {"booked", "claim_outcome_unknown"}
    assert results["claim_outcome_unknown"] <= 3 * WORKERS
    assert all(by_name[name] for name, answer in callers.answers.items() if answer == "booked")


async def test_running_booking_completes_though_its_caller_disconnects_and_its_node_stops(site):
    """The first caller disconnects; then the node gets SIGTERM while a second caller waits."""
    for name in ("plain-0", "plain-1", "plain-2"):
        await site.control(site.engine_addresses[name], {"delay_s": 8.0})
    callers = Callers(site)
    node = site.nodes["node-0"]
    host, _, port = node.caller_address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    request = (
        f"POST /bookings/van-left HTTP/1.1\r\nHost: x\r\nAuthorization: {AUTHORIZATION}\r\n"
        'Idempotency-Key: "key-van-left"\r\nContent-Type: application/json\r\n'
        "Content-Length: 19\r\n\r\n" + '{"van": "van-left"}'
    )
    writer.write(request.encode())
    waiting = asyncio.create_task(callers.attempt(node.caller_address, "van-stays", "stays"))
    await asyncio.sleep(0.8)
    writer.transport.abort()
    node.process.send(signal.SIGTERM)
    assert (await waiting)[0] == 201
    assert await node.process.stop() == 0
    other = site.nodes["node-1"].caller_address
    for name in ("van-left", "van-stays"):
        assert (await callers.attempt(other, name, f"again-{name}"))[0] == 201
    await callers.client.connector.cleanup()
    executed = Counter(item.subject for item in site.records() if item.event == "execution")
    assert executed == {"van-left": 1, "van-stays": 1}
