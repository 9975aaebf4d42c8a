"""Streams whose content is quarantined while they wait, are processed or run."""

import asyncio

import pytest

from flamingoshelf.gateway.tests.conftest import SILENT, Answer, events, lost, not_run
from flamingoshelf.utils import now_s

pytestmark = pytest.mark.looptime


@pytest.fixture
def forward_until_refused(forward, crash_detector):
    """Forward a request, and quarantine its content after a time."""

    async def run(seconds, **fields):
        asyncio.get_running_loop().call_later(seconds, crash_detector.refuse)
        return await forward(**fields)

    return run


async def test_prompt_that_is_being_processed_reaches_no_decode_engine(
    forward_until_refused, client, placer
):
    client.prefills["p1"] = [SILENT]
    refusal, _ = await forward_until_refused(0.05)
    assert (refusal.status, refusal.not_run, now_s()) == (503, True, 0.05)
    assert client.called_servers() == ["p1"] and len(placer.released) == 1


# A crashing request that an engine had not begun yet was left there, and crashed it.
async def test_run_that_has_not_begun_is_cancelled(forward_until_refused, client, placer):
    client.queue_answers("d1", Answer(after_s=5.0))
    refusal, _ = await forward_until_refused(0.5, may_resume=True)
    assert (refusal.status, refusal.not_run, now_s()) == (502, False, 0.5)
    assert client.cancelled == ["d1"] and client.called_servers() == ["p1", "d1"]
    assert len(placer.released) == 1


async def test_request_that_waits_for_another_turn_is_refused_at_once(
    forward_until_refused, client, placer
):
    client.queue_answers("d1", not_run())
    placer.later_wait_s = 5.0
    refusal, _ = await forward_until_refused(0.5)
    assert (refusal.status, refusal.retry_after_s, now_s()) == (503, 600.0, 0.5)
    assert client.called_servers() == ["p1", "d1"]


async def test_lost_run_is_not_repeated(forward_until_refused, client, placer):
    client.queue_answers("d1", lost(after_s=0.2))
    placer.later_wait_s = 0.3
    refusal, _ = await forward_until_refused(0.4, may_resume=True)
    assert refusal.status == 502 and client.called_servers() == ["p1", "d1"]


async def test_answer_that_has_begun_goes_on(forward_until_refused, client):
    client.queue_answers("d1", Answer(body=events(1, 20), pause_s=0.1))
    refusal, output = await forward_until_refused(1.0)
    assert refusal is None and output.is_complete
    assert output.body == b"".join(events(1, 20))


async def test_stream_that_broke_off_after_its_first_event_is_not_resumed(
    forward_until_refused, client, placer
):
    client.queue_answers("d1", Answer(body=events(1, 5), breaks_after=1))
    placer.later_wait_s = 1.0
    refusal, output = await forward_until_refused(0.5, may_resume=True)
    assert refusal is None and output.is_aborted
    assert client.called_servers() == ["p1", "d1"]


async def test_refused_content_is_not_sent(forward, client, crash_detector):
    crash_detector.refuse()
    refusal, _ = await forward()
    assert refusal.status == 503 and client.calls == []
