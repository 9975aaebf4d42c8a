"""Requests of a node to the fleet's coordinator."""

import asyncio
from typing import Any

import attrs
from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.cluster._coordination import Coordination
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.utils import now_s

__all__ = ["CallRecord", "CoordinatorRequests"]


@attrs.define(kw_only=True)
class CallRecord:
    """What the requests to the coordinator for one purpose waited for; for the log.

    Attributes
    ----------
    lost_replies : int
        Number of requests whose reply was lost.
    """

    lost_replies: int = 0
    _unknown_s: float = 0.0
    _unknown_since_s: float | None = None

    def begin_unknown(self) -> None:
        """Record that the node begins to wait until the coordinator is known."""
        self._unknown_since_s = now_s()

    def end_unknown(self) -> None:
        """Record that the node no longer waits until the coordinator is known."""
        self._unknown_s = self.unknown_s
        self._unknown_since_s = None

    @property
    def unknown_s(self) -> float:
        """Seconds for which the coordinator wasn't known."""
        since_s = self._unknown_since_s
        return self._unknown_s + (0.0 if since_s is None else now_s() - since_s)


class CoordinatorRequests:
    """Sends requests to the coordinator, and reports its failures.

    Parameters
    ----------
    link : NodeLink
        Link to the other nodes.
    coordination : Coordination
        Knows the coordinator.
    step : str
        Step that log lines name.
    """

    def __init__(self, *, link: NodeLink, coordination: Coordination, step: str) -> None:
        self._link = link
        self._coordination = coordination
        self._step = step

    async def request(
        self, payload: Any, *, timeout_s: float, record: CallRecord | None = None
    ) -> Any:
        """Return the coordinator's reply.

        Return None if it was lost, the coordinator changed, or `timeout_s` passed before a
        coordinator was known.
        """
        record = CallRecord() if record is None else record
        end_s = now_s() + timeout_s
        coordinator = await self._wait_for_coordinator(timeout_s, record)
        if coordinator is None:
            return None
        request = asyncio.ensure_future(
            self._link.request(coordinator, payload, timeout_s=end_s - now_s())
        )
        coordinator_change = asyncio.ensure_future(
            self._coordination.wait_for_coordinator_change(coordinator)
        )
        try:
            with self._coordination.during_request():
                await asyncio.wait(
                    (request, coordinator_change), return_when=asyncio.FIRST_COMPLETED
                )
            if request.done():
                return request.result()
            logger.bind(step=self._step, peer=coordinator).info("coordinator changed")
        except FlamingoshelfError as error:
            logger.bind(step=self._step, peer=coordinator).info(
                "request to coordinator failed: {}", error.message
            )
            record.lost_replies += 1
            self._coordination.report_failure(coordinator)
        finally:
            request.cancel()
            coordinator_change.cancel()
        return None

    async def _wait_for_coordinator(self, timeout_s: float, record: CallRecord) -> str | None:
        """Return the coordinator's name, or None if it isn't known in time."""
        record.begin_unknown()
        try:
            async with asyncio.timeout(timeout_s):
                return await self._coordination.wait_for_coordinator()
        except TimeoutError:
            logger.bind(step=self._step).info("coordinator not known for {:.2f} s", timeout_s)
            return None
        finally:
            record.end_unknown()
