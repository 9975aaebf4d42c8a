"""HTTP servers of a node."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import uvicorn

from flamingoshelf.utils import TaskGroup

__all__ = ["HttpServer"]

_BACKLOG = 1024
_KEEP_ALIVE_S = 75  # 5 s cut requests that a balancer sent over idle connections


class _UvicornServer(uvicorn.Server):
    """A server whose signals are handled by the daemon."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers alone."""
        yield


class HttpServer:
    """Serves one ASGI application.

    Parameters
    ----------
    app : ASGI application
        What is served.
    address : str
        ``ip:port`` to listen at.
    shutdown_timeout_s : float
        Longest time that `stop` waits for running requests.
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
                backlog=_BACKLOG,
                timeout_keep_alive=_KEEP_ALIVE_S,
                timeout_graceful_shutdown=int(shutdown_timeout_s),
                server_header=False,
            )
        )
        self._tasks = TaskGroup(owner="http")

    async def start(self) -> None:
        """Start to listen."""
        self._tasks.start(self._server.serve(), name="serve")

    async def stop(self) -> None:
        """Stop to listen, and wait until the running requests are answered."""
        self._server.should_exit = True
        await self._tasks.drain()
