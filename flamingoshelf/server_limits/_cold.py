"""Cold servers: those that accept fewer requests for some time, as after their start."""

import math
import time
from collections import OrderedDict
from collections.abc import Callable
from functools import cached_property

import attrs
from loguru import logger

from flamingoshelf.routing import BackendInstance, ServerRun
from flamingoshelf.utils import now_s

__all__ = ["FROM_ANSWER", "ColdBound", "ColdServers", "ColdWindow"]

FROM_ENTRY, FROM_ANSWER, FROM_START = "entry", "server", "start"  # sources

_MAX_COLD_S = 300.0  # far longer than servers take to warm up; bounds what one may state
_MAX_RUNS = 4096  # far more than there are servers
# Share of the tolerated excess that permits use. The rest is left for requests of nodes that learn
# late, and for requests that arrive later after their permits than others.
_BURST_SHARE = 0.5
_MIN_BURST = 1.0  # less would never be a permit
_MIN_EXTENSION_S = 0.1  # nodes read the same entry at times that differ by less

ColdListener = Callable[[ServerRun, bool], None]


@attrs.frozen(kw_only=True)
class ColdBound:
    """What the cold servers of a service accept, from all nodes together.

    Parameters
    ----------
    start_s : float
        Seconds for which a server is cold after its start.
    per_s : float
        Requests per second that a cold server accepts; infinite while it isn't known.
    excess, slack : float
        Requests in one second that are tolerated: `excess` times `per_s`, plus `slack`.
    """

    start_s: float
    per_s: float
    excess: float = 1.0
    slack: float = _MIN_BURST

    @cached_property
    def rate_per_s(self) -> float:
        """Permits per second; 0 if not even one request in a second is tolerated."""
        return min(self.per_s, max(0.0, self._tolerated - _MIN_BURST))

    @cached_property
    def burst(self) -> float:
        """Permits that accumulate; with `rate_per_s`, less than what is tolerated in one second."""
        return max(_MIN_BURST, _BURST_SHARE * (self._tolerated - self.rate_per_s))

    @property
    def _tolerated(self) -> float:
        return self.per_s * self.excess + self.slack


@attrs.frozen(kw_only=True)
class ColdWindow:
    """Rest of the time for which a server is cold.

    Parameters
    ----------
    bound : ColdBound
        What the server accepts meanwhile.
    left_s : float
        Seconds that are left.
    source : str
        How that is known: ``"entry"``, ``"server"``, ``"start"``, or the node that told it.
    is_told : bool
        Whether another node told it.
    """

    bound: ColdBound
    left_s: float
    source: str
    is_told: bool = False


@attrs.define(kw_only=True)
class _Record:
    """What is known of a server that may be cold, by this node's clock.

    Parameters
    ----------
    service : str
        Service of the server, empty if it isn't known.
    told_per_s : float
        Requests per second that another node told.
    started_s : float
        Time of the server's start.
    listed_until_s : float
        Until when the server is cold by its entry.
    heard_until_s : float
        Until when it is by an answer of its own, or by what another node told.
    teller : str
        Node that told that, empty if it was the server.
    updated_s : float
        Time of the last update.
    cold_since_s : float or None
        Time since which the server has been reported as cold.
    """

    service: str = ""
    told_per_s: float = math.inf
    started_s: float = -math.inf
    listed_until_s: float = -math.inf
    heard_until_s: float = -math.inf
    teller: str = ""
    updated_s: float = -math.inf
    cold_since_s: float | None = None

    def window(self, bound: ColdBound, at_s: float) -> ColdWindow | None:
        """Return the time for which the server stays cold, or None if it is not."""
        until_s, source = max(
            (self.listed_until_s, FROM_ENTRY),
            (self.heard_until_s, self.teller or FROM_ANSWER),
            (self.started_s + bound.start_s, FROM_START),
        )
        if at_s >= until_s:
            return None
        return ColdWindow(
            bound=bound,
            left_s=until_s - at_s,
            source=source,
            is_told=bool(self.teller) and source == self.teller,
        )


class ColdServers:
    """The servers that are cold, by their entries, their answers and their starts.

    A server is cold until the latest of these times. Only a later entry takes back what an entry
    states; nothing else ends the time earlier. What holds for one run of a server doesn't for the
    next one.

    Parameters
    ----------
    bound : callable
        ``bound(service)`` returns what cold servers of a service accept, None if they are never
        cold.
    clock, wall_time_s : callable
        Return the time, and the Unix time, in seconds.
    """

    def __init__(
        self,
        *,
        bound: Callable[[str], ColdBound | None] = lambda service: None,
        clock: Callable[[], float] = now_s,
        wall_time_s: Callable[[], float] = time.time,
    ) -> None:
        self._bound = bound
        self._clock = clock
        self._wall_time_s = wall_time_s
        self._records: dict[ServerRun, _Record] = {}
        # Runs that were listed, with whether an odd statement of theirs was logged.
        self._runs: OrderedDict[ServerRun, bool] = OrderedDict()
        self._listeners: list[ColdListener] = []

    @property
    def is_empty(self) -> bool:
        """Whether no server is cold."""
        return all(self.window(run) is None for run in list(self._records))

    def subscribe(self, listener: ColdListener) -> None:
        """Call ``listener(run, is_cold)`` after a server became cold or warm."""
        self._listeners.append(listener)

    def record_entry(self, instance: BackendInstance) -> None:
        """Record what the entry of a server states, and its start if the server is a new one."""
        if self._bound(instance.service) is None:
            return
        run, at_s = instance.run, self._clock()
        is_new = run not in self._runs
        self._remember(run, was_odd=False)
        left_s = self._check(run, instance.cold_s)
        age_s = max(0.0, self._wall_time_s() - run.started_ms / 1000)
        is_start = is_new and run.started_ms > 0 and age_s < _MAX_COLD_S
        record = self._records.get(run)
        if record is None:
            if not left_s and not is_start:
                return
            record = self._records[run] = _Record()
        record.service, record.updated_s = instance.service, at_s
        if is_start:
            record.started_s = at_s - age_s
        if left_s is not None:
            record.listed_until_s = at_s + left_s
        self.window(run)

    def record_answer(self, instance: BackendInstance, cold_s: float) -> None:
        """Record for how many seconds a server stays cold, as an answer of it states."""
        if self._bound(instance.service) is None:
            return
        left_s = self._check(instance.run, cold_s)
        if left_s:
            record = self._records.setdefault(instance.run, _Record())
            record.service = instance.service
            self._extend(instance.run, record, left_s, teller="")

    def merge(self, run: ServerRun, *, per_s: float, left_s: float, teller: str) -> None:
        """Record what node `teller` knows of a cold server: what it accepts, and for how long."""
        known = self.window(run)
        known_s = 0.0 if known is None else known.left_s
        checked_s = self._check(run, left_s)
        if not 0 <= per_s < math.inf or (checked_s or 0.0) <= known_s + _MIN_EXTENSION_S:
            return
        assert checked_s is not None
        record = self._records.setdefault(run, _Record())
        record.told_per_s = per_s
        self._extend(run, record, checked_s, teller=teller)

    def window(self, run: ServerRun) -> ColdWindow | None:
        """Return the time for which a server stays cold, or None if it is not."""
        record = self._records.get(run)
        if record is None:
            return None
        bound = self._bound_of(record)
        window = None if bound is None else record.window(bound, self._clock())
        if window is not None and math.isfinite(window.bound.per_s):
            if record.cold_since_s is None:
                self._begin(run, record, window)
            return window
        if bound is None or (window is None and not self._may_be_cold_later(record, bound)):
            del self._records[run]
        if record.cold_since_s is not None:
            self._end(run, record)
        return None

    def windows(self) -> dict[ServerRun, ColdWindow]:
        """Return the servers that are cold, each with the time for which it stays so."""
        found = {run: self.window(run) for run in list(self._records)}
        return {run: window for run, window in found.items() if window is not None}

    def _bound_of(self, record: _Record) -> ColdBound | None:
        if record.service:
            return self._bound(record.service)
        return ColdBound(start_s=0.0, per_s=record.told_per_s)

    def _may_be_cold_later(self, record: _Record, bound: ColdBound) -> bool:
        """Return whether a bound that becomes known may make a server cold by its start."""
        is_unknown = math.isinf(bound.per_s)
        return is_unknown and self._clock() < record.started_s + _MAX_COLD_S

    def _extend(self, run: ServerRun, record: _Record, left_s: float, *, teller: str) -> None:
        at_s = self._clock()
        if at_s + left_s > record.heard_until_s:
            record.heard_until_s, record.teller = at_s + left_s, teller
            record.updated_s = at_s
        self.window(run)

    def _check(self, run: ServerRun, cold_s: float | None) -> float | None:
        """Return the stated seconds within bounds, 0 for none, or None if they are odd."""
        if cold_s is None:
            return 0.0
        if 0.0 <= cold_s <= _MAX_COLD_S:
            return cold_s
        if not self._runs.get(run):
            self._remember(run, was_odd=True)
            logger.bind(step="limit", peer=run.instance_id, value=str(cold_s)).warning(
                "odd time for which a backend server stays cold"
            )
        return _MAX_COLD_S if cold_s > _MAX_COLD_S else None

    def _remember(self, run: ServerRun, *, was_odd: bool) -> None:
        self._runs[run] = was_odd or self._runs.get(run, False)
        if len(self._runs) > _MAX_RUNS:
            self._runs.popitem(last=False)

    def _begin(self, run: ServerRun, record: _Record, window: ColdWindow) -> None:
        """Log that a server is cold, and tell it to the listeners."""
        at_s = record.cold_since_s = self._clock()
        since_s = record.started_s if window.source == FROM_START else record.updated_s
        logger.bind(
            step="limit",
            peer=run.instance_id,
            service=record.service,
            source=window.source,
            left_s=round(window.left_s, 3),
            age_s=round(at_s - since_s, 3),
            limit_per_s=window.bound.rate_per_s,
            burst=window.bound.burst,
        ).info("backend server is cold")
        for listener in self._listeners:
            listener(run, True)

    def _end(self, run: ServerRun, record: _Record) -> None:
        """Log that a server is warm, and tell it to the listeners."""
        assert record.cold_since_s is not None
        for_s = round(self._clock() - record.cold_since_s, 3)
        record.cold_since_s = None
        logger.bind(step="limit", peer=run.instance_id, service=record.service, for_s=for_s).info(
            "backend server is warm"
        )
        for listener in self._listeners:
            listener(run, False)
