"""Placement through the dispatchers of the fleet."""

import asyncio
from collections.abc import Callable, Iterable

from loguru import logger
from result import Err, Ok, Result

from flamingoshelf.base import Duty, NodeLink, Ownership
from flamingoshelf.dispatch._messages import (
    AcquirePlace,
    HeldReply,
    PlaceGranted,
    PlaceRefused,
    PlaceUpdate,
    QueryHeld,
    RegisterGrants,
    RenewGrants,
    RenewReply,
)
from flamingoshelf.dispatch._peer_health import PeerHealth
from flamingoshelf.dispatch._types import Grant, PlacementRequest, Placer
from flamingoshelf.dispatch._update_batch import UpdateBatch
from flamingoshelf.exceptions import FlamingoshelfError, PeerUnreachableError
from flamingoshelf.objects import Catalog
from flamingoshelf.refusals import Refusal, RetryReason
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["FleetPlacer"]

_RENEWAL_INTERVAL_S = 0.7
_RENEWAL_TIMEOUT_S = 1.0
_REPLY_MARGIN_S = 2.0
_MAX_DISPATCHERS = 3
_QUERY_TIMEOUT_S = 0.4


class FleetPlacer:
    """Acquires places from the dispatcher of a model and renews them; implements `Placer`.

    Parameters
    ----------
    link : NodeLink
        Messages to other nodes.
    ownership : Ownership
        Lists the dispatcher of a model and its successors.
    catalog : callable
        Returns the catalog in force.
    fallback : Placer
        Placer that is used when no dispatcher can be reached.
    metrics : Metrics
        Counters of retries.
    """

    def __init__(
        self,
        *,
        link: NodeLink,
        ownership: Ownership,
        catalog: Callable[[], Catalog],
        fallback: Placer,
        metrics: Metrics,
    ) -> None:
        self._link = link
        self._ownership = ownership
        self._catalog = catalog
        self._fallback = fallback
        self._metrics = metrics
        self._held: dict[str, Grant] = {}
        self._peer_health = PeerHealth()
        self._tasks = TaskGroup(owner="placer")
        self._updates = UpdateBatch(send=self._send_update, tasks=self._tasks)
        link.register(QueryHeld, self._on_query)

    async def start(self) -> None:
        """Start renewing grants."""
        self._tasks.start(self._run_renewal(), name="renew")

    async def stop(self) -> None:
        """Stop renewing grants."""
        await self._tasks.stop()

    @property
    def held_grants(self) -> dict[str, Grant]:
        """Grants that this node holds, by id."""
        return self._held

    async def acquire(self, request: PlacementRequest) -> Result[Grant, Refusal]:
        """Wait for a place; a refused request uses no engine resources."""
        for peer in self._reachable_dispatchers(request.model):
            outcome = await self._request_place(peer, request)
            if outcome is None:
                self._metrics.count_retry(RetryReason.DISPATCHER_UNREACHABLE)
                continue
            return self._record_grant(outcome)
        return self._record_grant(await self._fallback.acquire(request))

    def release_prefill(self, grant: Grant) -> None:
        """Report that the prefill has ended; may be repeated."""
        if not grant.epoch:
            self._fallback.release_prefill(grant)
        self._updates.add_prefilled(grant)

    def release(self, grant: Grant) -> None:
        """Release the place; may be repeated."""
        if self._held.pop(grant.request_id, None) is None:
            return
        if not grant.epoch:
            self._fallback.release(grant)
        self._updates.add_released(grant.model, grant.request_id)

    def report_failure(self, server: str) -> None:
        """Report that a backend server failed, to the dispatchers of all its models."""
        for model in self._catalog().model_names():
            self._updates.add_failed(model, server)

    def _record_grant(self, outcome: Result[Grant, Refusal]) -> Result[Grant, Refusal]:
        if isinstance(outcome, Ok):
            self._held[outcome.ok_value.request_id] = outcome.ok_value
        return outcome

    def _reachable_dispatchers(self, model: str) -> list[str]:
        candidates = self._ownership.candidates(Duty.DISPATCH, model)
        return self._peer_health.usable(candidates[:_MAX_DISPATCHERS])

    async def _request_place(
        self, peer: str, request: PlacementRequest
    ) -> Result[Grant, Refusal] | None:
        """Return the dispatcher's decision, or None if it can't be reached or sends none."""
        timeout_s = request.max_wait_s + _REPLY_MARGIN_S
        message = AcquirePlace(request=request)
        call = asyncio.ensure_future(self._link.request(peer, message, timeout_s=timeout_s))
        try:
            reply = await self._peer_health.wait_for_call(peer, call)
        except PeerUnreachableError:
            self._peer_health.mark_unreachable(peer)
            return None
        except FlamingoshelfError as error:
            logger.bind(step="acquire", peer=peer).info("acquiring a place failed: {}", error)
            self._peer_health.mark_unreachable(peer)
            self._withdraw(peer, request)
            return None
        except asyncio.CancelledError:
            self._withdraw(peer, request)
            raise
        match reply:
            case PlaceGranted(grant=grant):
                return Ok(grant)
            case PlaceRefused(refusal=refusal):
                return Err(refusal)
        return None

    def _withdraw(self, peer: str, request: PlacementRequest) -> None:
        update = PlaceUpdate(model=request.model, released=(request.request_id,))
        self._link.notify(peer, update)

    def _send_update(self, update: PlaceUpdate) -> None:
        for peer in self._reachable_dispatchers(update.model)[:1]:
            self._link.notify(peer, update)

    async def _run_renewal(self) -> None:
        while True:
            models = self._catalog().model_names()
            await asyncio.gather(*(self._renew_model(model) for model in models))
            await asyncio.sleep(_RENEWAL_INTERVAL_S)

    async def _renew_model(self, model: str) -> None:
        """Renew the grants of a model at the first dispatcher that replies.

        A dispatcher that does not reply is marked unreachable. A renewal without grants is sent
        only while calls wait for the dispatcher or if this node may itself dispatch for the model.
        """
        held = [grant for grant in self._held.values() if grant.model == model]
        candidates = self._ownership.candidates(Duty.DISPATCH, model)
        is_successor = self._link.node_name in candidates[:_MAX_DISPATCHERS]
        for peer in self._reachable_dispatchers(model):
            if not held and not is_successor and not self._peer_health.has_pending_calls(peer):
                return
            if await self._renew_at(peer, model, held):
                return
            self._peer_health.mark_unreachable(peer)

    async def _renew_at(self, peer: str, model: str, held: Iterable[Grant]) -> bool:
        """Renew the grants at one dispatcher; return whether it replied."""
        by_id = {grant.request_id: grant for grant in held}
        renewal = RenewGrants(model=model, held=tuple(by_id))
        started_s = now_s()
        try:
            async with asyncio.timeout(_RENEWAL_TIMEOUT_S):
                reply = await self._link.request(peer, renewal, timeout_s=_RENEWAL_TIMEOUT_S)
                unknown = reply.unknown if isinstance(reply, RenewReply) else ()
                grants = tuple(by_id[i] for i in unknown if i in self._held)
                if grants:
                    message = RegisterGrants(model=model, grants=grants)
                    await self._link.request(peer, message, timeout_s=_RENEWAL_TIMEOUT_S)
        except (FlamingoshelfError, TimeoutError) as error:
            elapsed_s = now_s() - started_s
            logger.bind(step="renew", peer=peer).info(
                "renewal failed after {:.2f} s: {!r}", elapsed_s, error
            )
            return False
        return True

    async def _on_query(self, peer: str, query: QueryHeld) -> HeldReply:
        if query.ask and query.ask != self._link.node_name:
            return await self._relay(query)
        return HeldReply(held=tuple(i for i in query.ids if i in self._held))

    async def _relay(self, query: QueryHeld) -> HeldReply:
        forwarded = QueryHeld(ids=query.ids)
        try:
            reply = await self._link.request(query.ask, forwarded, timeout_s=_QUERY_TIMEOUT_S)
        except FlamingoshelfError:
            return HeldReply(held=(), was_reached=False)
        return reply if isinstance(reply, HeldReply) else HeldReply(held=(), was_reached=False)
