"""Batching of updates to dispatchers, so that one message carries several."""

import asyncio
from collections.abc import Callable

import attrs

from flamingoshelf.dispatch._messages import PlaceUpdate
from flamingoshelf.dispatch._types import Grant
from flamingoshelf.utils import TaskGroup

__all__ = ["UpdateBatch"]

_BATCH_DELAY_S = 0.004


@attrs.define(kw_only=True)
class _PendingUpdate:
    released: list[str] = attrs.field(factory=list)
    prefilled: list[str] = attrs.field(factory=list)
    failed: list[str] = attrs.field(factory=list)


class UpdateBatch:
    """Collects updates for a few milliseconds and sends one message for each model.

    Parameters
    ----------
    send : callable
        Sends one update.
    tasks : TaskGroup
        Task group that runs the delayed sending.
    """

    def __init__(self, *, send: Callable[[PlaceUpdate], None], tasks: TaskGroup) -> None:
        self._send = send
        self._tasks = tasks
        self._pending: dict[str, _PendingUpdate] = {}

    def add_released(self, model: str, request_id: str) -> None:
        """Add a released grant."""
        self._pending_for(model).released.append(request_id)

    def add_prefilled(self, grant: Grant) -> None:
        """Add a grant whose prefill has ended."""
        self._pending_for(grant.model).prefilled.append(grant.request_id)

    def add_failed(self, model: str, server: str) -> None:
        """Add a backend server that failed."""
        self._pending_for(model).failed.append(server)

    def _pending_for(self, model: str) -> _PendingUpdate:
        if model not in self._pending:
            self._pending[model] = _PendingUpdate()
            self._tasks.start(self._flush(model), name="update")
        return self._pending[model]

    async def _flush(self, model: str) -> None:
        await asyncio.sleep(_BATCH_DELAY_S)
        pending = self._pending.pop(model)
        update = PlaceUpdate(
            model=model,
            released=tuple(pending.released),
            prefilled=tuple(pending.prefilled),
            failed=tuple(pending.failed),
        )
        self._send(update)
