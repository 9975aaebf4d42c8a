"""Cancellation of attempts that engines still hold although no node owns them."""

import asyncio
from collections.abc import Callable, Iterable, Sequence

from loguru import logger

from flamingoshelf.backends import EngineClient
from flamingoshelf.base import NodeLink
from flamingoshelf.dispatch._dispatcher import ActiveGrant, Dispatcher
from flamingoshelf.dispatch._messages import HeldReply, QueryHeld
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import now_s

__all__ = ["OrphanSweeper"]

_RENEWAL_MAX_AGE_S = 2.2
_UNREGISTERED_MIN_AGE_S = 1.2
_QUERY_TIMEOUT_S = 0.7
_MAX_RELAYS = 2
_PARTITION_SAMPLE_SIZE = 4


class OrphanSweeper:
    """Finds attempts without an owner (orphans) and cancels them at the engines.

    Candidates are grants that were not renewed and attempts that an engine reports without a
    registered grant. An owner that does not answer directly is queried through up to two other
    nodes. An attempt that no reachable node holds is cancelled; cancellation is repeated with every
    sweep until the engine confirms it. A dispatcher that reaches less than half of the nodes it
    samples considers itself partitioned and cancels nothing.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatcher whose grants and engines are checked.
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
        """Find and cancel orphans once."""
        await self._sweep_unrenewed()
        await self._sweep_unregistered()

    async def _sweep_unrenewed(self) -> None:
        by_owner: dict[str, list[ActiveGrant]] = {}
        for active in self._dispatcher.unrenewed(older_than_s=_RENEWAL_MAX_AGE_S):
            by_owner.setdefault(active.owner, []).append(active)
        await asyncio.gather(*(self._check_owner(*entry) for entry in by_owner.items()))

    async def _check_owner(self, owner: str, active_grants: list[ActiveGrant]) -> None:
        held = await self._query_owner(owner, [active.grant.request_id for active in active_grants])
        for active in active_grants:
            if active.grant.request_id in held:
                active.renewed_s = now_s()
        orphans = [active for active in active_grants if active.grant.request_id not in held]
        if orphans and await self._is_partitioned():
            for active in orphans:
                self._dispatcher.release(active.grant.request_id)
            return
        await asyncio.gather(*(self._cancel_active_grant(active) for active in orphans))

    async def _cancel_active_grant(self, active: ActiveGrant) -> None:
        grant = active.grant
        confirmed = await asyncio.gather(
            self._cancel(grant.prefill_address, grant.request_id),
            self._cancel(grant.decode_address, grant.request_id),
        )
        if all(confirmed):
            self._dispatcher.release(grant.request_id)

    async def _sweep_unregistered(self) -> None:
        cutoff_s = now_s() - _UNREGISTERED_MIN_AGE_S
        for name, server in self._dispatcher.pool.decode.items():
            account = self._dispatcher.decode_account(name)
            overdue = [i for i, first_s in account.unregistered.items() if first_s <= cutoff_s]
            if overdue:
                await self._check_unregistered(name, server.address, overdue)

    async def _check_unregistered(self, name: str, address: str, ids: list[str]) -> None:
        if await self._is_partitioned():
            return
        answers = await asyncio.gather(*(self._query_owner(peer, ids) for peer in self._peers()))
        owned = {request_id for held in answers for request_id in held}
        account = self._dispatcher.decode_account(name)
        for request_id in ids:
            if request_id in owned:
                account.unregistered[request_id] = now_s()
            elif await self._cancel(address, request_id):
                account.discard_unregistered(request_id, now_s())

    async def _is_partitioned(self) -> bool:
        others = [peer for peer in self._peers() if peer != self._link.node_name]
        sample = others[:_PARTITION_SAMPLE_SIZE]
        query = QueryHeld(ids=())
        replies = await asyncio.gather(*(self._query(peer, query) for peer in sample))
        reached = 1 + sum(reply is not None for reply in replies)
        return 2 * reached < 1 + len(sample)

    async def _query_owner(self, node: str, ids: Iterable[str]) -> frozenset[str]:
        """Return which of `ids` a node holds; none if neither this node nor a relay reaches it."""
        query = QueryHeld(ids=tuple(ids))
        reply = await self._query(node, query)
        if reply is not None:
            return frozenset(reply.held)
        others = [peer for peer in self._peers() if peer not in (node, self._link.node_name)]
        relayed = QueryHeld(ids=query.ids, ask=node)
        for peer in others[:_MAX_RELAYS]:
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
            logger.bind(request_id=request_id, step="sweep", peer=address).debug(
                "cancellation failed; retrying at the next sweep: {}", error
            )
            return False
        self._metrics.count_event("orphans_cancelled")
        return True
