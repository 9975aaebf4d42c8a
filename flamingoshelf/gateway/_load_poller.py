"""Polls the load of engines while not all nodes place through one dispatcher."""

import asyncio
from collections.abc import Callable

from loguru import logger

from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.gateway._engine_control import EngineControl
from flamingoshelf.placement import Dispatcher
from flamingoshelf.routing import BackendInstance
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["LoadPoller"]

_POLL_INTERVAL_S = 0.3  # a third of the age of a load report (0.9 s), so it adds little to it


class LoadPoller:
    """Polls decode engines that other nodes may use without this node's knowledge.

    Parameters
    ----------
    dispatchers : callable
        Returns the dispatchers of this node.
    control : EngineControl
        Sends the report calls.
    is_needed : callable
        Returns whether other nodes may place requests through another dispatcher.
    """

    def __init__(
        self,
        *,
        dispatchers: Callable[[], list[Dispatcher]],
        control: EngineControl,
        is_needed: Callable[[], bool],
    ) -> None:
        self._dispatchers = dispatchers
        self._control = control
        self._is_needed = is_needed
        self._tasks = TaskGroup(owner="load_watch")

    async def start(self) -> None:
        """Start polling; engines are called only while `is_needed` returns True."""
        self._tasks.start(self._run(), name="run")

    async def stop(self) -> None:
        """Cancel all calls."""
        await self._tasks.stop()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            if not self._is_needed():
                continue
            for dispatcher in self._dispatchers():
                if dispatcher.queue_length or dispatcher.active_turn_count:
                    engines = dispatcher.engines.usable_decodes()
                    await asyncio.gather(*(self._read_report(dispatcher, e) for e in engines))

    async def _read_report(self, dispatcher: Dispatcher, engine: BackendInstance) -> None:
        try:
            report = await self._control.report(engine)
        except FlamingoshelfError as error:
            logger.bind(step="load", peer=engine.key).debug("load report failed: {}", error.message)
            return
        dispatcher.engines.decode_tracker(engine.key).record_report(report.held_tokens, now_s())
