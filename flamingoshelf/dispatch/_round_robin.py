"""Round-robin placement, a baseline that ignores the load of the engines."""

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
    """Grants the next engine of each pool without waiting; implements `Placer`.

    Parameters
    ----------
    catalog : callable
        Returns the catalog in force.
    """

    def __init__(self, *, catalog: Callable[[], Catalog]) -> None:
        self._catalog = catalog
        self._choices: Counter[str] = Counter()

    async def acquire(self, request: PlacementRequest) -> Result[Grant, Refusal]:
        """Return the next engine of each pool without waiting."""
        pool = EnginePool.of(self._catalog(), request.model)
        prefill = self._next_engine("prefill", pool.prefill, request)
        decode = self._next_engine("decode", pool.decode, request)
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
        """Do nothing: prefills are not counted."""

    def release(self, grant: Grant) -> None:
        """Do nothing: places are not counted."""

    def report_failure(self, server: str) -> None:
        """Do nothing: failures are not tracked."""

    def _next_engine(
        self, role: str, servers: Mapping[str, BackendServer], request: PlacementRequest
    ) -> str | None:
        usable = EnginePool.usable(servers, lambda name: name not in request.avoid)
        names = [name for name, _ in usable]
        if not names:
            return None
        self._choices[role] += 1
        return names[self._choices[role] % len(names)]
