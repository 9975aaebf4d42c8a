"""Runs one stand-in as a process of its own."""

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from flamingoshelf.daemon._http_server import HttpServer

__all__ = ["KEY_MARK", "KeyWatch", "handler", "run_app"]

KEY_MARK = "fsk-"
_SHUTDOWN_S = 1.0

Endpoint = Callable[[dict[str, Any]], Awaitable[Any]]


def run_app(app: Starlette, address: str) -> None:
    """Serve `app` at `address` until SIGTERM."""
    asyncio.run(_serve(app, address))


async def _serve(app: Starlette, address: str) -> None:
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    server = HttpServer(app=app, address=address, shutdown_timeout_s=_SHUTDOWN_S)
    await server.start()
    await stopping.wait()
    await server.stop()


def handler(endpoint: Endpoint) -> Callable[[Request], Awaitable[Response]]:
    """Return a starlette endpoint for a function from a JSON document to a JSON document."""

    async def answer(request: Request) -> Response:
        body = await request.body()
        outcome = await endpoint(json.loads(body) if body else {})
        return outcome if isinstance(outcome, Response) else JSONResponse(outcome)

    return answer


class KeyWatch:
    """Middleware that counts requests in which a caller's key can be seen.

    Parameters
    ----------
    app : ASGI application
        What is wrapped.
    """

    seen = 0

    def __init__(self, app: Any) -> None:
        self._app = app

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Look at path, query, headers and body of every request."""
        mark = KEY_MARK.encode()
        parts = [scope.get("raw_path") or b"", scope.get("query_string") or b""]
        parts += [part for header in scope.get("headers", ()) for part in header]
        if any(mark in part for part in parts):
            KeyWatch.seen += 1

        async def watch_body() -> Any:
            message = await receive()
            if mark in message.get("body", b""):
                KeyWatch.seen += 1
            return message

        await self._app(scope, watch_body, send)
