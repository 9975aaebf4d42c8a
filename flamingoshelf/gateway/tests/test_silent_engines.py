"""Engines that send nothing for a time, with their connections open, and then go on."""

import pytest

from flamingoshelf.gateway.tests.conftest import Answer, events
from flamingoshelf.refusals import Refusal, RefusalReason

pytestmark = pytest.mark.looptime

FULL = Refusal(
    reason=RefusalReason.QUEUE_FULL, status=503, detail="full", not_run=True, retry_after_s=0.4
)


# Guards against: a stream is aborted since its engine was silent and no other has room.
async def test_silent_run_goes_on_if_no_other_engine_has_room(forward, client, placer):
    placer.later_refusals = [FULL] * 100
    client.queue_answers("d1", Answer(body=events(1, 9), silences={2: 1.3}))
    refusal, output = await forward(may_resume=True)
    assert refusal is None and output.is_complete and not output.is_aborted
    assert output.body == b"".join(events(1, 9))


# Guards against: a stream is aborted since its engine was silent and no attempt is left.
async def test_silent_run_goes_on_if_no_attempt_is_left(forward, client):
    client.queue_answers("d1", Answer(body=events(1, 9), silences={2: 1.5}))
    _, output = await forward(may_resume=True, max_attempts=1)
    assert output.is_complete and output.body == b"".join(events(1, 9))


# Guards against: 502 for a stream whose engine was silent before its first event.
async def test_run_that_is_silent_before_its_first_event_goes_on(forward, client, placer):
    placer.later_refusals = [FULL] * 100
    client.queue_answers("d1", Answer(body=events(1, 9), after_s=1.5))
    refusal, output = await forward(may_resume=True)
    assert refusal is None and output.is_complete
    assert output.body == b"".join(events(1, 9))


# Guards against: a refusal while the prefill engine is only silent and no other has room.
async def test_silent_prefill_goes_on_if_no_other_engine_has_room(forward, client, placer):
    placer.later_refusals = [FULL] * 100
    client.prefills["p1"] = [1.0]
    client.queue_answers("d1", Answer(body=events(1, 9)))
    refusal, output = await forward()
    assert refusal is None and output.is_complete
