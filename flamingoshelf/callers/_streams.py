"""Handling of callers that disconnect or read slowly."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeVar

from starlette.requests import Request
from starlette.responses import StreamingResponse
from starlette.types import Message, Receive, Scope, Send

__all__ = ["CallerDisconnectedError", "TimedStreamingResponse", "run_until_disconnect"]

ValueT = TypeVar("ValueT")

_WRITE_TIMEOUT_S = 60.0


class CallerDisconnectedError(Exception):
    """The caller closed its connection before it was answered."""


class TimedStreamingResponse(StreamingResponse):
    """Streaming response that is aborted if the caller reads nothing for a minute.

    Parameters
    ----------
    content : AsyncIterator of bytes
        The body.
    on_close : callable
        Called once the response has ended, whether it succeeded or failed.
    """

    def __init__(
        self, content: AsyncIterator[bytes], *, on_close: Callable[[], Awaitable[None]]
    ) -> None:
        super().__init__(content, media_type="text/event-stream")
        self._on_close = on_close

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the response, then call `on_close`."""
        try:
            await super().__call__(scope, receive, send)
        finally:
            await self._on_close()

    async def stream_response(self, send: Send) -> None:
        """Send the response, with a timeout for each part."""

        async def timed_send(message: Message) -> None:
            async with asyncio.timeout(_WRITE_TIMEOUT_S):
                await send(message)

        await super().stream_response(timed_send)


async def run_until_disconnect(request: Request, work: Awaitable[ValueT]) -> ValueT:
    """Return the result of `work`, or cancel it as soon as the caller disconnects.

    The request's body must have been read before.

    Raises
    ------
    CallerDisconnectedError
        The caller disconnected before `work` was done.
    """
    work_task = asyncio.ensure_future(work)
    disconnect_task = asyncio.create_task(_wait_for_disconnect(request))
    try:
        await asyncio.wait((work_task, disconnect_task), return_when=asyncio.FIRST_COMPLETED)
        if not work_task.done():
            raise CallerDisconnectedError
        return await work_task
    finally:
        work_task.cancel()
        disconnect_task.cancel()
        await asyncio.gather(work_task, disconnect_task, return_exceptions=True)


async def _wait_for_disconnect(request: Request) -> None:
    while (await request.receive())["type"] != "http.disconnect":
        pass
