"""Health probes of engines that failed requests."""

import asyncio
from collections.abc import Callable

from loguru import logger

from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.gateway._backend_response import ServerPausedError
from flamingoshelf.gateway._engine_control import EngineControl
from flamingoshelf.http1 import NoFreeConnectionError
from flamingoshelf.placement import Dispatcher
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["EngineProber"]

_CHECK_INTERVAL_S = 0.05  # short compared with the interval of 0.3 s between probes of one engine


class EngineProber:
    """Probes suspected engines with report calls, so that no user request is needed to test them.

    Parameters
    ----------
    dispatchers : callable
        Returns the dispatchers of this node.
    control : EngineControl
        Sends the report calls.
    """

    def __init__(
        self, *, dispatchers: Callable[[], list[Dispatcher]], control: EngineControl
    ) -> None:
        self._dispatchers = dispatchers
        self._control = control
        self._tasks = TaskGroup(owner="prober")

    async def start(self) -> None:
        """Start probing suspected engines."""
        self._tasks.start(self._run(), name="probe")

    async def stop(self) -> None:
        """Cancel all probes."""
        await self._tasks.stop()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            for dispatcher in self._dispatchers():
                for key in dispatcher.engines.health.due_probes(now_s()):
                    self._tasks.start(self._probe(dispatcher, key), name=f"probe.{key}")

    async def _probe(self, dispatcher: Dispatcher, key: str) -> None:
        engine = dispatcher.engines.instance(key)
        if engine is None:
            dispatcher.engines.health.remove(key)
            return
        if not dispatcher.engines.has_permit(key):
            logger.bind(step="probe", peer=key).debug("probe held back by the engine's limit")
            return
        dispatcher.engines.spend_permit(key)
        is_answered = True
        began_s = now_s()
        try:
            await self._control.report(engine)
        except (ServerPausedError, NoFreeConnectionError) as error:
            logger.bind(step="probe", peer=key).debug("probe held back: {}", error.message)
            return
        except FlamingoshelfError as error:
            is_answered = False
            logger.bind(step="probe", peer=key).info("probe failed: {}", error.message)
        dispatcher.engines.health.record_probe(
            key, is_answered=is_answered, now_s=now_s(), seconds=now_s() - began_s
        )
