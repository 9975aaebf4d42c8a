"""Rates and bursts of workspaces, counted where requests are placed."""

from collections import Counter
from collections.abc import Callable, Mapping

import attrs

from flamingoshelf.refusals import Refusal, RefusalReason
from flamingoshelf.utils import now_s

__all__ = ["WorkspaceLimit", "WorkspaceLimits"]

_SHORTEST_RETRY_S = 0.2  # a caller's way here and back
_LONGEST_RETRY_S = 5.0  # limits may be raised meanwhile
_UNEVEN_FACTOR = 2.0  # requests of a busy node against the mean; the platform spreads by a hash


@attrs.frozen(kw_only=True)
class WorkspaceLimit:
    """Limit of a workspace over the whole fleet.

    Parameters
    ----------
    rate_tokens_s, burst_tokens : float
        The limit, with what is tolerated above it; a rate of 0 stands for no limit.
    initial_tokens : float
        Tokens that a new bucket holds. It replaces one that another node kept, so it is not full.
    """

    rate_tokens_s: float
    burst_tokens: float
    initial_tokens: float


@attrs.define(kw_only=True)
class _Balance:
    tokens: float
    updated_s: float


class WorkspaceLimits:
    """One bucket of tokens for each workspace.

    The node that places requests sees those of all nodes, so it counts for the fleet. A successor
    learns from the other nodes what they spent lately. Until at least half of them have told, and
    for the part of those that have not, its buckets are not full.

    Parameters
    ----------
    limit : callable
        ``limit(workspace)`` returns the limit in force, or None if there is no such workspace.
    node_count : callable
        Returns the number of nodes whose requests count.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(
        self,
        *,
        limit: Callable[[str], WorkspaceLimit | None],
        node_count: Callable[[], int] = lambda: 1,
        clock: Callable[[], float] = now_s,
    ) -> None:
        self._limit = limit
        self._clock = clock
        self._node_count = node_count
        self._recent: Counter[str] = Counter()
        self._heard: set[str] = set()  # nodes that told what they spent lately
        self._told: set[str] = set()  # those of them that told all of it
        self._balances: dict[str, _Balance] = {}

    def charge(self, workspace: str, tokens: float) -> Refusal | None:
        """Take the tokens of a request, or return why it is refused."""
        limit = self._limit(workspace)
        if limit is None or limit.rate_tokens_s <= 0 or tokens <= 0:
            return None
        balance = self._refill(workspace, limit)
        # A request above the burst is let through on a full bucket, as it could never run.
        if balance.tokens >= min(tokens, limit.burst_tokens):
            balance.tokens -= tokens
            return None
        missing = min(tokens, limit.burst_tokens) - balance.tokens
        return rate_refusal(workspace, wait_s=missing / limit.rate_tokens_s)

    def give_back(self, workspace: str, tokens: float) -> None:
        """Give back the tokens of a request that was charged and did not run."""
        limit = self._limit(workspace)
        if limit is not None and limit.rate_tokens_s > 0:
            balance = self._refill(workspace, limit)
            balance.tokens = min(balance.tokens + tokens, limit.burst_tokens)

    def spend(self, workspace: str, tokens: float) -> None:
        """Take tokens that other nodes let through; the balance may fall below zero."""
        limit = self._limit(workspace)
        if limit is not None and limit.rate_tokens_s > 0:
            balance = self._refill(workspace, limit)
            balance.tokens = max(balance.tokens - tokens, -limit.burst_tokens)

    def exhausted(self) -> dict[str, float]:
        """Return the workspaces without tokens, each with the seconds until it has some."""
        found = {}
        for workspace in list(self._balances):
            limit = self._limit(workspace)
            if limit is None or limit.rate_tokens_s <= 0:
                del self._balances[workspace]
                continue
            balance = self._refill(workspace, limit)
            if balance.tokens <= 0:
                found[workspace] = -balance.tokens / limit.rate_tokens_s
        return found

    def note_recent(self, peer: str, spent: Mapping[str, int], *, is_whole: bool) -> None:
        """Take what a node spent under another coordinator.

        Parameters
        ----------
        peer : str
            The node.
        spent : mapping
            Tokens by workspace.
        is_whole : bool
            Whether the node has recorded for as long as counts.
        """
        if peer in self._heard:
            return  # what it spent since is counted here already
        self._heard.add(peer)
        before = {name: self._start_tokens(name) for name in self._balances}
        self._recent.update(spent)
        if is_whole:
            self._told.add(peer)
        for name, tokens in before.items():
            self._balances[name].tokens += self._start_tokens(name) - tokens

    def forget(self) -> None:
        """Forget all that is known, as another node counts from now on."""
        self._recent.clear()
        self._heard.clear()
        self._told.clear()
        self._balances.clear()

    def _start_tokens(self, workspace: str) -> float:
        """Return what a bucket held when this node began to count."""
        limit = self._limit(workspace)
        if limit is None:
            return 0.0
        told = len(self._told)
        nodes = max(told, self._node_count())
        if 2 * told < nodes:
            return limit.initial_tokens
        # The nodes that did not tell may have had more requests than others.
        unknown_share = _UNEVEN_FACTOR * (nodes - told) / told
        spent = self._recent[workspace] * (1 + unknown_share)
        room = limit.burst_tokens - limit.initial_tokens
        return limit.initial_tokens + room * told / nodes - spent

    def _refill(self, workspace: str, limit: WorkspaceLimit) -> _Balance:
        now = self._clock()
        balance = self._balances.get(workspace)
        if balance is None:
            balance = _Balance(tokens=self._start_tokens(workspace), updated_s=now)
            self._balances[workspace] = balance
        earned = (now - balance.updated_s) * limit.rate_tokens_s
        balance.tokens = min(limit.burst_tokens, balance.tokens + earned)
        balance.updated_s = now
        return balance


def rate_refusal(workspace: str, *, wait_s: float) -> Refusal:
    """Return the refusal of a request above its workspace's limit."""
    return Refusal(
        reason=RefusalReason.RATE_EXCEEDED,
        status=429,
        detail=f"Workspace {workspace} is above its rate.",
        not_run=True,
        retry_after_s=min(_LONGEST_RETRY_S, max(_SHORTEST_RETRY_S, wait_s)),
        step="limit",
    )
