"""Tells requests that crash backend servers from those that a crash interrupts by chance."""

import asyncio
from collections.abc import Callable

import attrs
from loguru import logger

from flamingoshelf.exceptions import PeerUnreachableError
from flamingoshelf.gateway._admission import AdmittedRequest
from flamingoshelf.http1 import BackendConnection
from flamingoshelf.quarantine import ContentGuard
from flamingoshelf.refusals import Refusal
from flamingoshelf.routing import BackendInstance
from flamingoshelf.utils import TaskGroup

__all__ = ["CrashDetector"]

# A crashed process refuses connections until it is restarted, which takes seconds.
_CHECK_DELAYS_S = (0.02, 0.2)
_CONNECT_TIMEOUT_S = 0.2  # a running server accepts within milliseconds
_MAX_LOGGED_PROMPT = 400  # characters of the header that lists the parts of a prompt


class CrashDetector:
    """Checks whether a server crashed after a lost run, and refuses content that crashes servers.

    A lost run alone proves nothing: the connection may have failed. The server counts as crashed
    only if it refuses connections shortly afterwards.

    Parameters
    ----------
    guard : callable
        Returns the guard that records crashes by content digest.
    """

    def __init__(self, *, guard: Callable[[], ContentGuard]) -> None:
        self._guard = guard
        self._tasks = TaskGroup(owner="crash_watch")

    async def stop(self) -> None:
        """Cancel all pending checks."""
        await self._tasks.stop()

    def check(self, request: AdmittedRequest) -> Refusal | None:
        """Return the refusal of a request whose content is quarantined, or None if it may run."""
        refusal = self._guard().check(request.content)
        # Callers treat a 4xx as their own error and do not retry.
        return None if refusal is None else attrs.evolve(refusal, status=503)

    def record_lost_run(
        self, request: AdmittedRequest, instance: BackendInstance, *, events: int = 0
    ) -> None:
        """Check in the background whether the server of a lost run has crashed.

        `events` is the number of events that the run had sent.
        """
        self._tasks.start(self._check_server(request, instance, events), name="look")

    def record_success(self, request: AdmittedRequest) -> None:
        """Clear the suspicion against content that ran to completion."""
        self._guard().report_success(request.content)

    async def _check_server(
        self, request: AdmittedRequest, instance: BackendInstance, events: int
    ) -> None:
        """Try to connect after each delay; report a crash if a connection is refused."""
        for delay_s in _CHECK_DELAYS_S:
            await asyncio.sleep(delay_s)
            if await _refuses_connections(instance.address):
                logger.bind(
                    request_id=request.request_id,
                    step="crash",
                    peer=instance.key,
                    content=request.content,
                    prompt=request.caller.prompt[:_MAX_LOGGED_PROMPT],
                    events=events,
                ).warning("backend server crashed while running the request")
                self._guard().report_crash(request.content, instance.key)
                return


async def _refuses_connections(address: str) -> bool:
    """Return whether a connection attempt is refused; timeouts and other errors do not count."""
    try:
        connection = await BackendConnection.open(address, timeout_s=_CONNECT_TIMEOUT_S)
    except PeerUnreachableError as error:
        return isinstance(error.__cause__, ConnectionRefusedError)
    connection.close()
    return False
