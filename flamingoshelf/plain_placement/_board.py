"""The coordinator's side: the ledgers of all services, and the replies that wait for them."""

import asyncio
import math
from collections.abc import Callable, Sequence

import attrs
from loguru import logger

from flamingoshelf.plain_placement._costs import CallKind
from flamingoshelf.plain_placement._ledger import ServiceLedger
from flamingoshelf.plain_placement._messages import (
    HOLD_S,
    PlacePlainCall,
    PlainCallPlaced,
    PlainCallsEnded,
)
from flamingoshelf.plain_placement._types import (
    CallId,
    Outcome,
    PlacedServer,
    Placement,
    PlacementRequest,
)
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import now_s

__all__ = ["PlacementBoard"]

_ABSENCE_S = 0.15  # after the end of a hold, until a call whose node hasn't asked again is dropped
# A call granted longer ago than this is known to its node, and is in its complete reports.
_MIN_ABSENT_AGE_S = 0.3
_MAX_SERVICES = 64
_MIN_LOG_INTERVAL_S = 1.0  # between two lines about messages that are ignored


@attrs.define(kw_only=True)
class _Entry:
    """A call without a reply yet."""

    decision: asyncio.Future[Placement | None]  # None if another node decides
    service: str
    asked_s: float
    hold_s: float
    is_told: bool = False  # the decision was; it is repeated if that reply is lost


class PlacementBoard:
    """Ledgers of the services, as one node keeps them for all.

    Parameters
    ----------
    servers : callable
        ``servers(service)`` returns the servers that accept new calls.
    metrics : Metrics
        Receives the waiting calls, the outstanding work and the refusals.
    """

    def __init__(
        self, *, servers: Callable[[str], Sequence[PlacedServer]], metrics: Metrics
    ) -> None:
        self._servers = servers
        self._metrics = metrics
        self._ledgers: dict[str, ServiceLedger] = {}
        self._entries: dict[CallId, _Entry] = {}
        self._logged_s = -math.inf
        self._fault_logged_s = -math.inf
        self._ignored = 0
        self._measured: set[str] = set()  # servers with a gauge

    @property
    def ledgers(self) -> dict[str, ServiceLedger]:
        """Ledgers by service."""
        return self._ledgers

    @property
    def has_waiting(self) -> bool:
        """Whether a call has no reply yet."""
        return any(ledger.waiting_count for ledger in self._ledgers.values())

    def restart(self) -> None:
        """Forget all calls; the nodes of those that wait ask the new coordinator."""
        for service, ledger in self._ledgers.items():
            self._metrics.set_gauge("plain_waiting", 0, service=service)
            for server in ledger.outstanding():
                self._metrics.set_gauge("plain_outstanding_seconds", 0, server=server)
        self._ledgers.clear()
        for entry in self._entries.values():
            if not entry.decision.done():
                entry.decision.set_result(None)
        self._entries.clear()

    async def place(self, owner: str, message: PlacePlainCall) -> PlainCallPlaced:
        """Return the decision about a call, or that it waits."""
        now = now_s()
        call_id = CallId(owner=owner, number=message.call)
        entry = self._entries.get(call_id)
        if entry is None:
            entry = self._submit(owner, message, call_id)
        if entry is None:
            return PlainCallPlaced()
        entry.asked_s = now
        entry.hold_s = message.sound_hold_s
        if not entry.decision.done():
            await asyncio.wait([entry.decision], timeout=entry.hold_s)
        if not entry.decision.done():
            return PlainCallPlaced(waits=True)
        is_repeated, entry.is_told = entry.is_told, True
        placement = entry.decision.result()
        if placement is None:
            return PlainCallPlaced(has_moved=True)
        if placement.retry_after_s is not None and not is_repeated:
            self._metrics.count_event("plain_calls_refused")
        return PlainCallPlaced(
            server=placement.server or "",
            retry_after_s=placement.retry_after_s,
            expected_s=round(placement.expected_s, 4),
            running=placement.running,
            waiting=placement.waiting,
        )

    def record(self, owner: str, report: PlainCallsEnded) -> None:
        """Record the ends of a node's calls, and its running calls.

        Calls that an earlier coordinator has placed are added, and those that are absent from a
        complete report are dropped, as their ends were lost.
        """
        for running in report.running:
            age_ok = 0 <= running.age_s < 60 and 0 <= running.left_s < 3600
            ledger = self._ledger(running.service) if age_ok else None
            if ledger is None:
                self._ignore(owner, "running call")
                continue
            request = PlacementRequest(
                call=CallId(owner=owner, number=running.call),
                kind=CallKind(service=running.service, route=running.route),
                deadline_s=now_s() + running.left_s,
            )
            ledger.add_running(request, running.server, age_s=running.age_s)
        for ended in report.ended:
            call_id = CallId(owner=owner, number=ended.call)
            outcome, duration_s = ended.known_outcome, ended.sound_duration_s
            ledger = self._ledgers.get(ended.service)
            entry = self._entries.pop(call_id, None)
            if entry is not None and not entry.decision.done():
                entry.decision.set_result(Placement())
            is_known = ledger is not None and ledger.end(
                call_id,
                Outcome.WITHDRAWN if outcome is None else outcome,
                duration_s=duration_s,
                pause_s=ended.sound_pause_s,
            )
            if outcome is None or duration_s != ended.duration_s or not is_known:
                self._ignore(owner, "end of a call")
        if report.is_complete:
            numbers = {running.call for running in report.running}
            for ledger in self._ledgers.values():
                ledger.drop_absent(owner, numbers, min_age_s=_MIN_ABSENT_AGE_S)

    def tick(self) -> None:
        """Decide what the time has changed; drop waiting calls whose nodes no longer ask."""
        oldest_s = now_s() - _ABSENCE_S
        for call_id, entry in list(self._entries.items()):
            if entry.asked_s + entry.hold_s < oldest_s:
                del self._entries[call_id]
                ledger = self._ledgers.get(entry.service)
                if ledger is not None and not entry.is_told:
                    ledger.end(call_id, Outcome.WITHDRAWN)
        for service, ledger in self._ledgers.items():
            try:
                ledger.decide()
            except Exception:  # a fault in one service must not stop the others
                if now_s() - self._fault_logged_s >= _MIN_LOG_INTERVAL_S:
                    self._fault_logged_s = now_s()
                    logger.bind(step="place", service=service).exception("no decision")

    def report_metrics(self) -> None:
        """Set the gauges of waiting calls and outstanding work."""
        outstanding: dict[str, float] = {}
        for service, ledger in self._ledgers.items():
            self._metrics.set_gauge("plain_waiting", ledger.waiting_count, service=service)
            outstanding.update(ledger.outstanding())
        for server in self._measured - outstanding.keys():
            self._metrics.set_gauge("plain_outstanding_seconds", 0, server=server)
        for server, work_s in outstanding.items():
            self._metrics.set_gauge("plain_outstanding_seconds", work_s, server=server)
        self._measured = set(outstanding)

    def _submit(self, owner: str, message: PlacePlainCall, call_id: CallId) -> _Entry | None:
        ledger = self._ledger(message.service)
        try:
            request = message.to_request(owner, now_s())
        except ValueError as error:
            self._ignore(owner, str(error))
            return None
        if ledger is None:
            return None
        decision: asyncio.Future[Placement | None] = asyncio.get_running_loop().create_future()
        entry = _Entry(decision=decision, service=message.service, asked_s=now_s(), hold_s=HOLD_S)
        self._entries[call_id] = entry

        def on_decision(placement: Placement) -> None:
            if not decision.done():
                decision.set_result(placement)

        ledger.submit(request, on_decision)
        return entry

    def _ledger(self, service: str) -> ServiceLedger | None:
        """Return the ledger of a service, or None if none of its servers is known."""
        ledger = self._ledgers.get(service)
        if ledger is None and len(self._ledgers) < _MAX_SERVICES and self._servers(service):
            ledger = self._ledgers[service] = ServiceLedger(
                service=service, servers=lambda: self._servers(service), clock=now_s
            )
        return ledger

    def _ignore(self, owner: str, what: str) -> None:
        """Log that a message was ignored, once in a while."""
        self._ignored += 1
        if now_s() - self._logged_s >= _MIN_LOG_INTERVAL_S:
            self._logged_s = now_s()
            logger.bind(step="place", peer=owner, ignored=self._ignored).info(
                "report about a plain call ignored: {}", what
            )
