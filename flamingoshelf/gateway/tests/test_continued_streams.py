"""What may follow the events of a run that broke off."""

import pytest

from flamingoshelf.gateway.tests.conftest import Answer, events

pytestmark = pytest.mark.looptime

ERROR = b'{"error": "overloaded"}'
HEAD = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\n"
NO_CONTINUATION = [
    pytest.param(Answer(status=500, body=ERROR), id="error"),
    pytest.param(Answer(status=404, body=[ERROR[:5], ERROR[5:]]), id="error in pieces"),
    pytest.param(
        Answer(body=[ERROR + b"\n\n"], content_type="application/json"), id="error as success"
    ),
    pytest.param(Answer(body=[b""], content_type="application/json"), id="empty success"),
    pytest.param(Answer(body=[HEAD, b"no\n\n"]), id="head of an answer"),
    pytest.param(Answer(body=[b"event: error\ndata: x\n\n"]), id="event without an id"),
    pytest.param(Answer(body=[*events(5, 6), b"event: error\ndata: x\n\n"]), id="error after some"),
    pytest.param(Answer(body=[*events(5, 6), b"id: 7\nda"]), id="end within an event"),
    pytest.param(Answer(body=events(4, 9)), id="repeated event"),
    pytest.param(Answer(body=events(6, 9)), id="missing event"),
]


# Callers found the error of the next engine in the middle of their stream.
@pytest.mark.parametrize("answer", NO_CONTINUATION)
async def test_only_the_next_events_follow_a_run_that_broke_off(forward, client, answer):
    client.queue_answers("d1", Answer(body=events(1, 9), breaks_after=4))
    client.queue_answers("d2", answer)
    client.queue_answers("d3", Answer(body=events(5, 9)), Answer(body=events(7, 9)))
    _, output = await forward(may_resume=True, max_attempts=2)
    complete = b"".join(events(1, 9))
    assert output.is_aborted and not output.is_complete
    assert complete.startswith(output.body)


@pytest.mark.parametrize("answer", NO_CONTINUATION[:8])
async def test_stream_goes_on_after_an_engine_that_answers_with_an_error(forward, client, answer):
    client.queue_answers("d1", Answer(body=events(1, 9), breaks_after=4))
    client.queue_answers("d2", answer)
    last = 6 if b"id: 6" in b"".join(answer.body if isinstance(answer.body, list) else []) else 4
    client.queue_answers("d3", Answer(body=events(last + 1, 9)))
    _, output = await forward(may_resume=True, max_attempts=3)
    assert output.is_complete and output.body == b"".join(events(1, 9))


async def test_run_that_ends_after_the_last_event_completes_the_stream(forward, client):
    client.queue_answers("d1", Answer(body=events(1, 9), breaks_after=9))
    client.queue_answers("d2", Answer(body=[]))
    _, output = await forward(may_resume=True)
    assert output.is_complete and output.body == b"".join(events(1, 9))


# A stream without ids was begun anew in the middle, and its events came twice.
async def test_stream_without_ids_is_not_continued(forward, client):
    client.queue_answers("d1", Answer(body=[b"data: a\n\n"] * 9, breaks_after=4))
    client.queue_answers("d2", Answer(body=[b"data: a\n\n"] * 9))
    _, output = await forward(may_resume=True)
    assert output.is_aborted and output.body == b"data: a\n\n" * 4
    assert "d2" not in client.called_servers()
