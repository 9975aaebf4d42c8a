"""Plain calls to servers that fall silent, with their connections open, and then go on."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest

from flamingoshelf.gateway import PlainForwarder
from flamingoshelf.gateway.tests.conftest import Answer, FakeResponse, server
from flamingoshelf.placement import PlainCallMeter
from flamingoshelf.retries import RetryBounds, RetryBudget
from flamingoshelf.routing import CallKind, EjectionRule, ServerSelector
from flamingoshelf.utils import now_s

WORK_S = 0.01
CALL_INTERVAL_S = 0.005
GOAL_S = 0.1


class SilentServers:
    """Servers that answer after `WORK_S`, but not while they are silent.

    `silences` holds start and end of each server's silence by its key.
    """

    def __init__(self, **silences):
        self.silences = silences
        self.calls = []  # server and time of each call

    @asynccontextmanager
    async def send(self, request, call, *, fresh=False):
        key = call.instance.key
        self.calls.append((key, now_s()))
        await asyncio.sleep(WORK_S)
        start_s, end_s = self.silences.get(key, (0.0, 0.0))
        if start_s <= now_s() < end_s:
            await asyncio.sleep(end_s - now_s())
        yield FakeResponse(Answer(), [b"ok"])

    def share_of(self, key, start_s, end_s):
        """Return the share of the calls in a time window that went to one server."""
        servers = [called for called, called_s in self.calls if start_s <= called_s < end_s]
        return servers.count(key) / len(servers)


def make_forwarder(client, targets, crash_detector, metrics, *, reserve=10.0):
    budget = RetryBudget(node_count=lambda: 1, bounds=RetryBounds(fleet_reserve=reserve))
    selector = ServerSelector(data_centre="a", rule=EjectionRule(), random_source=random.Random(1))
    return PlainForwarder(
        client=client,
        targets=targets,
        selector=selector,
        budget=lambda service: budget,
        plain_calls=PlainCallMeter(),
        crash_detector=crash_detector,
        metrics=metrics,
    )


@pytest.fixture
def run_load(targets, crash_detector, metrics, new_request, new_exchange, list_servers):
    """Send a call every `CALL_INTERVAL_S`; return the time and the wait of each, and its body."""

    async def call(forwarder, kind):
        request = new_request(kind, timeout_s=1.5, latency_goal_s=GOAL_S)
        exchange, output = new_exchange(request)
        started_s = now_s()
        await forwarder.forward(exchange, request)
        return started_s, now_s() - started_s, output.body

    async def run(client, *, seconds, kinds):
        list_servers(*(server(name) for name in "abc"))
        forwarder = make_forwarder(client, targets, crash_detector, metrics)
        tasks = []
        for number in range(round(seconds / CALL_INTERVAL_S)):
            tasks.append(asyncio.create_task(call(forwarder, kinds[number % len(kinds)])))
            await asyncio.sleep(CALL_INTERVAL_S)
        return await asyncio.gather(*tasks)

    return run


KINDS = [
    [CallKind.IDEMPOTENT],
    [CallKind.NON_IDEMPOTENT],
    [CallKind.IDEMPOTENT, CallKind.NON_IDEMPOTENT],
]


@pytest.mark.looptime
@pytest.mark.parametrize("kinds", KINDS)
async def test_server_silent_for_a_second_is_used_again_soon(run_load, kinds):
    """Guards against seconds without a sound server, and against calls lost to its silence."""
    servers = SilentServers(a=(1.0, 2.0))
    answers = await run_load(servers, seconds=4.0, kinds=kinds)
    assert all(body == b"ok" for _, _, body in answers)
    assert servers.share_of("a", 2.5, 4.0) > 0.2


@pytest.mark.looptime
@pytest.mark.parametrize("kinds", KINDS)
async def test_silent_server_delays_few_callers(run_load, kinds):
    """Guards against a wait for a silent server in each call during the whole outage."""
    servers = SilentServers(a=(1.0, 31.0))
    answers = await run_load(servers, seconds=30.0, kinds=kinds)
    waits = [wait_s for started_s, wait_s, _ in answers if started_s >= 1.0 + GOAL_S]
    assert sum(wait_s > 0.9 * GOAL_S for wait_s in waits) < 0.01 * len(waits)
