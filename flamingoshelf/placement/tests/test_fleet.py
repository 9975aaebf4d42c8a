"""Turns of a node at the dispatcher, with late and lost messages."""

import asyncio
import random
from contextlib import asynccontextmanager, nullcontext

import pytest

from flamingoshelf.exceptions import OutcomeUnknownError
from flamingoshelf.placement import (
    Dispatcher,
    DispatcherService,
    FailureKind,
    FleetPlacer,
    PlacementRequest,
    PlainCallMeter,
    RunOutcome,
    Turn,
    WorkspaceLimit,
    WorkspaceLimits,
    new_turn_id,
)
from flamingoshelf.placement._messages import OwnerReport
from flamingoshelf.placement.tests.simulation import PROFILE, add_reference_measurements
from flamingoshelf.refusals import RefusalReason
from flamingoshelf.retries import RetryBounds, RetryBudget
from flamingoshelf.routing import BackendInstance, EngineRole

pytestmark = pytest.mark.looptime


def engines():
    roles = {"p0": EngineRole.PREFILL, "p1": EngineRole.PREFILL, "d0": EngineRole.DECODE}
    return [
        BackendInstance(
            instance_id=name, service="s", address=f"{name}:80", data_centre="a", role=role
        )
        for name, role in roles.items()
    ]


def placement_request(number, **fields):
    values = {
        "turn_id": new_turn_id("q", number),
        "service": "s",
        "prompt_tokens": 1000,
        "expected_tokens": 100,
        "goal_left_s": 0.9,
        "wait_left_s": 3.6,
        "deadline_left_s": 14.0,
    }
    return PlacementRequest(**{**values, **fields})


@pytest.fixture
def limits():
    limit = WorkspaceLimit(rate_tokens_s=1.0, burst_tokens=1000.0, initial_tokens=1000.0)
    return WorkspaceLimits(limit=lambda name: limit if name == "limited" else None)


@pytest.fixture
def budget():
    return RetryBudget(node_count=lambda: 1, bounds=RetryBounds(ratio=0.0, fleet_reserve=3.0))


@pytest.fixture
def service(limits, budget):
    return DispatcherService(
        new_dispatcher=lambda name: Dispatcher(
            service=name,
            instances=engines,
            profile=lambda: PROFILE,
            random_source=random.Random(1),
        ),
        limits=limits,
        budget=lambda name: budget,
        other_nodes=lambda: {"m"},
    )


@pytest.fixture
def placer(service):
    return FleetPlacer(
        node_name="n",
        dispatchers=service,
        plain_calls=PlainCallMeter(),
        placed_services=lambda: ["s"],
    )


class FakeCoordination:
    """Coordination whose coordinator is set by the test."""

    def __init__(self, coordinator):
        self.coordinator = coordinator
        self.members = ["n", "c"]
        self._changed = asyncio.Event()

    def change(self, coordinator):
        self.coordinator = coordinator
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait_for_coordinator(self):
        return self.coordinator

    async def wait_for_coordinator_change(self, coordinator):
        while self.coordinator == coordinator:
            await self._changed.wait()

    def report_failure(self, name):
        pass

    def during_request(self):
        return nullcontext()


class FakeLink:
    """Link that delivers messages to the dispatchers of another node and records reports."""

    def __init__(self, service):
        self._handlers = {}
        self.reports = []
        self.is_partitioned = False
        service.register(self)

    def register(self, message_type, handler):
        self._handlers[message_type] = handler

    async def request(self, peer, message, *, timeout_s):
        if isinstance(message, OwnerReport):
            self.reports.append((peer, message))
        if self.is_partitioned:
            raise OutcomeUnknownError("no reply", step="request", peer=peer)
        # The other node continues with a request after its sender was cancelled.
        answer = asyncio.ensure_future(self._handlers[type(message)]("n", message))
        return await asyncio.shield(answer)

    def notify(self, peer, message):
        self._sent = asyncio.ensure_future(self._handlers[type(message)]("n", message))


@asynccontextmanager
async def reporting(placer, service):
    link, coordination = FakeLink(service), FakeCoordination("c")
    placer.connect(link, coordination)
    await placer.start()
    try:
        yield link, coordination
    finally:
        await placer.stop()


async def test_node_without_turns_reports_once_to_each_coordinator(placer, service):
    async with reporting(placer, service) as (link, coordination):
        await asyncio.sleep(5)
        assert [peer for peer, _ in link.reports] == ["c"]
        coordination.change("d")
        await asyncio.sleep(5)
        assert [peer for peer, _ in link.reports] == ["c", "d"]


async def test_lost_report_is_sent_again(placer, service):
    async with reporting(placer, service) as (link, _):
        link.is_partitioned = True
        await asyncio.sleep(1.1)
        assert len(link.reports) >= 2
        link.is_partitioned = False
        await asyncio.sleep(1)
        sent = len(link.reports)
        await asyncio.sleep(5)
        assert len(link.reports) == sent


async def test_held_turns_are_reported_until_their_release_is_known(placer, service):
    async with reporting(placer, service) as (link, _):
        turn = await placer.acquire(placement_request(1))
        await asyncio.sleep(2)
        assert len(link.reports) >= 8
        assert link.reports[-1][1].held[0].turn_ids == (turn.turn_id,)
        placer.release(turn, events=10, seconds=0.1, outcome=RunOutcome.COMPLETE)
        await asyncio.sleep(2)
        assert link.reports[-1][1].held[0].turn_ids == ()
        sent = len(link.reports)
        await asyncio.sleep(2)
        assert len(link.reports) == sent


async def test_cancelled_request_is_withdrawn_at_another_nodes_dispatcher(placer, service):
    async with reporting(placer, service):
        # The dispatcher is new, so it grants nothing until the other nodes have reported.
        runner = service.runner("s")
        waiting = asyncio.ensure_future(placer.acquire(placement_request(1)))
        await asyncio.sleep(0.01)
        assert runner.dispatcher.queue_length == 1
        waiting.cancel()
        await asyncio.sleep(0.01)
        assert runner.dispatcher.queue_length == 0


async def test_turn_whose_grant_reply_was_lost_is_released(placer, service):
    """The reply with the grant was lost, so the next report doesn't list the turn."""
    async with reporting(placer, service) as (_, _):
        held = await placer.acquire(placement_request(1))
        await service.acquire(placement_request(2), "n")
        assert service.runner("s").dispatcher.active_turn_count == 2
        await asyncio.sleep(1.5)
        assert service.runner("s").dispatcher.has_turn(held.turn_id)
        assert service.runner("s").dispatcher.active_turn_count == 1


async def test_late_end_of_a_turn_does_not_withdraw_the_next_one(placer, service):
    """After a failed prefill, the request asks again before its old turn is reported as ended."""
    turn = await placer.acquire(placement_request(1))
    placer.record_failure("s", turn.prefill_id, FailureKind.BROKE_OFF, detail="reset")
    placer.release(turn, events=0, seconds=0.0, outcome=RunOutcome.ENDED)
    again = await asyncio.wait_for(
        placer.acquire(placement_request(2, avoid=(turn.prefill_id,))), 1.0
    )
    assert isinstance(again, Turn) and again.prefill_id != turn.prefill_id
    await asyncio.sleep(1)
    assert service.runner("s").dispatcher.active_turn_count == 1


async def test_released_turn_frees_its_engines(placer, service):
    turn = await placer.acquire(placement_request(1))
    placer.release(turn, events=100, seconds=0.5, outcome=RunOutcome.COMPLETE)
    await asyncio.sleep(0.1)
    assert service.runner("s").dispatcher.active_turn_count == 0


async def test_new_dispatcher_waits_for_the_reports_of_other_nodes(placer, service):
    waiting = asyncio.ensure_future(placer.acquire(placement_request(1)))
    await asyncio.sleep(0.1)
    assert not waiting.done()
    service.runner("s").record_report("m")
    await asyncio.sleep(0.01)
    assert waiting.done()


async def test_new_dispatcher_stops_waiting_for_missing_reports(placer):
    assert isinstance(await asyncio.wait_for(placer.acquire(placement_request(1)), 0.4), Turn)


async def test_cancelled_request_leaves_no_queue_entry_and_no_turn(placer, service):
    waiting = asyncio.ensure_future(placer.acquire(placement_request(1)))
    await asyncio.sleep(0.01)  # the dispatcher is new and grants nothing yet
    waiting.cancel()
    await asyncio.sleep(1)
    dispatcher = service.runner("s").dispatcher
    assert (dispatcher.queue_length, dispatcher.active_turn_count) == (0, 0)


async def test_processed_prompt_survives_a_change_of_the_dispatcher(placer, service):
    """A new coordinator doesn't know the turn; that must not be taken for a lack of room."""
    turn = await placer.acquire(placement_request(1))
    service.runner("s").dispatcher.release(turn.turn_id)
    assert await placer.confirm(turn) == turn.decode_id


async def test_refused_request_is_refunded_to_its_workspace(service, limits):
    """Requests that are refused in an overload must not use up their workspace's limit."""
    add_reference_measurements(service.runner("s").dispatcher.model)
    service.runner("s").record_report("m")
    infeasible = placement_request(1, workspace="limited", charge_tokens=800.0, wait_left_s=0.001)
    refusal = await service.acquire(infeasible, "n")
    assert refusal.status == 503
    assert limits.charge("limited", 1000) is None


async def test_cancelled_request_is_refunded_to_its_workspace(service, limits):
    request = placement_request(1, workspace="limited", charge_tokens=800.0)
    waiting = asyncio.ensure_future(service.acquire(request, "n"))
    await asyncio.sleep(0.01)
    waiting.cancel()
    await asyncio.sleep(0.01)
    assert limits.charge("limited", 1000) is None


async def test_request_that_runs_is_charged(service, limits):
    assert isinstance(
        await service.acquire(placement_request(1, workspace="limited", charge_tokens=800.0), "n"),
        Turn,
    )
    assert limits.charge("limited", 1000) is not None


async def test_retries_of_all_nodes_share_one_budget(service):
    """Split over 81 nodes, one retry each, a budget refused 100 retries while 100 were left."""
    add_reference_measurements(service.runner("s").dispatcher.model)
    service.runner("s").record_report("m")
    outcomes = []
    for number, owner in enumerate(("n", "m", "o", "p", "q")):
        request = placement_request(number, repeat_cost=1, prompt_tokens=10)
        outcomes.append(await service.acquire(request, owner))
    assert [isinstance(outcome, Turn) for outcome in outcomes] == [True] * 3 + [False] * 2
    assert outcomes[-1].reason is RefusalReason.RETRIES_EXHAUSTED and outcomes[-1].not_run


async def test_repeating_both_calls_costs_two_retries(service, budget):
    service.runner("s").record_report("m")
    assert isinstance(await service.acquire(placement_request(1, repeat_cost=2), "n"), Turn)
    assert budget.try_spend()
    assert not budget.try_spend()
