"""One request of a caller and its response."""

import asyncio
from io import BytesIO
from typing import Protocol

from flamingoshelf.http1._heads import Headers, RequestHead, ResponseHead

__all__ = ["BodyTooLargeError", "Exchange", "ExchangeOutput"]


class BodyTooLargeError(Exception):
    """A request's body exceeds the limit."""


class ExchangeOutput(Protocol):
    """The connection that an exchange writes to."""

    def send_head(self, head: ResponseHead) -> None:
        """Write the status line and the headers."""

    def send_data(self, data: bytes) -> None:
        """Write a part of the body."""

    def send_end(self) -> None:
        """Write the end of the body."""

    def send_continue(self) -> None:
        """Ask a caller that waits for ``100 Continue`` to send the body."""

    def abort(self) -> None:
        """Abort the connection."""

    async def drain(self) -> None:
        """Wait until the write buffer has drained."""


class Exchange:
    """One request of a caller and its response.

    Parameters
    ----------
    head : RequestHead
        Head of the request.
    output : ExchangeOutput
        Connection that the response is written to.
    arrived_s : float
        Time at which the head was read, by the event loop's clock, in seconds.

    Attributes
    ----------
    status : int or None
        Status that was sent, or None before the head of the response is written.
    backend_server : str
        Backend server that the response comes from, empty if there is none.
    request_id : str or None
        Identifier of the request for log lines, once the handler knows it.
    """

    def __init__(self, *, head: RequestHead, output: ExchangeOutput, arrived_s: float) -> None:
        self._head = head
        self._output = output
        self._arrived_s = arrived_s
        self._body = BytesIO()  # hands its contents over without a copy
        self._body_size = 0
        self._body_limit: int | None = None
        self._is_body_complete = False
        self._body_changed = asyncio.Event()
        self._is_ended = False
        self._is_aborted = False
        self.status: int | None = None
        self.backend_server = ""
        self.request_id: str | None = None

    @property
    def head(self) -> RequestHead:
        """Head of the request."""
        return self._head

    @property
    def arrived_s(self) -> float:
        """Event loop time in seconds at which the head was read."""
        return self._arrived_s

    @property
    def is_body_complete(self) -> bool:
        """Whether the request was read to its end."""
        return self._is_body_complete

    @property
    def is_started(self) -> bool:
        """Whether the head of a response was written."""
        return self.status is not None

    @property
    def is_ended(self) -> bool:
        """Whether the response is complete or was aborted."""
        return self._is_ended

    @property
    def is_aborted(self) -> bool:
        """Whether the response was aborted."""
        return self._is_aborted

    async def read_body(self, *, limit: int) -> bytes:
        """Return the complete body of the request, which is kept no longer here.

        Raises
        ------
        BodyTooLargeError
            The body has more than `limit` bytes.
        """
        self._body_limit = limit
        if not self._is_body_complete:
            self._output.send_continue()
        while not self._is_body_complete and self._body_size <= limit:
            self._body_changed.clear()
            await self._body_changed.wait()
        body, self._body = self._body, BytesIO()
        if self._body_size > limit:
            raise BodyTooLargeError(f"more than {limit} bytes")
        return body.getvalue()

    def respond(self, head: ResponseHead, body: bytes = b"") -> None:
        """Write a complete response."""
        headers = head.headers.with_items(("Content-Length", str(len(body))))
        self.start_response(ResponseHead(status=head.status, headers=headers))
        if body:
            self._output.send_data(body)
        self.end()

    def start_response(self, head: ResponseHead) -> None:
        """Write the head of a response; its body is chunked if the head states no length."""
        self._output.send_head(head)
        self.status = head.status

    async def write(self, data: bytes) -> None:
        """Write a part of the body and wait until the write buffer has drained."""
        self._output.send_data(data)
        await self._output.drain()

    def end(self) -> None:
        """Write the end of the body."""
        self._is_ended = True
        self._output.send_end()

    def abort(self) -> None:
        """Abort the connection, so that the response does not look complete."""
        self._is_ended = self._is_aborted = True
        self._output.abort()

    def feed(self, data: bytes) -> None:
        """Add received bytes to the request's body; bytes beyond the limit are dropped."""
        self._body_size += len(data)
        if self._body_limit is None or self._body_size <= self._body_limit:
            self._body.write(data)
        self._body_changed.set()

    def feed_end(self) -> None:
        """Mark the request's body as complete."""
        self._is_body_complete = True
        self._body_changed.set()


def plain_head(status: int, *items: tuple[str, str]) -> ResponseHead:
    """Return the head of a response with the headers `items`."""
    return ResponseHead(status=status, headers=Headers(items))
