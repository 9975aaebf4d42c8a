"""Closing of callers' connections while the node leaves, so that they connect elsewhere."""

from collections.abc import Callable

from starlette.datastructures import MutableHeaders
from starlette.types import ASGIApp, Message, Receive, Scope, Send

__all__ = ["LeavingMiddleware"]


class LeavingMiddleware:
    """Adds ``Connection: close`` to every answer once the node is leaving.

    Otherwise the shutdown could close a kept-alive connection at the moment at which its caller
    sends the next request.

    Parameters
    ----------
    app : ASGI application
        The wrapped application.
    is_leaving : callable
        Returns whether the node is leaving.
    """

    def __init__(self, app: ASGIApp, *, is_leaving: Callable[[], bool]) -> None:
        self._app = app
        self._is_leaving = is_leaving

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Forward the request to the wrapped application."""

        async def send_closing(message: Message) -> None:
            if message["type"] == "http.response.start" and self._is_leaving():
                MutableHeaders(scope=message)["connection"] = "close"
            await send(message)

        await self._app(scope, receive, send_closing)
