"""Reports of failed engine calls to the coordinator."""

from loguru import logger

from flamingoshelf.paths import PathReports
from flamingoshelf.placement import FailureKind, Placer, Turn
from flamingoshelf.routing import BackendInstance
from flamingoshelf.utils import TaskGroup

__all__ = ["EngineFailures"]


class EngineFailures:
    """Tells the coordinator which engines failed calls, unless only this node's path has failed.

    The coordinator takes what it is told for the state of the engine, for all nodes.

    Parameters
    ----------
    placer : Placer
        Passes the reports on.
    paths : PathReports
        Tells a lost path from a lost engine.
    """

    def __init__(self, *, placer: Placer, paths: PathReports) -> None:
        self._placer = placer
        self._paths = paths
        self._tasks = TaskGroup(owner="engine_failures")

    async def stop(self) -> None:
        """Drop the reports whose cause is not known yet."""
        await self._tasks.stop()

    def report(self, engine: BackendInstance, kind: FailureKind, *, detail: str) -> None:
        """Report a failed call once it is known that other nodes can't reach the engine either."""
        if kind is FailureKind.REPLACED:  # as an answer says
            self._placer.record_failure(engine.service, engine.key, kind, detail=detail)
        else:
            self._tasks.start(self._report(engine, kind, detail), name="report")

    def report_silence(self, engine: BackendInstance, *, since_s: float, detail: str) -> None:
        """Report at once that a call makes no progress; the coordinator only probes the engine."""
        self._paths.record_silence(engine, since_s=since_s)
        self._placer.record_failure(engine.service, engine.key, FailureKind.SILENT, detail=detail)

    def report_slow_prefill(self, engine: BackendInstance, turn: Turn, *, seconds: float) -> None:
        """Report at once that a prefill wasn't done after `seconds`, as its turn ends now."""
        if not self._paths.is_known_cut(engine.key):
            self._placer.record_slow_prefill(turn, seconds=seconds)

    async def _report(self, engine: BackendInstance, kind: FailureKind, detail: str) -> None:
        if await self._paths.is_cut(engine):
            logger.bind(step="engine", peer=engine.key, kind=kind.value).info(
                "failed call not reported, as only this node's path has failed: {}", detail
            )
            return
        self._placer.record_failure(engine.service, engine.key, kind, detail=detail)
