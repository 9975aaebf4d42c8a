"""Limits of workspaces over the whole fleet, charged at the homes of their parts."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

import attrs
from loguru import logger
from result import Err, Ok, Result

from flamingoshelf.base import NodeLink
from flamingoshelf.exceptions import FlamingoshelfError, OutcomeUnknownError
from flamingoshelf.limits._messages import (
    ChargeOutcome,
    ChargeReply,
    ChargeTokens,
    SettleTokens,
    UpdateTokens,
)
from flamingoshelf.limits._parts import PARTS, PartOwnership
from flamingoshelf.limits._refusals import above_burst, rate_exceeded, unavailable
from flamingoshelf.limits._types import Charge, ChargeShare
from flamingoshelf.objects import Catalog, Workspace
from flamingoshelf.refusals import Refusal, RetryReason
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup, now_s, stable_hash

__all__ = ["FleetLimiter"]

_CHARGE_TIMEOUT_S = 0.3
_CHARGE_ATTEMPTS = 2
_AVOID_HOME_S = 1.0
_MAX_REFUSAL_MEMORY_S = 0.25
_SETTLE_TIMEOUT_S = 2.0
_SETTLE_ATTEMPTS = 5
_SETTLE_RETRY_S = 0.5
_MAX_MEMORY_ENTRIES = 4096


@attrs.frozen(kw_only=True)
class _RecentRefusal:
    """Requests of this size or above do not fit before `until_s`."""

    tokens: int
    until_s: float


@attrs.define(kw_only=True)
class _Attempt:
    """What is known of the parts while one request is charged."""

    request_id: str
    workspace: str
    available: dict[int, int] = attrs.field(factory=dict)
    shares: list[ChargeShare] = attrs.field(factory=list)


class FleetLimiter:
    """Charges each request at one home of its workspace; implements `Limiter`.

    A request that fits in no part alone is charged in several parts.

    Parameters
    ----------
    link : NodeLink
        Messages to the homes.
    parts : PartOwnership
        Homes of the parts.
    catalog : callable
        Returns the catalog in force.
    metrics : Metrics
        Counters of retries.
    background : TaskGroup
        Tasks that outlive their request.
    """

    def __init__(
        self,
        *,
        link: NodeLink,
        parts: PartOwnership,
        catalog: Callable[[], Catalog],
        metrics: Metrics,
        background: TaskGroup,
    ) -> None:
        self._link = link
        self._parts = parts
        self._catalog = catalog
        self._metrics = metrics
        self._background = background
        self._refusals: dict[str, _RecentRefusal] = {}
        self._avoided: dict[str, float] = {}

    async def charge(
        self, *, request_id: str, workspace: str, tokens: int
    ) -> Result[Charge, Refusal]:
        """Reserve `tokens` at the homes of the workspace's limit."""
        spec = self._catalog().workspace(workspace)
        if spec is None:
            return Err(unavailable(workspace))
        if tokens > spec.burst_tokens:
            return Err(above_burst(tokens, spec.burst_tokens))
        remembered = self._remembered(workspace, tokens)
        if remembered is not None:
            return Err(remembered)
        attempt = _Attempt(request_id=request_id, workspace=workspace)
        if await self._reserve(attempt, tokens):
            return Ok(
                Charge(
                    request_id=request_id,
                    workspace=workspace,
                    tokens=tokens,
                    shares=tuple(attempt.shares),
                )
            )
        return Err(self._refuse(attempt, spec, tokens))

    def update(self, charge: Charge, *, used_tokens: int, reserved_tokens: int) -> None:
        """Report what a running request used; a report that is lost only delays a refund."""
        for share, used in _spread(charge, used_tokens):
            message = UpdateTokens(
                workspace=charge.workspace,
                part=share.part,
                request_id=charge.request_id,
                used_tokens=used,
                reserved_tokens=reserved_tokens,
            )
            self._link.notify(share.home, message)

    def settle(self, charge: Charge, *, used_tokens: int) -> None:
        """End the reservation at every home, in the background."""
        for share, used in _spread(charge, used_tokens):
            message = SettleTokens(
                workspace=charge.workspace,
                part=share.part,
                request_id=charge.request_id,
                used_tokens=used,
            )
            self._background.start(self._settle(share.home, message), name="settle")

    async def _reserve(self, attempt: _Attempt, tokens: int) -> bool:
        for part in self._order(attempt):
            if await self._charge_part(attempt, part, tokens):
                return True
        available = [max(0, attempt.available.get(part, 0)) for part in range(PARTS)]
        return sum(available) >= tokens and await self._reserve_in_parts(attempt, tokens)

    async def _reserve_in_parts(self, attempt: _Attempt, tokens: int) -> bool:
        """Take what each part has; all nodes ask the parts in the same order."""
        missing = tokens
        for part in range(PARTS):
            is_last = part == PARTS - 1
            missing -= await self._charge_part(attempt, part, missing, allow_part=not is_last)
            if missing <= 0:
                return True
        self._release(attempt)
        return False

    async def _charge_part(
        self, attempt: _Attempt, part: int, tokens: int, *, allow_part: bool = False
    ) -> int:
        """Return how many tokens the home of `part` reserved."""
        home = self._parts.home(attempt.workspace, part)
        if home is None:
            return 0
        message = ChargeTokens(
            workspace=attempt.workspace,
            part=part,
            request_id=attempt.request_id,
            tokens=tokens,
            allow_part=allow_part,
        )
        reply = await self._ask(home, message)
        if reply is None or reply.outcome is ChargeOutcome.NOT_HOLDER:
            return 0
        if reply.outcome is ChargeOutcome.SHORT:
            attempt.available[part] = reply.tokens
            return 0
        attempt.shares.append(ChargeShare(part=part, home=home, tokens=reply.tokens))
        return reply.tokens

    async def _ask(self, home: str, message: ChargeTokens) -> ChargeReply | None:
        """Charge at a home, again if a reply is lost; None if the home gave no answer."""
        may_be_reserved = False
        for _ in range(_CHARGE_ATTEMPTS):
            try:
                async with asyncio.timeout(2 * _CHARGE_TIMEOUT_S):
                    reply: ChargeReply = await self._link.request(
                        home, message, timeout_s=_CHARGE_TIMEOUT_S
                    )
                return reply
            except (OutcomeUnknownError, TimeoutError):
                may_be_reserved = True
                self._metrics.count_retry(RetryReason.HOME_UNREACHABLE)
            except FlamingoshelfError as error:
                logger.bind(step="charge", peer=home).debug("no answer: {}", error)
                break
        self._avoided[home] = now_s() + _AVOID_HOME_S
        if may_be_reserved:
            self._background.start(self._settle(home, _withdrawal(message)), name="withdraw")
        return None

    async def _settle(self, home: str, message: SettleTokens) -> None:
        for _ in range(_SETTLE_ATTEMPTS):
            try:
                await self._link.request(home, message, timeout_s=_SETTLE_TIMEOUT_S)
                return
            except FlamingoshelfError as error:
                logger.bind(step="settle", peer=home).debug("no answer: {}", error)
                await asyncio.sleep(_SETTLE_RETRY_S)

    def _release(self, attempt: _Attempt) -> None:
        charge = Charge(
            request_id=attempt.request_id,
            workspace=attempt.workspace,
            tokens=0,
            shares=tuple(attempt.shares),
        )
        self.settle(charge, used_tokens=0)
        attempt.shares.clear()

    def _order(self, attempt: _Attempt) -> Sequence[int]:
        """Return the parts, spread over the requests; homes that gave no answer come last."""
        first = stable_hash(attempt.request_id) % PARTS
        parts = [(first + offset) % PARTS for offset in range(PARTS)]
        return sorted(parts, key=lambda part: self._is_avoided(attempt.workspace, part))

    def _is_avoided(self, workspace: str, part: int) -> bool:
        home = self._parts.home(workspace, part)
        return home is None or self._avoided.get(home, 0.0) > now_s()

    def _refuse(self, attempt: _Attempt, spec: Workspace, tokens: int) -> Refusal:
        if len(attempt.available) < PARTS:
            return unavailable(attempt.workspace)
        missing = tokens - sum(attempt.available.values())
        wait_s = max(0.0, missing / spec.rate_tokens_s)
        memory_s = min(wait_s, _MAX_REFUSAL_MEMORY_S)
        _bound(self._refusals)
        self._refusals[attempt.workspace] = _RecentRefusal(
            tokens=tokens, until_s=now_s() + memory_s
        )
        return rate_exceeded(wait_s)

    def _remembered(self, workspace: str, tokens: int) -> Refusal | None:
        recent = self._refusals.get(workspace)
        if recent is None or tokens < recent.tokens:
            return None
        wait_s = recent.until_s - now_s()
        return rate_exceeded(wait_s) if wait_s > 0 else None


def _spread(charge: Charge, used_tokens: int) -> Sequence[tuple[ChargeShare, int]]:
    """Divide used tokens over the shares; the last one takes what exceeds the charge."""
    spread = []
    for share in charge.shares[:-1]:
        used = min(share.tokens, used_tokens)
        used_tokens -= used
        spread.append((share, used))
    spread.extend((share, used_tokens) for share in charge.shares[-1:])
    return spread


def _withdrawal(message: ChargeTokens) -> SettleTokens:
    return SettleTokens(
        workspace=message.workspace,
        part=message.part,
        request_id=message.request_id,
        used_tokens=0,
    )


def _bound(entries: dict[str, Any]) -> None:
    """Drop the oldest entry of a table that is full."""
    while len(entries) >= _MAX_MEMORY_ENTRIES:
        del entries[next(iter(entries))]
