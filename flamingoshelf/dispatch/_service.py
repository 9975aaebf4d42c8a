"""Serves a node's part as dispatcher: messages, load reports and recovery."""

import asyncio
import itertools
from collections.abc import Callable, Sequence

from flamingoshelf.backends import EngineClient
from flamingoshelf.base import NodeLink
from flamingoshelf.dispatch._dispatcher import Dispatcher
from flamingoshelf.dispatch._engine_watch import EngineWatch
from flamingoshelf.dispatch._messages import (
    AcquirePlace,
    PlaceGranted,
    PlaceRefused,
    PlaceUpdate,
    RegisterGrants,
    RenewGrants,
    RenewReply,
)
from flamingoshelf.dispatch._orphans import OrphanSweeper
from flamingoshelf.dispatch._types import Grant
from flamingoshelf.objects import Catalog
from flamingoshelf.refusals import Refusal
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["DispatcherService"]

_DECISION_INTERVAL_S = 0.02
_SWEEP_INTERVAL_S = 0.5
_LEARNING_S = 1.2
_LEARNING_RESERVE = 0.2


class _Shard:
    """One dispatcher with the calls that wait for its decisions."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.started_s = now_s()
        self.calls: dict[str, asyncio.Future[Grant | Refusal]] = {}

    def decide(self) -> None:
        """Hand every decision to the call that waits for it."""
        for decision in self.dispatcher.decide():
            call = self.calls.pop(decision.request_id, None)
            if call is not None and not call.done():
                call.set_result(decision.outcome)
            elif isinstance(decision.outcome, Grant):
                self.dispatcher.release(decision.request_id)


class DispatcherService:
    """Answers the messages that a dispatcher gets; implements `Service`.

    A dispatcher for a model is made with the first message for it. Until it has heard from the
    engines it grants nothing, and until the owners of grants had time to register them it keeps
    a part of every engine's places free.

    Parameters
    ----------
    link : NodeLink
        Messages to other nodes.
    catalog : callable
        Returns the catalog in force.
    engines : EngineClient
        For load reports and cancel orders.
    peers : callable
        Returns the VM names of all listed nodes.
    metrics : Metrics
        Counters of events.
    """

    def __init__(
        self,
        *,
        link: NodeLink,
        catalog: Callable[[], Catalog],
        engines: EngineClient,
        peers: Callable[[], Sequence[str]],
        metrics: Metrics,
    ) -> None:
        self._link = link
        self._catalog = catalog
        self._engines = engines
        self._peers = peers
        self._metrics = metrics
        self._shards: dict[str, _Shard] = {}
        self._numbers = itertools.count(1)
        self._tasks = TaskGroup(owner="dispatcher")
        link.register(AcquirePlace, self._on_acquire)
        link.register(PlaceUpdate, self._on_update)
        link.register(RenewGrants, self._on_renew)
        link.register(RegisterGrants, self._on_register)

    async def start(self) -> None:
        """Do nothing: tasks start with the first message for a model."""

    async def stop(self) -> None:
        """End all dispatchers."""
        await self._tasks.stop()

    def dispatcher(self, model: str) -> Dispatcher:
        """Return the dispatcher of a model, made if there is none."""
        return self._shard(model).dispatcher

    def _shard(self, model: str) -> _Shard:
        shard = self._shards.get(model)
        if shard is None:
            shard = self._open(model)
        return shard

    def _open(self, model: str) -> _Shard:
        epoch = f"{self._link.node_name}.{self._link.incarnation}.{next(self._numbers)}"
        dispatcher = Dispatcher(model=model, catalog=self._catalog, epoch=epoch)
        dispatcher.is_learning = True
        shard = self._shards[model] = _Shard(dispatcher)
        watch = EngineWatch(dispatcher=dispatcher, engines=self._engines)
        sweeper = OrphanSweeper(
            dispatcher=dispatcher,
            engines=self._engines,
            link=self._link,
            peers=self._peers,
            metrics=self._metrics,
        )
        self._tasks.start(watch.run(), name=f"{model}.watch")
        self._tasks.start(self._run(shard, watch), name=f"{model}.decide")
        self._tasks.start(self._sweep(shard, sweeper), name=f"{model}.sweep")
        self._metrics.count_event("dispatcher_opened")
        return shard

    async def _run(self, shard: _Shard, watch: EngineWatch) -> None:
        await watch.wait_first_round()
        shard.dispatcher.is_learning = False
        while True:
            is_new = now_s() < shard.started_s + _LEARNING_S
            shard.dispatcher.reserved_share = _LEARNING_RESERVE if is_new else 0.0
            shard.decide()
            await asyncio.sleep(_DECISION_INTERVAL_S)

    async def _sweep(self, shard: _Shard, sweeper: OrphanSweeper) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            if now_s() > shard.started_s + _LEARNING_S:
                await sweeper.sweep()

    async def _on_acquire(self, peer: str, order: AcquirePlace) -> PlaceGranted | PlaceRefused:
        request = order.request
        shard = self._shard(request.model)
        call: asyncio.Future[Grant | Refusal] = asyncio.get_running_loop().create_future()
        shard.calls[request.request_id] = call
        shard.dispatcher.enqueue(request, peer)
        shard.decide()
        try:
            outcome = await call
        except asyncio.CancelledError:
            shard.calls.pop(request.request_id, None)
            shard.dispatcher.release(request.request_id)
            raise
        if isinstance(outcome, Grant):
            return PlaceGranted(grant=outcome)
        return PlaceRefused(refusal=outcome)

    async def _on_update(self, peer: str, update: PlaceUpdate) -> None:
        shard = self._shard(update.model)
        for server in update.failed:
            shard.dispatcher.mark_down(server)
        for request_id in update.prefilled:
            shard.dispatcher.release_prefill(request_id)
        for request_id in update.released:
            shard.dispatcher.release(request_id)
        shard.decide()

    async def _on_renew(self, peer: str, renewal: RenewGrants) -> RenewReply:
        shard = self._shard(renewal.model)
        unknown = shard.dispatcher.renew(peer, renewal.held)
        shard.decide()
        return RenewReply(unknown=tuple(unknown))

    async def _on_register(self, peer: str, order: RegisterGrants) -> None:
        shard = self._shard(order.model)
        for grant in order.grants:
            shard.dispatcher.register(grant, peer)
