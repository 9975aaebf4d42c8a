"""Rate limits of workspaces, enforced where requests are placed."""

from collections.abc import Callable

import attrs

from flamingoshelf.refusals import Refusal, RefusalReason
from flamingoshelf.utils import now_s

__all__ = ["WorkspaceLimit", "WorkspaceLimits"]

_MIN_RETRY_AFTER_S = 0.2  # the round trip of a caller
_MAX_RETRY_AFTER_S = 5.0  # a limit may be raised in the meantime
# Part of a burst that new requests leave to broken streams that callers take up again. What these
# have received already would be lost with them.
_RESUMED_RESERVE_SHARE = 0.25
# After the last take-up, and after a new coordinator's first request: callers whose streams broke
# together come within this time.
_RESUMED_RESERVE_S = 3.0


@attrs.frozen(kw_only=True)
class WorkspaceLimit:
    """Rate limit of a workspace over the whole fleet.

    Parameters
    ----------
    rate_tokens_s, burst_tokens : float
        Refill rate and size of the token bucket, tolerance included; a rate of 0 means no limit.
    initial_tokens : float
        Tokens of a new bucket. It isn't full, as the previous coordinator may have spent some.
    """

    rate_tokens_s: float
    burst_tokens: float
    initial_tokens: float


@attrs.define(kw_only=True)
class _Bucket:
    tokens: float
    updated_s: float
    reserved_until_s: float  # a part is left to resumed streams until then


class WorkspaceLimits:
    """Token buckets of the workspaces.

    The coordinator places the requests of all nodes, so it counts for the whole fleet. A new
    coordinator doesn't know which tokens were spent and starts with buckets that aren't full.

    Parameters
    ----------
    limit : callable
        ``limit(workspace)`` returns the limit in force, or None if the workspace is unknown.
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
        self._buckets: dict[str, _Bucket] = {}

    def charge(self, workspace: str, tokens: float, *, is_resumed: bool = False) -> Refusal | None:
        """Take the tokens of a request, or return a refusal if there are too few.

        After a stream was resumed, and while a bucket is new that isn't full, other requests leave
        a part of the tokens to resumed streams for a time.
        """
        limit = self._limit(workspace)
        if limit is None or limit.rate_tokens_s <= 0 or tokens <= 0:
            return None
        bucket = self._refill(workspace, limit)
        reserve = 0.0
        if is_resumed:
            bucket.reserved_until_s = self._clock() + _RESUMED_RESERVE_S
        elif self._clock() < bucket.reserved_until_s:
            reserve = _RESUMED_RESERVE_SHARE * limit.burst_tokens
        # A request larger than the burst could never run, so a full bucket admits it.
        needed = min(tokens + reserve, limit.burst_tokens)
        if bucket.tokens >= needed:
            bucket.tokens -= tokens
            return None
        missing = needed - bucket.tokens
        return rate_limit_refusal(workspace, wait_s=missing / limit.rate_tokens_s)

    def refund(self, workspace: str, tokens: float) -> None:
        """Refund the tokens of a request that was charged but did not run."""
        limit = self._limit(workspace)
        if limit is not None and limit.rate_tokens_s > 0:
            bucket = self._refill(workspace, limit)
            bucket.tokens = min(bucket.tokens + tokens, limit.burst_tokens)

    def spend(self, workspace: str, tokens: float) -> None:
        """Take tokens of calls that nodes already admitted; the bucket may become negative."""
        limit = self._limit(workspace)
        if limit is not None and limit.rate_tokens_s > 0:
            bucket = self._refill(workspace, limit)
            bucket.tokens = max(bucket.tokens - tokens, -limit.burst_tokens)

    def exhausted(self) -> dict[str, float]:
        """Return the workspaces without tokens, each with the seconds until it has some."""
        found = {}
        for workspace in list(self._buckets):
            limit = self._limit(workspace)
            if limit is None or limit.rate_tokens_s <= 0:
                del self._buckets[workspace]
                continue
            bucket = self._refill(workspace, limit)
            if bucket.tokens <= 0:
                found[workspace] = -bucket.tokens / limit.rate_tokens_s
        return found

    def _refill(self, workspace: str, limit: WorkspaceLimit) -> _Bucket:
        """Return the bucket of a workspace with the tokens earned since its last use."""
        now = self._clock()
        bucket = self._buckets.get(workspace)
        if bucket is None:
            is_successor = limit.initial_tokens < limit.burst_tokens
            bucket = _Bucket(
                tokens=limit.initial_tokens,
                updated_s=now,
                reserved_until_s=now + _RESUMED_RESERVE_S if is_successor else float("-inf"),
            )
            self._buckets[workspace] = bucket
        earned = (now - bucket.updated_s) * limit.rate_tokens_s
        bucket.tokens = min(limit.burst_tokens, bucket.tokens + earned)
        bucket.updated_s = now
        return bucket


def rate_limit_refusal(workspace: str, *, wait_s: float) -> Refusal:
    """Return the refusal of a request above the rate limit of its workspace."""
    return Refusal(
        reason=RefusalReason.RATE_EXCEEDED,
        status=429,
        detail=f"Workspace {workspace} is above its rate.",
        not_run=True,
        retry_after_s=min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s)),
        step="limit",
    )
