"""Message handlers of a node that acts as dispatcher."""

from collections.abc import Callable, Mapping

from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.placement._dispatcher import Dispatcher
from flamingoshelf.placement._engine_model import EngineModelState
from flamingoshelf.placement._messages import (
    AcquireTurn,
    ConfirmDecode,
    DecodeConfirmed,
    HeldTurnsReply,
    OwnerReport,
    OwnerReportReply,
    RegisterRuns,
    TurnGranted,
    TurnRefused,
    TurnUpdates,
)
from flamingoshelf.placement._refusals import no_retry_budget_refusal
from flamingoshelf.placement._runner import DispatcherRunner
from flamingoshelf.placement._types import PlacementRequest, Turn, request_id_of
from flamingoshelf.placement._workspace_limits import WorkspaceLimits
from flamingoshelf.refusals import Refusal
from flamingoshelf.retries import RetryBudget

__all__ = ["DispatcherService"]


class DispatcherService:
    """Handles the messages of other nodes to the dispatchers of this node.

    The dispatcher of a service is created with the first message for the service. It grants
    nothing until the other nodes have had time to register their runs.

    Parameters
    ----------
    new_dispatcher : callable
        ``new_dispatcher(service)`` returns a new dispatcher for a service.
    limits : WorkspaceLimits
        Rate limits of the workspaces.
    budget : callable
        ``budget(service)`` returns the retry budget for the requests that are placed here.
    other_nodes : callable
        Returns the names of the other nodes that may hold turns.
    """

    def __init__(
        self,
        *,
        new_dispatcher: Callable[[str], Dispatcher],
        limits: WorkspaceLimits,
        budget: Callable[[str], RetryBudget],
        other_nodes: Callable[[], set[str]],
    ) -> None:
        self._limits = limits
        self._budget = budget
        self._other_nodes = other_nodes
        self._new_dispatcher = new_dispatcher
        self._runners: dict[str, DispatcherRunner] = {}
        self._remembered_models: dict[str, EngineModelState] = {}

    def register(self, link: NodeLink) -> None:
        """Register the message handlers on a link."""
        link.register(AcquireTurn, self._on_acquire)
        link.register(ConfirmDecode, self._on_confirm)
        link.register(TurnUpdates, self._on_updates)
        link.register(OwnerReport, self._on_report)
        link.register(RegisterRuns, self._on_register)

    async def stop(self) -> None:
        """Stop all dispatchers."""
        for runner in self._runners.values():
            await runner.stop()

    def dispatchers(self) -> list[Dispatcher]:
        """Return the dispatchers of this node."""
        return [runner.dispatcher for runner in self._runners.values()]

    def runner(self, service: str) -> DispatcherRunner:
        """Return the dispatcher runner of a service; start one if there is none."""
        runner = self._runners.get(service)
        if runner is None:
            self._budget(service)  # creates the budget, which earns retries from now on
            awaited = self._other_nodes()
            runner = DispatcherRunner(dispatcher=self._new_dispatcher(service), awaited=awaited)
            if service in self._remembered_models:
                self._adopt_model(runner.dispatcher, self._remembered_models[service], peer=None)
            runner.start()
            self._runners[service] = runner
            logger.bind(step="dispatcher", service=service, awaited=len(awaited)).info(
                "dispatcher started"
            )
        return runner

    def remember_model(self, state: EngineModelState) -> None:
        """Keep measurements of engines, in case this node becomes the coordinator."""
        self._remembered_models[state.service] = state

    @property
    def remembered_models(self) -> tuple[EngineModelState, ...]:
        """Measurements of engines that a coordinator handed on."""
        return tuple(self._remembered_models.values())

    def _adopt_model(
        self, dispatcher: Dispatcher, state: EngineModelState, *, peer: str | None
    ) -> None:
        if dispatcher.model.adopt(state):
            logger.bind(
                step="dispatcher",
                service=state.service,
                peer=peer,
                measurements=state.measurements,
                tokens_per_event=state.tokens_per_event,
            ).info("measurements of engines taken over")

    async def acquire(self, request: PlacementRequest, owner: str) -> Turn | Refusal:
        """Check the retry budget and the rate limit, then wait for a turn."""
        if not self._charge_retry_budget(request, owner):
            return no_retry_budget_refusal(request.service)
        refusal = self._limits.charge(
            request.workspace, request.charge_tokens, is_resumed=request.is_resumed
        )
        if refusal is not None:
            self._budget(request.service).refund(request.repeat_cost)
            return refusal
        outcome: Turn | Refusal | None = None
        try:
            outcome = await self.runner(request.service).acquire(request, owner)
            return outcome
        finally:
            if not isinstance(outcome, Turn):  # the request was refused or cancelled
                self._limits.refund(request.workspace, request.charge_tokens)
                self._budget(request.service).refund(request.repeat_cost)

    def _charge_retry_budget(self, request: PlacementRequest, owner: str) -> bool:
        """Record a first attempt, or take a repeat from the fleet's retry budget.

        Return False if the budget can't pay for the repeat.
        """
        budget = self._budget(request.service)
        if not request.repeat_cost:
            budget.record_request()
            return True
        if budget.try_spend(request.repeat_cost):
            return True
        logger.bind(
            request_id=request_id_of(request.turn_id),
            step="retry",
            peer=owner,
            cost=request.repeat_cost,
        ).info("retry budget exhausted")
        return False

    async def confirm(self, message: ConfirmDecode) -> DecodeConfirmed:
        """Return the decode engine of a processed prompt, once it is chosen."""
        runner = self.runner(message.service)
        decode_id = await runner.confirm(message.turn_id)
        if decode_id is None and not runner.dispatcher.has_turn(message.turn_id):
            return DecodeConfirmed(is_known=False)
        return DecodeConfirmed(decode_id=decode_id or "")

    def spend(self, spent: Mapping[str, int]) -> dict[str, float]:
        """Charge plain calls; return exhausted workspaces and the seconds until each has tokens."""
        for workspace, tokens in spent.items():
            self._limits.spend(workspace, tokens)
        return self._limits.exhausted()

    def apply(self, peer: str, updates: TurnUpdates) -> None:
        """Apply a node's updates to the dispatcher of their service."""
        runner = self.runner(updates.service)
        dispatcher = runner.dispatcher
        for failed in updates.failed:
            dispatcher.engines.record_failure(
                failed.engine_id, failed.kind, detail=failed.detail, reporter=peer
            )
        for engine_id in updates.rejected:
            dispatcher.record_rejection(engine_id)
        for prompt in updates.prefilled:
            dispatcher.record_prefill(prompt.turn_id, seconds=prompt.seconds)
        for prompt in updates.slow:
            dispatcher.record_slow_prefill(prompt.turn_id, seconds=prompt.seconds)
        for turn_id in updates.started:
            dispatcher.record_start(turn_id)
        for run in updates.ended:
            runner.release(
                run.turn_id,
                events=run.events,
                seconds=run.seconds,
                outcome=run.outcome,
            )
        runner.decide()

    async def _on_acquire(self, peer: str, message: AcquireTurn) -> TurnGranted | TurnRefused:
        outcome = await self.acquire(message.request, peer)
        if isinstance(outcome, Turn):
            return TurnGranted(turn=outcome)
        return TurnRefused(refusal=outcome)

    async def _on_confirm(self, peer: str, message: ConfirmDecode) -> DecodeConfirmed:
        return await self.confirm(message)

    async def _on_updates(self, peer: str, updates: TurnUpdates) -> None:
        self.apply(peer, updates)

    async def _on_report(self, peer: str, report: OwnerReport) -> OwnerReportReply:
        unknown = []
        models = []
        for state in report.models:
            self._adopt_model(self.runner(state.service).dispatcher, state, peer=peer)
        for held in report.held:
            runner = self.runner(held.service)
            model = runner.dispatcher.model
            # Twice as many as the node knows, so that each node gets them a few times only.
            if model.measurements > 2 * report.known_measurements.get(held.service, 0):
                models.append(model.state)
            turn_ids = tuple(runner.dispatcher.reconcile(peer, held.turn_ids))
            if not turn_ids:
                runner.record_report(peer)
            unknown.append(HeldTurnsReply(service=held.service, unknown=turn_ids))
        return OwnerReportReply(
            held=tuple(unknown), exhausted=self.spend(report.spent), models=tuple(models)
        )

    async def _on_register(self, peer: str, message: RegisterRuns) -> None:
        runner = self.runner(message.service)
        for run in message.runs:
            runner.dispatcher.register(run, peer)
        runner.record_report(peer)
