"""Bounds of the work that received bytes cause in one turn of the event loop."""

import asyncio

import h11

__all__ = ["MAX_EVENTS_PER_TURN", "BoundedReader", "append_part", "check_incomplete"]

MAX_EVENTS_PER_TURN = 32  # of the parser, each of which takes some 10 us
_READ_BYTES = 16 * 1024  # of one connection in one turn
_MAX_HEADER_LINES = 1000  # common servers accept 100; each takes a few us
_JOINED_PART_BYTES = 4 * 1024  # smaller parts of a body are joined

# Shared by all connections: what is read is copied before another connection reads.
_read_buffer = memoryview(bytearray(_READ_BYTES))


class BoundedReader(asyncio.BufferedProtocol):
    """Protocol that gets a limited number of bytes in one turn of the event loop."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read to."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass the read bytes on."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError


def check_incomplete(parser: h11.Connection, *, max_bytes: int) -> None:
    """Raise `h11.RemoteProtocolError` if what the parser can't complete yet is too large.

    That is a head, the head of a chunk, or the trailers. `h11` parses each of them as a whole.
    """
    data, _ = parser.trailing_data
    if len(data) > max_bytes or data.count(b"\n") > _MAX_HEADER_LINES:
        raise h11.RemoteProtocolError("head too large", error_status_hint=431)


def append_part(parts: "list[bytes]", data: bytes) -> None:
    """Add a part of a body, joined to the one before if that is small."""
    if parts and len(parts[-1]) < _JOINED_PART_BYTES:
        parts[-1] += data
    else:
        parts.append(data)
