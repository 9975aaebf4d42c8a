"""Graceful shutdown."""

import asyncio
from collections.abc import Callable

from loguru import logger

from flamingoshelf.http1 import HttpServer
from flamingoshelf.utils import now_s

__all__ = ["ShutdownPlan"]

# The load balancer checks readiness once a second and stops sending connections after two failures.
_BALANCER_NOTICE_S = 2.6
_KILL_MARGIN_S = 0.2  # part of the grace period reserved for ending the process
_POLL_INTERVAL_S = 0.02  # between checks for unfinished requests
# For what can't be answered to be refused before the connections are closed; hundreds of requests
# may end at the same time.
_ANSWER_MARGIN_S = 0.1


class ShutdownPlan:
    """Stops the caller-facing server without cutting off requests.

    New connections are served until the load balancer has noticed the failing readiness check.
    Then the listening socket and idle connections are closed. Requests that have begun may finish,
    and their callers may read the answers.

    Parameters
    ----------
    grace_s : float
        Seconds from SIGTERM until the platform kills the process.
    since_s : float or None
        Time of SIGTERM by the event loop's clock, now by default.
    """

    def __init__(self, *, grace_s: float, since_s: float | None = None) -> None:
        self._end_s = (now_s() if since_s is None else since_s) + grace_s - _KILL_MARGIN_S

    @property
    def answer_by_s(self) -> float:
        """Time by which requests must have their final answers."""
        return self._end_s - _ANSWER_MARGIN_S

    async def run(
        self, server: HttpServer, *, calls_of_others: Callable[[], int] = lambda: 0
    ) -> None:
        """Drain and stop `server`; return when all requests are answered or the time is over.

        ``calls_of_others()`` returns the number of running calls that are made for other nodes,
        whose callers must not be cut off either.
        """
        end_s = self._end_s
        server.drain()
        await asyncio.sleep(min(_BALANCER_NOTICE_S, max(0.0, end_s - now_s())))
        await server.accept_waiting()
        server.stop_accepting()
        while server.unfinished_connections and now_s() < end_s:
            await asyncio.sleep(_POLL_INTERVAL_S)
        if server.running_requests:
            logger.bind(step="stop").warning(
                "grace period over; {} requests are cut off", server.running_requests
            )
        await server.stop()
        while calls_of_others() and now_s() < end_s:
            await asyncio.sleep(_POLL_INTERVAL_S)
