"""Splits ``text/event-stream`` bodies into events."""

import attrs

__all__ = ["EventSplitter", "StreamEvent"]

# An event carries a few tokens of text; a longer one means that the body is no event stream.
_MAX_EVENT_BYTES = 256 * 1024


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

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> [event.event_id for event in splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")]
    [1]
    >>> [event.data for event in splitter.feed(b"ta: b\\n\\n")]
    [b'id: 2\\ndata: b\\n\\n']
    """

    def __init__(self) -> None:
        self._partial_event = b""

    @property
    def partial_event(self) -> bytes:
        """Bytes of the event that is not complete yet."""
        return self._partial_event

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add `data`, and return the events that it completes.

        Raises
        ------
        ValueError
            An event exceeds the maximum size.
        """
        buffer = self._partial_event + data
        events = []
        start = 0
        while (end := _find_event_end(buffer, start)) > 0:
            events.append(_parse_event(buffer[start:end]))
            start = end
        self._partial_event = buffer[start:]
        if len(self._partial_event) > _MAX_EVENT_BYTES:
            raise ValueError(f"an event has more than {_MAX_EVENT_BYTES} bytes")
        return events


def _find_event_end(buffer: bytes, start: int) -> int:
    """Return the position after the next blank line, or -1 if there is none."""
    ends = []
    for blank in (b"\n\n", b"\r\n\r\n"):
        position = buffer.find(blank, start)
        if position >= 0:
            ends.append(position + len(blank))
    return min(ends, default=-1)


def _parse_event(data: bytes) -> StreamEvent:
    event_id: int | None = None
    for line in data.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            event_id = int(value)
    return StreamEvent(data=data, event_id=event_id)
