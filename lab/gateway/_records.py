"""What stand-ins of backend servers record, and the faults that they are given."""

import attrs

from flamingoshelf.http1 import Headers

__all__ = ["Run", "RunLog", "ServerFaults"]


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
    ended: str = ""  # "whole", "cut" (by the server) or "left" (cancelled by the gateway)


class RunLog:
    """Requests that ran, prefills and role orders, as recorded by the servers."""

    def __init__(self) -> None:
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
        No request is answered.
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
