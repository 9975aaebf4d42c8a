"""Decisions of a dispatcher: which waiting request gets which engines, and when."""

import math
from collections.abc import Callable, Iterable

import attrs

from flamingoshelf.dispatch._accounts import DecodeAccount, PrefillAccount
from flamingoshelf.dispatch._fair_queue import FairQueue, Ticket
from flamingoshelf.dispatch._pool import EnginePool
from flamingoshelf.dispatch._refusals import deadline_refusal, no_engine_refusal, queue_refusal
from flamingoshelf.dispatch._types import Grant, PlacementRequest, pieces_of
from flamingoshelf.dispatch._wait_estimate import WaitEstimate
from flamingoshelf.objects import BackendServer, Catalog
from flamingoshelf.refusals import Refusal
from flamingoshelf.utils import now_s

__all__ = ["Decision", "Dispatcher", "Holding"]

_MAX_PREFILL_WAIT_S = 0.6
_MAX_LINK_WAIT_S = 0.4
_FIRST_STEP_S = 0.06
_LATE_RESERVE = 0.08
_UNSEEN_RELEASE_S = 2.0


@attrs.define(kw_only=True)
class Holding:
    """A grant that is out.

    Parameters
    ----------
    grant : Grant
        What was granted.
    owner : str
        VM name of the node that holds it.
    granted_s, renewed_s : float
        Times of the grant and of its last renewal.
    """

    grant: Grant
    owner: str
    granted_s: float
    renewed_s: float


@attrs.frozen(kw_only=True)
class Decision:
    """What became of a waiting request."""

    request_id: str
    outcome: Grant | Refusal


class Dispatcher:
    """Counts what the engines of one model hold and grants places; owns no task and no socket.

    Parameters
    ----------
    model : str
        Model whose engines it dispatches for.
    catalog : callable
        Returns the catalog in force.
    epoch : str
        Identifier of this run; every grant carries it.
    clock : callable
        Returns the time in seconds.

    Attributes
    ----------
    is_learning : bool
        Whether nothing is granted, because it is not known what the engines hold.
    reserved_share : float
        Part of each decode engine's places that is kept free for grants not heard of yet.
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
        self._tickets: dict[str, Ticket] = {}
        self._holdings: dict[str, Holding] = {}
        self._decode: dict[str, DecodeAccount] = {}
        self._prefill: dict[str, PrefillAccount] = {}
        self._estimate = WaitEstimate()
        self.is_learning = False
        self.reserved_share = 0.0

    @property
    def epoch(self) -> str:
        """Identifier of this run."""
        return self._epoch

    @property
    def pool(self) -> EnginePool:
        """The engines in the catalog in force."""
        return EnginePool.of(self._catalog(), self._model)

    @property
    def holdings(self) -> dict[str, Holding]:
        """Grants that are out, by id."""
        return self._holdings

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._queue)

    def decode_account(self, server: str) -> DecodeAccount:
        """Return what is known of a decode engine."""
        return self._decode.setdefault(server, DecodeAccount())

    def prefill_account(self, server: str) -> PrefillAccount:
        """Return what is known of a prefill engine."""
        return self._prefill.setdefault(server, PrefillAccount())

    def counter(self, workspace: str) -> float:
        """Return a workspace's virtual token counter."""
        return self._queue.counter(workspace)

    def enqueue(self, request: PlacementRequest, owner: str) -> None:
        """Add a request to the queue; one that holds a grant already is not added again."""
        if request.request_id in self._holdings or request.request_id in self._tickets:
            return
        now = self._clock()
        target_s = self._catalog().fleet.first_token_target_s
        ticket = Ticket(
            request=request,
            owner=owner,
            arrived_s=now,
            first_token_by_s=now + target_s - request.waited_s,
            give_up_s=now + request.max_wait_s,
        )
        self._tickets[request.request_id] = ticket
        self._queue.put(ticket)

    def decide(self) -> list[Decision]:
        """Grant and refuse what can be decided now."""
        decisions = self._refuse_expired()
        if self.is_learning:
            return decisions
        pool = self.pool
        decisions += self._grant_all(pool)
        decisions += self._refuse_hopeless(pool)
        return decisions

    def register(self, grant: Grant, owner: str) -> None:
        """Take over a grant that another dispatcher gave or that its owner chose."""
        now = self._clock()
        self.decode_account(grant.decode_server).hold(grant.request_id, grant.pieces)
        self._holdings[grant.request_id] = Holding(
            grant=grant, owner=owner, granted_s=now, renewed_s=now
        )

    def renew(self, owner: str, held: Iterable[str]) -> list[str]:
        """Renew an owner's grants, free those it no longer lists; return the unknown ids."""
        now = self._clock()
        listed = set(held)
        for request_id, holding in list(self._holdings.items()):
            if holding.owner != owner:
                continue
            if request_id in listed:
                holding.renewed_s = now
            elif holding.granted_s < now - _UNSEEN_RELEASE_S:
                self.release(request_id)
        return sorted(listed - self._holdings.keys())

    def release(self, request_id: str) -> None:
        """Give back a grant, or withdraw a waiting request; may be repeated."""
        ticket = self._tickets.pop(request_id, None)
        if ticket is not None:
            self._queue.remove(ticket)
        holding = self._holdings.pop(request_id, None)
        if holding is not None:
            grant = holding.grant
            self.prefill_account(grant.prefill_server).end(request_id)
            self.decode_account(grant.decode_server).free(request_id, self._clock())

    def release_prefill(self, request_id: str) -> None:
        """End the turn at the prefill engine; may be repeated."""
        holding = self._holdings.get(request_id)
        if holding is not None:
            self.prefill_account(holding.grant.prefill_server).end(request_id)

    def mark_down(self, server: str) -> None:
        """Grant nothing at an engine until it reports its load again."""
        if server in self.pool.decode:
            self.decode_account(server).is_down = True
        elif server in self.pool.prefill:
            account = self.prefill_account(server)
            account.is_down = True
            account.forget_cache()

    def unrenewed(self, *, older_than_s: float) -> list[Holding]:
        """Return the grants that were not renewed for a time."""
        limit = self._clock() - older_than_s
        return [holding for holding in self._holdings.values() if holding.renewed_s < limit]

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
        """Return whether late requests may be served: some places stay free for others."""
        places = sum(server.places for server in pool.decode.values())
        used = sum(self.decode_account(name).used_places for name in pool.decode)
        return places - used > int(_LATE_RESERVE * places)

    def _fits(self, name: str, server: BackendServer, pieces: int) -> bool:
        reserved = math.ceil(server.places * self.reserved_share)
        return self.decode_account(name).fits(server, pieces, reserved_places=reserved)

    def _grant_next(self, pool: EnginePool) -> Grant | None:
        tickets = self._queue.ordered(
            unfairness_tokens=self._catalog().fleet.unfairness_tokens,
            is_on_time=lambda ticket: self._is_on_time(ticket, pool),
            serves_late=self._has_spare_places(pool),
        )
        for ticket in tickets:
            prefill = self._choose_prefill(ticket.request, pool)
            decode = self._choose_decode(ticket.request, pool)
            if prefill is not None and decode is not None:
                return self._grant(ticket, prefill, decode, pool)
        return None

    def _grant(self, ticket: Ticket, prefill: str, decode: str, pool: EnginePool) -> Grant:
        now = self._clock()
        request = ticket.request
        self._estimate.count_grant(now, is_late=not self._is_on_time(ticket, pool))
        self._queue.take(ticket)
        del self._tickets[request.request_id]
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
        self.decode_account(decode).hold(request.request_id, grant.pieces)
        self._begin_prefill(request, prefill, pool, now)
        self._holdings[request.request_id] = Holding(
            grant=grant, owner=ticket.owner, granted_s=now, renewed_s=now
        )
        return grant

    def _begin_prefill(
        self, request: PlacementRequest, prefill: str, pool: EnginePool, now: float
    ) -> None:
        account = self.prefill_account(prefill)
        server = pool.prefill[prefill]
        tokens = max(1, request.prompt_tokens - account.cached_tokens(request.prefix_hashes))
        wait_s = account.wait_s(server, now)
        account.begin(
            request.request_id,
            tokens=tokens,
            transfer_s=request.prompt_tokens * pool.kv_bytes_per_token / server.link_bytes_s,
            prefix_hashes=request.prefix_hashes,
            ready_s=now + wait_s + tokens / server.prefill_tokens_s,
            now_s=now,
        )

    def _choose_decode(self, request: PlacementRequest, pool: EnginePool) -> str | None:
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
            if wait_s < _MAX_PREFILL_WAIT_S and link_wait_s < wait_s + _MAX_LINK_WAIT_S:
                cached = account.cached_tokens(request.prefix_hashes)
                work_s = (request.prompt_tokens - cached) / server.prefill_tokens_s
                choices.append((max(wait_s + work_s, link_wait_s), name))
        return min(choices)[1] if choices else None

    def _is_on_time(self, ticket: Ticket, pool: EnginePool) -> bool:
        request = ticket.request
        now = self._clock()
        times = [
            self.prefill_account(name).wait_s(server, now)
            + request.prompt_tokens / server.prefill_tokens_s
            + request.prompt_tokens * pool.kv_bytes_per_token / server.link_bytes_s
            for name, server in pool.usable(pool.prefill, lambda name: True)
        ]
        return now + min(times, default=0.0) + _FIRST_STEP_S <= ticket.first_token_by_s

    def _refuse_expired(self) -> list[Decision]:
        now = self._clock()
        expired = [ticket for ticket in self._queue if ticket.give_up_s <= now]
        return [self._refuse(ticket, deadline_refusal(self._model, 1.0)) for ticket in expired]

    def _refuse_hopeless(self, pool: EnginePool) -> list[Decision]:
        """Refuse what no engine can ever serve, and late work that would wait too long."""
        decisions = []
        if not pool.decode or not pool.prefill:
            return [self._refuse(t, no_engine_refusal(self._model)) for t in self._queue]
        largest = max(server.kv_pieces for server in pool.decode.values())
        piece_tokens = max(server.piece_tokens for server in pool.decode.values())
        now = self._clock()
        late = []
        for ticket in self._queue:
            if pieces_of(ticket.request, piece_tokens) > largest:
                decisions.append(self._refuse(ticket, no_engine_refusal(self._model)))
            elif not ticket.request.is_resumed and not self._is_on_time(ticket, pool):
                late.append(ticket)
        late.sort(key=lambda ticket: (self.counter(ticket.request.workspace), ticket.arrived_s))
        for position, ticket in enumerate(late):
            wait_s = self._estimate.late_wait_s(now, ahead=position)
            if now + wait_s > ticket.give_up_s:
                refusal = queue_refusal(self._model, wait_s)
                decisions.append(self._refuse(ticket, refusal))
        return decisions

    def _refuse(self, ticket: Ticket, refusal: Refusal) -> Decision:
        self._queue.remove(ticket)
        del self._tickets[ticket.request.request_id]
        return Decision(request_id=ticket.request.request_id, outcome=refusal)

    def _weight(self, workspace: str) -> float:
        spec = self._catalog().workspace(workspace)
        return 1.0 if spec is None else spec.weight
