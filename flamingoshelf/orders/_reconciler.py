"""Brings backend servers to the state that the objects ask for."""

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

_INTERVAL_S = 1.0
_OBSERVE_INTERVAL_S = 10.0
_BACKOFF_MIN_S = 1.0
_BACKOFF_MAX_S = 30.0


@attrs.define(kw_only=True)
class _Progress:
    """When a server is due again."""

    desired: DesiredServer
    due_s: float
    backoff_s: float = _BACKOFF_MIN_S


class OrderReconciler:
    """Gives orders to the servers whose duty this node holds.

    Parameters
    ----------
    client : OrderClient
        Gives the orders.
    ownership : Ownership
        Which servers are this node's.
    permits : LoadPermits
        Permits for loads.
    catalog : callable
        Returns the catalog in force.
    count_event : callable
        ``count_event(event, amount)`` counts orders and refusals.
    random_source : random.Random
        Spreads the observations.
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
        self._progress: dict[str, _Progress] = {}
        self._tasks = TaskGroup(owner="orders")

    async def start(self) -> None:
        """Start to reconcile."""
        self._tasks.start(self._run(), name="run")

    async def stop(self) -> None:
        """Stop to reconcile."""
        await self._tasks.stop()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_INTERVAL_S)
            due = self._due_servers()
            await asyncio.gather(*(self._reconcile(progress) for progress in due))

    def _due_servers(self) -> list[_Progress]:
        held = [
            server
            for server in desired_servers(self._catalog())
            if self._ownership.holds(Duty.BACKEND_ORDERS, server.name)
        ]
        kept = {}
        for server in held:
            known = self._progress.get(server.name)
            is_same = known is not None and known.desired == server
            kept[server.name] = (
                known if known and is_same else _Progress(desired=server, due_s=now_s())
            )
        self._progress = kept
        return [progress for progress in kept.values() if progress.due_s <= now_s()]

    async def _reconcile(self, progress: _Progress) -> None:
        try:
            is_done = await self._reconcile_once(progress.desired)
        except FlamingoshelfError as error:
            logger.bind(step=error.step, peer=progress.desired.name).warning("{}", error)
            progress.due_s = now_s() + progress.backoff_s * self._random.uniform(0.5, 1.0)
            progress.backoff_s = min(2 * progress.backoff_s, _BACKOFF_MAX_S)
            return
        progress.backoff_s = _BACKOFF_MIN_S
        wait_s = _OBSERVE_INTERVAL_S if is_done else _INTERVAL_S
        progress.due_s = now_s() + wait_s * self._random.uniform(0.8, 1.2)

    async def _reconcile_once(self, desired: DesiredServer) -> bool:
        """Observe the server and order what is missing; return whether nothing was."""
        observed = await self._client.observe(desired.address)
        if observed.role == desired.role and observed.versions == desired.versions:
            return True
        if not observed.is_loading:
            await self._order_next(desired, observed)
        return False

    async def _order_next(self, desired: DesiredServer, observed: ObservedServer) -> None:
        """Order role, removals and one load, the last if the weight store's rate permits it."""
        versions = {
            model: version
            for model, version in desired.versions.items()
            if observed.versions.get(model) == version
        }
        missing = sorted(desired.versions.keys() - versions.keys())
        if missing and await self._is_load_permitted(desired.versions[missing[0]]):
            versions[missing[0]] = desired.versions[missing[0]]
        if versions != observed.versions or desired.role != observed.role:
            await self._order(desired, versions)

    async def _is_load_permitted(self, version: str) -> bool:
        spec = model_version(self._catalog(), version)
        if spec is None:
            return False
        return await self._permits.acquire(spec.weight_store, spec.weights_bytes)

    async def _order(self, desired: DesiredServer, versions: Mapping[str, str]) -> None:
        """Give the order if the duty is still this node's."""
        if not self._ownership.holds(Duty.BACKEND_ORDERS, desired.name):
            return
        order = ServerOrder(
            role=desired.role,
            versions=versions,
            fencing_number=self._ownership.fencing_number(Duty.BACKEND_ORDERS, desired.name),
        )
        outcome = await self._client.order(desired.address, order)
        self._count_event("orders_given" if outcome.is_ok() else "orders_refused_as_old", 1)
