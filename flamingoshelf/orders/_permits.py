"""Permits that keep all weight loads together within the rate of the weight store."""

from collections.abc import Callable

import attrs
from loguru import logger

from flamingoshelf.base import Duty, NodeLink, Ownership
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.nodes import message
from flamingoshelf.objects import Catalog, Kind, ModelVersion, WeightStore
from flamingoshelf.utils import now_s

__all__ = ["LoadPermits", "PermitReply", "PermitRequest"]

_REQUEST_TIMEOUT_S = 2.0


@message
@attrs.frozen(kw_only=True)
class PermitRequest:
    """Request for permission to load weights from a weight store."""

    store: str
    weights_bytes: int


@message
@attrs.frozen(kw_only=True)
class PermitReply:
    """Reply that states whether the load may start now."""

    granted: bool


@attrs.define(kw_only=True)
class _PermitState:
    """State of a weight store's permits while this node holds its duty.

    `next_load_s` is the time in seconds from which the next load may start.
    """

    fencing_number: int
    next_load_s: float


class LoadPermits:
    """Requests load permits, and grants them for weight stores whose duty this node holds.

    A new holder of a duty does not know which loads its predecessor permitted, so it starts as if
    the largest load had just been permitted.

    Parameters
    ----------
    link : NodeLink
        Messages to peers.
    ownership : Ownership
        Holders of the duties of weight stores.
    catalog : callable
        Returns the catalog in force.
    """

    def __init__(
        self, *, link: NodeLink, ownership: Ownership, catalog: Callable[[], Catalog]
    ) -> None:
        self._link = link
        self._ownership = ownership
        self._catalog = catalog
        self._states: dict[str, _PermitState] = {}

    async def start(self) -> None:
        """Register the handler for permit requests of peers."""
        self._link.register(PermitRequest, self._answer)

    async def stop(self) -> None:
        """Do nothing: there are no tasks."""

    async def acquire(self, store: str, weights_bytes: int) -> bool:
        """Return whether a load of `weights_bytes` may start now.

        A permit is consumed even if its reply is lost.
        """
        request = PermitRequest(store=store, weights_bytes=weights_bytes)
        for holder in self._ownership.holders(Duty.WEIGHT_STORE, store):
            try:
                reply: PermitReply = await self._link.request(
                    holder, request, timeout_s=_REQUEST_TIMEOUT_S
                )
            except FlamingoshelfError as error:
                logger.bind(step="permit", peer=holder).info("permit request failed: {}", error)
                return False
            return reply.granted
        return False

    async def _answer(self, peer: str, request: PermitRequest) -> PermitReply:
        return PermitReply(granted=self._grant(request))

    def _grant(self, request: PermitRequest) -> bool:
        spec = self._catalog().get(Kind.WEIGHT_STORE, request.store)
        if not isinstance(spec, WeightStore):
            return False
        if not self._ownership.holds(Duty.WEIGHT_STORE, request.store):
            return False
        state = self._state_of(request.store, spec)
        if now_s() < state.next_load_s:
            return False
        state.next_load_s = now_s() + request.weights_bytes / spec.bytes_per_s
        return True

    def _state_of(self, store: str, spec: WeightStore) -> _PermitState:
        """Return the permit state of a store, reset if the fencing number has changed."""
        number = self._ownership.fencing_number(Duty.WEIGHT_STORE, store)
        state = self._states.get(store)
        if state is None or state.fencing_number != number:
            next_load_s = now_s() + self._largest_load_bytes(store) / spec.bytes_per_s
            state = self._states[store] = _PermitState(
                fencing_number=number, next_load_s=next_load_s
            )
        return state

    def _largest_load_bytes(self, store: str) -> int:
        """Return the size in bytes of the largest model version in a store."""
        catalog = self._catalog()
        specs = [catalog.get(Kind.MODEL_VERSION, n) for n in catalog.names(Kind.MODEL_VERSION)]
        versions = [spec for spec in specs if isinstance(spec, ModelVersion)]
        return max((v.weights_bytes for v in versions if v.weight_store == store), default=0)
