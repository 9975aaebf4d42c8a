"""Turns that the dispatcher releases while their owner stands still or its messages are late."""

import asyncio

import pytest

from flamingoshelf.placement import RunOutcome, Turn
from flamingoshelf.placement._messages import (
    ConfirmDecode,
    EndedRun,
    HeldTurns,
    OwnerReport,
    TurnUpdates,
)
from flamingoshelf.placement.tests.simulation import PROFILE, add_reference_measurements
from flamingoshelf.placement.tests.test_bounded_waits import fleet, timed
from flamingoshelf.placement.tests.test_fleet import placement_request
from flamingoshelf.refusals import Refusal
from flamingoshelf.utils import now_s

pytestmark = pytest.mark.looptime


def fill_engine(dispatcher):
    """Let the decode engine report that runs of others fill its memory."""
    dispatcher.engines.decode_tracker("d0").record_report(2 * PROFILE.kv_tokens, now_s())


async def report_late(link, *turn_ids):
    """Deliver a report that the node built before it stood still."""
    report = OwnerReport(held=(HeldTurns(service="s", turn_ids=turn_ids),))
    await link._handlers[OwnerReport]("n", report)


async def test_run_of_a_node_that_stood_still_is_counted_again():
    """Guards against a stream that ends, or memory given twice, after its node stood still."""
    async with fleet("c") as (placer, link, _, dispatchers):
        dispatcher = dispatchers.runner("s").dispatcher
        add_reference_measurements(dispatcher.model)
        turn = await placer.acquire(placement_request(1, expected_tokens=10))
        assert isinstance(turn, Turn)
        placer.record_start(turn)
        await asyncio.sleep(0.3)
        link.is_partitioned = True  # no report for a while; the run takes longer than expected
        await asyncio.sleep(1.5)
        dispatcher.decide()
        assert not dispatcher.has_turn(turn.turn_id)
        assert turn.turn_id in placer._held  # the node goes on with its run
        link.is_partitioned = False
        await asyncio.sleep(0.6)
        assert dispatcher.has_turn(turn.turn_id)
        assert turn.turn_id in dispatcher.engines.decode_tracker("d0")
        placer.release(turn, events=30, seconds=1.9, outcome=RunOutcome.COMPLETE)
        await asyncio.sleep(0.1)
        assert dispatcher.active_turn_count == 0


async def test_turn_missing_in_a_late_report_is_counted_again():
    """Guards against a turn lost for good, as a report of before its grant arrives late."""
    async with fleet("c") as (placer, link, _, dispatchers):
        dispatcher = dispatchers.runner("s").dispatcher
        turn = await placer.acquire(placement_request(1))
        await asyncio.sleep(0.6)
        await report_late(link)
        assert not dispatcher.has_turn(turn.turn_id)
        await asyncio.sleep(0.6)
        assert dispatcher.has_turn(turn.turn_id)
        assert turn.turn_id in dispatcher.engines.decode_tracker("d0")


async def test_processed_prompt_of_a_released_turn_uses_the_expected_engine():
    """Guards against a prompt that is thrown away, as its turn was released meanwhile."""
    async with fleet("c") as (placer, link, coordination, dispatchers):
        turn = await placer.acquire(placement_request(1))
        await asyncio.sleep(0.6)
        await report_late(link)
        assert not dispatchers.runner("s").dispatcher.has_turn(turn.turn_id)
        decode_id, waited_s = await timed(placer.confirm(turn))
        assert decode_id == turn.decode_id
        assert waited_s < 0.1
        assert coordination.failures == []


async def test_turn_released_while_its_prompt_waits_for_room_uses_the_expected_engine():
    """Guards against a wait until the handle expires, for which a sound coordinator is blamed."""
    async with fleet("c") as (placer, link, coordination, dispatchers):
        dispatcher = dispatchers.runner("s").dispatcher
        turn = await placer.acquire(placement_request(1))
        await asyncio.sleep(0.6)
        fill_engine(dispatcher)
        waiting = asyncio.ensure_future(timed(placer.confirm(turn)))
        await asyncio.sleep(0.05)
        assert not waiting.done()
        await report_late(link)
        decode_id, waited_s = await waiting
        assert decode_id == turn.decode_id
        assert waited_s < 0.1
        assert coordination.failures == []


async def test_confirm_of_a_withdrawn_turn_ends_at_the_dispatcher():
    """Guards against handlers that never end and use up those of the connection."""
    async with fleet("c") as (placer, _, _, dispatchers):
        dispatcher = dispatchers.runner("s").dispatcher
        turn = await placer.acquire(placement_request(1))
        fill_engine(dispatcher)
        message = ConfirmDecode(service="s", turn_id=turn.turn_id)
        waiting = asyncio.ensure_future(dispatchers.confirm(message))
        await asyncio.sleep(0.05)
        placer.release(turn, events=0, seconds=0.0, outcome=RunOutcome.ENDED)
        reply = await asyncio.wait_for(waiting, 1.0)
        assert not reply.is_known


async def test_second_request_with_the_same_identifier_leaves_none_without_an_outcome():
    """Guards against a caller that waits without end, as another used its request's identifier."""
    async with fleet("c") as (placer, _, _, dispatchers):
        held = [await placer.acquire(placement_request(number)) for number in range(2)]
        assert all(isinstance(turn, Turn) for turn in held)
        request = placement_request(2)
        first = asyncio.ensure_future(dispatchers.acquire(request, "n"))
        await asyncio.sleep(0.1)
        second = asyncio.ensure_future(dispatchers.acquire(request, "m"))
        refusal = await asyncio.wait_for(first, 5.0)
        assert isinstance(refusal, Refusal) and refusal.not_run
        assert not second.done()
        placer.record_prefill(held[0], seconds=0.05)
        assert isinstance(await asyncio.wait_for(second, 5.0), Turn)


async def test_late_withdrawal_of_a_request_leaves_its_successor_an_outcome():
    """Guards against a caller without an answer: its first try with that identifier was dropped."""
    async with fleet("c") as (placer, link, _, dispatchers):
        held = [await placer.acquire(placement_request(number)) for number in range(2)]
        assert all(isinstance(turn, Turn) for turn in held)
        waiting = asyncio.ensure_future(timed(placer.acquire(placement_request(2))))
        await asyncio.sleep(0.1)
        link.notify("c", TurnUpdates(service="s", ended=(EndedRun(turn_id="q#2"),)))
        outcome, waited_s = await waiting
        assert isinstance(outcome, Refusal) and outcome.not_run
        assert waited_s < 1.0


async def test_turn_that_is_asked_for_again_is_counted_once():
    """Guards against memory that is never free again, as a lost reply had granted it before."""
    async with fleet("c") as (placer, _, _, dispatchers):
        dispatcher = dispatchers.runner("s").dispatcher
        add_reference_measurements(dispatcher.model)
        first = await dispatchers.acquire(placement_request(1), "n")
        assert isinstance(first, Turn) and first.prefill_id is not None
        request = placement_request(1, avoid=(first.prefill_id,))
        again = await dispatchers.acquire(request, "n")
        assert isinstance(again, Turn)
        assert first.prefill_id != again.prefill_id
        placer.release(again, events=0, seconds=0.0, outcome=RunOutcome.ENDED)
        await asyncio.sleep(0.1)
        for name in ("p0", "p1"):
            assert dispatcher.engines.prefill_tracker(name).wait_s(now_s()) == 0.0
