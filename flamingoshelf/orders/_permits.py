"""Permits to load weights, so that all loads together keep to the weight store's rate."""

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
    """Asks for permission to load weights from a store."""

    store: str
    weights_bytes: int


@message
@attrs.frozen(kw_only=True)
class PermitReply:
    """Whether the load may start now."""

    granted: bool


@attrs.define(kw_only=True)
class _Home:
    """State of one store's permits under one fencing number."""

    fencing_number: int
    free_s: float


class LoadPermits:
    """Permits of one node: as the holder of the weight store's duty, and as one that asks for them.

    A new holder does not know what its predecessor permitted, so it starts as if the largest load
    had just been permitted.

    Parameters
    ----------
    link : NodeLink
        Messages to peers.
    ownership : Ownership
        Who holds the duty of a weight store.
    catalog : callable
        Returns the catalog in force.
    """

    def __init__(
        self, *, link: NodeLink, ownership: Ownership, catalog: Callable[[], Catalog]
    ) -> None:
        self._link = link
        self._ownership = ownership
        self._catalog = catalog
        self._homes: dict[str, _Home] = {}

    async def start(self) -> None:
        """Start to answer peers."""
        self._link.register(PermitRequest, self._on_request)

    async def stop(self) -> None:
        """Nothing to end."""

    async def acquire(self, store: str, weights_bytes: int) -> bool:
        """Return whether a load of `weights_bytes` may start now.

        A permit whose reply is lost is used up.
        """
        request = PermitRequest(store=store, weights_bytes=weights_bytes)
        for holder in self._ownership.holders(Duty.WEIGHT_STORE, store):
            try:
                reply: PermitReply = await self._link.request(
                    holder, request, timeout_s=_REQUEST_TIMEOUT_S
                )
            except FlamingoshelfError as error:
                logger.bind(step="permit", peer=holder).info("no permit: {}", error)
                return False
            return reply.granted
        return False

    async def _on_request(self, peer: str, request: PermitRequest) -> PermitReply:
        return PermitReply(granted=self._grant(request))

    def _grant(self, request: PermitRequest) -> bool:
        spec = self._catalog().get(Kind.WEIGHT_STORE, request.store)
        if not isinstance(spec, WeightStore):
            return False
        if not self._ownership.holds(Duty.WEIGHT_STORE, request.store):
            return False
        home = self._home(request.store, spec)
        if now_s() < home.free_s:
            return False
        home.free_s = now_s() + request.weights_bytes / spec.bytes_per_s
        return True

    def _home(self, store: str, spec: WeightStore) -> _Home:
        number = self._ownership.fencing_number(Duty.WEIGHT_STORE, store)
        home = self._homes.get(store)
        if home is None or home.fencing_number != number:
            free_s = now_s() + self._largest_load(store) / spec.bytes_per_s
            home = self._homes[store] = _Home(fencing_number=number, free_s=free_s)
        return home

    def _largest_load(self, store: str) -> int:
        catalog = self._catalog()
        specs = [catalog.get(Kind.MODEL_VERSION, n) for n in catalog.names(Kind.MODEL_VERSION)]
        versions = [spec for spec in specs if isinstance(spec, ModelVersion)]
        return max((v.weights_bytes for v in versions if v.weight_store == store), default=0)
