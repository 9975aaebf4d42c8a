"""Splits ``text/event-stream`` bodies into events."""

import re

import attrs

__all__ = ["EventSplitter", "StreamEvent"]

# An event carries a few tokens of text; a longer one means that the body is no event stream.
_MAX_EVENT_BYTES = 256 * 1024
_EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
_MAX_END_BYTES = 4


@attrs.frozen(kw_only=True)
class StreamEvent:
    """One event of a ``text/event-stream`` body.

    Parameters
    ----------
    data : bytes
        Bytes of the event including the blank line that ends it.
    event_id : int or None
        Its ``id`` field if that is a number, else None.
    """

    data: bytes
    event_id: int | None


class EventSplitter:
    """Splits a body into complete events; an incomplete event is never returned.

    Events are taken one at a time, as few bytes may hold thousands of them.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    >>> splitter.next_event().event_id
    1
    >>> splitter.next_event()
    >>> splitter.feed(b"ta: b\\n\\n")
    >>> splitter.next_event().data
    b'id: 2\\ndata: b\\n\\n'
    """

    def __init__(self) -> None:
        self._buffer = b""
        self._start = 0  # of the next event
        self._searched = 0  # position up to which no event ends

    @property
    def partial_event(self) -> bytes:
        """Bytes that were not returned in an event yet."""
        return self._buffer[self._start :]

    def feed(self, data: bytes) -> None:
        """Add bytes of the body."""
        self._buffer = self._buffer[self._start :] + data
        self._searched -= self._start
        self._start = 0

    def next_event(self) -> StreamEvent | None:
        """Return the next complete event, or None until there are more bytes.

        Raises
        ------
        ValueError
            An event exceeds the maximum size.
        """
        found = _EVENT_END.search(self._buffer, self._searched)
        if found is not None:
            data = self._buffer[self._start : found.end()]
            self._start = self._searched = found.end()
            return _parse_event(data)
        self._searched = max(self._start, len(self._buffer) - _MAX_END_BYTES + 1)
        if len(self._buffer) - self._start > _MAX_EVENT_BYTES:
            raise ValueError(f"an event has more than {_MAX_EVENT_BYTES} bytes")
        return None


def _parse_event(data: bytes) -> StreamEvent:
    event_id: int | None = None
    for line in data.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            event_id = int(value)
    return StreamEvent(data=data, event_id=event_id)
