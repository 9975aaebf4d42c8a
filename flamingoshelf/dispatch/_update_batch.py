"""Gathers updates to dispatchers for a moment, so that one message carries several."""

import asyncio
from collections.abc import Callable

import attrs

from flamingoshelf.dispatch._messages import PlaceUpdate
from flamingoshelf.dispatch._types import Grant
from flamingoshelf.utils import TaskGroup

__all__ = ["UpdateBatch"]

_DELAY_S = 0.004


@attrs.define(kw_only=True)
class _Pending:
    released: list[str] = attrs.field(factory=list)
    prefilled: list[str] = attrs.field(factory=list)
    failed: list[str] = attrs.field(factory=list)


class UpdateBatch:
    """Updates that wait to be sent, by model.

    Parameters
    ----------
    send : callable
        Sends one update.
    tasks : TaskGroup
        Owner of the task that sends.
    """

    def __init__(self, *, send: Callable[[PlaceUpdate], None], tasks: TaskGroup) -> None:
        self._send = send
        self._tasks = tasks
        self._pending: dict[str, _Pending] = {}

    def add_released(self, model: str, request_id: str) -> None:
        """Add a grant that was given back."""
        self._of(model).released.append(request_id)

    def add_prefilled(self, grant: Grant) -> None:
        """Add a grant whose prefill is over."""
        self._of(grant.model).prefilled.append(grant.request_id)

    def add_failed(self, model: str, server: str) -> None:
        """Add a backend server that failed."""
        self._of(model).failed.append(server)

    def _of(self, model: str) -> _Pending:
        if model not in self._pending:
            self._pending[model] = _Pending()
            self._tasks.start(self._flush(model), name="update")
        return self._pending[model]

    async def _flush(self, model: str) -> None:
        await asyncio.sleep(_DELAY_S)
        pending = self._pending.pop(model)
        update = PlaceUpdate(
            model=model,
            released=tuple(pending.released),
            prefilled=tuple(pending.prefilled),
            failed=tuple(pending.failed),
        )
        self._send(update)
