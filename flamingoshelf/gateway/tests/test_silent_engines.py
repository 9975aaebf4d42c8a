"""Engines that send nothing for a time, with their connections open, and then go on."""

import asyncio
from contextlib import asynccontextmanager

import attrs
import pytest

from flamingoshelf.gateway import Admission
from flamingoshelf.gateway._answer_limit import AnswerLimit
from flamingoshelf.gateway._shutdown import ShutdownPlan
from flamingoshelf.gateway.tests.conftest import (
    CALLER,
    SILENT,
    Answer,
    events,
    lost,
    not_run,
    refused,
    route,
)
from flamingoshelf.http1 import Headers, RequestHead
from flamingoshelf.placement import FailureKind, RunOutcome
from flamingoshelf.refusals import Refusal, RefusalReason
from flamingoshelf.routing import CallKind
from flamingoshelf.utils import now_s

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


# Guards against: a run is ended before the one that resumes it is accepted.
async def test_silent_run_is_ended_only_once_another_has_taken_over(forward, client, placer):
    client.queue_answers("d1", Answer(body=events(1, 9), silences={2: 60.0}))
    client.queue_answers("d2", Answer(body=events(3, 9), after_s=0.1))
    _, output = await forward(may_resume=True)
    assert output.is_complete and output.body == b"".join(events(1, 9))
    (_, _, ended_s), (_, resumed_s, _) = client.spans
    assert ended_s == pytest.approx(resumed_s + 0.1)
    assert ("d1", FailureKind.BROKE_OFF) in placer.failed
    assert placer.outcomes == [RunOutcome.ENDED, RunOutcome.COMPLETE]


# Guards against: two engines work on a request for longer than the platform allows.
async def test_silent_run_is_ended_soon_if_the_head_of_its_successor_is_late(forward, client):
    client.queue_answers("d1", Answer(body=events(1, 9), silences={2: 60.0}))
    client.queue_answers("d2", Answer(body=events(3, 9), after_s=1.0))
    _, output = await forward(may_resume=True)
    assert output.is_complete and output.body == b"".join(events(1, 9))
    (_, _, ended_s), (_, resumed_s, _) = client.spans
    assert ended_s - resumed_s < 0.4


# Guards against: the stream is resumed elsewhere although its own run goes on meanwhile.
@pytest.mark.parametrize("wait_s", [0.0, 0.3, 60.0], ids=["in its prefill", "while", "for a turn"])
async def test_run_that_goes_on_while_another_is_prepared_is_kept(forward, client, placer, wait_s):
    placer.later_wait_s = wait_s
    client.queue_answers("d1", Answer(body=events(1, 9), silences={2: 1.25 + wait_s % 60}))
    _, output = await forward(may_resume=True)
    assert output.is_complete and output.body == b"".join(events(1, 9))
    assert [key for key, _, _ in client.spans] == ["d1"]
    assert len(placer.released) == len(placer.requests) - (wait_s == 60.0)
    assert placer.completed.count(True) == 1


# Guards against: events of a run that went on are sent twice, or are mixed with its successor's.
async def test_run_that_goes_on_before_its_successor_is_accepted_is_kept(forward, client, placer):
    client.queue_answers("d1", Answer(body=events(1, 9), silences={2: 1.4}))
    client.queue_answers("d2", Answer(body=events(3, 9), after_s=0.2))
    _, output = await forward(may_resume=True)
    assert output.is_complete and output.body == b"".join(events(1, 9))
    assert [key for key, _, _ in client.spans] == ["d2", "d1"]
    assert placer.completed == [False, True]


# Guards against: a stream is aborted since the engine that should resume it turns it away.
@pytest.mark.parametrize("answer", [not_run(), refused(), lost()], ids=["full", "gone", "lost"])
async def test_silent_run_goes_on_if_its_successor_fails(forward, client, answer):
    client.queue_answers("d1", Answer(body=events(1, 9), silences={2: 2.0}))
    client.queue_answers("d2", answer)
    client.queue_answers("d3", not_run())
    _, output = await forward(may_resume=True, max_attempts=2)
    assert output.is_complete and output.body == b"".join(events(1, 9))


# Guards against: a stream whose silent run breaks off is not resumed by the turn that is ready.
async def test_silent_run_that_breaks_off_is_resumed_by_its_successor(forward, client, placer):
    client.queue_answers("d1", Answer(body=events(1, 9), silences={2: 1.5}, breaks_after=2))
    client.queue_answers("d2", Answer(body=events(3, 9)))
    placer.later_wait_s = 0.5
    _, output = await forward(may_resume=True)
    assert output.is_complete and output.body == b"".join(events(1, 9))
    assert len(placer.requests) == 2


# Guards against: a run that was silent once is not replaced when its engine is lost later.
async def test_run_that_falls_silent_again_is_replaced(forward, client):
    client.queue_answers("d1", Answer(body=events(1, 9), silences={2: 1.25, 5: 60.0}))
    client.queue_answers("d2", Answer(body=events(6, 9)))
    _, output = await forward(may_resume=True)
    assert output.is_complete and output.body == b"".join(events(1, 9))


# Guards against: engines work on after the caller of a silent stream has left.
async def test_caller_that_leaves_ends_the_silent_run_and_its_successor(forward, client, placer):
    client.queue_answers("d1", Answer(body=events(1, 9), silences={2: 60.0}))
    client.queue_answers("d2", Answer(body=events(3, 9), after_s=60.0))
    running = asyncio.ensure_future(forward(may_resume=True))
    await asyncio.sleep(1.55)
    assert client.spans == []
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    assert sorted(key for key, _, _ in client.spans) == ["d1", "d2"]
    assert len(placer.released) == len(placer.requests) == 2


# Guards against: a stream that nothing can continue ends before its callers' deadline.
async def test_silent_run_that_nothing_replaces_is_ended_at_the_deadline(forward, client, placer):
    placer.later_refusals = [FULL] * 100
    client.queue_answers("d1", Answer(body=events(1, 9), silences={2: 60.0}))
    began_s = asyncio.get_running_loop().time()
    _, output = await forward(may_resume=True, timeout_s=5.0)
    assert output.is_aborted
    assert asyncio.get_running_loop().time() - began_s == pytest.approx(5.0, abs=0.01)
    assert len(placer.requests) < 15


# Guards against: a slow caller is taken for a silent engine.
async def test_caller_that_reads_slowly_does_not_make_its_engine_silent(
    forwarder, client, placer, new_request, new_exchange, list_engines
):
    list_engines(["p1"], ["d1", "d2"])
    client.queue_answers("d1", Answer(body=events(1, 9)))
    request = new_request(CallKind.STREAM, timeout_s=14.0, may_resume=True, caller=CALLER)
    exchange, output = new_exchange(request)

    async def drain_slowly():
        await asyncio.sleep(1.3)

    output.drain = drain_slowly
    await forwarder.forward(exchange, request)
    assert output.is_complete and len(placer.requests) == 1 and placer.failed == []


# Guards against: the handle or the turn of a prefill that another one has overtaken is kept.
async def test_prefill_that_is_overtaken_releases_its_turn(forward, client, placer):
    client.prefills["p1"] = [5.0]
    client.queue_answers("d1", Answer(body=events(1, 9)))
    _, output = await forward()
    assert output.is_complete
    assert [call.instance.key for call in client.calls] == ["p1", "p2", "d1"]
    assert sorted(placer.completed) == [False, True]
    assert [engine for engine, _ in placer.slow_prefills] == ["p1"]


# Guards against: a prompt is processed twice although the first engine answers in time.
async def test_prefill_that_answers_before_its_successor_is_used(forward, client, placer):
    client.prefills["p1"] = [0.6]
    client.prefills["p2"] = [0.3]
    client.queue_answers("d1", Answer(body=events(1, 9)))
    _, output = await forward()
    assert output.is_complete and len(client.spans) == 1
    assert placer.slow_prefills == [] and sorted(placer.completed) == [False, True]


# Guards against: a dead prefill engine holds its callers until they leave.
async def test_prefill_that_is_never_answered_is_given_up(forward, client, placer):
    placer.later_refusals = [FULL] * 100
    client.prefills["p1"] = [SILENT]
    began_s = asyncio.get_running_loop().time()
    refusal, _ = await forward()
    assert (refusal.status, refusal.not_run) == (503, True)
    assert asyncio.get_running_loop().time() - began_s < 3.6  # then the caller leaves


# Guards against: a request that waits when its node ends is cut off without an answer.
@pytest.mark.parametrize(("silence", "status"), [("prefill", 503), ("run", 502)])
async def test_request_that_a_stopping_node_can_not_serve_is_refused(
    forwarder, client, placer, new_exchange, list_engines, configuration, silence, status
):
    list_engines(["p1"], ["d1"])
    placer.later_refusals = [FULL] * 100
    if silence == "prefill":
        client.prefills["p1"] = [SILENT]
    client.queue_answers("d1", Answer(after_s=60.0))
    head = RequestHead(method="POST", target="/r/1", headers=Headers([("Host", "h")]))
    stops_s = now_s() + 1.0
    plan = ShutdownPlan(grace_s=1.0)
    admission = new_admission(configuration, OpenWire(), plan)
    request = admission.admit(head, arrived_s=now_s()).unwrap()
    request = attrs.evolve(
        request, route=route(CallKind.STREAM, timeout_s=14.0, latency_goal_s=0.9, may_resume=True)
    )
    exchange, _ = new_exchange(request)
    refusal = await forwarder.forward(exchange, request)
    assert now_s() < stops_s
    assert (refusal.status, refusal.not_run) == (status, status == 503)


def new_admission(configuration, wire, plan):
    limit = AnswerLimit()
    limit.set(plan.answer_by_s)
    return Admission(configuration=configuration, wire=wire, answer_limit=limit)


class OpenWire:
    """Decodes a request of a caller with a key."""

    def decode_request(self, head):
        return attrs.evolve(CALLER, key="key")


# Guards against: a run is ended for one at an engine that is silent, too, and turns it away later.
@pytest.mark.parametrize("may_turn_away", [False, True])
async def test_silent_run_is_not_replaced_by_one_at_a_silent_engine(
    forward, client, placer, silent_until_s, may_turn_away
):
    placer.later_refusals = [] if may_turn_away else [FULL] * 100
    client.queue_answers("d1", Answer(body=events(1, 9), silences={2: 2.4}))
    client.queue_answers("d2", not_run(after_s=1.0))
    client.queue_answers("d3", not_run(after_s=1.0))
    silent_until_s.update({"d2": 60.0, "d3": 60.0})
    _, output = await forward(may_resume=True)
    assert output.is_complete and output.body == b"".join(events(1, 9))
    assert [key for key, _, _ in client.spans] == ["d1"]


async def test_silent_run_is_replaced_at_an_engine_that_answers(forward, client, silent_until_s):
    client.queue_answers("d1", Answer(body=events(1, 9), silences={2: 60.0}))
    client.queue_answers("d3", Answer(body=events(3, 9)))
    silent_until_s["d2"] = 60.0
    _, output = await forward(may_resume=True)
    assert output.is_complete and output.body == b"".join(events(1, 9))
    assert "d2" not in client.called_servers()


# Guards against: the engine that takes over falls silent in that moment, and both runs are lost.
async def test_run_whose_engine_falls_silent_as_it_is_sent_is_ended_in_place_of_the_first(
    forward, client, silent_until_s
):
    client.queue_answers("d1", Answer(body=events(1, 9), silences={2: 2.4}))
    client.queue_answers("d2", not_run(after_s=1.0))
    send = client._send

    @asynccontextmanager
    async def fall_silent(call):
        if call.instance.key == "d2":
            silent_until_s["d2"] = 60.0
        async with send(call) as response:
            yield response

    client._send = fall_silent
    _, output = await forward(may_resume=True)
    assert output.is_complete and output.body == b"".join(events(1, 9))
    (_, _, ended_s), (key, resumed_s, second_ended_s) = sorted(client.spans, key=lambda s: s[1])
    assert key == "d2" and second_ended_s - resumed_s < 0.4 < ended_s - resumed_s
