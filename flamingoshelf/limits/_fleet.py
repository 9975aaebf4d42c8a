"""Limiter over the whole fleet that charges requests at the homes of limit parts.

The home of a part is the node that holds it.
"""

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
from flamingoshelf.limits._parts import PART_COUNT, PartOwnership
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
_MAX_REFUSAL_CACHE_S = 0.25
_SETTLE_TIMEOUT_S = 2.0
_SETTLE_ATTEMPTS = 5
_SETTLE_RETRY_DELAY_S = 0.5
_MAX_CACHED_REFUSALS = 4096


@attrs.frozen(kw_only=True)
class _CachedRefusal:
    """Refusal of a workspace's requests of `tokens` or more, valid until `until_s`."""

    tokens: int
    until_s: float


@attrs.define(kw_only=True)
class _Attempt:
    """Progress of charging one request: available tokens by part, and reserved shares."""

    request_id: str
    workspace: str
    available: dict[int, int] = attrs.field(factory=dict)
    shares: list[ChargeShare] = attrs.field(factory=list)


class FleetLimiter:
    """Charges each request at one home of its workspace's limit; implements `Limiter`.

    A request that does not fit into any single part is charged to several parts.

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
        Tasks that may run longer than the request that started them.
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
        self._cached_refusals: dict[str, _CachedRefusal] = {}
        self._avoided_until_s: dict[str, float] = {}

    async def charge(
        self, *, request_id: str, workspace: str, tokens: int
    ) -> Result[Charge, Refusal]:
        """Reserve `tokens` at the homes of the workspace's limit."""
        spec = self._catalog().workspace(workspace)
        if spec is None:
            return Err(unavailable(workspace))
        if tokens > spec.burst_tokens:
            return Err(above_burst(tokens, spec.burst_tokens))
        cached = self._find_cached_refusal(workspace, tokens)
        if cached is not None:
            return Err(cached)
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
        """Report the tokens that a running request used; a lost report only delays a refund."""
        for share, used in _divide_usage(charge, used_tokens):
            message = UpdateTokens(
                workspace=charge.workspace,
                part=share.part,
                request_id=charge.request_id,
                used_tokens=used,
                reserved_tokens=reserved_tokens,
            )
            self._link.notify(share.home, message)

    def settle(self, charge: Charge, *, used_tokens: int) -> None:
        """End the reservation at each of its homes, in the background."""
        for share, used in _divide_usage(charge, used_tokens):
            message = SettleTokens(
                workspace=charge.workspace,
                part=share.part,
                request_id=charge.request_id,
                used_tokens=used,
            )
            self._background.start(self._settle(share.home, message), name="settle")

    async def _reserve(self, attempt: _Attempt, tokens: int) -> bool:
        """Reserve the tokens in one part if possible, otherwise in several."""
        for part in self._charge_order(attempt):
            if await self._charge_part(attempt, part, tokens):
                return True
        available = [max(0, attempt.available.get(part, 0)) for part in range(PART_COUNT)]
        return sum(available) >= tokens and await self._reserve_in_parts(attempt, tokens)

    async def _reserve_in_parts(self, attempt: _Attempt, tokens: int) -> bool:
        """Reserve the tokens over several parts, or none; all nodes charge them in one order."""
        missing = tokens
        for part in range(PART_COUNT):
            is_last = part == PART_COUNT - 1
            missing -= await self._charge_part(attempt, part, missing, allow_part=not is_last)
            if missing <= 0:
                return True
        self._release(attempt)
        return False

    async def _charge_part(
        self, attempt: _Attempt, part: int, tokens: int, *, allow_part: bool = False
    ) -> int:
        """Charge one part at its home; return the number of tokens that are reserved there."""
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
        reply = await self._request_charge(home, message)
        if reply is None or reply.outcome is ChargeOutcome.NOT_HOLDER:
            return 0
        if reply.outcome is ChargeOutcome.SHORT:
            attempt.available[part] = reply.tokens
            return 0
        attempt.shares.append(ChargeShare(part=part, home=home, tokens=reply.tokens))
        return reply.tokens

    async def _request_charge(self, home: str, message: ChargeTokens) -> ChargeReply | None:
        """Send a charge to a home, again if the reply is lost; return None without a reply.

        A charge that may have been reserved without a reply is withdrawn in the background.
        """
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
                logger.bind(step="charge", peer=home).debug("charge failed: {}", error)
                break
        self._avoided_until_s[home] = now_s() + _AVOID_HOME_S
        if may_be_reserved:
            self._background.start(self._settle(home, _withdrawal(message)), name="withdraw")
        return None

    async def _settle(self, home: str, message: SettleTokens) -> None:
        for _ in range(_SETTLE_ATTEMPTS):
            try:
                await self._link.request(home, message, timeout_s=_SETTLE_TIMEOUT_S)
                return
            except FlamingoshelfError as error:
                logger.bind(step="settle", peer=home).debug("settlement failed: {}", error)
                await asyncio.sleep(_SETTLE_RETRY_DELAY_S)

    def _release(self, attempt: _Attempt) -> None:
        """Release the tokens that an unsuccessful attempt reserved."""
        charge = Charge(
            request_id=attempt.request_id,
            workspace=attempt.workspace,
            tokens=0,
            shares=tuple(attempt.shares),
        )
        self.settle(charge, used_tokens=0)
        attempt.shares.clear()

    def _charge_order(self, attempt: _Attempt) -> Sequence[int]:
        """Return the parts in charging order: spread by request id, unresponsive homes last."""
        first = stable_hash(attempt.request_id) % PART_COUNT
        parts = [(first + offset) % PART_COUNT for offset in range(PART_COUNT)]
        return sorted(parts, key=lambda part: self._is_avoided(attempt.workspace, part))

    def _is_avoided(self, workspace: str, part: int) -> bool:
        home = self._parts.home(workspace, part)
        return home is None or self._avoided_until_s.get(home, 0.0) > now_s()

    def _refuse(self, attempt: _Attempt, spec: Workspace, tokens: int) -> Refusal:
        """Return the refusal of an attempt; cache it if the workspace is above its rate."""
        if len(attempt.available) < PART_COUNT:
            return unavailable(attempt.workspace)
        missing = tokens - sum(attempt.available.values())
        wait_s = max(0.0, missing / spec.rate_tokens_s)
        cache_s = min(wait_s, _MAX_REFUSAL_CACHE_S)
        _make_room(self._cached_refusals)
        self._cached_refusals[attempt.workspace] = _CachedRefusal(
            tokens=tokens, until_s=now_s() + cache_s
        )
        return rate_exceeded(wait_s)

    def _find_cached_refusal(self, workspace: str, tokens: int) -> Refusal | None:
        """Return the cached refusal that applies to a request of this size, if any."""
        entry = self._cached_refusals.get(workspace)
        if entry is None or tokens < entry.tokens:
            return None
        wait_s = entry.until_s - now_s()
        return rate_exceeded(wait_s) if wait_s > 0 else None


def _divide_usage(charge: Charge, used_tokens: int) -> Sequence[tuple[ChargeShare, int]]:
    """Divide the used tokens over the shares; the last share gets any excess over the charge."""
    usages = []
    for share in charge.shares[:-1]:
        used = min(share.tokens, used_tokens)
        used_tokens -= used
        usages.append((share, used))
    usages.extend((share, used_tokens) for share in charge.shares[-1:])
    return usages


def _withdrawal(message: ChargeTokens) -> SettleTokens:
    return SettleTokens(
        workspace=message.workspace,
        part=message.part,
        request_id=message.request_id,
        used_tokens=0,
    )


def _make_room(entries: dict[str, Any]) -> None:
    """Drop the oldest entries of a full table to make room for one."""
    while len(entries) >= _MAX_CACHED_REFUSALS:
        del entries[next(iter(entries))]
