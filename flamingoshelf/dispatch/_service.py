"""Dispatcher service of a node: messages, load reports and recovery."""

import asyncio
import itertools
from collections.abc import Callable, Sequence

from flamingoshelf.backends import EngineClient
from flamingoshelf.base import NodeLink
from flamingoshelf.dispatch._dispatcher import Dispatcher
from flamingoshelf.dispatch._load_poller import LoadPoller
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
_REGISTRATION_PERIOD_S = 1.2
_REGISTRATION_RESERVED_SHARE = 0.2


class _Shard:
    """Dispatcher of one model and the calls that wait for its decisions."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.started_s = now_s()
        self.pending_calls: dict[str, asyncio.Future[Grant | Refusal]] = {}

    def decide(self) -> None:
        """Pass every decision to its waiting call; release a grant that no call waits for."""
        for decision in self.dispatcher.decide():
            call = self.pending_calls.pop(decision.request_id, None)
            if call is not None and not call.done():
                call.set_result(decision.outcome)
            elif isinstance(decision.outcome, Grant):
                self.dispatcher.release(decision.request_id)


class DispatcherService:
    """Handles the messages to the dispatchers of this node; implements `Service`.

    The dispatcher of a model is created by the first message for that model. It grants nothing
    until every engine was polled once. For a short period after its start it keeps a share of
    every decode engine's places free, because owners may still register grants unknown to it.

    Parameters
    ----------
    link : NodeLink
        Messages to other nodes.
    catalog : callable
        Returns the catalog in force.
    engines : EngineClient
        Interface to the engines, for load reports and cancellation.
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
        self._epoch_numbers = itertools.count(1)
        self._tasks = TaskGroup(owner="dispatcher")
        link.register(AcquirePlace, self._on_acquire)
        link.register(PlaceUpdate, self._on_update)
        link.register(RenewGrants, self._on_renew)
        link.register(RegisterGrants, self._on_register)

    async def start(self) -> None:
        """Do nothing: tasks start with the first message for a model."""

    async def stop(self) -> None:
        """Stop all dispatchers."""
        await self._tasks.stop()

    def dispatcher(self, model: str) -> Dispatcher:
        """Return the dispatcher of a model; create it if there is none."""
        return self._shard(model).dispatcher

    def _shard(self, model: str) -> _Shard:
        shard = self._shards.get(model)
        if shard is None:
            shard = self._open_shard(model)
        return shard

    def _open_shard(self, model: str) -> _Shard:
        epoch = f"{self._link.node_name}.{self._link.incarnation}.{next(self._epoch_numbers)}"
        dispatcher = Dispatcher(model=model, catalog=self._catalog, epoch=epoch)
        dispatcher.awaits_load_reports = True
        shard = self._shards[model] = _Shard(dispatcher)
        poller = LoadPoller(dispatcher=dispatcher, engines=self._engines)
        sweeper = OrphanSweeper(
            dispatcher=dispatcher,
            engines=self._engines,
            link=self._link,
            peers=self._peers,
            metrics=self._metrics,
        )
        self._tasks.start(poller.run(), name=f"{model}.watch")
        self._tasks.start(self._run(shard, poller), name=f"{model}.decide")
        self._tasks.start(self._sweep(shard, sweeper), name=f"{model}.sweep")
        self._metrics.count_event("dispatcher_opened")
        return shard

    async def _run(self, shard: _Shard, poller: LoadPoller) -> None:
        await poller.wait_for_first_poll()
        shard.dispatcher.awaits_load_reports = False
        while True:
            is_registration_open = now_s() < shard.started_s + _REGISTRATION_PERIOD_S
            shard.dispatcher.reserved_share = (
                _REGISTRATION_RESERVED_SHARE if is_registration_open else 0.0
            )
            shard.decide()
            await asyncio.sleep(_DECISION_INTERVAL_S)

    async def _sweep(self, shard: _Shard, sweeper: OrphanSweeper) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            if now_s() > shard.started_s + _REGISTRATION_PERIOD_S:
                await sweeper.sweep()

    async def _on_acquire(self, peer: str, message: AcquirePlace) -> PlaceGranted | PlaceRefused:
        request = message.request
        shard = self._shard(request.model)
        call: asyncio.Future[Grant | Refusal] = asyncio.get_running_loop().create_future()
        shard.pending_calls[request.request_id] = call
        shard.dispatcher.enqueue(request, peer)
        shard.decide()
        try:
            outcome = await call
        except asyncio.CancelledError:
            shard.pending_calls.pop(request.request_id, None)
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

    async def _on_register(self, peer: str, message: RegisterGrants) -> None:
        shard = self._shard(message.model)
        for grant in message.grants:
            shard.dispatcher.register(grant, peer)
