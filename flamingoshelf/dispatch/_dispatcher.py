"""Scheduling decisions for one model: which queued request gets which engines, and when."""

import math
from collections.abc import Callable, Iterable

import attrs

from flamingoshelf.dispatch._accounts import DecodeAccount, PrefillAccount
from flamingoshelf.dispatch._fair_queue import FairQueue, QueuedRequest
from flamingoshelf.dispatch._pool import EnginePool
from flamingoshelf.dispatch._refusals import deadline_refusal, no_engine_refusal, queue_refusal
from flamingoshelf.dispatch._types import Grant, PlacementRequest, pieces_of
from flamingoshelf.dispatch._wait_estimate import WaitEstimate
from flamingoshelf.objects import BackendServer, Catalog
from flamingoshelf.refusals import Refusal
from flamingoshelf.utils import now_s

__all__ = ["ActiveGrant", "Decision", "Dispatcher"]

_MAX_PREFILL_WAIT_S = 0.6  # a busier prefill engine gets no new request
_MAX_EXTRA_LINK_WAIT_S = 0.4  # beyond the wait for the engine
_FIRST_DECODE_STEP_S = 0.06
_ON_TIME_RESERVED_SHARE = 0.08  # of all places, kept free of late requests
_UNLISTED_GRANT_GRACE_S = 2.0


@attrs.define(kw_only=True)
class ActiveGrant:
    """A grant that was not released yet.

    Parameters
    ----------
    grant : Grant
        The grant.
    owner : str
        VM name of the node that holds the grant.
    granted_s, renewed_s : float
        Times of the grant and of its last renewal, in seconds of the dispatcher's clock.
    """

    grant: Grant
    owner: str
    granted_s: float
    renewed_s: float


@attrs.frozen(kw_only=True)
class Decision:
    """Outcome of a queued request: a grant or a refusal."""

    request_id: str
    outcome: Grant | Refusal


class Dispatcher:
    """Tracks the load of the engines of one model and grants places, without tasks or I/O.

    Parameters
    ----------
    model : str
        Model whose engines are assigned.
    catalog : callable
        Returns the catalog in force.
    epoch : str
        Identifier of this dispatcher's run; every grant carries it.
    clock : callable
        Returns the time in seconds.

    Attributes
    ----------
    awaits_load_reports : bool
        Whether no place is granted because the load of the engines is still unknown.
    reserved_share : float
        Share of each decode engine's places that is kept free for grants not registered yet.
    """

    def __init__(
        self,
        *,
        model: str,
        catalog: Callable[[], Catalog],
        epoch: str,
        clock: Callable[[], float] = now_s,
    ) -> None:
        self._model = model
        self._catalog = catalog
        self._epoch = epoch
        self._clock = clock
        self._queue = FairQueue(weight=self._weight)
        self._queued_by_id: dict[str, QueuedRequest] = {}
        self._active_grants: dict[str, ActiveGrant] = {}
        self._decode_accounts: dict[str, DecodeAccount] = {}
        self._prefill_accounts: dict[str, PrefillAccount] = {}
        self._wait_estimate = WaitEstimate()
        self.awaits_load_reports = False
        self.reserved_share = 0.0

    @property
    def epoch(self) -> str:
        """Identifier of this dispatcher's run."""
        return self._epoch

    @property
    def pool(self) -> EnginePool:
        """Engines of the model in the catalog in force."""
        return EnginePool.of(self._catalog(), self._model)

    @property
    def active_grants(self) -> dict[str, ActiveGrant]:
        """Active grants by request id."""
        return self._active_grants

    @property
    def queue_length(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    def decode_account(self, server: str) -> DecodeAccount:
        """Return the account of a decode engine."""
        return self._decode_accounts.setdefault(server, DecodeAccount())

    def prefill_account(self, server: str) -> PrefillAccount:
        """Return the account of a prefill engine."""
        return self._prefill_accounts.setdefault(server, PrefillAccount())

    def counter(self, workspace: str) -> float:
        """Return a workspace's virtual token counter."""
        return self._queue.counter(workspace)

    def enqueue(self, request: PlacementRequest, owner: str) -> None:
        """Add a request to the queue unless it is queued or holds a grant already."""
        if request.request_id in self._active_grants or request.request_id in self._queued_by_id:
            return
        now = self._clock()
        target_s = self._catalog().fleet.first_token_target_s
        queued = QueuedRequest(
            request=request,
            owner=owner,
            arrived_s=now,
            first_token_deadline_s=now + target_s - request.waited_s,
            wait_deadline_s=now + request.max_wait_s,
        )
        self._queued_by_id[request.request_id] = queued
        self._queue.put(queued)

    def decide(self) -> list[Decision]:
        """Grant or refuse every queued request that can be decided now."""
        decisions = self._refuse_expired()
        if self.awaits_load_reports:
            return decisions
        pool = self.pool
        decisions += self._grant_all(pool)
        decisions += self._refuse_infeasible(pool)
        return decisions

    def register(self, grant: Grant, owner: str) -> None:
        """Record a grant that another dispatcher gave or that its owner chose locally."""
        now = self._clock()
        self.decode_account(grant.decode_server).reserve(grant.request_id, grant.pieces)
        self._active_grants[grant.request_id] = ActiveGrant(
            grant=grant, owner=owner, granted_s=now, renewed_s=now
        )

    def renew(self, owner: str, held: Iterable[str]) -> list[str]:
        """Renew an owner's grants and release those it no longer lists.

        A recent grant is kept although the owner does not list it, because the reply may still be
        on the way to the owner.

        Returns
        -------
        list of str
            Listed ids without an active grant, sorted.
        """
        now = self._clock()
        listed = set(held)
        for request_id, active in list(self._active_grants.items()):
            if active.owner != owner:
                continue
            if request_id in listed:
                active.renewed_s = now
            elif active.granted_s < now - _UNLISTED_GRANT_GRACE_S:
                self.release(request_id)
        return sorted(listed - self._active_grants.keys())

    def release(self, request_id: str) -> None:
        """Release a grant or withdraw a queued request; may be repeated."""
        queued = self._queued_by_id.pop(request_id, None)
        if queued is not None:
            self._queue.remove(queued)
        active = self._active_grants.pop(request_id, None)
        if active is not None:
            grant = active.grant
            self.prefill_account(grant.prefill_server).end_prefill(request_id)
            self.decode_account(grant.decode_server).release_place(request_id, self._clock())

    def release_prefill(self, request_id: str) -> None:
        """Record that the prefill of a request has ended; may be repeated."""
        active = self._active_grants.get(request_id)
        if active is not None:
            self.prefill_account(active.grant.prefill_server).end_prefill(request_id)

    def mark_down(self, server: str) -> None:
        """Mark an engine as down: it gets no new request until it reports its load again."""
        if server in self.pool.decode:
            self.decode_account(server).is_down = True
        elif server in self.pool.prefill:
            account = self.prefill_account(server)
            account.is_down = True
            account.clear_cache()

    def unrenewed(self, *, older_than_s: float) -> list[ActiveGrant]:
        """Return the grants whose last renewal is more than `older_than_s` seconds ago."""
        cutoff_s = self._clock() - older_than_s
        return [active for active in self._active_grants.values() if active.renewed_s < cutoff_s]

    def _grant_all(self, pool: EnginePool) -> list[Decision]:
        decisions = []
        while len(self._queue) and self._has_free_place(pool):
            grant = self._grant_next(pool)
            if grant is None:
                break
            decisions.append(Decision(request_id=grant.request_id, outcome=grant))
        return decisions

    def _has_free_place(self, pool: EnginePool) -> bool:
        return any(self._fits(name, server, 1) for name, server in pool.decode.items())

    def _has_spare_places(self, pool: EnginePool) -> bool:
        """Return whether enough places are free to grant late requests.

        A share of all places is reserved for requests that can still meet the first-token target.
        """
        places = sum(server.places for server in pool.decode.values())
        used = sum(self.decode_account(name).used_places for name in pool.decode)
        return places - used > int(_ON_TIME_RESERVED_SHARE * places)

    def _fits(self, name: str, server: BackendServer, pieces: int) -> bool:
        reserved = math.ceil(server.places * self.reserved_share)
        return self.decode_account(name).fits(server, pieces, reserved_places=reserved)

    def _grant_next(self, pool: EnginePool) -> Grant | None:
        candidates = self._queue.ordered(
            unfairness_tokens=self._catalog().fleet.unfairness_tokens,
            is_on_time=lambda queued: self._is_on_time(queued, pool),
            includes_late=self._has_spare_places(pool),
        )
        for queued in candidates:
            prefill = self._choose_prefill(queued.request, pool)
            decode = self._choose_decode(queued.request, pool)
            if prefill is not None and decode is not None:
                return self._grant(queued, prefill, decode, pool)
        return None

    def _grant(self, queued: QueuedRequest, prefill: str, decode: str, pool: EnginePool) -> Grant:
        now = self._clock()
        request = queued.request
        self._wait_estimate.count_grant(now, is_late=not self._is_on_time(queued, pool))
        self._queue.dequeue(queued)
        del self._queued_by_id[request.request_id]
        grant = Grant(
            request_id=request.request_id,
            prefill_server=prefill,
            prefill_address=pool.prefill[prefill].address,
            decode_server=decode,
            decode_address=pool.decode[decode].address,
            model=self._model,
            pieces=pieces_of(request, pool.decode[decode].piece_tokens),
            epoch=self._epoch,
        )
        self.decode_account(decode).reserve(request.request_id, grant.pieces)
        self._begin_prefill(request, prefill, pool, now)
        self._active_grants[request.request_id] = ActiveGrant(
            grant=grant, owner=queued.owner, granted_s=now, renewed_s=now
        )
        return grant

    def _begin_prefill(
        self, request: PlacementRequest, prefill: str, pool: EnginePool, now: float
    ) -> None:
        account = self.prefill_account(prefill)
        server = pool.prefill[prefill]
        tokens = max(1, request.prompt_tokens - account.cached_tokens(request.prefix_hashes))
        wait_s = account.wait_s(server, now)
        account.start_prefill(
            request.request_id,
            tokens=tokens,
            transfer_s=request.prompt_tokens * pool.kv_bytes_per_token / server.link_bytes_s,
            prefix_hashes=request.prefix_hashes,
            ready_s=now + wait_s + tokens / server.prefill_tokens_s,
            now_s=now,
        )

    def _choose_decode(self, request: PlacementRequest, pool: EnginePool) -> str | None:
        """Return the engine with the lowest share of places in use, or None if none has room."""
        usable = pool.preferred(
            pool.decode,
            is_allowed=lambda name: not self.decode_account(name).is_down,
            avoid=request.avoid,
        )
        loads = [
            (self.decode_account(name).used_places / server.places, name)
            for name, server in usable
            if self._fits(name, server, pieces_of(request, server.piece_tokens))
        ]
        return min(loads)[1] if loads else None

    def _choose_prefill(self, request: PlacementRequest, pool: EnginePool) -> str | None:
        """Return the engine expected to start the transfer first, or None if none is usable."""
        now = self._clock()
        usable = pool.preferred(
            pool.prefill,
            is_allowed=lambda name: not self.prefill_account(name).is_down,
            avoid=request.avoid,
        )
        choices = []
        for name, server in usable:
            account = self.prefill_account(name)
            wait_s = account.wait_s(server, now)
            link_wait_s = account.link_wait_s(now)
            if wait_s < _MAX_PREFILL_WAIT_S and link_wait_s < wait_s + _MAX_EXTRA_LINK_WAIT_S:
                cached = account.cached_tokens(request.prefix_hashes)
                work_s = (request.prompt_tokens - cached) / server.prefill_tokens_s
                choices.append((max(wait_s + work_s, link_wait_s), name))
        return min(choices)[1] if choices else None

    def _is_on_time(self, queued: QueuedRequest, pool: EnginePool) -> bool:
        """Return whether the request is expected to meet the first-token target if granted now."""
        request = queued.request
        now = self._clock()
        delays_s = [
            self.prefill_account(name).wait_s(server, now)
            + request.prompt_tokens / server.prefill_tokens_s
            + request.prompt_tokens * pool.kv_bytes_per_token / server.link_bytes_s
            for name, server in pool.usable(pool.prefill, lambda name: True)
        ]
        return (
            now + min(delays_s, default=0.0) + _FIRST_DECODE_STEP_S <= queued.first_token_deadline_s
        )

    def _refuse_expired(self) -> list[Decision]:
        now = self._clock()
        expired = [queued for queued in self._queue if queued.wait_deadline_s <= now]
        return [self._refuse(queued, deadline_refusal(self._model, 1.0)) for queued in expired]

    def _refuse_infeasible(self, pool: EnginePool) -> list[Decision]:
        """Refuse requests that no engine can serve and late ones that would wait too long."""
        decisions = []
        if not pool.decode or not pool.prefill:
            return [self._refuse(item, no_engine_refusal(self._model)) for item in self._queue]
        max_pieces = max(server.kv_pieces for server in pool.decode.values())
        piece_tokens = max(server.piece_tokens for server in pool.decode.values())
        now = self._clock()
        late = []
        for queued in self._queue:
            if pieces_of(queued.request, piece_tokens) > max_pieces:
                decisions.append(self._refuse(queued, no_engine_refusal(self._model)))
            elif not queued.request.is_resumed and not self._is_on_time(queued, pool):
                late.append(queued)
        late.sort(key=lambda queued: (self.counter(queued.request.workspace), queued.arrived_s))
        for position, queued in enumerate(late):
            wait_s = self._wait_estimate.estimate_late_wait_s(now, ahead=position)
            if now + wait_s > queued.wait_deadline_s:
                refusal = queue_refusal(self._model, wait_s)
                decisions.append(self._refuse(queued, refusal))
        return decisions

    def _refuse(self, queued: QueuedRequest, refusal: Refusal) -> Decision:
        self._queue.remove(queued)
        del self._queued_by_id[queued.request.request_id]
        return Decision(request_id=queued.request.request_id, outcome=refusal)

    def _weight(self, workspace: str) -> float:
        spec = self._catalog().workspace(workspace)
        return 1.0 if spec is None else spec.weight
