"""Placement by a single node without a dispatcher."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Iterator

import attrs
from result import Err, Ok, Result

from flamingoshelf.dispatch._types import Grant, PlacementRequest
from flamingoshelf.objects import BackendServer, BackendState, Catalog, Model
from flamingoshelf.refusals import Refusal, RefusalReason

__all__ = ["LocalPlacer"]


@attrs.define(kw_only=True)
class _Waiter:
    request: PlacementRequest
    future: asyncio.Future[Grant]


class LocalPlacer:
    """Grants places from the load that this node caused itself; implements `Placer`.

    Parameters
    ----------
    catalog : callable
        Returns the catalog in force.
    """

    def __init__(self, *, catalog: Callable[[], Catalog]) -> None:
        self._catalog = catalog
        self._used_places: Counter[str] = Counter()
        self._active_prefills: Counter[str] = Counter()
        self._prefilling_ids: set[str] = set()
        self._waiting: deque[_Waiter] = deque()

    async def acquire(self, request: PlacementRequest) -> Result[Grant, Refusal]:
        """Wait for a place; a refused request uses no engine resources."""
        future: asyncio.Future[Grant] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(request=request, future=future)
        self._waiting.append(waiter)
        self._grant_waiting()
        try:
            async with asyncio.timeout(request.max_wait_s):
                return Ok(await future)
        except TimeoutError:
            return Err(_deadline_refusal(request))
        finally:
            self._withdraw(waiter)

    def release_prefill(self, grant: Grant) -> None:
        """Report that the prefill has ended; may be repeated."""
        if grant.request_id not in self._prefilling_ids:
            return
        self._prefilling_ids.remove(grant.request_id)
        self._active_prefills[grant.prefill_server] -= 1
        self._grant_waiting()

    def release(self, grant: Grant) -> None:
        """Release the place."""
        self.release_prefill(grant)
        self._used_places[grant.decode_server] -= 1
        self._grant_waiting()

    def report_failure(self, server: str) -> None:
        """Do nothing: failures are not tracked."""

    def _withdraw(self, waiter: _Waiter) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)

    def _grant_waiting(self) -> None:
        for waiter in list(self._waiting):
            grant = self._choose(waiter.request)
            if grant is None:
                continue
            self._waiting.remove(waiter)
            self._used_places[grant.decode_server] += 1
            self._active_prefills[grant.prefill_server] += 1
            self._prefilling_ids.add(grant.request_id)
            waiter.future.set_result(grant)

    def _choose(self, request: PlacementRequest) -> Grant | None:
        catalog = self._catalog()
        model = catalog.model(request.model)
        if model is None:
            return None
        decode = min(self._free_decode_engines(catalog, model, request), default=None)
        prefill = min(self._live_prefill_engines(catalog, model, request), default=None)
        if decode is None or prefill is None:
            return None
        return Grant(
            request_id=request.request_id,
            prefill_server=prefill[1],
            prefill_address=prefill[2],
            decode_server=decode[1],
            decode_address=decode[2],
            model=request.model,
        )

    def _free_decode_engines(
        self, catalog: Catalog, model: Model, request: PlacementRequest
    ) -> Iterator[tuple[float, str, str]]:
        for name, server in catalog.servers(model.decode_pools):
            used = self._used_places[name]
            if _is_allowed(name, server, request) and used < server.places:
                yield used / server.places, name, server.address

    def _live_prefill_engines(
        self, catalog: Catalog, model: Model, request: PlacementRequest
    ) -> Iterator[tuple[float, str, str]]:
        for name, server in catalog.servers(model.prefill_pools):
            if _is_allowed(name, server, request):
                yield self._active_prefills[name], name, server.address


def _is_allowed(name: str, server: BackendServer, request: PlacementRequest) -> bool:
    return server.state is BackendState.LIVE and name not in request.avoid


def _deadline_refusal(request: PlacementRequest) -> Refusal:
    return Refusal(
        reason=RefusalReason.DEADLINE_UNREACHABLE,
        status=503,
        detail=f"No engine of model {request.model!r} had a free place in time.",
        not_run=True,
        retry_after_s=1.0,
        step="place",
    )
