"""Placement by the power of two random choices, on lagging load reports."""

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

_POLL_INTERVAL_S = 0.5
_POLL_IDLE_TIMEOUT_S = 5.0
_RETRY_INTERVAL_S = 0.05


@attrs.define(kw_only=True)
class _LoadEstimate:
    held: int = 0
    placed_since_report: int = 0
    is_down: bool = False


class TwoChoicePlacer:
    """Grants the less loaded of two random engines; implements `Placer`.

    The engines are polled while requests come in. Placements of this node since an engine's last
    report are added to the reported load.

    Parameters
    ----------
    catalog : callable
        Returns the catalog in force.
    engines : EngineClient
        Interface to the engines, for load reports.
    random_source : random.Random
        Random number generator for the choices.
    max_place_share : float
        Maximum share of each decode engine's places that this node uses.
    """

    def __init__(
        self,
        *,
        catalog: Callable[[], Catalog],
        engines: EngineClient,
        random_source: random.Random,
        max_place_share: float = 1.0,
    ) -> None:
        self._catalog = catalog
        self._engines = engines
        self._random = random_source
        self._max_place_share = max_place_share
        self._estimates: dict[str, _LoadEstimate] = {}
        self._held: Counter[str] = Counter()
        self._last_request_s = 0.0
        self._poller: asyncio.Task[None] | None = None
        self._tasks = TaskGroup(owner="two_choice")

    async def start(self) -> None:
        """Do nothing: polling starts with the first request."""

    async def stop(self) -> None:
        """Stop polling."""
        await self._tasks.stop()

    async def acquire(self, request: PlacementRequest) -> Result[Grant, Refusal]:
        """Wait until a randomly sampled decode engine has a free place by its last report."""
        self._ensure_polling()
        pool = EnginePool.of(self._catalog(), request.model)
        if not pool.decode or not pool.prefill:
            return Err(no_engine_refusal(request.model))
        deadline_s = now_s() + request.max_wait_s
        while now_s() < deadline_s:
            grant = self._choose(request, pool)
            if grant is not None:
                self._held[grant.decode_server] += 1
                self._estimate(grant.decode_server).placed_since_report += 1
                self._estimate(grant.prefill_server).placed_since_report += 1
                return Ok(grant)
            await asyncio.sleep(_RETRY_INTERVAL_S)
        return Err(deadline_refusal(request.model, 1.0))

    def release_prefill(self, grant: Grant) -> None:
        """Do nothing: prefills are not counted."""

    def release(self, grant: Grant) -> None:
        """Release the place."""
        self._held[grant.decode_server] -= 1

    def report_failure(self, server: str) -> None:
        """Avoid the server until it reports its load again."""
        self._estimate(server).is_down = True

    def _estimate(self, name: str) -> _LoadEstimate:
        return self._estimates.setdefault(name, _LoadEstimate())

    def _choose(self, request: PlacementRequest, pool: EnginePool) -> Grant | None:
        decode = self._pick_less_loaded(pool.decode, request, self._has_place)
        prefill = self._pick_less_loaded(pool.prefill, request, lambda name, server: True)
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

    def _pick_less_loaded(
        self,
        servers: Mapping[str, BackendServer],
        request: PlacementRequest,
        is_eligible: Callable[[str, BackendServer], bool],
    ) -> str | None:
        names = [
            name
            for name, server in EnginePool.usable(servers, lambda n: not self._estimate(n).is_down)
            if name not in request.avoid and is_eligible(name, server)
        ]
        sampled = self._random.sample(names, min(2, len(names)))
        return min(sampled, key=self._estimated_load, default=None)

    def _estimated_load(self, name: str) -> int:
        estimate = self._estimate(name)
        return estimate.held + estimate.placed_since_report

    def _has_place(self, name: str, server: BackendServer) -> bool:
        own_limit = max(1, int(server.places * self._max_place_share))
        return self._estimated_load(name) < server.places and self._held[name] < own_limit

    def _ensure_polling(self) -> None:
        self._last_request_s = now_s()
        if self._poller is None or self._poller.done():
            self._poller = self._tasks.start(self._poll(), name="poll")

    async def _poll(self) -> None:
        while now_s() < self._last_request_s + _POLL_IDLE_TIMEOUT_S:
            catalog = self._catalog()
            for model in catalog.model_names():
                addresses = EnginePool.of(catalog, model).addresses()
                await asyncio.gather(*(self._poll_engine(*entry) for entry in addresses.items()))
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _poll_engine(self, name: str, address: str) -> None:
        try:
            load = await self._engines.load(address)
        except FlamingoshelfError:
            self._estimate(name).is_down = True
            return
        self._estimates[name] = _LoadEstimate(held=len(load.held))
