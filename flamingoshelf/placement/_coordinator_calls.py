"""Requests of a node to the dispatchers of the fleet's coordinator."""

import asyncio
from collections.abc import Callable
from typing import Any

from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.cluster import CallRecord, Coordination, CoordinatorRequests
from flamingoshelf.placement._messages import AcquireTurn, ConfirmDecode, TurnGranted, TurnRefused
from flamingoshelf.placement._service import DispatcherService
from flamingoshelf.placement._types import Turn

__all__ = ["CoordinatorCalls"]


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
        self._requests: CoordinatorRequests | None = None

    def connect(self, link: NodeLink, coordination: Coordination) -> None:
        """Use the dispatchers of the fleet's coordinator from now on."""
        self._requests = CoordinatorRequests(link=link, coordination=coordination, step="place")

    async def request(
        self, payload: Any, *, timeout_s: float, record: CallRecord | None = None
    ) -> Any:
        """Return the coordinator's reply, or None as `CoordinatorRequests` does."""
        if self._requests is None:
            return await self._request_self(payload, timeout_s=timeout_s)
        record = CallRecord() if record is None else record
        lost_before = record.lost_replies
        reply = await self._requests.request(payload, timeout_s=timeout_s, record=record)
        if record.lost_replies > lost_before:
            self._on_lost_reply()
        return reply

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
