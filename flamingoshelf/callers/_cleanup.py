"""Cleanup at the engines after an attempt that ended early."""

import asyncio

import attrs
from loguru import logger

from flamingoshelf.backends import EngineClient
from flamingoshelf.dispatch import Grant, Placer
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.telemetry import Metrics

__all__ = ["GrantCleanup"]

_INITIAL_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 2.0
_MAX_RETRY_DURATION_S = 60.0


@attrs.frozen(kw_only=True)
class GrantCleanup:
    """Cancels an attempt at both engines of its grant and releases the place.

    Cancellation is retried with exponential backoff until each engine has confirmed it or the
    time limit has passed.

    Parameters
    ----------
    engines : EngineClient
        Interface to the engines.
    placer : Placer
        Placer that gave the grant.
    metrics : Metrics
        Counters of events.
    """

    engines: EngineClient
    placer: Placer
    metrics: Metrics

    async def run(self, grant: Grant) -> None:
        """Cancel the attempt at both engines, then release the grant."""
        try:
            await asyncio.gather(
                self._cancel(grant.prefill_address, grant.request_id),
                self._cancel(grant.decode_address, grant.request_id),
            )
        finally:
            self.placer.release(grant)

    async def _cancel(self, address: str, request_id: str) -> None:
        backoff_s = _INITIAL_BACKOFF_S
        waited_s = 0.0
        while waited_s < _MAX_RETRY_DURATION_S:
            try:
                await self.engines.cancel(address, request_id)
                return
            except FlamingoshelfError as error:
                logger.bind(request_id=request_id, step="cancel", peer=address).debug(
                    "cancellation failed: {}", error
                )
            await asyncio.sleep(backoff_s)
            waited_s += backoff_s
            backoff_s = min(_MAX_BACKOFF_S, 2 * backoff_s)
        self.metrics.count_event("cancels_unconfirmed")
