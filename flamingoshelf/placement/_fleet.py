"""Placement of requests through the dispatcher of the fleet's coordinator."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.cluster import CallRecord, Coordination
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.placement._coordinator_calls import CoordinatorCalls
from flamingoshelf.placement._health import FailureKind
from flamingoshelf.placement._messages import (
    AcquireTurn,
    ConfirmDecode,
    DecodeConfirmed,
    EndedRun,
    FailedEngine,
    HeldTurns,
    OwnerReport,
    OwnerReportReply,
    PrefilledPrompt,
    RegisterRuns,
    TurnGranted,
    TurnRefused,
    TurnUpdates,
)
from flamingoshelf.placement._plain_calls import PlainCallMeter
from flamingoshelf.placement._refusals import no_decision_refusal
from flamingoshelf.placement._service import DispatcherService
from flamingoshelf.placement._types import (
    DecodeRun,
    PlacementRequest,
    RunOutcome,
    Turn,
    request_id_of,
)
from flamingoshelf.refusals import Refusal
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["FleetPlacer"]

_FLUSH_DELAY_S = 0.002  # updates within this time share one message
_REPORT_INTERVAL_S = 0.25  # the dispatcher releases lost turns within four of them
# Reports to one coordinator; each takes 0.1 ms of its CPU time, so large fleets report less often.
_MAX_REPORTS_PER_S = 600.0
_REPORT_TIMEOUT_S = 0.4  # longer than any reply of a healthy node takes
_CONFIRM_TIMEOUT_S = 0.45  # about the lifetime of a prefill's KV cache handle
_REFUSAL_LEAD_S = 0.1  # a refusal must reach the caller before it leaves
_ASK_AGAIN_DELAY_S = 0.01  # after a lost reply
_EARLIER_TOKENS_PER_EVENT = 8  # as dispatchers of earlier versions count
_REPLY_SLACK_S = 0.5  # beyond the request's own wait, by whose end the dispatcher must have replied


@attrs.define(kw_only=True)
class _HeldTurn:
    """A turn that this node holds."""

    turn: Turn
    request: PlacementRequest
    decode_id: str
    started_s: float | None = None


class FleetPlacer:
    """`Placer` that requests turns from the coordinator's dispatcher.

    While this node isn't connected to the fleet, it uses its own dispatcher.

    Parameters
    ----------
    node_name : str
        Name of this node.
    dispatchers : DispatcherService
        Dispatchers of this node.
    plain_calls : PlainCallMeter
        Counter of the plain calls of this node.
    placed_services : callable
        Returns the names of the services whose requests are placed.
    """

    def __init__(
        self,
        *,
        node_name: str,
        dispatchers: DispatcherService,
        plain_calls: PlainCallMeter,
        placed_services: Callable[[], list[str]],
    ) -> None:
        self._plain_calls = plain_calls
        self._placed_services = placed_services
        self._node_name = node_name
        self._dispatchers = dispatchers
        self._link: NodeLink | None = None
        self._coordination: Coordination | None = None
        self._held: dict[str, _HeldTurn] = {}
        self._reported_coordinator: str | None = None  # coordinator that knows the held turns
        self._reported_any_turns = False  # whether the last report listed turns
        self._pending_updates: dict[str, list[Callable[[dict[str, list[Any]]], None]]] = {}
        self._calls = CoordinatorCalls(
            node_name=node_name, dispatchers=dispatchers, on_lost_reply=self._report_again
        )
        self._tasks = TaskGroup(owner="placer")

    async def start(self) -> None:
        """Start to report the turns of this node to the coordinator."""
        self._tasks.start(self._report(), name="report")

    async def stop(self) -> None:
        """Stop reporting and cancel all tasks."""
        await self._tasks.stop()

    def connect(self, link: NodeLink, coordination: Coordination) -> None:
        """Use the dispatcher of the fleet's coordinator from now on."""
        self._link = link
        self._coordination = coordination
        self._calls.connect(link, coordination)

    async def acquire(self, request: PlacementRequest) -> Turn | Refusal:
        """Return a granted turn or a refusal; ask again if the coordinator is lost.

        A request that gets no decision is refused shortly before its caller leaves.
        """
        requested_s = now_s()
        bound_s = request.wait_left_s - min(_REFUSAL_LEAD_S, request.wait_left_s / 2)
        record = CallRecord()
        asking = asyncio.ensure_future(
            self._ask_for_turn(request, until_s=requested_s + bound_s, record=record)
        )
        try:
            await asyncio.wait({asking}, timeout=max(0.0, bound_s))
        except asyncio.CancelledError:
            asking.cancel()
            self._withdraw(request)
            raise
        outcome = asking.result() if asking.done() else None
        waited_s = now_s() - requested_s
        if outcome is None:
            self._tasks.start(self._withdraw_late(request, asking), name="late_reply")
            self._log_no_decision(request, record, waited_s=waited_s)
            return no_decision_refusal(request.service)
        if isinstance(outcome, Turn):
            self._log_turn(outcome, request, waited_s=waited_s)
            self._held[request.turn_id] = _HeldTurn(
                turn=outcome, request=request, decode_id=outcome.decode_id
            )
        return outcome

    async def _ask_for_turn(
        self, request: PlacementRequest, *, until_s: float, record: CallRecord
    ) -> Turn | Refusal | None:
        """Return the dispatcher's decision; None if the last reply by `until_s` was lost."""
        requested_s = now_s()
        while True:
            waited_s = now_s() - requested_s
            current = attrs.evolve(
                request,
                goal_left_s=request.goal_left_s - waited_s,
                wait_left_s=request.wait_left_s - waited_s,
                deadline_left_s=request.deadline_left_s - waited_s,
            )
            outcome = await self._request_turn(current, record)
            if outcome is not None or now_s() >= until_s:
                return outcome
            await asyncio.sleep(_ASK_AGAIN_DELAY_S)

    async def _withdraw_late(
        self, request: PlacementRequest, asking: asyncio.Future[Turn | Refusal | None]
    ) -> None:
        """Withdraw a refused request once its reply came or is lost, so that a loss is noticed."""
        await asking
        self._withdraw(request)

    def _log_no_decision(
        self, request: PlacementRequest, record: CallRecord, *, waited_s: float
    ) -> None:
        logger.bind(
            request_id=request_id_of(request.turn_id),
            step="place",
            peer=None if self._coordination is None else self._coordination.coordinator,
            turn=request.turn_id,
            waited_s=round(waited_s, 3),
            unknown_s=round(record.unknown_s, 3),
            lost_replies=record.lost_replies,
            leaves_in_s=round(request.wait_left_s - waited_s, 3),
        ).warning("no turn in time")

    def _log_turn(self, turn: Turn, request: PlacementRequest, *, waited_s: float) -> None:
        coordinator = None if self._coordination is None else self._coordination.coordinator
        logger.bind(
            request_id=request_id_of(turn.turn_id),
            step="place",
            peer=coordinator,
            turn=turn.turn_id,
            prefill=turn.prefill_id,
            decode=turn.decode_id,
            prompt_tokens=request.prompt_tokens,
            expected_tokens=request.expected_tokens,
            waited_s=round(waited_s, 4),
            goal_left_s=round(request.goal_left_s - waited_s, 3),
            is_late=turn.is_late,
        ).info("placed")

    async def confirm(self, turn: Turn) -> str | None:
        """Return the decode engine for a processed prompt, or None if none has room in time."""
        payload = ConfirmDecode(service=turn.service, turn_id=turn.turn_id)
        reply = await self._calls.request(payload, timeout_s=_CONFIRM_TIMEOUT_S)
        if isinstance(reply, DecodeConfirmed) and reply.is_known:
            decode_id = reply.decode_id or None
        else:  # the dispatcher is lost or new: use the engine expected at the grant
            decode_id = turn.decode_id
        held = self._held.get(turn.turn_id)
        if held is not None and decode_id is not None:
            held.decode_id = decode_id
        return decode_id

    def record_prefill(self, turn: Turn, *, seconds: float) -> None:
        """Report that the prefill is done; it took `seconds`."""
        prompt = PrefilledPrompt(turn_id=turn.turn_id, seconds=seconds)
        self._queue_update(turn.service, "prefilled", prompt)

    def record_slow_prefill(self, turn: Turn, *, seconds: float) -> None:
        """Report that the prefill wasn't done after `seconds`."""
        prompt = PrefilledPrompt(turn_id=turn.turn_id, seconds=seconds)
        self._queue_update(turn.service, "slow", prompt)

    def record_start(self, turn: Turn) -> None:
        """Report the first event of the answer."""
        held = self._held.get(turn.turn_id)
        if held is not None:
            held.started_s = now_s()
        self._queue_update(turn.service, "started", turn.turn_id)

    def release(self, turn: Turn, *, events: int, seconds: float, outcome: RunOutcome) -> None:
        """Release the turn; `events` came, the last of them `seconds` after the first."""
        run = EndedRun(
            turn_id=turn.turn_id,
            tokens=events * _EARLIER_TOKENS_PER_EVENT,
            events=events,
            seconds=round(seconds, 4),
            outcome=outcome,
        )
        self._queue_update(turn.service, "ended", run)

    def record_failure(
        self, service: str, engine_id: str, kind: FailureKind, *, detail: str
    ) -> None:
        """Report that an engine failed a call."""
        failed = FailedEngine(engine_id=engine_id, kind=kind, detail=detail)
        self._queue_update(service, "failed", failed)

    def record_rejection(self, service: str, engine_id: str) -> None:
        """Report that an engine refused work for lack of room."""
        self._queue_update(service, "rejected", engine_id)

    async def _request_turn(
        self, request: PlacementRequest, record: CallRecord
    ) -> Turn | Refusal | None:
        """Return the dispatcher's decision, or None if the reply was lost."""
        timeout_s = max(0.0, request.wait_left_s) + _REPLY_SLACK_S
        payload = AcquireTurn(request=request)
        reply = await self._calls.request(payload, timeout_s=timeout_s, record=record)
        match reply:
            case TurnGranted():
                return reply.turn
            case TurnRefused():
                return reply.refusal
        return None

    def _report_again(self) -> None:
        """Report to the coordinator again, as a lost reply may have granted a turn."""
        self._reported_coordinator = None

    def _withdraw(self, request: PlacementRequest) -> None:
        """Tell the dispatcher that the caller no longer waits for a turn."""
        self._queue_update(request.service, "ended", EndedRun(turn_id=request.turn_id))

    def _queue_update(self, service: str, field: str, value: Any) -> None:
        """Queue an update; all updates of a service are sent together after a short delay."""
        pending = self._pending_updates.get(service)
        if pending is None:
            pending = self._pending_updates[service] = []
            self._tasks.start(self._flush(service), name="flush")
        pending.append(lambda fields: fields.setdefault(field, []).append(value))

    async def _flush(self, service: str) -> None:
        """Send the queued updates of a service to the coordinator's dispatcher."""
        await asyncio.sleep(_FLUSH_DELAY_S)
        fields: dict[str, list[Any]] = {}
        for add in self._pending_updates.pop(service):
            add(fields)
        updates = TurnUpdates(
            service=service, **{name: tuple(values) for name, values in fields.items()}
        )
        for run in updates.ended:  # reports list the turn as held until here
            self._held.pop(run.turn_id, None)
        coordinator = None if self._coordination is None else self._coordination.coordinator
        if self._link is None or coordinator in (None, self._node_name):
            self._dispatchers.apply(self._node_name, updates)
        else:
            assert coordinator is not None
            self._link.notify(coordinator, updates)

    async def _report(self) -> None:
        """Report to the coordinator periodically and whenever it changes."""
        while True:
            await self._wait_for_report()
            coordinator = None if self._coordination is None else self._coordination.coordinator
            if self._link is not None and coordinator is not None:
                await self._report_to(coordinator)
                continue
            spent = self._plain_calls.pop_spent_tokens()
            self._plain_calls.set_exhausted(self._dispatchers.spend(spent))

    async def _wait_for_report(self) -> None:
        """Wait until the report interval has passed or the coordinator changes."""
        if self._coordination is None:
            await asyncio.sleep(_REPORT_INTERVAL_S)
            return
        nodes = len(self._coordination.members)
        try:
            async with asyncio.timeout(max(_REPORT_INTERVAL_S, nodes / _MAX_REPORTS_PER_S)):
                await self._coordination.wait_for_coordinator_change(self._coordination.coordinator)
        except TimeoutError:
            return

    async def _report_to(self, coordinator: str) -> None:
        """Send a report if the coordinator may not know its content, or may have lost it."""
        assert self._link is not None
        is_needed = self._held or self._reported_any_turns or self._plain_calls.needs_report
        if coordinator == self._reported_coordinator and not is_needed:
            return
        models = self._dispatchers.remembered_models
        held: dict[str, list[str]] = {service: [] for service in self._placed_services()}
        for turn_id, item in self._held.items():
            held.setdefault(item.turn.service, []).append(turn_id)
        report = OwnerReport(
            held=tuple(
                HeldTurns(service=service, turn_ids=tuple(turn_ids))
                for service, turn_ids in held.items()
            ),
            spent=self._plain_calls.pop_spent_tokens(),
            models=models if coordinator != self._reported_coordinator else (),
            known_measurements={state.service: state.measurements for state in models},
        )
        try:
            reply = await self._link.request(coordinator, report, timeout_s=_REPORT_TIMEOUT_S)
        except FlamingoshelfError as error:
            self._reported_coordinator = None
            logger.bind(step="report", peer=coordinator).debug(
                "report to coordinator failed: {}", error.message
            )
            return
        assert isinstance(reply, OwnerReportReply)
        self._reported_coordinator = coordinator
        self._reported_any_turns = any(held.values())
        self._plain_calls.set_exhausted(reply.exhausted)
        for state in reply.models:
            self._dispatchers.remember_model(state)
        for held_reply in reply.held:
            runs = [_to_run(self._held[key]) for key in held_reply.unknown if key in self._held]
            if runs:
                payload = RegisterRuns(service=held_reply.service, runs=tuple(runs))
                self._link.notify(coordinator, payload)


def _to_run(held: _HeldTurn) -> DecodeRun:
    """Return a held turn as a run that another dispatcher can register."""
    age_s = -1.0 if held.started_s is None else now_s() - held.started_s
    return DecodeRun(
        turn_id=held.turn.turn_id,
        decode_id=held.decode_id,
        prompt_tokens=held.request.prompt_tokens,
        expected_tokens=held.request.expected_tokens,
        resumed_events=held.request.resumed_events,
        age_s=age_s,
    )
