"""Frees what engines hold for requests whose owner is gone."""

import asyncio
from collections.abc import Callable, Iterable, Sequence

from loguru import logger

from flamingoshelf.backends import EngineClient
from flamingoshelf.base import NodeLink
from flamingoshelf.dispatch._dispatcher import Dispatcher, Holding
from flamingoshelf.dispatch._messages import HeldReply, QueryHeld
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import now_s

__all__ = ["OrphanSweeper"]

_RENEWAL_TIMEOUT_S = 2.2
_FOREIGN_AGE_S = 1.2
_QUERY_TIMEOUT_S = 0.7
_RELAY_COUNT = 2
_SAMPLE_COUNT = 4


class OrphanSweeper:
    """Compares what engines hold with what the owners say.

    A grant that was not renewed, and an attempt that an engine reports and no owner registered,
    are cancelled at the engines if no node that can be reached, directly or through two others,
    holds them. Cancel orders are repeated with every sweep until the engine confirms. A dispatcher
    that reaches less than half of the nodes it asks is cut off itself and cancels nothing.

    Parameters
    ----------
    dispatcher : Dispatcher
        What is granted.
    engines : EngineClient
        Interface to the engines.
    link : NodeLink
        Messages to other nodes.
    peers : callable
        Returns the VM names of all listed nodes.
    metrics : Metrics
        Counters of events.
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        engines: EngineClient,
        link: NodeLink,
        peers: Callable[[], Sequence[str]],
        metrics: Metrics,
    ) -> None:
        self._dispatcher = dispatcher
        self._engines = engines
        self._link = link
        self._peers = peers
        self._metrics = metrics

    async def sweep(self) -> None:
        """Look for orphans once and cancel them."""
        await self._sweep_unrenewed()
        await self._sweep_foreign()

    async def _sweep_unrenewed(self) -> None:
        by_owner: dict[str, list[Holding]] = {}
        for holding in self._dispatcher.unrenewed(older_than_s=_RENEWAL_TIMEOUT_S):
            by_owner.setdefault(holding.owner, []).append(holding)
        await asyncio.gather(*(self._check_owner(*entry) for entry in by_owner.items()))

    async def _check_owner(self, owner: str, holdings: list[Holding]) -> None:
        held = await self._ask(owner, [holding.grant.request_id for holding in holdings])
        for holding in holdings:
            if holding.grant.request_id in held:
                holding.renewed_s = now_s()
        orphans = [holding for holding in holdings if holding.grant.request_id not in held]
        if orphans and await self._is_cut_off():
            for holding in orphans:
                self._dispatcher.release(holding.grant.request_id)
            return
        await asyncio.gather(*(self._cancel_holding(holding) for holding in orphans))

    async def _cancel_holding(self, holding: Holding) -> None:
        grant = holding.grant
        confirmed = await asyncio.gather(
            self._cancel(grant.prefill_address, grant.request_id),
            self._cancel(grant.decode_address, grant.request_id),
        )
        if all(confirmed):
            self._dispatcher.release(grant.request_id)

    async def _sweep_foreign(self) -> None:
        limit = now_s() - _FOREIGN_AGE_S
        for name, server in self._dispatcher.pool.decode.items():
            account = self._dispatcher.decode_account(name)
            old = [i for i, first_s in account.foreign.items() if first_s <= limit]
            if old:
                await self._check_foreign(name, server.address, old)

    async def _check_foreign(self, name: str, address: str, ids: list[str]) -> None:
        if await self._is_cut_off():
            return
        answers = await asyncio.gather(*(self._ask(peer, ids) for peer in self._peers()))
        claimed = {request_id for held in answers for request_id in held}
        account = self._dispatcher.decode_account(name)
        for request_id in ids:
            if request_id in claimed:
                account.foreign[request_id] = now_s()
            elif await self._cancel(address, request_id):
                account.forget_foreign(request_id, now_s())

    async def _is_cut_off(self) -> bool:
        others = [peer for peer in self._peers() if peer != self._link.node_name]
        sample = others[:_SAMPLE_COUNT]
        query = QueryHeld(ids=())
        replies = await asyncio.gather(*(self._query(peer, query) for peer in sample))
        reached = 1 + sum(reply is not None for reply in replies)
        return 2 * reached < 1 + len(sample)

    async def _ask(self, node: str, ids: Iterable[str]) -> frozenset[str]:
        """Return which of `ids` a node holds; none if nobody reaches it."""
        query = QueryHeld(ids=tuple(ids))
        reply = await self._query(node, query)
        if reply is not None:
            return frozenset(reply.held)
        others = [peer for peer in self._peers() if peer not in (node, self._link.node_name)]
        relayed = QueryHeld(ids=query.ids, ask=node)
        for peer in others[:_RELAY_COUNT]:
            reply = await self._query(peer, relayed)
            if reply is not None and reply.was_reached:
                return frozenset(reply.held)
        return frozenset()

    async def _query(self, node: str, query: QueryHeld) -> HeldReply | None:
        try:
            async with asyncio.timeout(_QUERY_TIMEOUT_S):
                reply = await self._link.request(node, query, timeout_s=_QUERY_TIMEOUT_S)
        except (FlamingoshelfError, TimeoutError):
            return None
        return reply if isinstance(reply, HeldReply) else None

    async def _cancel(self, address: str, request_id: str) -> bool:
        try:
            await self._engines.cancel(address, request_id)
        except FlamingoshelfError as error:
            logger.bind(request_id=request_id, step="sweep", peer=address).debug("{}", error)
            return False
        self._metrics.count_event("orphans_cancelled")
        return True
