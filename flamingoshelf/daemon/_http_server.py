"""HTTP servers of a node."""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import uvicorn

from flamingoshelf.utils import TaskGroup

__all__ = ["HttpServer"]

_BACKLOG_CONNECTIONS = 1024
# With 5 s, requests that a balancer sent on idle connections were cut off.
_KEEP_ALIVE_TIMEOUT_S = 75


class _UvicornServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the daemon."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


class HttpServer:
    """Serves one ASGI application.

    Parameters
    ----------
    app : ASGI application
        Application to serve.
    address : str
        ``ip:port`` to listen on.
    shutdown_timeout_s : float
        Longest time in seconds that `stop` waits for running requests.
    """

    def __init__(self, *, app: Any, address: str, shutdown_timeout_s: float) -> None:
        host, _, port = address.rpartition(":")
        self._server = _UvicornServer(
            uvicorn.Config(
                app,
                host=host,
                port=int(port),
                loop="asyncio",
                http="httptools",
                ws="none",
                lifespan="off",
                log_config=None,
                access_log=False,
                backlog=_BACKLOG_CONNECTIONS,
                timeout_keep_alive=_KEEP_ALIVE_TIMEOUT_S,
                timeout_graceful_shutdown=math.ceil(shutdown_timeout_s),
                server_header=False,
            )
        )
        self._tasks = TaskGroup(owner="http")

    async def start(self) -> None:
        """Start listening."""
        self._tasks.start(self._server.serve(), name="serve")

    async def stop(self) -> None:
        """Stop listening and wait until the running requests are answered."""
        self._server.should_exit = True
        await self._tasks.drain()
