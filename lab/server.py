"""Run one stand-in as a separate process."""

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from flamingoshelf.daemon._http_server import HttpServer

__all__ = ["KEY_PREFIX", "KeyLeakCounter", "handler", "run_app"]

KEY_PREFIX = "fsk-"
_SHUTDOWN_TIMEOUT_S = 1.0

Endpoint = Callable[[dict[str, Any]], Awaitable[Any]]


def run_app(app: Starlette, address: str) -> None:
    """Serve `app` at `address` until SIGTERM."""
    asyncio.run(_serve(app, address))


async def _serve(app: Starlette, address: str) -> None:
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    server = HttpServer(app=app, address=address, shutdown_timeout_s=_SHUTDOWN_TIMEOUT_S)
    await server.start()
    await stopping.wait()
    await server.stop()


def handler(endpoint: Endpoint) -> Callable[[Request], Awaitable[Response]]:
    """Return a Starlette endpoint for a function that maps one JSON document to another."""

    async def answer(request: Request) -> Response:
        body = await request.body()
        outcome = await endpoint(json.loads(body) if body else {})
        return outcome if isinstance(outcome, Response) else JSONResponse(outcome)

    return answer


class KeyLeakCounter:
    """Middleware that counts occurrences of callers' keys in requests.

    Callers' keys must not reach backend servers.

    Parameters
    ----------
    app : ASGI application
        The wrapped application.

    Attributes
    ----------
    leak_count : int
        Occurrences of a key in a request's head or in a part of its body, in this process.
    """

    leak_count = 0

    def __init__(self, app: Any) -> None:
        self._app = app

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Search the path, query, headers and body of every request for a key."""
        key_prefix = KEY_PREFIX.encode()
        parts = [scope.get("raw_path") or b"", scope.get("query_string") or b""]
        parts += [part for header in scope.get("headers", ()) for part in header]
        if any(key_prefix in part for part in parts):
            KeyLeakCounter.leak_count += 1

        async def receive_and_check() -> Any:
            message = await receive()
            if key_prefix in message.get("body", b""):
                KeyLeakCounter.leak_count += 1
            return message

        await self._app(scope, receive_and_check, send)
