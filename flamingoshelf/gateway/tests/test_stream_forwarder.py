"""Streams from separate prefill and decode engines, with failures at every step."""

import asyncio

import pytest

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.gateway import CallerRequest
from flamingoshelf.gateway._backend_response import NotRunError
from flamingoshelf.gateway._stream_state import origin_of
from flamingoshelf.gateway.tests.conftest import (
    SILENT,
    Answer,
    events,
    lost,
    not_run,
    other_instance,
    paused,
    refused,
    server,
)
from flamingoshelf.placement import FailureKind, RunOutcome
from flamingoshelf.refusals import Refusal, RefusalReason
from flamingoshelf.routing import ServerRun
from flamingoshelf.stream_origins import stream_key
from flamingoshelf.utils import now_s

pytestmark = pytest.mark.looptime

FULL = Refusal(
    reason=RefusalReason.QUEUE_FULL, status=503, detail="full", not_run=True, retry_after_s=2.0
)


async def test_prompt_is_processed_at_one_engine_and_streamed_from_another(forward, client, placer):
    client.queue_answers("d1", Answer(body=events(1, 3)))
    refusal, output = await forward()
    assert refusal is None and output.is_complete
    assert output.body == b"".join(events(1, 3))
    assert client.called_servers() == ["p1", "d1"]
    assert client.calls[1].kv_handle is not None
    assert placer.released == [("d1", 3)] and placer.started == ["d1"]
    assert client.freed == []


async def test_unanswered_prefill_is_repeated_elsewhere_within_the_goal(forward, client, placer):
    """An engine processes the prompt, but its answer is lost without a connection reset."""
    client.prefills["p1"] = [SILENT]
    client.queue_answers("d1", Answer(body=events(1, 2)))
    began_s = now_s()
    refusal, output = await forward()
    assert refusal is None and output.is_complete
    assert now_s() - began_s < 0.9
    # Its silence is reported at once, its failure once another engine has taken over.
    assert placer.failed == [("p1", FailureKind.SILENT), ("p1", FailureKind.BROKE_OFF)]


async def test_refusal_of_the_placer_reaches_the_caller(forward, placer, client):
    placer.refusals.append(FULL)
    refusal, _ = await forward()
    assert refusal == FULL and client.calls == []


@pytest.mark.parametrize(
    "error",
    [
        PeerUnreachableError("refused", step="connect"),
        NotRunError("status 503", step="answer"),
        OutcomeUnknownError("reset", step="head"),
    ],
)
async def test_failed_prefill_is_repeated_elsewhere(forward, client, placer, error):
    client.prefills["p1"] = [error]
    client.queue_answers("d1", Answer(body=events(1, 2)))
    refusal, output = await forward(max_attempts=1)
    assert refusal is None and output.is_complete
    assert client.called_servers() == ["p1", "p2", "d1"]


@pytest.mark.parametrize("first", [refused, not_run])
async def test_decode_that_was_not_run_is_repeated_at_another_engine(
    forward, client, placer, first
):
    client.queue_answers("d1", first())
    client.queue_answers("d2", Answer(body=events(1, 2)))
    refusal, output = await forward(max_attempts=1)
    assert refusal is None and output.is_complete
    assert client.called_servers() == ["p1", "d1", "p1", "d2"]
    assert len(client.freed) == 1  # the first handle was not fetched


async def test_replaced_engine_is_reported(forward, client, placer):
    client.queue_answers("d1", other_instance())
    client.queue_answers("d2", Answer(body=events(1, 2)))
    _, output = await forward(max_attempts=1)
    assert output.is_complete
    assert placer.failed == [("d1", FailureKind.REPLACED)]


async def test_handle_is_released_if_no_decode_engine_has_room(forward, client, placer):
    placer.has_room = False
    refusal, _ = await forward()
    assert (refusal.status, refusal.not_run) == (503, True)
    assert len(client.freed) == len([c for c in client.calls if c.is_prefill])


@pytest.mark.parametrize("unlisted", ["p1", "d1"])
async def test_unlisted_engine_wastes_no_prefill(forward, client, placer, unlisted):
    """The dispatcher's node lost the store and still lists engines that no longer exist."""
    prefills, decodes = ["p1", "p2"], ["d1", "d2", "d3"]
    listed = [[name for name in names if name != unlisted] for names in (prefills, decodes)]
    client.queue_answers("d1", Answer(body=events(1, 3)))
    client.queue_answers("d2", Answer(body=events(1, 3)))
    refusal, output = await forward(listed=listed)
    assert refusal is None and output.is_complete
    assert unlisted in placer.requests[1].avoid
    assert placer.requests[0].charge_tokens > 0 and placer.requests[1].charge_tokens == 0
    assert len([call for call in client.calls if call.is_prefill]) == 1


async def test_stream_that_may_not_be_resumed_is_broken_off(forward, client):
    client.queue_answers("d1", Answer(body=events(1, 9), breaks_after=2))
    refusal, output = await forward(may_resume=False)
    assert refusal is None
    assert output.is_aborted and not output.is_complete
    assert output.body == b"".join(events(1, 2))


async def test_request_that_may_have_run_and_gets_no_other_turn_is_not_refused_as_not_run(
    forward, client, placer
):
    """The answer was lost, and the engines are full when the request is repeated."""
    client.queue_answers("d1", lost())
    placer.later_refusals = [FULL]
    refusal, _ = await forward(may_resume=True)
    assert len(placer.requests) == 2
    assert (refusal.status, refusal.not_run, refusal.retry_after_s) == (502, False, None)


async def test_placement_requests_state_how_many_calls_they_repeat(forward, client, placer):
    """A repeated prefill and a repeated decode run cost one retry each."""
    client.prefills["p1"] = [OutcomeUnknownError("reset", step="prefill")]
    client.queue_answers("d1", not_run())
    client.queue_answers("d2", Answer(body=events(1, 9)))
    _, output = await forward()
    assert output.is_complete
    assert [request.repeat_cost for request in placer.requests] == [0, 1, 2]


async def test_run_that_may_have_begun_is_not_repeated(forward, client):
    client.queue_answers("d1", lost())
    refusal, _ = await forward(may_resume=False, max_attempts=5)
    assert client.called_servers() == ["p1", "d1"]
    assert (refusal.status, refusal.not_run) == (502, False)
    assert refusal.reason is RefusalReason.BACKEND_FAILED


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        pytest.param(lost(), RunOutcome.LOST, id="no answer"),
        pytest.param(not_run(), RunOutcome.ENDED, id="not run"),
        pytest.param(refused(), RunOutcome.ENDED, id="not sent"),
        pytest.param(Answer(body=events(1, 9), breaks_after=4), RunOutcome.ENDED, id="broke off"),
    ],
)
async def test_only_a_run_whose_answer_was_lost_is_released_as_lost(
    forward, client, placer, answer, outcome
):
    client.queue_answers("d1", answer)
    await forward(may_resume=False)
    assert placer.outcomes[0] is outcome


async def test_stream_resumes_at_another_engine_without_gap_or_repeat(forward, client, placer):
    client.queue_answers("d1", Answer(body=events(1, 9), breaks_after=4))
    client.queue_answers("d2", Answer(body=events(5, 9)))
    refusal, output = await forward(may_resume=True)
    assert refusal is None and output.is_complete
    assert output.body == b"".join(events(1, 9))
    assert client.calls[-1].resume_after == 4
    assert placer.requests[1].is_resumed
    assert placer.completed == [False, True]


async def test_incomplete_event_is_not_passed_on(forward, client):
    whole, half = events(1, 1)[0], events(2, 2)[0][:7]
    client.queue_answers("d1", Answer(body=[whole + half, b""], breaks_after=1))
    client.queue_answers("d2", Answer(body=events(2, 3)))
    _, output = await forward(may_resume=True)
    assert output.body == b"".join(events(1, 3))


@pytest.mark.parametrize("wrong", [events(6, 9), events(4, 9)], ids=["gap", "repeat"])
async def test_resumed_run_with_a_gap_or_repeat_is_not_joined(forward, client, wrong):
    client.queue_answers("d1", Answer(body=events(1, 9), breaks_after=4))
    client.queue_answers("d2", Answer(body=wrong))
    _, output = await forward(may_resume=True, max_attempts=2)
    assert output.body == b"".join(events(1, 4))
    assert output.is_aborted and not output.is_complete


async def test_stream_that_ends_within_an_event_does_not_look_complete(forward, client):
    client.queue_answers("d1", Answer(body=[*events(1, 2), b"id: 3\ndata"]))
    _, output = await forward(may_resume=False)
    assert output.is_aborted and not output.is_complete


async def test_resuming_caller_gets_the_following_events(forward, client, origins):
    origins.record(stream_key("w", "q0"), origin_of(server("d1")), keep_s=9.0)
    caller = CallerRequest(request_id="q1", prompt_tokens=10, last_event_id=5, resumes="q0")
    client.queue_answers("d1", Answer(body=events(6, 7)))
    _, output = await forward(caller=caller, may_resume=True)
    assert client.calls[0].resume_after == 5
    assert output.body == b"".join(events(6, 7)) and output.is_complete


async def test_stalled_stream_that_may_be_resumed_is_resumed_elsewhere(forward, client):
    client.queue_answers("d1", Answer(body=events(1, 9), pause_s=30))
    client.queue_answers("d2", Answer(body=events(2, 9)))
    started_s = asyncio.get_running_loop().time()
    _, output = await forward(may_resume=True)
    assert output.body == b"".join(events(1, 9)) and output.is_complete
    assert asyncio.get_running_loop().time() - started_s < 2.0


async def test_stalled_stream_that_may_not_be_resumed_is_not_ended(forward, client):
    client.queue_answers("d1", Answer(body=events(1, 3), pause_s=5))
    _, output = await forward(may_resume=False)
    assert output.is_complete


async def test_stream_ends_at_the_routes_timeout(forward, client):
    client.queue_answers("d1", Answer(body=events(1, 9), pause_s=5))
    started_s = asyncio.get_running_loop().time()
    _, output = await forward(may_resume=False, timeout_s=3.0)
    assert output.is_aborted
    assert asyncio.get_running_loop().time() - started_s == pytest.approx(3.0, abs=0.05)


async def test_disconnect_cancels_the_run_and_releases_the_turn(forward, client, placer):
    client.queue_answers("d1", Answer(after_s=60))
    running = asyncio.ensure_future(forward())
    await asyncio.sleep(1)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    assert client.cancelled == ["d1"]
    assert placer.released == [("d1", 0)]


async def test_disconnect_during_the_prefill_releases_the_turn(forward, placer):
    running = asyncio.ensure_future(forward())
    await asyncio.sleep(0.05)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    assert placer.released == [("d1", 0)]


async def test_success_without_signature_is_not_passed_on(forward, client):
    client.queue_answers("d1", Answer(signed=False, body=events(1, 2)))
    refusal, output = await forward(may_resume=False)
    assert refusal.status == 502 and output.head is None


async def test_failure_of_the_engine_itself_is_passed_on(forward, client):
    client.queue_answers("d1", Answer(status=500, body=b"failed"))
    refusal, output = await forward()
    assert refusal is None
    assert (output.head.status, output.body) == (500, b"failed")


async def test_engines_without_a_prefill_pool_process_prompts_themselves(forward, client, placer):
    placer.has_prefill = False
    client.queue_answers("d1", Answer(body=events(1, 2)))
    _, output = await forward()
    assert output.is_complete and client.called_servers() == ["d1"]
    assert client.calls[0].kv_handle is None


async def test_each_turn_has_an_identifier_of_its_own(forward, client, placer):
    client.queue_answers("d1", not_run())
    await forward()
    first, second = (request.turn_id for request in placer.requests)
    assert first != second


async def test_engine_that_never_answers_is_left_in_time_to_resume_elsewhere(
    forward, client, placer
):
    """Not even the head of the answer comes."""
    client.queue_answers("d1", Answer(after_s=60.0))
    client.queue_answers("d2", Answer(body=events(1, 3)))
    started_s = asyncio.get_running_loop().time()
    _, output = await forward(may_resume=True)
    assert output.is_complete
    assert asyncio.get_running_loop().time() - started_s < 3.6  # then the caller leaves
    assert placer.outcomes[0] is RunOutcome.LOST
    assert ("d1", FailureKind.SILENT) in placer.failed


async def test_bytes_now_and_then_that_make_no_event_are_no_progress(forward, client):
    first, rest = events(1, 1), [b"data: %d\n" % number for number in range(100)]
    client.queue_answers("d1", Answer(body=[*first, *rest], pause_s=0.5))
    client.queue_answers("d2", Answer(body=events(2, 3)))
    started_s = asyncio.get_running_loop().time()
    _, output = await forward(may_resume=True)
    assert output.body == b"".join(events(1, 3)) and output.is_complete
    assert asyncio.get_running_loop().time() - started_s < 3.6


async def test_slow_but_sound_stream_is_not_cut(forward, client):
    """Its events come at longer intervals than streams of other engines may pause."""
    client.queue_answers("d1", Answer(body=events(1, 20), pause_s=0.9))
    _, output = await forward(may_resume=True, timeout_s=30.0, event_gap_goal_s=0.3)
    assert output.is_complete and len(client.called_servers()) == 2


async def test_event_without_end_is_not_collected(forward, client):
    client.queue_answers("d1", Answer(body=[b"x" * 65_536] * 10_000))
    client.queue_answers("d2", Answer(body=events(1, 3)))
    _, output = await forward(may_resume=True)
    assert output.body == b"".join(events(1, 3)) and output.is_complete


async def test_clean_end_without_an_event_is_no_success(forward, client):
    client.queue_answers("d1", Answer(body=[]))
    refusal, output = await forward(may_resume=False)
    assert (refusal.status, refusal.not_run) == (502, False) and output.head is None


async def test_engine_that_asks_for_a_pause_is_avoided_and_not_blamed(
    forward, client, placer, notices, directory, list_engines
):
    list_engines(["p1", "p2"], ["d1", "d2", "d3"])
    notices.record_pause(directory.get("d1"), 30.0)
    client.queue_answers("d2", paused(5.0))
    client.queue_answers("d3", Answer(body=events(1, 3)))
    _, output = await forward()
    assert output.is_complete
    assert "d1" in placer.requests[0].avoid and "d2" in placer.requests[1].avoid
    assert placer.failed == [] and placer.rejected == []


async def test_pause_of_all_engines_of_a_role_is_told_at_once(
    forward, client, placer, notices, directory, list_engines
):
    list_engines(["p1", "p2"], ["d1", "d2", "d3"])
    for name, seconds in (("p1", 4.0), ("p2", 2.5)):
        notices.record_pause(directory.get(name), seconds)
    refusal, _ = await forward()
    assert (refusal.status, refusal.not_run, refusal.retry_after_s) == (503, True, 2.5)
    assert client.calls == [] and placer.requests == []


async def test_granted_engine_that_leaves_is_not_used(
    forward, client, placer, notices, directory, list_engines
):
    """This node knows that the engine leaves; the coordinator has not heard of it yet."""
    list_engines(["p1", "p2"], ["d1", "d2", "d3"])
    notices.record_leaving(ServerRun(instance_id="d1", started_ms=0), source="server")
    client.queue_answers("d2", Answer(body=events(1, 3)))
    _, output = await forward()
    assert output.is_complete and "d1" not in client.called_servers()


# An answer without a length ends with its connection, also when its engine breaks off.
async def test_stream_that_ends_inside_an_event_is_resumed(forward, client, crash_detector):
    client.queue_answers("d1", Answer(body=[*events(1, 2), b"id: 3\nda"]))
    client.queue_answers("d2", Answer(body=events(3, 4)))
    refusal, output = await forward(may_resume=True)
    assert refusal is None and output.is_complete
    assert output.body == b"".join(events(1, 4))
    assert crash_detector.lost == ["d1"]
