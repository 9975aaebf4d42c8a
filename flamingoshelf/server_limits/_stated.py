"""Limits that backend servers state in their answers."""

import math
from collections import OrderedDict
from collections.abc import Callable

import attrs
from loguru import logger

from flamingoshelf.routing import ServerRun
from flamingoshelf.server_limits._cold import ColdServers
from flamingoshelf.utils import now_s

__all__ = ["LimitStatement", "StatedLimits"]

_MAX_RECORDS = 4096  # servers with a limit; those of the oldest statements have left long ago
_MIN_LOG_INTERVAL_S = 1.0  # between two lines of a server whose limit changes with each answer
_ENDED_MEMORY_S = 30.0  # longer than an older statement takes from any node to this one
_MEMORY_S = 600.0  # a server in use repeats its limit; this one has left or gets no requests


@attrs.frozen(kw_only=True)
class LimitStatement:
    """What an answer of a server states about its limit.

    Parameters
    ----------
    per_s : float or None
        Requests per second that the server accepts from all nodes together; None if it states no
        limit.
    sent_s, received_s : float
        Time at which the request was sent and its answer arrived, by this node's clock.
    source : str
        Node that received the answer; empty if it was this one.
    """

    per_s: float | None
    sent_s: float
    received_s: float
    source: str = ""

    @property
    def is_own(self) -> bool:
        """Whether this node received the answer."""
        return not self.source

    def supersedes(self, other: "LimitStatement") -> bool:
        """Return whether this statement holds in place of another one.

        A later one does. Answers to requests that overlap may arrive in any order; of these the
        stricter statement holds, as the next answer ends it if it was the earlier one.
        """
        if self.sent_s >= other.received_s:
            return True
        if other.sent_s >= self.received_s:
            return False
        if self._rate == other._rate:
            return self.is_own
        return self._rate < other._rate

    @property
    def _rate(self) -> float:
        return math.inf if self.per_s is None else self.per_s


@attrs.define(kw_only=True)
class _Record:
    statement: LimitStatement
    limited_since_s: float
    requests: int = 0  # sent by this node since the limit was known
    logged_s: float = -math.inf


class StatedLimits:
    """The last statement of each server that has stated a limit, received here or elsewhere.

    A statement holds for one run of a server, until a later answer states another limit or none.
    What cold servers accept is a limit as well; of two limits the smaller one holds.

    Parameters
    ----------
    cold : ColdServers or None
        Servers that are cold; by default servers never are.
    """

    def __init__(self, *, cold: ColdServers | None = None) -> None:
        self._cold = cold or ColdServers()
        self._records: OrderedDict[ServerRun, _Record] = OrderedDict()
        self._listeners: list[Callable[[ServerRun, LimitStatement], None]] = []

    @property
    def cold(self) -> ColdServers:
        """Servers that are cold."""
        return self._cold

    @property
    def is_empty(self) -> bool:
        """Whether no server has stated a limit lately, and none is cold."""
        return not self._records and self._cold.is_empty

    def subscribe(self, listener: Callable[[ServerRun, LimitStatement], None]) -> None:
        """Call ``listener(run, statement)`` after each change of a limit that one states."""
        self._listeners.append(listener)

    def record_answer(self, run: ServerRun, per_s: float | None, *, sent_s: float) -> None:
        """Record what an answer to a request that was sent at `sent_s` states, None for no limit.

        A value that is negative or not finite is ignored.
        """
        if per_s is None and run not in self._records:
            return
        if per_s is not None and not 0 <= per_s < math.inf:
            logger.bind(step="limit", peer=run.instance_id, value=str(per_s)).warning(
                "limit that a backend server states ignored"
            )
            return
        statement = LimitStatement(per_s=per_s, sent_s=sent_s, received_s=now_s())
        self.merge(run, statement)

    def merge(self, run: ServerRun, statement: LimitStatement) -> None:
        """Add a statement, unless one that supersedes it is known."""
        record = self._records.get(run)
        if record is None:
            if statement.per_s is None or _is_outdated(statement):
                return
            record = _Record(statement=statement, limited_since_s=now_s())
            self._records[run] = record
            if len(self._records) > _MAX_RECORDS:
                self._records.popitem(last=False)
            self._report(run, record, before=None)
            return
        before = record.statement
        if not statement.supersedes(before):
            return
        record.statement = statement
        if before.per_s == statement.per_s:
            return
        if before.per_s is None:
            record.limited_since_s, record.requests = now_s(), 0
        self._report(run, record, before=before.per_s)

    def count_request(self, run: ServerRun) -> None:
        """Count a request that this node sends, for the log."""
        record = self._records.get(run)
        if record is not None:
            record.requests += 1

    def limit(self, run: ServerRun) -> float | None:
        """Return the requests per second that a server accepts, or None if it has no limit."""
        record = self._records.get(run)
        per_s = None if record is None else record.statement.per_s
        window = self._cold.window(run)
        if window is None:
            return per_s
        cold_per_s = window.bound.rate_per_s
        return cold_per_s if per_s is None else min(per_s, cold_per_s)

    def limited(self) -> dict[ServerRun, float]:
        """Return the servers that have a limit, each with its requests per second."""
        limits = {run: self.limit(run) for run in (*self.statements(), *self._cold.windows())}
        return {run: per_s for run, per_s in limits.items() if per_s is not None}

    def statements(self) -> dict[ServerRun, LimitStatement]:
        """Return the statements, those that ended a limit for some time only."""
        for run, record in list(self._records.items()):
            if _is_outdated(record.statement):
                del self._records[run]
        return {run: record.statement for run, record in self._records.items()}

    def _report(self, run: ServerRun, record: _Record, *, before: float | None) -> None:
        """Log a change, and tell it to the listeners."""
        statement = record.statement
        log = logger.bind(
            step="limit",
            peer=run.instance_id,
            limit_per_s=statement.per_s,
            before=before,
            source=statement.source or "server",
            for_s=round(now_s() - record.limited_since_s, 3),
            sent=record.requests,
        )
        if statement.per_s is None:
            log.info("backend server no longer limits its requests")
        elif before is None:
            log.info("backend server limits its requests")
        elif now_s() - record.logged_s >= _MIN_LOG_INTERVAL_S:
            record.logged_s = now_s()
            log.info("backend server changed the limit of its requests")
        for listener in self._listeners:
            listener(run, statement)


def _is_outdated(statement: LimitStatement) -> bool:
    memory_s = _ENDED_MEMORY_S if statement.per_s is None else _MEMORY_S
    return statement.received_s < now_s() - memory_s
