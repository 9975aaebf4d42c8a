"""What stand-ins of backend servers record, and the faults that they are given."""

import asyncio
import math
from collections.abc import Sequence

import attrs

from flamingoshelf.http1 import Headers
from flamingoshelf.utils import now_s

__all__ = ["LimitSpan", "Run", "RunLog", "ServerFaults", "Silence"]

LIMIT_CONTACT_S = 3.0  # time after which every node is to know what the others learned
LIMIT_WINDOW_S = 4.0
_EXCESS_FACTOR = 1.5
_EXCESS_REQUESTS = 5


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
    stray_refusals : float
        Fraction of requests on used connections that are preceded by an earlier refusal, written
        once more without the id of its request.
    refuse_next : int
        Number of requests that are refused next as if the server were full.
    repeated_refusals : float
        Fraction of refusals that are sent once more, in front of the next answer on the connection.
    endless_next : int
        Number of answers that don't end from now on.
    endless_chunk : bytes
        Chunk of the body of such an answer, which is repeated until the caller closes.
    endless_place : {"chunks", "head", "unframed", "behind"}
        Where the bytes without end are: in chunks, in the head, in a body without a length, or
        behind an answer that is whole.
    early_next : int
        Number of requests that are answered next before their body is read: with a part of an
        answer that has no length, before the connection is reset.
    early_status : int
        Status of such an answer.
    ends_side : bool
        Whether the server ends its side of the connection before it resets it.
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
    stray_refusals: float = 0.0
    refuse_next: int = 0
    repeated_refusals: float = 0.0
    endless_next: int = 0
    endless_chunk: bytes = b"x"
    endless_place: str = "chunks"
    early_next: int = 0
    early_status: int = 200
    ends_side: bool = True
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


@attrs.define(kw_only=True)
class LimitSpan:
    """Time in which a server states a limit in all its answers."""

    server: str
    per_s: float
    start_s: float
    end_s: float = math.inf

    @property
    def allowed(self) -> float:
        """Most requests in a window."""
        return _EXCESS_FACTOR * LIMIT_WINDOW_S * self.per_s + _EXCESS_REQUESTS

    def arrivals(self, log: "RunLog", *, after_s: float = 0.0) -> "list[Run]":
        """Return the requests that reached the server from `after_s` seconds of the span on."""
        return [
            run
            for run in log.arrivals
            if run.server == self.server and self.start_s + after_s <= run.at_s < self.end_s
        ]

    def worst_window(self, arrivals_s: Sequence[float]) -> int:
        """Return the most of these arrivals in a window that ends after the contact time."""
        return max(
            (
                sum(end_s - LIMIT_WINDOW_S < at_s <= end_s for at_s in arrivals_s)
                for end_s in arrivals_s
                if end_s >= self.start_s + LIMIT_CONTACT_S
            ),
            default=0,
        )

    def use(self, log: "RunLog") -> float:
        """Return the used share of what the limit allows after the contact time."""
        span_s = min(self.end_s, now_s()) - self.start_s - LIMIT_CONTACT_S
        return len(self.arrivals(log, after_s=LIMIT_CONTACT_S)) / (self.per_s * span_s)
