"""Baseline: engines in turn, without counting what they hold."""

from collections import Counter
from collections.abc import Callable, Mapping

from result import Err, Ok, Result

from flamingoshelf.dispatch._pool import EnginePool
from flamingoshelf.dispatch._refusals import no_engine_refusal
from flamingoshelf.dispatch._types import Grant, PlacementRequest, pieces_of
from flamingoshelf.objects import BackendServer, Catalog
from flamingoshelf.refusals import Refusal

__all__ = ["RoundRobinPlacer"]


class RoundRobinPlacer:
    """Takes the next engine of each pool at once; implements `Placer`.

    Parameters
    ----------
    catalog : callable
        Returns the catalog in force.
    """

    def __init__(self, *, catalog: Callable[[], Catalog]) -> None:
        self._catalog = catalog
        self._turns: Counter[str] = Counter()

    async def acquire(self, request: PlacementRequest) -> Result[Grant, Refusal]:
        """Return the next engines; nothing is waited for."""
        pool = EnginePool.of(self._catalog(), request.model)
        prefill = self._next("prefill", pool.prefill, request)
        decode = self._next("decode", pool.decode, request)
        if prefill is None or decode is None:
            return Err(no_engine_refusal(request.model))
        return Ok(
            Grant(
                request_id=request.request_id,
                prefill_server=prefill,
                prefill_address=pool.prefill[prefill].address,
                decode_server=decode,
                decode_address=pool.decode[decode].address,
                model=request.model,
                pieces=pieces_of(request, pool.decode[decode].piece_tokens),
            )
        )

    def release_prefill(self, grant: Grant) -> None:
        """Do nothing: turns are not counted."""

    def release(self, grant: Grant) -> None:
        """Do nothing: places are not counted."""

    def report_failure(self, server: str) -> None:
        """Do nothing: failures are not remembered."""

    def _next(
        self, role: str, servers: Mapping[str, BackendServer], request: PlacementRequest
    ) -> str | None:
        usable = EnginePool.usable(servers, lambda name: name not in request.avoid)
        names = [name for name, _ in usable]
        if not names:
            return None
        self._turns[role] += 1
        return names[self._turns[role] % len(names)]
