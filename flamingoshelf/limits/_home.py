"""The parts of limits that this node holds."""

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
from flamingoshelf.limits._parts import PARTS, PartOwnership
from flamingoshelf.objects import Catalog, Workspace
from flamingoshelf.utils import now_s

__all__ = ["LimitHome"]

_Key = tuple[str, int]


@attrs.define(kw_only=True)
class _Tenure:
    """Time during which this process has held a part without interruption."""

    fencing_number: int
    bucket: Bucket


class LimitHome:
    """Buckets of the parts that this node holds.

    A bucket belongs to one tenure: to this run of the process and one fencing number. It was empty
    when the tenure began, so that a part's old and new holder together never exceed the part's
    rate and burst. Reservations end with their bucket; a report on a reservation of an earlier
    tenure finds nothing and gives nothing back.

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
        self._tenures: dict[_Key, _Tenure] = {}

    @property
    def workspaces(self) -> set[str]:
        """Workspaces of which a part was held when last observed."""
        return {workspace for workspace, _ in self._tenures}

    def charge(self, message: ChargeTokens) -> ChargeReply:
        """Reserve tokens for a request."""
        tenure = self._tenure(message.workspace, message.part)
        if tenure is None:
            return ChargeReply(outcome=ChargeOutcome.NOT_HOLDER)
        bucket = tenure.bucket
        reserved = bucket.charge(message.request_id, message.tokens, allow_part=message.allow_part)
        if reserved == 0:
            return ChargeReply(outcome=ChargeOutcome.SHORT, tokens=int(bucket.available))
        return ChargeReply(outcome=ChargeOutcome.RESERVED, tokens=reserved)

    def update(self, message: UpdateTokens) -> None:
        """Record what a running request used."""
        tenure = self._tenure(message.workspace, message.part)
        if tenure is not None:
            tenure.bucket.update(
                message.request_id,
                used_tokens=message.used_tokens,
                reserved_tokens=message.reserved_tokens,
            )

    def settle(self, message: SettleTokens) -> int:
        """End a reservation; return by how many tokens it was exceeded."""
        tenure = self._tenure(message.workspace, message.part)
        if tenure is None:
            return 0
        return tenure.bucket.settle(message.request_id, used_tokens=message.used_tokens)

    def observe(self, workspaces: Iterable[str]) -> None:
        """Begin and end the tenures of `workspaces` as ownership and catalog say.

        A tenure that is noticed before its first charge has refilled by then.
        """
        for workspace in workspaces:
            for part in range(PARTS):
                self._tenure(workspace, part)

    def _tenure(self, workspace: str, part: int) -> _Tenure | None:
        """Return the tenure of a part, refilled, or None if this node does not hold the part."""
        key = (workspace, part)
        number = self._parts.tenure(workspace, part)
        spec = self._catalog().workspace(workspace)
        if number is None or spec is None:
            self._tenures.pop(key, None)
            return None
        limit = _limit_of_part(spec)
        known = self._tenures.get(key)
        if known is None or known.fencing_number != number:
            bucket = Bucket(limit=limit, started_s=self._clock())
            known = _Tenure(fencing_number=number, bucket=bucket)
            self._tenures[key] = known
        known.bucket.refill(self._clock(), limit)
        return known


def _limit_of_part(spec: Workspace) -> Limit:
    return Limit(rate_tokens_s=spec.rate_tokens_s / PARTS, burst_tokens=spec.burst_tokens / PARTS)
