"""Rates and bursts of workspaces, counted where requests are placed."""

from collections.abc import Callable

import attrs

from flamingoshelf.refusals import Refusal, RefusalReason
from flamingoshelf.utils import now_s

__all__ = ["WorkspaceLimit", "WorkspaceLimits"]

_SHORTEST_RETRY_S = 0.2  # a caller's way here and back
_LONGEST_RETRY_S = 5.0  # limits may be raised meanwhile


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
    knows nothing of what was spent and begins with less than full buckets.

    Parameters
    ----------
    limit : callable
        ``limit(workspace)`` returns the limit in force, or None if there is no such workspace.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(
        self,
        *,
        limit: Callable[[str], WorkspaceLimit | None],
        clock: Callable[[], float] = now_s,
    ) -> None:
        self._limit = limit
        self._clock = clock
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

    def _refill(self, workspace: str, limit: WorkspaceLimit) -> _Balance:
        now = self._clock()
        balance = self._balances.get(workspace)
        if balance is None:
            balance = _Balance(tokens=limit.initial_tokens, updated_s=now)
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
