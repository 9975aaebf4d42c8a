"""Streams and engines of several software versions."""

import attrs
import pytest

from flamingoshelf.gateway import CallerRequest
from flamingoshelf.gateway.tests.conftest import Answer, events, server
from flamingoshelf.refusals import RefusalReason
from flamingoshelf.routing import EngineRole
from flamingoshelf.stream_origins import StreamOrigin, stream_key

pytestmark = pytest.mark.looptime

V1, V2 = (StreamOrigin(service="s", version=version) for version in ("v1", "v2"))
TAKE_UP = CallerRequest(request_id="q2", prompt_tokens=10, last_event_id=5, resumes="q1")


@pytest.fixture
def list_engines(list_servers):
    """List engines; their versions follow their names, as in ``d1`` and ``d2 v2``."""

    def fill(prefills, decodes):
        engines = [
            attrs.evolve(server(name.split()[0], role), software_version=(*name.split(), "v1")[1])
            for names, role in ((prefills, EngineRole.PREFILL), (decodes, EngineRole.DECODE))
            for name in names
        ]
        list_servers(*engines)

    return fill


# A stream that broke off went on at an engine of another version.
async def test_broken_stream_goes_on_at_its_version(forward, client, placer):
    client.queue_answers("d1", Answer(body=events(1, 9), breaks_after=4))
    client.queue_answers("d3", Answer(body=events(5, 9)))
    _, output = await forward(listed=(["p1", "p2"], ["d1", "d2 v2", "d3"]), may_resume=True)
    assert output.is_complete and output.body == b"".join(events(1, 9))
    assert "d2" not in client.called_servers()
    assert "d2" in placer.requests[1].exclude


async def test_stream_is_broken_off_if_no_engine_of_its_version_is_left(forward, client):
    client.queue_answers("d1", Answer(body=events(1, 9), breaks_after=4))
    _, output = await forward(listed=(["p1", "p2"], ["d2 v2", "d3 v2", "d1"]), may_resume=True)
    assert output.is_aborted and output.body == b"".join(events(1, 4))
    assert client.called_servers() == ["p1", "d1"]


async def test_version_is_free_until_the_first_event(forward, client):
    client.queue_answers("d1", Answer(body=[], breaks_after=0))
    client.queue_answers("d2", Answer(body=events(1, 3)))
    _, output = await forward(listed=(["p1", "p2"], ["d1", "d2 v2"]), may_resume=True)
    assert output.is_complete and output.body == b"".join(events(1, 3))


async def test_first_event_records_what_began_the_stream(forward, client, origins):
    client.queue_answers("d1", Answer(body=events(1, 3)))
    caller = CallerRequest(request_id="q1", prompt_tokens=10, wait_s=9.0)
    await forward(listed=(["p1"], ["d1 v2"]), caller=caller, may_resume=True)
    assert origins.recorded == [(stream_key("w", "q1"), V2, pytest.approx(11.0))]


async def test_stream_that_can_not_be_taken_up_is_not_recorded(forward, client, origins):
    client.queue_answers("d1", Answer(body=events(1, 3)))
    await forward(listed=(["p1"], ["d1"]))
    assert origins.recorded == []


# A take-up went on at any version.
@pytest.mark.parametrize(("origin", "engine"), [(V1, "d1"), (V2, "d2")])
async def test_take_up_goes_on_at_the_version_of_its_stream(
    forward, client, origins, origin, engine
):
    origins.record(stream_key("w", "q1"), origin, keep_s=9.0)
    client.queue_answers(engine, Answer(body=events(6, 7)))
    listed = (["p1"], ["d1", "d2 v2"])
    _, output = await forward(listed=listed, caller=TAKE_UP, may_resume=True)
    assert output.is_complete and output.body == b"".join(events(6, 7))
    assert client.called_servers() == ["p1", engine]
    # A caller that names the take-up instead of the first attempt gets the same version.
    assert origins.known[stream_key("w", "q2")] == origin


@pytest.mark.parametrize(
    ("fields", "known", "reason"),
    [
        ({}, {}, RefusalReason.ORIGIN_UNKNOWN),
        ({"resumes": None}, {"q1": V1}, RefusalReason.ORIGIN_UNKNOWN),
        ({"last_event_id": None}, {}, RefusalReason.ORIGIN_UNKNOWN),
        ({}, {"q1": StreamOrigin(service="s", version="v0")}, RefusalReason.VERSION_GONE),
        ({}, {"q1": StreamOrigin(service="other", version="v1")}, RefusalReason.VERSION_GONE),
    ],
)
async def test_take_up_that_would_be_joined_is_refused_at_once(
    forward, client, origins, fields, known, reason
):
    for request_id, origin in known.items():
        origins.record(stream_key("w", request_id), origin, keep_s=9.0)
    caller = attrs.evolve(TAKE_UP, **fields)
    refusal, _ = await forward(caller=caller, may_resume=True)
    assert (refusal.reason, refusal.status, refusal.not_run) == (reason, 503, True)
    assert refusal.retry_after_s > 0
    assert client.calls == []


async def test_id_of_another_workspace_names_no_stream(forward, client, origins):
    origins.record(stream_key("other", "q1"), V1, keep_s=9.0)
    refusal, _ = await forward(caller=TAKE_UP, may_resume=True)
    assert refusal.reason is RefusalReason.ORIGIN_UNKNOWN


# A coordinator of an earlier version, or one that knows another start of an engine, may grant any.
async def test_turn_at_another_version_is_not_used(forward, client, placer, origins):
    origins.record(stream_key("w", "q1"), V2, keep_s=9.0)
    placer.ignores_exclude = True
    client.queue_answers("d2", Answer(body=events(6, 7)))
    listed = (["p1"], ["d1", "d2 v2"])
    _, output = await forward(listed=listed, caller=TAKE_UP, may_resume=True)
    assert client.called_servers() == ["p1", "d2"]
    assert output.is_complete


async def test_prompt_that_is_confirmed_at_another_version_is_not_run_there(
    forward, client, placer, origins
):
    origins.record(stream_key("w", "q1"), V2, keep_s=9.0)
    placer.confirmed = ["d1"]
    client.queue_answers("d2", Answer(body=events(6, 7)))
    listed = (["p1"], ["d1", "d2 v2"])
    _, output = await forward(listed=listed, caller=TAKE_UP, may_resume=True)
    assert client.called_servers() == ["p1", "p1", "d2"]
    assert output.is_complete
