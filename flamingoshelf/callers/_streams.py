"""Callers that go away or read slowly."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeVar

from starlette.requests import Request
from starlette.responses import StreamingResponse
from starlette.types import Message, Receive, Scope, Send

__all__ = ["CallerGoneError", "TimedStreamingResponse", "unless_caller_leaves"]

ValueT = TypeVar("ValueT")

_WRITE_TIMEOUT_S = 60.0


class CallerGoneError(Exception):
    """The caller closed its connection before it was answered."""


class TimedStreamingResponse(StreamingResponse):
    """A streaming response that gives up on a caller that reads nothing for a minute.

    Parameters
    ----------
    content : AsyncIterator of bytes
        The body.
    on_close : callable
        Called once the response is over, however it ended.
    """

    def __init__(
        self, content: AsyncIterator[bytes], *, on_close: Callable[[], Awaitable[None]]
    ) -> None:
        super().__init__(content, media_type="text/event-stream")
        self._on_close = on_close

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the response and close what it was made from."""
        try:
            await super().__call__(scope, receive, send)
        finally:
            await self._on_close()

    async def stream_response(self, send: Send) -> None:
        """Send the response, each part within the time-out."""

        async def timed_send(message: Message) -> None:
            async with asyncio.timeout(_WRITE_TIMEOUT_S):
                await send(message)

        await super().stream_response(timed_send)


async def unless_caller_leaves(request: Request, work: Awaitable[ValueT]) -> ValueT:
    """Return the result of `work`, or cancel it as soon as the caller goes away.

    The request's body must have been read.

    Raises
    ------
    CallerGoneError
        The caller went away first.
    """
    working = asyncio.ensure_future(work)
    leaving = asyncio.create_task(_wait_for_disconnect(request))
    try:
        await asyncio.wait((working, leaving), return_when=asyncio.FIRST_COMPLETED)
        if not working.done():
            raise CallerGoneError
        return await working
    finally:
        working.cancel()
        leaving.cancel()
        await asyncio.gather(working, leaving, return_exceptions=True)


async def _wait_for_disconnect(request: Request) -> None:
    while (await request.receive())["type"] != "http.disconnect":
        pass
