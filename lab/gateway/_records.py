"""What stand-ins of backend servers record, and the faults that they are given."""

import asyncio

import attrs

from flamingoshelf.http1 import Headers

__all__ = ["Run", "RunLog", "ServerFaults", "Silence"]


@attrs.define(kw_only=True)
class Run:
    """One request that a server began to execute."""

    server: str
    request_id: str
    service: str
    headers: Headers
    method: str
    target: str
    body: bytes
    at_s: float
    ended: str = ""  # "whole", "cut" or "crashed" (the server), "left" (cancelled by the gateway)


class RunLog:
    """Requests that arrived or ran, prefills and role orders, as recorded by the servers."""

    def __init__(self) -> None:
        self.arrivals: list[Run] = []
        self.runs: list[Run] = []
        self.prefills: list[Run] = []
        self.orders: list[dict[str, object]] = []

    def runs_of(self, request_id: str) -> list[Run]:
        """Return the runs of a request."""
        return [run for run in self.runs if run.request_id == request_id]


@attrs.define(kw_only=True)
class ServerFaults:
    """Faults of one server.

    Parameters
    ----------
    full : bool
        Every request is refused with status 503 and ``Not-Run``.
    reset_before, reset_after : float
        Fraction of requests whose connection is reset before or after they ran.
    extra : float
        Fraction of answers of plain servers that are followed by a second one.
    cut : float
        Fraction of answers whose connection is reset in the middle.
    silent : bool
        No request that arrives is answered, also later. See `Silence` for one that passes.
    errors : float
        Fraction of requests that are answered with status 500.
    pause_s : float
        Seconds for which a server that is full wants no more requests, 0 if it doesn't say.
    """

    full: bool = False
    reset_before: float = 0.0
    reset_after: float = 0.0
    extra: float = 0.0
    cut: float = 0.0
    silent: bool = False
    errors: float = 0.0
    pause_s: float = 0.0


class Silence:
    """State of a server that does nothing for a time and then goes on where it was.

    All its connections stay open, as those of a process that is stopped and continued.
    """

    def __init__(self) -> None:
        self._over = asyncio.Event()
        self._over.set()

    async def last(self, seconds: float) -> None:
        """Be silent for a time."""
        self._over.clear()
        await asyncio.sleep(seconds)
        self.end()

    def end(self) -> None:
        """Let everything go on at once."""
        self._over.set()

    async def wait(self) -> None:
        """Wait until the silence is over."""
        await self._over.wait()

    async def sleep(self, seconds: float) -> None:
        """Sleep, at least until the silence is over; only then a cancellation is noticed."""
        try:
            await asyncio.sleep(seconds)
            await self._over.wait()
        except asyncio.CancelledError:
            await self._over.wait()
            raise
