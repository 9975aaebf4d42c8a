"""Frees what engines hold for an attempt that ended early."""

import asyncio

import attrs
from loguru import logger

from flamingoshelf.backends import EngineClient
from flamingoshelf.dispatch import Grant, Placer
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.telemetry import Metrics

__all__ = ["GrantCleanup"]

_FIRST_RETRY_S = 0.25
_LONGEST_RETRY_S = 2.0
_GIVE_UP_S = 60.0


@attrs.frozen(kw_only=True)
class GrantCleanup:
    """Cancels at both engines of a grant until each confirmed, then gives the place back.

    Parameters
    ----------
    engines : EngineClient
        Interface to the engines.
    placer : Placer
        Gets the place back.
    metrics : Metrics
        Counters of events.
    """

    engines: EngineClient
    placer: Placer
    metrics: Metrics

    async def run(self, grant: Grant) -> None:
        """Free the grant."""
        try:
            await asyncio.gather(
                self._cancel(grant.prefill_address, grant.request_id),
                self._cancel(grant.decode_address, grant.request_id),
            )
        finally:
            self.placer.release(grant)

    async def _cancel(self, address: str, request_id: str) -> None:
        pause_s = _FIRST_RETRY_S
        waited_s = 0.0
        while waited_s < _GIVE_UP_S:
            try:
                await self.engines.cancel(address, request_id)
                return
            except FlamingoshelfError as error:
                logger.bind(request_id=request_id, step="cancel", peer=address).debug("{}", error)
            await asyncio.sleep(pause_s)
            waited_s += pause_s
            pause_s = min(_LONGEST_RETRY_S, 2 * pause_s)
        self.metrics.count_event("cancels_unconfirmed")
