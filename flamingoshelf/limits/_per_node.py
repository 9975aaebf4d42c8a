"""Baseline limiter: each node enforces an equal part of every limit on its own."""

from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from flamingoshelf.limits._refusals import rate_exceeded, unavailable
from flamingoshelf.limits._types import Charge
from flamingoshelf.objects import Catalog, Workspace
from flamingoshelf.refusals import Refusal
from flamingoshelf.utils import now_s

__all__ = ["PerNodeLimiter"]


@attrs.define(kw_only=True)
class _Bucket:
    """Available tokens of one workspace at a point in time."""

    available_tokens: float
    updated_s: float


class PerNodeLimiter:
    """Token buckets of ``rate / nodes`` and ``burst / nodes``; implements `Limiter`.

    Parameters
    ----------
    catalog : callable
        Returns the catalog in force.
    node_count : callable
        Returns the number of nodes.
    """

    def __init__(self, *, catalog: Callable[[], Catalog], node_count: Callable[[], int]) -> None:
        self._catalog = catalog
        self._node_count = node_count
        self._buckets: dict[str, _Bucket] = {}
        self._open_charges: set[str] = set()  # request ids that are not settled

    async def charge(
        self, *, request_id: str, workspace: str, tokens: int
    ) -> Result[Charge, Refusal]:
        """Take `tokens` from this node's part of the limit."""
        spec = self._catalog().workspace(workspace)
        if spec is None:
            return Err(unavailable(workspace))
        bucket = self._refilled_bucket(workspace, spec)
        if bucket.available_tokens < tokens:
            missing = tokens - bucket.available_tokens
            return Err(rate_exceeded(missing * self._node_count() / spec.rate_tokens_s))
        bucket.available_tokens -= tokens
        self._open_charges.add(request_id)
        return Ok(Charge(request_id=request_id, workspace=workspace, tokens=tokens))

    def update(self, charge: Charge, *, used_tokens: int, reserved_tokens: int) -> None:
        """Do nothing: this limiter refunds on settlement only."""

    def settle(self, charge: Charge, *, used_tokens: int) -> None:
        """Refund the unused tokens; repeated calls have no effect."""
        if charge.request_id not in self._open_charges:
            return
        self._open_charges.remove(charge.request_id)
        bucket = self._buckets.get(charge.workspace)
        if bucket is not None:
            bucket.available_tokens += max(0, charge.tokens - used_tokens)

    def _refilled_bucket(self, workspace: str, spec: Workspace) -> _Bucket:
        """Return the workspace's bucket, refilled up to now."""
        nodes = max(1, self._node_count())
        capacity = spec.burst_tokens / nodes
        now = now_s()
        bucket = self._buckets.setdefault(
            workspace, _Bucket(available_tokens=capacity, updated_s=now)
        )
        earned = (now - bucket.updated_s) * spec.rate_tokens_s / nodes
        bucket.available_tokens = min(capacity, bucket.available_tokens + earned)
        bucket.updated_s = now
        return bucket
