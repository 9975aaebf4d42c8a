"""One connection of a caller."""

import asyncio
import socket
import sys
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TYPE_CHECKING, cast

import h11
from loguru import logger

from flamingoshelf.http1._connection_log import CloseReason, log_discarded_bytes, log_loss
from flamingoshelf.http1._exchange import Exchange, plain_head
from flamingoshelf.http1._framing import (
    is_bodiless,
    refusal_status,
    request_head,
    response_event,
)
from flamingoshelf.http1._heads import ResponseHead
from flamingoshelf.http1._limit_timer import LimitTimer
from flamingoshelf.http1._linger import Linger, has_unread_bytes, unsent_bytes
from flamingoshelf.http1._reading import MAX_EVENTS_PER_TURN, BoundedReader, check_incomplete
from flamingoshelf.utils import Pacer, now_s

if TYPE_CHECKING:
    from flamingoshelf.http1._server import ConnectionLimits

__all__ = ["ServerConnection"]

_TCP_USER_TIMEOUT_MS = 5000  # ends the connection if a caller acknowledges no data for so long
_CALLER_CLOSE_TIMEOUT_S = 1.0  # for the caller to close its side, once it has the last response
# Of a refused body at least so much is read, and as much as a body may have: a caller that is cut
# off while it sends may never read its refusal.
_MIN_DISCARDED_BYTES = 256 * 1024
_FIRST_REQUEST_WAIT_S = 0.5  # a caller that connects sends its request at once
_MAX_PIPELINED_BYTES = 64 * 1024  # behind a request that is being answered


class ServerConnection(BoundedReader):
    """Connection of a caller; reads requests and has them answered one at a time.

    If the caller closes its side of the connection, its request is cancelled.

    Parameters
    ----------
    handle : callable
        ``await handle(exchange)`` answers a request.
    limits : callable
        Returns the limits in force.
    on_lost : callable
        ``on_lost(connection)`` is called when the connection has ended.
    pacer : Pacer
        Shares the event loop among all connections whose bytes take long to parse.
    """

    def __init__(
        self,
        *,
        handle: Callable[[Exchange], Awaitable[None]],
        limits: "Callable[[], ConnectionLimits]",
        on_lost: "Callable[[ServerConnection], None]",
        pacer: Pacer,
    ) -> None:
        self._pacer = pacer
        self._handle = handle
        self._limits = limits
        self._on_lost = on_lost
        # The limit in force is checked here, as h11 takes one for the life of a connection.
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._task: asyncio.Task[None] | None = None
        self._is_parse_queued = False  # whether received bytes wait for a turn to be parsed
        self._timer = LimitTimer()
        self._announced_idle_s = 0.0  # what the caller was told last
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._is_draining = False
        self._closes_when_idle = False
        self._closes_after_response = False
        self._has_announced_close = False
        self._omits_body = False
        self._is_lingering = False
        self._linger: Linger | None = None
        self._close_reason: CloseReason | None = None
        self._last_request_id: str | None = None
        self._connected_s = 0.0
        self._has_carried = False  # whether the head of any request was read
        self._discarded_bytes = 0
        self._ignores_input = False  # once a refused body has grown too large
        self._unread_bytes = 0  # discarded because the connection is closing

    @property
    def is_busy(self) -> bool:
        """Whether a request is being answered."""
        return self._exchange is not None

    @property
    def is_unfinished(self) -> bool:
        """Whether a request has begun or will soon, or a response is not wholly sent."""
        return (
            self.is_busy
            or self._has_begun
            or self._has_arrived
            or self._first_request_wait_s > 0
            or self._unsent_bytes > 0
        )

    def close_after_response(self) -> None:
        """Announce the close in the next response that no request which was read follows."""
        self._is_draining = True

    def close_if_idle(self) -> None:
        """Close the connection when no request has begun, or is on its way as the first one."""
        self._closes_when_idle = True
        if self.is_busy or self._has_begun or self._has_arrived:
            return
        wait_s = self._first_request_wait_s
        if wait_s > 0:
            self._timer.start(lambda: wait_s, self.close_if_idle)
        else:
            self._close(CloseReason.DRAIN)

    def abort(self, reason: CloseReason | None = None) -> None:
        """Abort the connection; log what is lost if it is for a reason of this process."""
        if self._transport is None:
            return
        if reason is not None and not self._transport.is_closing():
            log_loss(self._exchange, self._last_request_id, reason, self._unsent_bytes)
        self._transport.abort()

    async def drain(self) -> None:
        """Wait until the write buffer has drained."""
        await self._can_write.wait()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options and start the idle timeout."""
        self._transport = cast(asyncio.Transport, transport)
        self._connected_s = now_s()
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)
        self._timer.start(self._idle_limit_s, self._on_idle_timeout)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or discard them if the connection is closing."""
        if self._is_lingering:
            self._unread_bytes += len(data)
            self._discard(len(data))
            if self._linger is not None and self._parser.their_state is not h11.SEND_BODY:
                self._linger.end_soon()
            return
        if self._parser.their_state is h11.MUST_CLOSE:  # the last request was read
            self._unread_bytes += len(data)
            return
        if not self.is_busy and not self._has_begun:
            self._timer.start(self._header_limit_s, self._on_header_timeout)
        self._parser.receive_data(data)
        self._parse()

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the running request and report the end of the connection."""
        self._timer.cancel()
        if self._linger is not None:
            self._linger.cancel()
        self._can_write.set()
        if self._task is not None:
            self._task.cancel()
        if self._unread_bytes:
            log_discarded_bytes(
                self._last_request_id,
                self._close_reason,
                size=self._unread_bytes,
                is_body=self._parser.their_state is h11.SEND_BODY,
            )
        self._on_lost(self)

    def pause_writing(self) -> None:
        """Make writers wait."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Let waiting writers continue, and the next request begin."""
        self._can_write.set()
        if not self.is_busy:
            self._parse()

    def send_head(self, head: ResponseHead) -> None:
        """Write the status line and the headers."""
        assert self._exchange is not None
        request, must_close = self._exchange.head, self._must_close
        keep_alive_s = None if must_close else self._limits().idle_timeout_s
        event = response_event(request, head, keep_alive_s=keep_alive_s)
        self._has_announced_close = must_close
        self._announced_idle_s = keep_alive_s or 0.0
        self._omits_body = is_bodiless(request, head.status)
        self._write(event)

    def send_data(self, data: bytes) -> None:
        """Write a part of the body, if the response has one."""
        if not self._omits_body:
            self._write(h11.Data(data=data))

    def send_end(self) -> None:
        """Write the end of the body and wait for the next request."""
        self._write(h11.EndOfMessage())
        if self._exchange is not None:
            self._last_request_id = self._exchange.request_id
        self._exchange = None
        self._discarded_bytes = 0
        if self._has_announced_close or self._parser.our_state is h11.MUST_CLOSE:
            self._close(CloseReason.LAST_RESPONSE)
        elif self._parser.their_state is h11.DONE:
            self._begin_next_request()
        else:  # the rest of a refused body is still to be read
            close = partial(self._close, CloseReason.REFUSED_BODY)
            self._timer.start(self._header_limit_s, close)

    def send_continue(self) -> None:
        """Send ``100 Continue`` to a caller that waits for it."""
        if self._parser.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))

    @property
    def _has_begun(self) -> bool:
        """Whether bytes of another request have been read that can still be answered."""
        return (
            not self._is_lingering
            and self._parser.their_state in (h11.IDLE, h11.DONE)
            and bool(self._parser.trailing_data[0])
        )

    @property
    def _first_request_wait_s(self) -> float:
        """Seconds for which the first request of a new connection is still waited for."""
        if self._has_carried or self._is_lingering:
            return 0.0
        return max(0.0, self._connected_s + _FIRST_REQUEST_WAIT_S - now_s())

    @property
    def _has_arrived(self) -> bool:
        """Whether bytes, or the end of the stream, have arrived and were not read yet."""
        return not self._is_lingering and has_unread_bytes(self._transport)

    @property
    def _unsent_bytes(self) -> int:
        if self._linger is not None:
            return self._linger.unsent_bytes
        return 0 if self._transport is None else unsent_bytes(self._transport)

    @property
    def _must_close(self) -> bool:
        return (
            self._closes_after_response
            or self._parser.their_state in (h11.MUST_CLOSE, h11.ERROR)
            or (self._is_draining and not self._has_begun)
            # The caller may send no body now, and its next request would be read as the body.
            or self._parser.they_are_waiting_for_100_continue
        )

    @property
    def _may_parse(self) -> bool:
        """Whether input may be taken now; answers must not pile up for a caller that reads none."""
        state = self._parser.their_state
        if self._is_lingering or state in (h11.DONE, h11.MUST_CLOSE):
            return False
        return state is not h11.IDLE or self._can_write.is_set()

    def _parse(self) -> None:
        """Parse received bytes; what takes longer than a turn goes on later."""
        if self._is_parse_queued:
            return
        try:
            has_more = self._take_events()
        except h11.RemoteProtocolError as error:
            has_more = False
            self._reject_input(error)
        if has_more:
            self._is_parse_queued = True
            self._pacer.schedule(self._parse_queued)
        self._update_reading()

    def _parse_queued(self) -> None:
        self._is_parse_queued = False
        if self._transport is not None and not self._transport.is_closing():
            self._parse()

    def _take_events(self) -> bool:
        """Take a number of events from the parser; return whether there may be more."""
        for _ in range(MAX_EVENTS_PER_TURN):
            if not self._may_parse:
                return False
            event = self._parser.next_event()
            match event:
                case h11.Request():
                    self._begin_request(event)
                case h11.Data():
                    self._on_body_data(bytes(event.data))
                case h11.EndOfMessage():
                    self._on_message_end()
                case h11.NEED_DATA:
                    check_incomplete(self._parser, max_bytes=self._limits().max_header_bytes)
                    return False
                case _:  # PAUSED or ConnectionClosed
                    return False
        return self._may_parse

    def _update_reading(self) -> None:
        """Read only what can be parsed soon, and the end of the connection."""
        transport = cast(asyncio.Transport, self._transport)
        is_full = len(self._parser.trailing_data[0]) > _MAX_PIPELINED_BYTES
        if self._is_parse_queued or self._ignores_input or (is_full and not self._may_parse):
            transport.pause_reading()
        else:
            transport.resume_reading()

    def _begin_request(self, event: h11.Request) -> None:
        self._timer.cancel()
        self._has_carried = True
        head = request_head(event)
        self._exchange = Exchange(head=head, output=self, arrived_s=now_s())
        status = refusal_status(event, head, max_header_bytes=self._limits().max_header_bytes)
        if status is not None:
            self._refuse_request(status)
            return
        self._task = asyncio.create_task(self._answer(self._exchange), name="exchange")

    def _refuse_request(self, status: int) -> None:
        """Answer a request without calling the handler, and close the connection."""
        assert self._exchange is not None
        self._closes_after_response = True
        self._exchange.respond(plain_head(status))

    async def _answer(self, exchange: Exchange) -> None:
        task = asyncio.current_task()
        log = logger.bind(step="answer")
        try:
            await self._handle(exchange)
        except asyncio.CancelledError:
            if task is None or task.cancelling():
                return  # the connection has ended
            log.bind(request_id=exchange.request_id).error("what the request awaited was cancelled")
        except Exception:
            log.bind(request_id=exchange.request_id).exception("request handler failed")
        finally:
            if self._task is task:  # otherwise the next request is being answered
                self._task = None
        if exchange.is_started and not exchange.is_ended:
            exchange.abort()
        elif not exchange.is_ended:
            exchange.respond(plain_head(500))

    def _on_body_data(self, data: bytes) -> None:
        if self._exchange is not None:
            self._exchange.feed(data)
        else:
            self._discard(len(data))

    def _on_message_end(self) -> None:
        if self._exchange is not None:
            self._exchange.feed_end()
        else:
            self._begin_next_request()

    def _begin_next_request(self) -> None:
        self._parser.start_next_cycle()
        if self._closes_when_idle and not self._has_begun:
            self._close(CloseReason.DRAIN)
            return
        if self._has_begun:
            self._timer.start(self._header_limit_s, self._on_header_timeout)
        else:
            self._timer.start(self._idle_limit_s, self._on_idle_timeout)
        asyncio.get_running_loop().call_soon(self._parse)

    def _reject_input(self, error: h11.RemoteProtocolError) -> None:
        """Answer malformed input with an error status, and close the connection."""
        if self._exchange is not None:  # malformed body: the abort cancels its request
            self.abort(CloseReason.MALFORMED)
            return
        self._closes_after_response = True
        if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._write_error(431 if error.error_status_hint == 431 else 400)
        self._close(CloseReason.MALFORMED)

    def _header_limit_s(self) -> float:
        return self._limits().header_timeout_s

    def _idle_limit_s(self) -> float:
        """Return the longest idle time, which is not less than the caller was told."""
        return max(self._announced_idle_s, self._limits().idle_timeout_s)

    def _on_idle_timeout(self) -> None:
        if self._has_arrived:  # read first; the event loop has looked for data before that
            self._timer.start(lambda: 0.0, self._on_idle_timeout)
        else:
            self._close(CloseReason.IDLE)

    def _on_header_timeout(self) -> None:
        """Close a connection whose request did not arrive in time."""
        if not self._can_write.is_set():  # the request may be complete; it waits for the answers
            self._timer.start(self._header_limit_s, self._on_header_timeout)
            return
        if self._parser.our_state is h11.IDLE:
            self._write_error(408)
        self._close(CloseReason.SLOW_HEAD)

    def _write_error(self, status: int) -> None:
        headers = [("Content-Length", "0"), ("Connection", "close")]
        self._write(h11.Response(status_code=status, headers=headers))
        self._write(h11.EndOfMessage())

    def _close(self, reason: CloseReason) -> None:
        """Close the write side; read on until the caller closes too, so it gets the response."""
        if self._is_lingering or self._transport is None:
            return
        self._is_lingering = True
        self._close_reason = reason
        if self._transport.is_closing():
            return
        self._timer.cancel()
        is_sending = self._parser.their_state is h11.SEND_BODY
        self._linger = Linger(
            transport=self._transport,
            timeout_s=self._limits().header_timeout_s if is_sending else _CALLER_CLOSE_TIMEOUT_S,
            end=lambda: self.abort(reason),
        )
        self._linger.start()
        if self._unread_bytes:
            self._linger.end_soon()

    def _discard(self, size: int) -> None:
        self._discarded_bytes += size
        if self._discarded_bytes > max(_MIN_DISCARDED_BYTES, self._limits().max_body_bytes):
            self._close(CloseReason.REFUSED_BODY)
            self._ignores_input = True
            if self._transport is not None:
                self._transport.pause_reading()

    def _write(self, event: h11.Event) -> None:
        data = self._parser.send(event)
        if data and self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
