"""Streams whose parts hold thousands of events don't hold up other requests."""

import asyncio
from collections import Counter

import pytest

from flamingoshelf.gateway._events import EventSplitter
from flamingoshelf.gateway._stream_relay import _MAX_EVENTS_PER_TURN
from flamingoshelf.gateway.tests.conftest import Answer, FakeOutput, events

EVENTS = 50 * _MAX_EVENTS_PER_TURN
EMPTY_EVENT = b"\n\n"
PART_BYTES = 256 * 1024


class Turns:
    """Counts the turns of the event loop, and what happens in each."""

    def __init__(self):
        self.number = 0
        self.sent: Counter[int] = Counter()

    async def count(self):
        while True:
            await asyncio.sleep(0)
            self.number += 1


@pytest.fixture
async def turns():
    turns = Turns()
    counting = asyncio.ensure_future(turns.count())
    yield turns
    counting.cancel()


# A part of 256 KiB with empty events kept a node from answering anybody for half a minute.
@pytest.mark.parametrize("body", [[EMPTY_EVENT * EVENTS], [b"".join(events(1, EVENTS))]])
async def test_events_of_one_part_are_passed_on_in_several_turns(
    forward, client, turns, monkeypatch, body
):
    def send_data(output, data):
        turns.sent[turns.number] += 1
        output.body += data

    monkeypatch.setattr(FakeOutput, "send_data", send_data)
    client.queue_answers("d1", Answer(body=list(body)))
    refusal, output = await forward(may_resume=False)
    assert refusal is None and output.is_complete and output.body == b"".join(body)
    assert sum(turns.sent.values()) == EVENTS
    assert max(turns.sent.values()) <= _MAX_EVENTS_PER_TURN


# The time to find the end of an event grew with the size of all that had arrived behind it.
@pytest.mark.timeout(20)
@pytest.mark.parametrize("event", [EMPTY_EVENT, b"\r\n\r\n", b"id: 1\n\n"])
def test_event_is_found_without_a_search_of_what_follows_it(event):
    splitter = EventSplitter()
    count = PART_BYTES // len(event)
    splitter.feed(event * count)
    for _ in range(count):
        found = splitter.next_event()
        assert found is not None and found.data == event
    assert splitter.next_event() is None and splitter.partial_event == b""


@pytest.mark.parametrize("size", [1, 2, 3, 7])
def test_events_are_found_however_their_bytes_arrive(size):
    body = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n\ndata: c\n\nda"
    splitter, found = EventSplitter(), []
    for begin in range(0, len(body), size):
        splitter.feed(body[begin : begin + size])
        while (event := splitter.next_event()) is not None:
            found.append((event.event_id, event.data))
    assert found == [
        (1, b"id: 1\ndata: a\n\n"),
        (2, b"id: 2\r\ndata: b\r\n\r\n"),
        (None, b"\n\n"),
        (None, b"data: c\n\n"),
    ]
    assert splitter.partial_event == b"da"


def test_event_without_end_is_given_up():
    splitter = EventSplitter()
    for _ in range(16):
        splitter.feed(b"x" * 16 * 1024)
        assert splitter.next_event() is None
    splitter.feed(b"x")
    with pytest.raises(ValueError, match="an event has more than"):
        splitter.next_event()
