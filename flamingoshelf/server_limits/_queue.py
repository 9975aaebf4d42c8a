"""Requests that wait until a server with a limit accepts another one."""

import asyncio
import itertools
from collections.abc import Sequence

import attrs

from flamingoshelf.routing import ServerRun
from flamingoshelf.server_limits._keeper import LimitKeeper, PermitForecast
from flamingoshelf.utils import now_s

__all__ = ["Permit", "PermitQueue"]

_MIN_TIMER_S = 0.001  # the event loop may call a timer a little early
# Callers that are told to return later than this have mostly given up by then.
_MAX_RETRY_AFTER_S = 3.0


@attrs.frozen(kw_only=True)
class Permit:
    """Permission to send one request to a server, or its refusal.

    Parameters
    ----------
    run : ServerRun or None
        The server; None if none accepts a request in time.
    retry_after_s : float
        Seconds after which a refused request may be sent again.
    """

    run: ServerRun | None = None
    retry_after_s: float = 0.0


@attrs.define(kw_only=True, eq=False)
class _Waiting:
    """A request that waits for a permit of any of some servers."""

    rank: tuple[int, int]
    runs: Sequence[ServerRun]
    until_s: float
    permit: asyncio.Future[Permit]


@attrs.frozen(kw_only=True)
class _Return:
    """Time at which a refused request was told to return, and the servers that it asked for."""

    at_s: float
    runs: Sequence[ServerRun]


class PermitQueue:
    """Grants the permits of a keeper by priority and order of arrival.

    A request that would get no permit in time is refused at once. Refused requests are told to
    return one after the other, as permits become available.

    Parameters
    ----------
    keeper : LimitKeeper
        Counts the permits.
    """

    def __init__(self, *, keeper: LimitKeeper) -> None:
        self._keeper = keeper
        self._numbers = itertools.count()
        self._waiting: list[_Waiting] = []
        self._returns: list[_Return] = []

    async def acquire(self, runs: Sequence[ServerRun], *, priority: int, wait_s: float) -> Permit:
        """Return a permit for one of some servers, after at most `wait_s` seconds, or a refusal."""
        unlimited = next((run for run in runs if not self._keeper.is_limited(run)), None)
        if unlimited is not None or not runs:
            return Permit(run=unlimited)
        waiting = _Waiting(
            rank=(priority, next(self._numbers)),
            runs=runs,
            until_s=now_s() + wait_s,
            permit=asyncio.get_running_loop().create_future(),
        )
        self._waiting.append(waiting)
        self._waiting.sort(key=lambda item: item.rank)
        try:
            self._decide()
            while not waiting.permit.done():
                next_s = min(self._keeper.wait_s(run) for run in runs)
                next_s = min(next_s, waiting.until_s - now_s())
                await asyncio.wait({waiting.permit}, timeout=max(_MIN_TIMER_S, next_s))
                self._decide()
            return waiting.permit.result()
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)

    def _decide(self) -> None:
        """Grant the permits that are left, and refuse what would get none in time."""
        for waiting in list(self._waiting):
            run = self._choose(waiting.runs)
            if run is not None:
                self._keeper.spend(run)
                self._settle(waiting, Permit(run=run))
        forecast = self._keeper.forecast()
        late = []
        for waiting in self._waiting:
            if now_s() + forecast.wait_s(waiting.runs) > waiting.until_s:
                late.append(waiting)
            else:
                forecast.reserve(waiting.runs)
        if late:
            self._refuse(late, forecast)

    def _choose(self, runs: Sequence[ServerRun]) -> ServerRun | None:
        """Return the server with most permits left, or None if none accepts a request now."""
        ready = [run for run in runs if self._keeper.wait_s(run) <= 0]
        return max(ready, key=self._keeper.permits, default=None)

    def _refuse(self, late: Sequence[_Waiting], forecast: PermitForecast) -> None:
        now = now_s()
        self._returns = [item for item in self._returns if item.at_s > now]
        for item in self._returns:
            forecast.reserve(item.runs)
        for waiting in late:
            retry_after_s = forecast.wait_s(waiting.runs)
            forecast.reserve(waiting.runs)
            if retry_after_s <= _MAX_RETRY_AFTER_S:
                self._returns.append(_Return(at_s=now + retry_after_s, runs=waiting.runs))
            retry_after_s = min(max(retry_after_s, _MIN_TIMER_S), _MAX_RETRY_AFTER_S)
            self._settle(waiting, Permit(retry_after_s=retry_after_s))

    def _settle(self, waiting: _Waiting, permit: Permit) -> None:
        self._waiting.remove(waiting)
        if not waiting.permit.done():
            waiting.permit.set_result(permit)
