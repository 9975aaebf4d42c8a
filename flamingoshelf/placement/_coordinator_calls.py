"""Requests of a node to the dispatchers of the fleet's coordinator."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.cluster import Coordination
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.placement._messages import AcquireTurn, ConfirmDecode, TurnGranted, TurnRefused
from flamingoshelf.placement._service import DispatcherService
from flamingoshelf.placement._types import Turn
from flamingoshelf.utils import now_s

__all__ = ["CallRecord", "CoordinatorCalls"]


@attrs.define(kw_only=True)
class CallRecord:
    """What the requests to the coordinator for one turn waited for; for the log.

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


class CoordinatorCalls:
    """Sends requests to the coordinator's dispatchers.

    While this node isn't connected to the fleet, its own dispatchers answer.

    Parameters
    ----------
    node_name : str
        Name of this node.
    dispatchers : DispatcherService
        Dispatchers of this node.
    on_lost_reply : callable
        Called when a reply was lost, which may have granted a turn.
    """

    def __init__(
        self, *, node_name: str, dispatchers: DispatcherService, on_lost_reply: Callable[[], None]
    ) -> None:
        self._node_name = node_name
        self._dispatchers = dispatchers
        self._on_lost_reply = on_lost_reply
        self._link: NodeLink | None = None
        self._coordination: Coordination | None = None

    def connect(self, link: NodeLink, coordination: Coordination) -> None:
        """Use the dispatchers of the fleet's coordinator from now on."""
        self._link = link
        self._coordination = coordination

    async def request(
        self, payload: Any, *, timeout_s: float, record: CallRecord | None = None
    ) -> Any:
        """Return the coordinator's reply.

        Return None if it was lost, the coordinator changed, or `timeout_s` passed before a
        coordinator was known.
        """
        if self._coordination is None or self._link is None:
            return await self._request_self(payload, timeout_s=timeout_s)
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
            logger.bind(step="place", peer=coordinator).info("coordinator changed")
        except FlamingoshelfError as error:
            logger.bind(step="place", peer=coordinator).info(
                "request to coordinator failed: {}", error.message
            )
            record.lost_replies += 1
            self._coordination.report_failure(coordinator)
            self._on_lost_reply()
        finally:
            request.cancel()
            coordinator_change.cancel()
        return None

    async def _wait_for_coordinator(self, timeout_s: float, record: CallRecord) -> str | None:
        """Return the coordinator's name, or None if it isn't known in time."""
        assert self._coordination is not None
        record.begin_unknown()
        try:
            async with asyncio.timeout(timeout_s):
                return await self._coordination.wait_for_coordinator()
        except TimeoutError:
            logger.bind(step="place").info("coordinator not known for {:.2f} s", timeout_s)
            return None
        finally:
            record.end_unknown()

    async def _request_self(self, payload: Any, *, timeout_s: float) -> Any:
        """Return the reply of this node's own dispatcher, or None if there is none in time.

        Raises
        ------
        TypeError
            `payload` isn't a request to a dispatcher.
        """
        match payload:
            case AcquireTurn():
                outcome = await self._dispatchers.acquire(payload.request, self._node_name)
                if isinstance(outcome, Turn):
                    return TurnGranted(turn=outcome)
                return TurnRefused(refusal=outcome)
            case ConfirmDecode():
                try:
                    async with asyncio.timeout(timeout_s):
                        return await self._dispatchers.confirm(payload)
                except TimeoutError:
                    logger.bind(step="place", turn=payload.turn_id).warning(
                        "no decision about a processed prompt"
                    )
                    return None
        raise TypeError(f"not a dispatcher request: {payload!r}")
