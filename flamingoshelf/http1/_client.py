"""Connections to backend servers."""

import asyncio
import socket
from typing import cast

import h11
from loguru import logger

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.http1._buffer_budget import BufferBudget
from flamingoshelf.http1._heads import Headers, RequestHead, ResponseHead, keep_alive_s
from flamingoshelf.http1._linger import has_unread_bytes, unsent_bytes
from flamingoshelf.http1._reading import (
    MAX_EVENTS_PER_TURN,
    BoundedReader,
    append_part,
    check_incomplete,
)
from flamingoshelf.utils import Pacer, now_s

__all__ = ["BackendConnection"]

_MAX_HEAD_BYTES = 64 * 1024  # twice the largest limit that is common among servers
_MAX_FRAMING_BYTES = 8 * 1024  # the head of a chunk or the trailers, which nobody reads
_MAX_STATUS = 599  # codes above have no meaning in HTTP
_MAX_INFORMATIONAL = 16  # servers send one or two
_MAX_BUFFERED_BYTES = 256 * 1024  # reading pauses above it if the server outpaces the caller
_MAX_SKIPPED_BYTES = 1024 * 1024  # of a late response; one of the usual size has some KB
_JOINED_BODY_BYTES = 64 * 1024  # a larger body is not copied to be written with the head
_WRITTEN_PART_BYTES = 64 * 1024  # of a larger body, which is written as fast as the server reads
_MAX_CARRIED_IDS = 1000  # per connection, which is closed then; some 100 KB
# Keepalive probes detect a peer that vanished without a reset within about two seconds.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1  # the shortest that the operating system offers
_KEEPALIVE_MAX_PROBES = 2  # a single lost packet must not end the connection
_TCP_USER_TIMEOUT_MS = 2500  # about the time that all probes take together


class BackendConnection(BoundedReader):
    """Connection to a backend server that carries one request at a time.

    A connection is reusable only after its response is complete and its request is written
    completely, and if no byte beyond the response has arrived. It carries no request id twice: a
    server may send a response once more, late, and only the id tells which request it answers.

    Bytes behind a response may begin the next one, if the response is a late one. They are not read
    until `skip_response` asks for them; `accept_response` closes the connection instead.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server.
    pacer : Pacer, optional
        Shares the event loop among all connections whose bytes take long to parse.
    budget : BufferBudget, optional
        Bounds what all connections together have read ahead of their callers.
    """

    def __init__(
        self, *, address: str, pacer: Pacer | None = None, budget: BufferBudget | None = None
    ) -> None:
        self._address = address
        self._pacer = pacer or Pacer()
        self._budget = budget or BufferBudget()
        self._transport: asyncio.Transport | None = None
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._request: h11.Request | None = None
        self._body: list[bytes] = []
        self._buffered_bytes = 0
        self._head: ResponseHead | None = None
        self._is_complete = False
        self._is_accepted = False  # whether the response is the one that is waited for
        self._is_parse_queued = False  # whether received bytes wait for a turn to be parsed
        self._has_eof = False
        self._informational = 0  # interim responses before the head
        self._failure: str | None = None
        self._is_busy = False
        self._has_surplus = False
        self._is_write_paused = False
        self._unwritten = memoryview(b"")  # rest of the request's body
        self._wakeup = asyncio.Event()
        self._idle_since_s = 0.0
        self._keep_alive_s: float | None = None
        self._calls = 0
        self._has_answered = False
        self._carried_ids: set[str] = set()

    @classmethod
    async def open(
        cls,
        address: str,
        *,
        timeout_s: float,
        pacer: Pacer | None = None,
        budget: BufferBudget | None = None,
    ) -> "BackendConnection":
        """Connect to `address`.

        Raises
        ------
        PeerUnreachableError
            The connection failed or was not established within `timeout_s`.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, protocol = await loop.create_connection(
                    lambda: cls(address=address, pacer=pacer, budget=budget), host, int(port)
                )
        except (OSError, TimeoutError) as error:
            raise PeerUnreachableError(repr(error), step="connect", peer=address) from error
        return protocol

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        return (
            not self._is_busy
            and not self._has_surplus
            and self._failure is None
            and not self._is_write_paused
            and not self._unwritten
            and self._parser.our_state is h11.IDLE
            and len(self._carried_ids) < _MAX_CARRIED_IDS
            and (self._keep_alive_s is None or self.idle_s < self._keep_alive_s)
        )

    @property
    def idle_s(self) -> float:
        """Seconds since the last request ended, or since the connection was made."""
        return now_s() - self._idle_since_s

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended."""
        return self._failure is not None

    @property
    def calls(self) -> int:
        """Number of requests that were sent."""
        return self._calls

    @property
    def has_answered(self) -> bool:
        """Whether the head of any response has arrived."""
        return self._has_answered

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes, or the end of the stream, have arrived that were not read yet."""
        return has_unread_bytes(self._transport)

    def has_carried(self, request_id: str) -> bool:
        """Return whether a request with an id was sent over this connection."""
        return request_id in self._carried_ids

    def send(self, head: RequestHead, body: bytes, *, request_id: str | None = None) -> None:
        """Write a request whose headers state its length, and the id that its response names.

        Raises
        ------
        PeerUnreachableError
            The connection can't be used; nothing was written.
        """
        if self._transport is None or not self.is_reusable:
            reason = self._failure or "not reusable"
            raise PeerUnreachableError(reason, step="send", peer=self._address)
        if request_id is not None:
            if self.has_carried(request_id):
                raise PeerUnreachableError("carried before", step="send", peer=self._address)
            self._carried_ids.add(request_id)
        self._is_busy = True
        self._calls += 1
        self._request = h11.Request(
            method=head.method, target=head.target, headers=list(head.headers)
        )
        if len(body) <= _JOINED_BODY_BYTES:
            self._transport.write(b"".join(self._encode_request(body)))
            return
        *parts, last = self._encode_request(body)
        self._transport.write(b"".join(parts))
        self._unwritten = memoryview(last)
        self._write_rest()

    async def read_head(self) -> ResponseHead:
        """Return the status and headers of the response; interim responses are skipped.

        Raises
        ------
        OutcomeUnknownError
            The connection ended, or the server sent data that is not valid HTTP.
        """
        while self._head is None:
            await self._wait_for_data(step="head")
        return self._head

    async def read(self) -> bytes:
        """Return the next bytes of the body, or empty bytes at its end.

        Raises
        ------
        OutcomeUnknownError
            The connection ended before the body was complete.
        """
        while not self._body:
            if self._is_complete:
                return b""
            await self._wait_for_data(step="body")
        chunk = self._body.pop(0)
        self._count_buffered(-len(chunk))
        self._update_reading()
        return chunk

    def accept_response(self) -> None:
        """Take the current response for the last one of the request.

        What follows it belongs to nothing, and ends the connection once the response is complete.
        """
        self._is_accepted = True
        self._close_on_surplus()

    async def skip_response(self) -> None:
        """Discard the current response, so that `read_head` returns the one after it.

        A server may send a late second response to an earlier request; the response to the
        request that was sent last comes after it.

        Raises
        ------
        OutcomeUnknownError
            The connection ended before the body was complete, or the body is too long.
        """
        skipped_bytes = 0
        while part := await self.read():
            skipped_bytes += len(part)
            if skipped_bytes > _MAX_SKIPPED_BYTES:
                self._fail(f"a late response has more than {_MAX_SKIPPED_BYTES} bytes")
                raise OutcomeUnknownError(str(self._failure), step="skip", peer=self._address)
        request = self._request
        assert request is not None
        surplus, _ = self._parser.trailing_data
        self._reset_response()
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
        # The request is written already; only its method affects how the response is framed.
        host = [(name, value) for name, value in request.headers if name == b"host"]
        self._parser.send(h11.Request(method=request.method, target=request.target, headers=host))
        self._parser.send(h11.EndOfMessage())
        self._has_surplus = False
        if surplus:
            self.data_received(bytes(surplus))

    def finish(self) -> None:
        """End the request; close the connection if it can't be reused."""
        self._is_busy = False
        self._idle_since_s = now_s()
        if not self._is_complete or self._has_surplus or self._failure is not None:
            self.close()
            return
        try:
            self._parser.start_next_cycle()
        except h11.LocalProtocolError:  # the server closes the connection after this response
            self.close()
            return
        self._reset_response()

    def close(self) -> None:
        """Abort the connection; unsent data is discarded."""
        if self._failure is None:
            self._fail("closed by this node")
        if self._transport is not None:
            self._transport.abort()
        self._drop_body()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options."""
        self._transport = cast(asyncio.Transport, transport)
        self._idle_since_s = now_s()
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_MAX_PROBES)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no request is running."""
        if self._failure is not None:
            return
        if not self._is_busy:
            self._has_surplus = True
            self.close()
            return
        if self._is_complete:
            self._has_surplus = True
            self._close_on_surplus()
            if self._failure is not None:
                return
        self._receive(data)

    def eof_received(self) -> bool:
        """Treat the end of the connection as the end of a response without a length."""
        self._has_eof = True
        if self._is_busy and not self._is_complete and self._failure is None:
            self._receive(b"")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the failure and wake the reader of the response."""
        if self._failure is None:
            self._fail("connection closed" if exc is None else repr(exc))

    def pause_writing(self) -> None:
        """Record that a part of the request is not written yet."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Record that the write buffer has drained, and write more of the body."""
        self._is_write_paused = False
        self._write_rest()

    def _encode_request(self, body: bytes) -> list[bytes]:
        """Return the parts of a request; its body is the last one if it has any."""
        assert self._request is not None
        parts = [self._parser.send(self._request)]
        if body:
            parts.append(self._parser.send(h11.Data(data=body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        return [part for part in parts if part]

    def _write_rest(self) -> None:
        """Write the rest of the body until the write buffer is full."""
        transport = self._transport
        while self._unwritten and not self._is_write_paused:
            if transport is None or transport.is_closing():  # a write may have failed
                return
            part = self._unwritten[:_WRITTEN_PART_BYTES]
            self._unwritten = self._unwritten[_WRITTEN_PART_BYTES:]
            transport.write(part)

    def _receive(self, data: bytes) -> None:
        try:
            self._parser.receive_data(data)
        except h11.RemoteProtocolError as error:  # bytes after the end of the stream
            self._fail(f"not HTTP: {error}")
            return
        if not self._is_parse_queued:
            self._parse()

    def _parse(self) -> None:
        """Parse received bytes; what takes longer than a turn goes on later."""
        try:
            has_more = self._take_events()
        except h11.RemoteProtocolError as error:
            missing = "its answer" if self._head is None else "the end of its answer"
            self._fail(
                f"the server closed the connection before {missing}"
                if self._has_eof
                else f"not HTTP: {error}"
            )
            return
        if has_more and self._failure is None:
            self._is_parse_queued = True
            self._pacer.schedule(self._parse_queued)
        self._update_reading()
        self._wakeup.set()

    def _parse_queued(self) -> None:
        self._is_parse_queued = False
        if self._failure is None and self._is_busy:
            self._parse()

    def _take_events(self) -> bool:
        """Take a number of events from the parser; return whether there may be more."""
        for _ in range(MAX_EVENTS_PER_TURN):
            event = self._parser.next_event()
            match event:
                case h11.InformationalResponse():
                    self._informational += 1
                    if self._informational > _MAX_INFORMATIONAL:
                        self._fail("too many interim responses")
                        return False
                case h11.Response():
                    self._on_response_head(event)
                case h11.Data():
                    append_part(self._body, bytes(event.data))
                    self._count_buffered(len(event.data))
                case h11.EndOfMessage():
                    if self._is_end_unproven:
                        self._fail("its answer without a length ends before the request was sent")
                        return False
                    self._is_complete = True
                    self._parser.next_event()  # the end of the connection, or more than is due
                    if self._parser.trailing_data[0]:
                        self._has_surplus = True
                        self._close_on_surplus()
                    return False
                case h11.NEED_DATA:
                    max_bytes = _MAX_HEAD_BYTES if self._head is None else _MAX_FRAMING_BYTES
                    check_incomplete(self._parser, max_bytes=max_bytes)
                    return False
                case _:  # PAUSED or ConnectionClosed
                    return False
        return True

    @property
    def _is_end_unproven(self) -> bool:
        """Whether only the end of the connection ends the response, before the request was sent.

        A server that fails may close its side first and reset the connection then.
        """
        assert self._head is not None and self._transport is not None
        if self._head.headers.get("Content-Length") or self._head.headers.get("Transfer-Encoding"):
            return False
        return self._has_eof and (bool(self._unwritten) or unsent_bytes(self._transport) > 0)

    def _on_response_head(self, event: h11.Response) -> None:
        if event.status_code > _MAX_STATUS:
            raise h11.RemoteProtocolError(f"status {event.status_code}")
        raw = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in event.headers.raw_items()]
        self._has_answered = True
        self._head = ResponseHead(status=event.status_code, headers=Headers(raw))
        self._keep_alive_s = keep_alive_s(self._head.headers)

    def _reset_response(self) -> None:
        self._informational = 0
        self._head = None
        self._drop_body()
        self._is_complete = False
        self._is_accepted = False

    def _count_buffered(self, change_bytes: int) -> None:
        self._buffered_bytes += change_bytes
        self._budget.add(change_bytes)

    def _drop_body(self) -> None:
        self._body.clear()
        self._count_buffered(-self._buffered_bytes)

    def _close_on_surplus(self) -> None:
        """Close the connection if more follows the response; its body can still be read."""
        if self._has_surplus and self._is_accepted and self._failure is None:
            logger.bind(step="answer", peer=self._address, calls=self._calls).warning(
                "connection closed; the server sent bytes behind a complete response"
            )
            self._fail("bytes behind a complete response")

    def _fail(self, reason: str) -> None:
        self._failure = reason
        self._unwritten = memoryview(b"")
        self._wakeup.set()
        if self._transport is not None:
            self._transport.abort()

    async def _wait_for_data(self, *, step: str) -> None:
        if self._failure is not None:
            raise OutcomeUnknownError(self._failure, step=step, peer=self._address)
        self._wakeup.clear()
        await self._wakeup.wait()

    def _update_reading(self) -> None:
        """Read only what can be parsed soon, and no more than the caller takes."""
        if self._transport is None:
            return
        max_bytes = 0 if self._budget.is_exceeded else _MAX_BUFFERED_BYTES
        if self._is_parse_queued or self._has_surplus or self._buffered_bytes > max_bytes:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
