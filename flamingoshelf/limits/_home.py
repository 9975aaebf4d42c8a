"""Token buckets of the limit parts that this node holds."""

from collections.abc import Callable, Iterable

import attrs

from flamingoshelf.limits._bucket import Bucket, Limit
from flamingoshelf.limits._messages import (
    ChargeOutcome,
    ChargeReply,
    ChargeTokens,
    SettleTokens,
    UpdateTokens,
)
from flamingoshelf.limits._parts import PART_COUNT, PartOwnership
from flamingoshelf.objects import Catalog, Workspace
from flamingoshelf.utils import now_s

__all__ = ["LimitHome"]

_PartKey = tuple[str, int]


@attrs.define(kw_only=True)
class _Tenure:
    """Period for which this process holds a part without interruption, and its bucket."""

    fencing_number: int
    bucket: Bucket


class LimitHome:
    """Buckets of the parts that this node holds.

    A bucket belongs to one tenure: one run of this process under one fencing number. It is empty
    when the tenure begins, so that the old and the new holder of a part together never exceed the
    part's rate and burst. Reservations end with their bucket; a report on a reservation of an
    earlier tenure refunds nothing.

    Parameters
    ----------
    parts : PartOwnership
        Which parts this node holds.
    catalog : callable
        Returns the catalog in force.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(
        self,
        *,
        parts: PartOwnership,
        catalog: Callable[[], Catalog],
        clock: Callable[[], float] = now_s,
    ) -> None:
        self._parts = parts
        self._catalog = catalog
        self._clock = clock
        self._tenures: dict[_PartKey, _Tenure] = {}

    @property
    def workspaces(self) -> set[str]:
        """Workspaces with a part that this node held when it was last checked."""
        return {workspace for workspace, _ in self._tenures}

    def charge(self, message: ChargeTokens) -> ChargeReply:
        """Reserve tokens for a request if this node holds the part."""
        tenure = self._tenure(message.workspace, message.part)
        if tenure is None:
            return ChargeReply(outcome=ChargeOutcome.NOT_HOLDER)
        bucket = tenure.bucket
        reserved = bucket.charge(message.request_id, message.tokens, allow_part=message.allow_part)
        if reserved == 0:
            return ChargeReply(outcome=ChargeOutcome.SHORT, tokens=int(bucket.available))
        return ChargeReply(outcome=ChargeOutcome.RESERVED, tokens=reserved)

    def update(self, message: UpdateTokens) -> None:
        """Record the tokens that a running request used."""
        tenure = self._tenure(message.workspace, message.part)
        if tenure is not None:
            tenure.bucket.update(
                message.request_id,
                used_tokens=message.used_tokens,
                reserved_tokens=message.reserved_tokens,
            )

    def settle(self, message: SettleTokens) -> int:
        """End a reservation; return the number of tokens used beyond the charge."""
        tenure = self._tenure(message.workspace, message.part)
        if tenure is None:
            return 0
        return tenure.bucket.settle(message.request_id, used_tokens=message.used_tokens)

    def observe(self, workspaces: Iterable[str]) -> None:
        """Begin and end the tenures of `workspaces` to match ownership and catalog.

        A bucket starts to refill when its tenure is first observed, so observing a part before
        its first charge lets the bucket refill in time.
        """
        for workspace in workspaces:
            for part in range(PART_COUNT):
                self._tenure(workspace, part)

    def _tenure(self, workspace: str, part: int) -> _Tenure | None:
        """Return the tenure of a part with its bucket refilled, or None if the part is not held."""
        key = (workspace, part)
        number = self._parts.held_fencing_number(workspace, part)
        spec = self._catalog().workspace(workspace)
        if number is None or spec is None:
            self._tenures.pop(key, None)
            return None
        limit = _limit_of_part(spec)
        current = self._tenures.get(key)
        if current is None or current.fencing_number != number:
            bucket = Bucket(limit=limit, started_s=self._clock())
            current = _Tenure(fencing_number=number, bucket=bucket)
            self._tenures[key] = current
        current.bucket.refill(self._clock(), limit)
        return current


def _limit_of_part(spec: Workspace) -> Limit:
    return Limit(
        rate_tokens_s=spec.rate_tokens_s / PART_COUNT, burst_tokens=spec.burst_tokens / PART_COUNT
    )
