"""End of a caller's connection: all that was written is sent before it is closed."""

import asyncio
import fcntl
import select
import struct
import termios
from asyncio.trsock import TransportSocket
from collections.abc import Callable
from socket import socket

from flamingoshelf.utils import now_s

__all__ = ["Linger", "has_input", "has_unread_bytes", "unsent_bytes"]

_STALL_TIMEOUT_S = 5.0  # longest time in which a caller acknowledges nothing
# After the last byte of a request that crossed the close: its caller must learn soon that it gets
# no answer, also if it doesn't look for the end of the stream before it has sent its request.
_CROSSING_TIMEOUT_S = 0.1
_CHECK_INTERVAL_S = 0.1  # while something is unsent
_FIN_BYTES = 1  # the end of the stream takes one sequence number


def has_unread_bytes(transport: asyncio.Transport | None) -> bool:
    """Return whether the socket has something to read, which may also be the end of the stream."""
    raw = None if transport is None else transport.get_extra_info("socket")
    if transport is None or raw is None or raw.fileno() < 0 or not transport.is_reading():
        return False
    return has_input(raw)


def has_input(raw: TransportSocket | socket) -> bool:
    """Return whether a socket has something to read or to accept, or has failed."""
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def unsent_bytes(transport: asyncio.Transport, *, is_closed: bool = False) -> int:
    """Return how many written bytes the peer has not acknowledged.

    `is_closed` tells that the write side was closed.
    """
    queued = transport.get_write_buffer_size()
    raw = transport.get_extra_info("socket")
    if raw is None or raw.fileno() < 0:
        return queued
    try:
        in_kernel = struct.unpack("i", fcntl.ioctl(raw.fileno(), termios.TIOCOUTQ, bytes(4)))[0]
    except OSError:  # the socket has failed; the transport's buffer is all that is known
        in_kernel = 0
    return queued + max(0, int(in_kernel) - _FIN_BYTES * is_closed)


class Linger:
    """Closes the write side, and ends the connection when the caller has everything.

    A caller may read as slowly as it likes, but not stand still.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of the connection.
    timeout_s : float
        Time for the caller to close its side, once it has everything.
    end : callable
        Ends the connection.
    """

    def __init__(
        self, *, transport: asyncio.Transport, timeout_s: float, end: Callable[[], None]
    ) -> None:
        self._transport = transport
        self._timeout_s = timeout_s
        self._end = end
        self._unsent_bytes = 0
        self._progress_s = now_s()
        self._crossed_s: float | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the caller has not acknowledged."""
        return unsent_bytes(self._transport, is_closed=True)

    def start(self) -> None:
        """Close the write side and wait for the caller."""
        try:
            self._transport.write_eof()
        except OSError:  # the caller has reset the connection, and the event loop has yet to see it
            self._end()
            return
        self._unsent_bytes = self.unsent_bytes
        self._wait(_CHECK_INTERVAL_S if self._unsent_bytes else self._timeout_s)

    def end_soon(self) -> None:
        """End the connection after the last byte of a request that can't be answered."""
        if self._crossed_s is None:
            self._crossed_s = now_s()
        left_s = (
            self._crossed_s + self._timeout_s - now_s()
        )  # bytes that trickle in don't extend it
        if not self._unsent_bytes:
            self._wait(max(0.0, min(_CROSSING_TIMEOUT_S, left_s)))

    def cancel(self) -> None:
        """Stop waiting; the connection has ended."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        unsent = self.unsent_bytes
        if unsent < self._unsent_bytes:
            self._progress_s = now_s()
        was_unsent, self._unsent_bytes = self._unsent_bytes, unsent
        if unsent and now_s() - self._progress_s < _STALL_TIMEOUT_S:
            self._wait(_CHECK_INTERVAL_S)
        elif was_unsent and not unsent:
            self._wait(self._timeout_s if self._crossed_s is None else _CROSSING_TIMEOUT_S)
        else:
            self._end()

    def _wait(self, delay_s: float) -> None:
        self.cancel()
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._check)
