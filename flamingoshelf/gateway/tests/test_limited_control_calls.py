"""Calls to engines that state limits, other than those of callers."""

import asyncio
import random
from typing import Any, cast

import pytest

from flamingoshelf.cluster import FencingToken
from flamingoshelf.gateway import EngineReport, OrderOutcome
from flamingoshelf.gateway._engine_prober import EngineProber
from flamingoshelf.gateway._load_poller import LoadPoller
from flamingoshelf.gateway._role_controller import RoleController
from flamingoshelf.gateway._wire import KvHandle
from flamingoshelf.gateway.tests.conftest import ENGINE, server
from flamingoshelf.gateway.tests.fake_paths import new_client
from flamingoshelf.placement import Dispatcher, FailureKind, RoleChange
from flamingoshelf.placement.tests.test_fleet import placement_request
from flamingoshelf.routing import EngineRole
from flamingoshelf.utils import now_s

pytestmark = pytest.mark.looptime

PREFILL, DECODE = server("p", EngineRole.PREFILL), server("d", EngineRole.DECODE)


class FakeControl:
    """Records the engines of reports and orders."""

    def __init__(self):
        self.reports = []
        self.orders = []

    async def report(self, instance):
        self.reports.append(instance.key)
        return EngineReport(
            role=instance.role,
            is_changing=False,
            order_count=0,
            running=0,
            waiting=0,
            held_tokens=0,
            capacity_tokens=1000,
        )

    async def order(self, instance, order):
        self.orders.append(instance.key)
        return OrderOutcome.ACCEPTED


class FakeDuty:
    def is_valid(self, token):
        return True


@pytest.fixture
def control():
    return FakeControl()


@pytest.fixture
def state(limits):
    def record(instance, per_s):
        limits.record_answer(instance.run, per_s, sent_s=now_s())

    return record


@pytest.fixture
def dispatcher(limit_service):
    return Dispatcher(
        service="s",
        instances=lambda: [PREFILL, DECODE],
        profile=lambda: ENGINE,
        random_source=random.Random(1),
        limits=limit_service.keeper,
    )


@pytest.fixture
async def start():
    started = []

    async def run(component):
        started.append(component)
        await component.start()

    yield run
    for component in started:
        await component.stop()


async def test_suspected_engine_is_probed_within_its_limit(dispatcher, control, state, start):
    dispatcher.decide()  # lists the engines
    state(DECODE, 0.5)
    for engine in (PREFILL, DECODE):
        dispatcher.engines.record_failure(engine.key, FailureKind.SILENT, detail="silent")
    dispatcher.engines.health.record_probe = lambda *args, **fields: None  # stays suspected
    await start(EngineProber(dispatchers=lambda: [dispatcher], control=cast(Any, control)))
    await asyncio.sleep(20.0)
    assert 8 <= control.reports.count("d") <= 11
    assert control.reports.count("p") > 40


async def test_load_of_an_engine_that_states_a_limit_is_not_polled(
    dispatcher, control, state, start
):
    dispatcher.decide()
    dispatcher.enqueue(placement_request(1, prompt_tokens=10**9), "n")
    await start(
        LoadPoller(
            dispatchers=lambda: [dispatcher], control=cast(Any, control), is_needed=lambda: True
        )
    )
    await asyncio.sleep(1.0)
    assert control.reports
    state(DECODE, 2.0)
    control.reports.clear()
    await asyncio.sleep(2.0)
    assert not control.reports


async def test_order_and_its_report_take_permits(dispatcher, control, state, metrics):
    dispatcher.decide()
    controller = RoleController(
        dispatchers=lambda: [dispatcher],
        control=cast(Any, control),
        duty=cast(Any, FakeDuty()),
        holder="n",
        may_order=lambda: True,
        metrics=metrics,
    )
    change = RoleChange(engine=DECODE, role=EngineRole.PREFILL)
    token = FencingToken(number=1, expires_at_s=float("inf"))
    state(DECODE, 2.0)
    await controller._order(dispatcher, change, token)
    assert not control.reports
    await asyncio.sleep(0.5)
    await controller._order(dispatcher, change, token)
    assert (control.reports, control.orders) == (["d"], ["d"])
    await asyncio.sleep(0.9)
    assert not dispatcher.engines.has_permit("d")


async def test_handle_of_an_engine_that_states_a_limit_is_left_to_expire(notices, limits, state):
    client = new_client(pool=cast(Any, None), wire=cast(Any, None), notices=notices, limits=limits)
    state(PREFILL, 2.0)
    client.release_handle(KvHandle(address="p:80", handle_id="h"), PREFILL)
    assert not client._tasks._tasks
    await client.stop()
