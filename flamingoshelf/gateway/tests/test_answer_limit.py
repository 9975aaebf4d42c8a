"""Requests of a node that stops, with the clock paused: each is answered before the node ends."""

import asyncio
import math

import attrs
import pytest

from flamingoshelf.gateway._answer_limit import AnswerLimit, AnswerLimitError
from flamingoshelf.gateway._durations import _MAX_ROUTES, CallDurations, StreamDurations
from flamingoshelf.gateway.tests.conftest import CALLER, SILENT, Answer, events, server
from flamingoshelf.gateway.tests.test_plain_faults import make_forwarder
from flamingoshelf.refusals import RefusalReason
from flamingoshelf.routing import CallKind
from flamingoshelf.utils import now_s

pytestmark = pytest.mark.looptime

WORK_S = 0.3
STREAM_EVENTS = 10


async def test_limit_ends_blocks_that_run_already():
    limit = AnswerLimit()
    began_s = now_s()
    asyncio.get_running_loop().call_later(1.0, limit.set, began_s + 3.0)
    with pytest.raises(AnswerLimitError):
        async with limit.enforce():
            await asyncio.sleep(60.0)
    assert now_s() - began_s == pytest.approx(3.0)
    with pytest.raises(AnswerLimitError):
        async with limit.enforce():
            await asyncio.sleep(60.0)


async def test_limit_that_is_not_reached_changes_nothing():
    limit = AnswerLimit()
    assert limit.left_s == math.inf
    async with limit.enforce():
        await asyncio.sleep(1.0)
    limit.set(now_s() + 1.0)
    async with limit.enforce():
        await asyncio.sleep(0.5)
    with pytest.raises(TimeoutError):
        async with limit.enforce():
            raise TimeoutError


@pytest.fixture
def limit():
    return AnswerLimit()


@pytest.fixture
def call(client, targets, crash_detector, metrics, limit, new_request, new_exchange, list_servers):
    """Return a function that sends a plain call, to a server that answers after some seconds.

    With `is_sent` false, the server doesn't accept a connection meanwhile.
    """
    forwarder = make_forwarder(client, targets, crash_detector, metrics)
    list_servers(server("x"))

    async def run(seconds, *, is_sent=True, **answer):
        client.answers["x"] = [Answer(after_s=seconds, **answer)]
        client.is_connecting = not is_sent
        request = attrs.evolve(
            new_request(CallKind.NON_IDEMPOTENT, timeout_s=20.0, max_attempts=1),
            answer_limit=limit,
        )
        exchange, output = new_exchange(request)
        return await forwarder.forward(exchange, request), output

    return run


# A request that ran when its node was told to stop was cut at the end of the grace period.
@pytest.mark.parametrize("begins_s", [0.5, -0.5], ids=["before the stop", "after it"])
async def test_call_that_does_not_end_in_time_is_answered(call, limit, begins_s):
    stop = asyncio.get_running_loop().call_later
    stop(max(0.0, begins_s), limit.set, now_s() + 2.0)
    await asyncio.sleep(max(0.0, -begins_s))
    refusal, output = await call(60.0)
    assert now_s() == pytest.approx(limit.at_s, abs=0.01)
    assert (refusal.status, refusal.not_run) == (504, False) and output.head is None


async def test_call_that_was_not_sent_in_time_has_not_run(call, limit):
    asyncio.get_running_loop().call_later(0.5, limit.set, now_s() + 2.0)
    refusal, _ = await call(60.0, is_sent=False)
    assert (refusal.status, refusal.not_run) == (503, True)


# A request whose answer would come too late was passed on all the same, and could not be repeated.
@pytest.mark.parametrize(("left_s", "is_sent"), [(WORK_S + 0.1, True), (WORK_S - 0.1, False)])
async def test_call_that_would_end_too_late_is_refused_at_once(
    call, client, limit, left_s, is_sent
):
    for _ in range(3):
        assert (await call(WORK_S))[0] is None
    sent = len(client.calls)
    limit.set(now_s() + left_s)
    began_s = now_s()
    refusal, output = await call(WORK_S)
    assert (len(client.calls) > sent) is is_sent
    if is_sent:
        assert refusal is None and output.is_complete
    else:
        assert now_s() == began_s and refusal.not_run
        assert refusal.reason is RefusalReason.SHUTTING_DOWN and refusal.retry_after_s is not None


async def test_call_whose_duration_is_not_known_is_sent(call, client, limit):
    limit.set(now_s() + 0.5)
    assert (await call(WORK_S))[0] is None and client.calls


async def test_overdue_calls_at_two_servers_end_at_the_limit(
    client, targets, crash_detector, metrics, limit, new_request, new_exchange, list_servers
):
    list_servers(server("x"), server("y"))
    forwarder = make_forwarder(client, targets, crash_detector, metrics)
    client.answers = {name: [Answer(after_s=60.0)] for name in "xy"}
    request = attrs.evolve(
        new_request(CallKind.IDEMPOTENT, timeout_s=20.0, max_attempts=2), answer_limit=limit
    )
    exchange, _ = new_exchange(request)
    asyncio.get_running_loop().call_later(0.5, limit.set, now_s() + 2.0)
    refusal = await forwarder.forward(exchange, request)
    assert refusal.status == 504 and set(client.cancelled) == {"x", "y"}


@pytest.fixture
def stream(forwarder, limit, new_request, new_exchange, list_engines):
    list_engines(["p1"], ["d1"])

    async def run(**fields):
        values = {"timeout_s": 14.0, "latency_goal_s": 0.9, "caller": CALLER}
        request = attrs.evolve(
            new_request(CallKind.STREAM, **{**values, **fields}), answer_limit=limit
        )
        exchange, output = new_exchange(request)
        return await forwarder.forward(exchange, request), output

    return run


@pytest.mark.parametrize(("silence", "status"), [("prefill", 503), ("run", 502)])
async def test_stream_that_does_not_begin_in_time_is_answered(
    stream, client, limit, silence, status
):
    if silence == "prefill":
        client.prefills["p1"] = [SILENT] * 4
    client.queue_answers("d1", Answer(after_s=60.0))
    asyncio.get_running_loop().call_later(0.5, limit.set, now_s() + 1.2)
    refusal, output = await stream()
    assert now_s() == pytest.approx(limit.at_s, abs=0.01)
    assert (refusal.status, refusal.not_run) == (status, status == 503) and output.head is None


async def test_stream_that_has_begun_does_not_look_complete_at_the_limit(stream, client, limit):
    client.queue_answers("d1", Answer(body=events(1, 9), pause_s=0.2))
    asyncio.get_running_loop().call_later(0.5, limit.set, now_s() + 1.0)
    refusal, output = await stream()
    assert refusal is None and output.is_aborted and not output.is_complete


@pytest.mark.parametrize(("left_s", "is_sent"), [(1.6, True), (0.9, False)])
async def test_stream_that_would_end_too_late_is_refused_at_once(
    stream, client, limit, left_s, is_sent
):
    async def run():
        client.queue_answers("d1", Answer(body=events(1, STREAM_EVENTS), pause_s=0.1))
        return await stream()

    for _ in range(3):  # each takes 0.1 s until its first event, and 0.9 s from then on
        assert (await run())[1].is_complete
    calls = len(client.calls)
    limit.set(now_s() + left_s)
    refusal, output = await run()
    assert (len(client.calls) > calls) is is_sent
    assert (refusal is None and output.is_complete) if is_sent else refusal.not_run


def test_most_calls_end_in_the_expected_time():
    durations = CallDurations()
    for number in range(1, 101):
        durations.record("r", number / 100)
    assert 0.96 <= durations.expected_s("r") < 1.0  # of the last 64, between 0.37 s and 1 s
    assert durations.expected_s("other") == 0.0


def test_durations_of_few_routes_are_kept():
    durations = CallDurations()
    for number in range(_MAX_ROUTES + 1):
        durations.record(f"r{number}", 1.0)
        durations.record("always", 1.0)
    assert durations.expected_s("r0") == 0.0
    assert durations.expected_s("always") == durations.expected_s(f"r{_MAX_ROUTES}") == 1.0


def test_expected_time_of_a_stream_grows_with_its_size():
    durations = StreamDurations()
    durations.record("r", first_event_s=0.5, seconds=1.0, tokens=100)
    assert durations.expected_s("r", tokens=100) == pytest.approx(1.5)
    assert durations.expected_s("r", tokens=400) == pytest.approx(4.5)
