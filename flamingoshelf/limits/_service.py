"""Service that answers charges to the limit parts that this node holds."""

import asyncio
from collections.abc import Callable
from typing import Any

from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.limits._home import LimitHome
from flamingoshelf.limits._messages import ChargeReply, ChargeTokens, SettleTokens, UpdateTokens
from flamingoshelf.limits._parts import PartOwnership
from flamingoshelf.nodes import Acknowledgement
from flamingoshelf.objects import Catalog, Kind
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup

__all__ = ["LimitService"]

_OBSERVE_INTERVAL_S = 0.5
_OBSERVE_BATCH_SIZE = 250
_WARM_UP_S = 1.0


class LimitService:
    """Answers charges, usage reports and settlements of other nodes.

    Parameters
    ----------
    home : LimitHome
        The parts that this node holds.
    parts : PartOwnership
        Homes of all parts.
    link : NodeLink
        Messages from other nodes.
    catalog : callable
        Returns the catalog in force.
    metrics : Metrics
        Counters.
    """

    def __init__(
        self,
        *,
        home: LimitHome,
        parts: PartOwnership,
        link: NodeLink,
        catalog: Callable[[], Catalog],
        metrics: Metrics,
    ) -> None:
        self._home = home
        self._parts = parts
        self._link = link
        self._catalog = catalog
        self._metrics = metrics
        self._tasks = TaskGroup(owner="limits")
        self._is_ready = False

    @property
    def is_ready(self) -> bool:
        """Whether homes are known and the buckets of this node have had time to refill."""
        return self._is_ready

    async def start(self) -> None:
        """Register the message handlers and start the tasks."""
        self._link.register(ChargeTokens, self._charge)
        self._link.register(UpdateTokens, self._update)
        self._link.register(SettleTokens, self._settle)
        self._tasks.start(self._observe(), name="observe")
        self._tasks.start(self._warm_up(), name="warm_up")

    async def stop(self) -> None:
        """Stop the tasks."""
        await self._tasks.stop()

    async def _charge(self, peer: str, message: ChargeTokens) -> ChargeReply:
        return self._home.charge(message)

    async def _update(self, peer: str, message: UpdateTokens) -> None:
        self._home.update(message)

    async def _settle(self, peer: str, message: SettleTokens) -> Any:
        exceeded = self._home.settle(message)
        if exceeded:
            self._metrics.count_event("charge_exceeded")
            logger.bind(request_id=message.request_id, step="settle", peer=peer).warning(
                "charge exceeded by {} tokens", exceeded
            )
        return Acknowledgement()

    async def _warm_up(self) -> None:
        """Wait until homes are known and new buckets have refilled for the warm-up time."""
        while not self._is_every_home_known():
            await asyncio.sleep(_OBSERVE_INTERVAL_S)
        self._home.observe(self._catalog().names(Kind.WORKSPACE))
        await asyncio.sleep(_WARM_UP_S)
        self._is_ready = True

    def _is_every_home_known(self) -> bool:
        catalog = self._catalog()
        names = catalog.names(Kind.WORKSPACE)
        return catalog.revision > 0 and all(self._parts.home(name, 0) for name in names)

    async def _observe(self) -> None:
        """Observe all workspaces in turn, in batches."""
        pending: list[str] = []
        while True:
            if not pending:
                pending = [*self._home.workspaces, *self._catalog().names(Kind.WORKSPACE)]
            self._home.observe(pending[:_OBSERVE_BATCH_SIZE])
            del pending[:_OBSERVE_BATCH_SIZE]
            await asyncio.sleep(_OBSERVE_INTERVAL_S)
