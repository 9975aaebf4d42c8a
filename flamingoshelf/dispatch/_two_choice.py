"""Placement by two random choices on lagging load reports."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Mapping

import attrs
from result import Err, Ok, Result

from flamingoshelf.backends import EngineClient
from flamingoshelf.dispatch._pool import EnginePool
from flamingoshelf.dispatch._refusals import deadline_refusal, no_engine_refusal
from flamingoshelf.dispatch._types import Grant, PlacementRequest, pieces_of
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.objects import BackendServer, Catalog
from flamingoshelf.refusals import Refusal
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["TwoChoicePlacer"]

_POLL_S = 0.5
_IDLE_S = 5.0
_RETRY_S = 0.05


@attrs.define(kw_only=True)
class _Reported:
    held: int = 0
    placed_since: int = 0
    is_down: bool = False


class TwoChoicePlacer:
    """Takes the less loaded of two random engines; implements `Placer`.

    Reports are read while requests come in. What this node placed since the last report is added
    to it.

    Parameters
    ----------
    catalog : callable
        Returns the catalog in force.
    engines : EngineClient
        For load reports.
    random_source : random.Random
        Source of the choices.
    share : float
        Part of each decode engine's places that this node uses at the most.
    """

    def __init__(
        self,
        *,
        catalog: Callable[[], Catalog],
        engines: EngineClient,
        random_source: random.Random,
        share: float = 1.0,
    ) -> None:
        self._catalog = catalog
        self._engines = engines
        self._random = random_source
        self._share = share
        self._reports: dict[str, _Reported] = {}
        self._held: Counter[str] = Counter()
        self._last_used_s = 0.0
        self._poller: asyncio.Task[None] | None = None
        self._tasks = TaskGroup(owner="two_choice")

    async def start(self) -> None:
        """Do nothing: reports are read from the first request on."""

    async def stop(self) -> None:
        """Stop to read reports."""
        await self._tasks.stop()

    async def acquire(self, request: PlacementRequest) -> Result[Grant, Refusal]:
        """Wait until one of two random engines has a place by its report."""
        self._poll_on()
        pool = EnginePool.of(self._catalog(), request.model)
        if not pool.decode or not pool.prefill:
            return Err(no_engine_refusal(request.model))
        give_up_s = now_s() + request.max_wait_s
        while now_s() < give_up_s:
            grant = self._choose(request, pool)
            if grant is not None:
                self._held[grant.decode_server] += 1
                self._report(grant.decode_server).placed_since += 1
                self._report(grant.prefill_server).placed_since += 1
                return Ok(grant)
            await asyncio.sleep(_RETRY_S)
        return Err(deadline_refusal(request.model, 1.0))

    def release_prefill(self, grant: Grant) -> None:
        """Do nothing: turns are not counted."""

    def release(self, grant: Grant) -> None:
        """Give the place back."""
        self._held[grant.decode_server] -= 1

    def report_failure(self, server: str) -> None:
        """Avoid the server until it reports its load again."""
        self._report(server).is_down = True

    def _report(self, name: str) -> _Reported:
        return self._reports.setdefault(name, _Reported())

    def _choose(self, request: PlacementRequest, pool: EnginePool) -> Grant | None:
        decode = self._pick(pool.decode, request, self._has_place)
        prefill = self._pick(pool.prefill, request, lambda name, server: True)
        if decode is None or prefill is None:
            return None
        return Grant(
            request_id=request.request_id,
            prefill_server=prefill,
            prefill_address=pool.prefill[prefill].address,
            decode_server=decode,
            decode_address=pool.decode[decode].address,
            model=request.model,
            pieces=pieces_of(request, pool.decode[decode].piece_tokens),
        )

    def _pick(
        self,
        servers: Mapping[str, BackendServer],
        request: PlacementRequest,
        is_possible: Callable[[str, BackendServer], bool],
    ) -> str | None:
        names = [
            name
            for name, server in EnginePool.usable(servers, lambda n: not self._report(n).is_down)
            if name not in request.avoid and is_possible(name, server)
        ]
        pair = self._random.sample(names, min(2, len(names)))
        return min(pair, key=self._load, default=None)

    def _load(self, name: str) -> int:
        report = self._report(name)
        return report.held + report.placed_since

    def _has_place(self, name: str, server: BackendServer) -> bool:
        own_limit = max(1, int(server.places * self._share))
        return self._load(name) < server.places and self._held[name] < own_limit

    def _poll_on(self) -> None:
        self._last_used_s = now_s()
        if self._poller is None or self._poller.done():
            self._poller = self._tasks.start(self._poll(), name="poll")

    async def _poll(self) -> None:
        while now_s() < self._last_used_s + _IDLE_S:
            catalog = self._catalog()
            for model in catalog.model_names():
                addresses = EnginePool.of(catalog, model).addresses()
                await asyncio.gather(*(self._read(*entry) for entry in addresses.items()))
            await asyncio.sleep(_POLL_S)

    async def _read(self, name: str, address: str) -> None:
        try:
            load = await self._engines.load(address)
        except FlamingoshelfError:
            self._report(name).is_down = True
            return
        self._reports[name] = _Reported(held=len(load.held))
