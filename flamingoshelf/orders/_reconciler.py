"""Reconciliation of backend servers with their desired state."""

import asyncio
import random
from collections.abc import Callable, Mapping

import attrs
from loguru import logger

from flamingoshelf.base import Duty, Ownership
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.objects import Catalog
from flamingoshelf.orders._client import ObservedServer, OrderClient, ServerOrder
from flamingoshelf.orders._desired import DesiredServer, desired_servers, model_version
from flamingoshelf.orders._permits import LoadPermits
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["OrderReconciler"]

_RECONCILE_INTERVAL_S = 1.0
_OBSERVE_INTERVAL_S = 10.0
_BACKOFF_MIN_S = 1.0
_BACKOFF_MAX_S = 30.0


@attrs.define(kw_only=True)
class _Schedule:
    """Time of the next reconciliation of a server, and the backoff after a failure."""

    desired: DesiredServer
    due_s: float
    backoff_s: float = _BACKOFF_MIN_S


class OrderReconciler:
    """Sends orders to the servers whose order duty this node holds.

    Parameters
    ----------
    client : OrderClient
        Observes servers and sends the orders.
    ownership : Ownership
        Holders of the order duties of servers.
    permits : LoadPermits
        Permits to load weights.
    catalog : callable
        Returns the catalog in force.
    count_event : callable
        ``count_event(event, amount)`` counts orders and refusals.
    random_source : random.Random
        Source of the jitter of observations and retries.
    """

    def __init__(
        self,
        *,
        client: OrderClient,
        ownership: Ownership,
        permits: LoadPermits,
        catalog: Callable[[], Catalog],
        count_event: Callable[[str, int], None],
        random_source: random.Random,
    ) -> None:
        self._client = client
        self._ownership = ownership
        self._permits = permits
        self._catalog = catalog
        self._count_event = count_event
        self._random = random_source
        self._schedules: dict[str, _Schedule] = {}
        self._tasks = TaskGroup(owner="orders")

    async def start(self) -> None:
        """Start reconciling."""
        self._tasks.start(self._run(), name="run")

    async def stop(self) -> None:
        """Stop reconciling."""
        await self._tasks.stop()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_RECONCILE_INTERVAL_S)
            due = self._due_servers()
            await asyncio.gather(*(self._reconcile(schedule) for schedule in due))

    def _due_servers(self) -> list[_Schedule]:
        """Update the schedules of held servers and return those that are due.

        A server whose desired state has changed is due immediately.
        """
        held = [
            server
            for server in desired_servers(self._catalog())
            if self._ownership.holds(Duty.BACKEND_ORDERS, server.name)
        ]
        schedules = {}
        for server in held:
            previous = self._schedules.get(server.name)
            is_unchanged = previous is not None and previous.desired == server
            schedules[server.name] = (
                previous if previous and is_unchanged else _Schedule(desired=server, due_s=now_s())
            )
        self._schedules = schedules
        return [schedule for schedule in schedules.values() if schedule.due_s <= now_s()]

    async def _reconcile(self, schedule: _Schedule) -> None:
        try:
            is_done = await self._reconcile_once(schedule.desired)
        except FlamingoshelfError as error:
            logger.bind(step=error.step, peer=schedule.desired.name).warning(
                "reconciliation failed: {}", error
            )
            schedule.due_s = now_s() + schedule.backoff_s * self._random.uniform(0.5, 1.0)
            schedule.backoff_s = min(2 * schedule.backoff_s, _BACKOFF_MAX_S)
            return
        schedule.backoff_s = _BACKOFF_MIN_S
        wait_s = _OBSERVE_INTERVAL_S if is_done else _RECONCILE_INTERVAL_S
        schedule.due_s = now_s() + wait_s * self._random.uniform(0.8, 1.2)

    async def _reconcile_once(self, desired: DesiredServer) -> bool:
        """Observe the server and order the next step; return whether it is in the desired state."""
        observed = await self._client.observe(desired.address)
        if observed.role == desired.role and observed.versions == desired.versions:
            return True
        if not observed.is_loading:
            await self._order_next(desired, observed)
        return False

    async def _order_next(self, desired: DesiredServer, observed: ObservedServer) -> None:
        """Order the role, the removals and, if a permit for it is granted, one load."""
        versions = {
            model: version
            for model, version in desired.versions.items()
            if observed.versions.get(model) == version
        }
        missing = sorted(desired.versions.keys() - versions.keys())
        if missing and await self._is_load_permitted(desired.versions[missing[0]]):
            versions[missing[0]] = desired.versions[missing[0]]
        if versions != observed.versions or desired.role != observed.role:
            await self._send_order(desired, versions)

    async def _is_load_permitted(self, version: str) -> bool:
        spec = model_version(self._catalog(), version)
        if spec is None:
            return False
        return await self._permits.acquire(spec.weight_store, spec.weights_bytes)

    async def _send_order(self, desired: DesiredServer, versions: Mapping[str, str]) -> None:
        """Send the order if this node still holds the server's order duty."""
        if not self._ownership.holds(Duty.BACKEND_ORDERS, desired.name):
            return
        order = ServerOrder(
            role=desired.role,
            versions=versions,
            fencing_number=self._ownership.fencing_number(Duty.BACKEND_ORDERS, desired.name),
        )
        outcome = await self._client.order(desired.address, order)
        self._count_event("orders_given" if outcome.is_ok() else "orders_refused_as_old", 1)
