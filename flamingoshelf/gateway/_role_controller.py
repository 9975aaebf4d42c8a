"""Adjusts the split of engines into prefill and decode roles to the load."""

import asyncio
from collections.abc import Callable, Sequence

from loguru import logger

from flamingoshelf.cluster import ExclusiveDuty, FencingToken
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.gateway._engine_control import EngineControl, OrderOutcome, RoleOrder
from flamingoshelf.placement import Dispatcher, RoleChange, RolePlanner
from flamingoshelf.routing import BackendInstance
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["RoleController"]

_PLAN_INTERVAL_S = 0.5  # short compared with a role change, which takes seconds
# When a service starts, its engines are listed one after another; plan only once all are listed.
_STABLE_LISTING_S = 1.2
_CONTINUATION_RETRY_S = 2.0  # between two orders for the same version; the first may be lost
_CHANGE_SLACK_S = 3.0  # beyond the stated duration of a change; then the engine counts as unchanged


class RoleController:
    """Plans and orders role changes of engines while this node is the coordinator.

    Parameters
    ----------
    dispatchers : callable
        Returns the dispatchers of this node.
    control : EngineControl
        Requests reports from engines, and sends them orders.
    duty : ExclusiveDuty
        Exclusive right to order engines, with its fencing token.
    holder : str
        Name of this node.
    may_order : callable
        Returns whether this node is the coordinator.
    metrics : Metrics
        Counts orders by outcome.
    by_cost : callable
        Returns whether prefill engines that are not needed change their role at once and together.
    evacuated : callable
        ``evacuated(service)`` returns the engines that only an evacuation keeps from new work.
    drain_s : callable
        Returns the seconds for which a leaving engine serves.
    """

    def __init__(
        self,
        *,
        dispatchers: Callable[[], list[Dispatcher]],
        control: EngineControl,
        duty: ExclusiveDuty,
        holder: str,
        may_order: Callable[[], bool],
        metrics: Metrics,
        by_cost: Callable[[], bool] = lambda: False,
        evacuated: Callable[[str], Sequence[BackendInstance]] = lambda service: (),
        drain_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._by_cost = by_cost
        self._evacuated = evacuated
        self._drain_s = drain_s
        self._continuations_s: dict[tuple[str, str], float] = {}  # by service and version
        self._dispatchers = dispatchers
        self._control = control
        self._duty = duty
        self._holder = holder
        self._may_order = may_order
        self._metrics = metrics
        self._planners: dict[str, RolePlanner] = {}
        self._listings: dict[str, tuple[frozenset[str], float]] = {}
        self._tasks = TaskGroup(owner="roles")

    async def start(self) -> None:
        """Start planning role changes periodically."""
        self._tasks.start(self._run(), name="roles")

    async def stop(self) -> None:
        """Stop planning."""
        await self._tasks.stop()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_PLAN_INTERVAL_S)
            if not self._may_order():
                continue
            for dispatcher in self._dispatchers():
                await self._adjust_roles(dispatcher)

    async def _adjust_roles(self, dispatcher: Dispatcher) -> None:
        """Plan role changes for one service and order them."""
        engines = dispatcher.engines
        engines.refresh(now_s())
        is_stable = self._is_listing_stable(dispatcher)
        planner = self._planners.get(dispatcher.service)
        if planner is None:
            planner = RolePlanner(releases_spare=self._by_cost())
            self._planners[dispatcher.service] = planner
        changes = self._plan_continuations(dispatcher, planner)
        if not changes and is_stable:
            changes = planner.plan(
                engines.with_role_changes_applied(),
                cost=dispatcher.request_cost(),
                load=engines.memory_load(now_s()),
                now_s=now_s(),
                evacuated=self._evacuated(dispatcher.service),
            )
        if not changes:
            return
        try:
            token = await self._duty.acquire()
        except FlamingoshelfError as error:
            logger.bind(step="duty", peer=error.peer).info("duty not acquired: {}", error.message)
            return
        if token is None:
            return
        planner.record_change(now_s())
        for change in changes:
            await self._order(dispatcher, change, token)

    def _plan_continuations(self, dispatcher: Dispatcher, planner: RolePlanner) -> list[RoleChange]:
        """Return the changes for streams whose software version is losing its decode engines."""
        now, engines, service = now_s(), dispatcher.engines, dispatcher.service
        stranded = {
            version: streams
            for version, streams in dispatcher.stranded_streams(drain_s=self._drain_s()).items()
            if now
            >= self._continuations_s.get((service, version), float("-inf")) + _CONTINUATION_RETRY_S
        }
        if not stranded:
            return []
        load, cost = engines.memory_load(now), dispatcher.request_cost()
        changes = planner.plan_continuations(
            engines.with_role_changes_applied(),
            stranded,
            cost=cost,
            load=load,
            change_s=engines.role_change_s,
        )
        self._continuations_s = {
            **{key: at_s for key, at_s in self._continuations_s.items() if key[0] != service},
            **{(service, version): now for version in stranded},
        }
        logger.bind(
            step="plan",
            service=service,
            streams=stranded,
            engines=[change.engine.key for change in changes],
            load=round(load, 3),
            cost=cost,
        ).info("streams have no other decode engine of their version")
        return changes

    def _is_listing_stable(self, dispatcher: Dispatcher) -> bool:
        """Return whether the list of engines is not empty and unchanged for `_STABLE_LISTING_S`."""
        keys = dispatcher.engines.listed_keys()
        listing = self._listings.get(dispatcher.service)
        if listing is None or listing[0] != keys:
            self._listings[dispatcher.service] = (keys, now_s())
            return False
        return bool(keys) and now_s() - listing[1] >= _STABLE_LISTING_S

    async def _order(self, dispatcher: Dispatcher, change: RoleChange, token: FencingToken) -> None:
        """Order one role change, unless the engine's report or the token forbids it."""
        engine = change.engine
        log = logger.bind(step="order", peer=engine.key, role=change.role.value, token=token.number)
        if not dispatcher.engines.has_permit(engine.key):
            log.info("role change not ordered; the engine is at its limit")
            return
        dispatcher.engines.spend_permit(engine.key)
        try:
            report = await self._control.report(engine)
        except FlamingoshelfError as error:
            log.info("role change not ordered; no report from the engine: {}", error)
            return
        try:
            if report.is_changing or report.role is change.role:
                log.info(
                    "role change not ordered; engine has role {} (changing: {})",
                    report.role,
                    report.is_changing,
                )
                return
            if not self._duty.is_valid(token):
                log.warning("role change not ordered; fencing token expired")
                return
            order = RoleOrder(
                role=change.role,
                holder=self._holder,
                token=token.number,
                expected_order_count=report.order_count,
            )
            dispatcher.engines.spend_permit(engine.key)
            outcome = await self._control.order(engine, order)
        except FlamingoshelfError as error:
            # The order may still be carried out; the engine's reports and store entry will show it.
            log.warning("role change not confirmed: {}", error)
            self._metrics.count_event("orders_unanswered")
            return
        log.info("role change order answered: {}", outcome.value)
        self._metrics.count_event(f"orders_{outcome.value}")
        if outcome is OrderOutcome.ACCEPTED:
            dispatcher.engines.record_role_change(
                engine.key, role=change.role, slack_s=_CHANGE_SLACK_S
            )
