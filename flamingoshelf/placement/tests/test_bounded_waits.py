"""Requests for turns while the coordinator isn't known or its replies are lost."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest
from loguru import logger

from flamingoshelf.exceptions import OutcomeUnknownError
from flamingoshelf.placement import (
    Dispatcher,
    DispatcherService,
    FleetPlacer,
    PlainCallMeter,
    Turn,
    WorkspaceLimits,
)
from flamingoshelf.placement.tests.simulation import PROFILE
from flamingoshelf.placement.tests.test_fleet import (
    FakeCoordination,
    FakeLink,
    engines,
    placement_request,
)
from flamingoshelf.refusals import Refusal
from flamingoshelf.retries import RetryBudget
from flamingoshelf.utils import now_s

pytestmark = pytest.mark.looptime

WAIT_S = 3.6  # of the requests


class LosableCoordination(FakeCoordination):
    """Coordination whose coordinator may be unknown."""

    def __init__(self, coordinator):
        super().__init__(coordinator)
        self.failures = []

    async def wait_for_coordinator(self):
        while self.coordinator is None:
            await asyncio.sleep(0.005)
        return self.coordinator

    def report_failure(self, name):
        self.failures.append(name)


class LossyLink(FakeLink):
    """Link on which messages can be lost, each for as long as its sender waits."""

    def __init__(self, service):
        super().__init__(service)
        self.is_silent = False
        self.notified = []

    async def request(self, peer, message, *, timeout_s):
        if self.is_silent:
            self.is_partitioned = True
            await asyncio.sleep(timeout_s)
        try:
            async with asyncio.timeout(timeout_s):
                return await super().request(peer, message, timeout_s=timeout_s)
        except TimeoutError as error:
            raise OutcomeUnknownError("no reply", step="request", peer=peer) from error

    def notify(self, peer, message):
        self.notified.append(message)
        super().notify(peer, message)


def new_dispatchers(*, budget=None, limits=None, other_nodes=frozenset()):
    return DispatcherService(
        new_dispatcher=lambda name: Dispatcher(
            service=name,
            instances=engines,
            profile=lambda: PROFILE,
            random_source=random.Random(1),
        ),
        limits=limits or WorkspaceLimits(limit=lambda name: None),
        budget=lambda name: budget or RetryBudget(node_count=lambda: 1),
        other_nodes=lambda: set(other_nodes),
    )


def new_placer(dispatchers):
    return FleetPlacer(
        node_name="n",
        dispatchers=dispatchers,
        plain_calls=PlainCallMeter(),
        placed_services=lambda: ["s"],
    )


@asynccontextmanager
async def fleet(coordinator):
    dispatchers = new_dispatchers()
    placer = new_placer(dispatchers)
    link, coordination = LossyLink(dispatchers), LosableCoordination(coordinator)
    placer.connect(link, coordination)
    await placer.start()
    try:
        yield placer, link, coordination, dispatchers
    finally:
        await placer.stop()
        await dispatchers.stop()


async def timed(answer):
    """Return an answer and the seconds until it came; fail if there is none in a minute."""
    began_s = now_s()
    return await asyncio.wait_for(answer, 60), now_s() - began_s


@pytest.fixture
def log_lines():
    lines = []
    handler = logger.add(lambda line: lines.append(line.record), level="INFO")
    yield lines
    logger.remove(handler)


def assert_true_refusal_in_time(outcome, waited_s):
    assert isinstance(outcome, Refusal)
    assert outcome.not_run and outcome.status == 503
    assert outcome.retry_after_s is not None and outcome.retry_after_s > 0
    assert waited_s < WAIT_S


async def test_request_is_refused_while_no_coordinator_is_known(log_lines):
    """Guards against a caller that waits without end, as the node is cut off from its fleet."""
    async with fleet(None) as (placer, _, _, _):
        outcome, waited_s = await timed(placer.acquire(placement_request(1)))
    assert_true_refusal_in_time(outcome, waited_s)
    (line,) = [line for line in log_lines if line["message"] == "no turn in time"]
    assert line["extra"]["request_id"] == "q"
    assert line["extra"]["unknown_s"] == pytest.approx(waited_s, abs=0.05)
    assert line["extra"]["lost_replies"] == 0


async def test_request_is_refused_while_replies_are_lost(log_lines):
    """Guards against a caller that asks again without end, as each reply is lost at once."""
    async with fleet("c") as (placer, link, _, _):
        link.is_partitioned = True
        outcome, waited_s = await timed(placer.acquire(placement_request(1)))
    assert_true_refusal_in_time(outcome, waited_s)
    (line,) = [line for line in log_lines if line["message"] == "no turn in time"]
    assert line["extra"]["lost_replies"] > 0
    asked = [line for line in log_lines if "request to coordinator failed" in line["message"]]
    assert len(asked) < 1000


async def test_request_is_refused_before_its_caller_leaves_while_the_reply_is_late():
    """Guards against a caller that leaves without an answer, as one reply never comes."""
    async with fleet("c") as (placer, link, coordination, _):
        link.is_silent = True
        outcome, waited_s = await timed(placer.acquire(placement_request(1)))
        assert_true_refusal_in_time(outcome, waited_s)
        await asyncio.sleep(1)
        assert "c" in coordination.failures  # as without the refusal


async def test_request_that_is_refused_here_is_withdrawn_at_the_dispatcher():
    """Guards against engines that are held for a caller that has its refusal."""
    async with fleet("c") as (placer, _, _, dispatchers):
        dispatcher = dispatchers.runner("s").dispatcher
        held = [await placer.acquire(placement_request(n)) for n in range(2)]
        assert all(isinstance(turn, Turn) for turn in held)
        # The engines' speeds aren't known, so the dispatcher keeps it until its caller leaves.
        outcome, waited_s = await timed(placer.acquire(placement_request(2)))
        assert_true_refusal_in_time(outcome, waited_s)
        await asyncio.sleep(1)
        assert (dispatcher.queue_length, dispatcher.active_turn_count) == (0, 2)


async def test_request_waits_while_the_coordinator_changes():
    """Guards against a refusal during a change of the coordinator."""
    async with fleet(None) as (placer, _, coordination, _):
        waiting = asyncio.ensure_future(timed(placer.acquire(placement_request(1))))
        await asyncio.sleep(0.6)
        coordination.change("c")
        outcome, waited_s = await waiting
    assert isinstance(outcome, Turn)
    assert waited_s < 0.7


async def test_processed_prompt_uses_the_expected_engine_while_no_coordinator_is_known():
    """Guards against a prompt whose handle expires while the node knows no coordinator."""
    async with fleet("c") as (placer, _, coordination, _):
        turn = await placer.acquire(placement_request(1))
        coordination.change(None)
        decode_id, waited_s = await timed(placer.confirm(turn))
    assert decode_id == turn.decode_id
    assert waited_s < PROFILE.handle_lifetime_s


async def test_processed_prompt_waits_no_longer_if_a_coordinator_is_found_late():
    """Guards against two waits in a row, one for the coordinator and one for its reply."""
    async with fleet("c") as (placer, link, coordination, _):
        turn = await placer.acquire(placement_request(1))
        coordination.change(None)
        link.is_silent = True
        waiting = asyncio.ensure_future(timed(placer.confirm(turn)))
        await asyncio.sleep(0.3)
        coordination.change("c")
        decode_id, waited_s = await waiting
    assert decode_id == turn.decode_id
    assert waited_s < PROFILE.handle_lifetime_s


async def test_processed_prompt_of_a_node_alone_waits_no_longer_than_its_handle():
    """Guards against a prompt that waits without end at a dispatcher that no longer decides."""
    dispatchers = new_dispatchers()
    placer = new_placer(dispatchers)
    turn = await placer.acquire(placement_request(1))
    assert isinstance(turn, Turn)
    runner = dispatchers.runner("s")
    await runner.stop()
    tracker = runner.dispatcher.engines.decode_tracker("d0")
    tracker.record_report(2 * PROFILE.kv_tokens, now_s())  # so there is no room at once
    decode_id, waited_s = await timed(placer.confirm(turn))
    assert decode_id == turn.decode_id
    assert waited_s < PROFILE.handle_lifetime_s


async def test_dispatcher_decides_again_after_a_decision_failed(monkeypatch, log_lines):
    """Guards against requests that wait until their callers leave, as one decision had failed."""
    async with fleet("c") as (placer, _, _, dispatchers):
        held = [await placer.acquire(placement_request(n)) for n in range(2)]
        waiting = asyncio.ensure_future(timed(placer.acquire(placement_request(2))))
        await asyncio.sleep(0.1)
        dispatcher = dispatchers.runner("s").dispatcher
        decide, failures = dispatcher.decide, list[float]()

        def fail_once():
            if not failures:
                failures.append(now_s())
                raise KeyError("x")
            return decide()

        monkeypatch.setattr(dispatcher, "decide", fail_once)
        await asyncio.sleep(0.05)
        dispatcher.record_prefill(held[0].turn_id, seconds=0.05)
        outcome, waited_s = await waiting
    assert isinstance(outcome, Turn)
    assert waited_s < 1.0
    assert [line for line in log_lines if line["message"] == "decision failed"]
