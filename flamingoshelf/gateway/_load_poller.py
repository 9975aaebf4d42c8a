"""Polls engines for what the coordinator can't count itself."""

import asyncio
from collections.abc import Callable, Sequence

from loguru import logger

from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.gateway._engine_control import EngineControl
from flamingoshelf.placement import Dispatcher
from flamingoshelf.routing import BackendInstance
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["LoadPoller"]

_POLL_INTERVAL_S = 0.3  # short compared with a run, which changes the load


class LoadPoller:
    """Polls decode engines that other nodes may use without this node's knowledge.

    A few reports are read in any case, until the tokens in an event are known. Engines that state
    limits are not polled.

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
            is_needed = self._is_needed()
            for dispatcher in self._dispatchers():
                if not dispatcher.queue_length and not dispatcher.active_turn_count:
                    continue
                engines = [
                    engine
                    for engine in dispatcher.engines.usable_decodes()
                    if not dispatcher.engines.is_limited(engine.key)
                ]
                if is_needed:
                    await asyncio.gather(*(self._read_report(dispatcher, e) for e in engines))
                elif dispatcher.model.needs_counted_runs and engines:
                    await self._read_report(dispatcher, _busiest(dispatcher, engines))

    async def _read_report(self, dispatcher: Dispatcher, engine: BackendInstance) -> None:
        try:
            report = await self._control.report(engine)
        except FlamingoshelfError as error:
            logger.bind(step="load", peer=engine.key).debug("load report failed: {}", error.message)
            return
        dispatcher.engines.decode_tracker(engine.key).record_report(report.held_tokens, now_s())
        for run in report.runs if dispatcher.model.needs_counted_runs else ():
            dispatcher.record_reported_run(
                run.request_id, held_tokens=run.held_tokens, events=run.events
            )


def _busiest(dispatcher: Dispatcher, engines: Sequence[BackendInstance]) -> BackendInstance:
    """Return the engine with most runs."""
    return max(engines, key=lambda engine: dispatcher.engines.decode_tracker(engine.key).runs)
