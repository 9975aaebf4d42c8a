"""Confirms which run of an engine a connection leads to, and whether an engine answers.

An engine may start again under its identity with another software version, and a node may learn of
that late. A connection outlives no run of its engine, so a report that arrives while it is open
tells which run is at its other end.
"""

import asyncio
import weakref
from collections.abc import Awaitable, Callable

import attrs
from loguru import logger

from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.gateway._engine_control import EngineReport
from flamingoshelf.gateway._proxied_calls import ProxiedCall
from flamingoshelf.http1 import BackendConnection
from flamingoshelf.routing import BackendInstance, ServerRun
from flamingoshelf.utils import TaskGroup

__all__ = ["EngineRuns", "RunCheck"]

_ATTEMPTS = 3
_RETRY_DELAY_S = 0.1


class RunCheck:
    """Whether a connection leads to the listed run of an engine, as far as it is known."""

    def __init__(self, task: asyncio.Task[bool] | None = None) -> None:
        self._task = task

    async def is_confirmed(self) -> bool:
        """Wait for the engine's report; return whether it confirms the listed run."""
        return True if self._task is None else await asyncio.shield(self._task)

    def subscribe(self, on_result: Callable[[bool], None]) -> None:
        """Call ``on_result(is_confirmed)`` when it is known, perhaps at once."""
        if self._task is None:
            on_result(True)
        else:
            self._task.add_done_callback(
                lambda task: on_result(not task.cancelled() and task.result())
            )


@attrs.define(kw_only=True, eq=False)
class _Question:
    """A report that is asked for to see whether an engine answers.

    Attributes
    ----------
    is_sent : bool
        Whether the engine's limit has left room for it.
    answered : asyncio.Future
        Whether the engine has answered.
    """

    is_sent: bool = False
    answered: asyncio.Future[bool] = attrs.field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )


class EngineRuns:
    """Checks each new connection to an engine once, while its first request is under way.

    Reports tell which run of an engine is at the other end, and that it isn't silent.

    Parameters
    ----------
    report : callable
        ``await report(engine)`` returns a report of an engine.
    may_ask : callable
        ``await may_ask(engine)`` waits until an engine that limits its requests accepts another
        one; returns whether it does in time. Without a report nothing is confirmed.
    """

    def __init__(
        self,
        *,
        report: Callable[[BackendInstance], Awaitable[EngineReport]],
        may_ask: Callable[[BackendInstance], Awaitable[bool]],
    ) -> None:
        self._report = report
        self._may_ask = may_ask
        # Reports that are not sent yet; they tell of all connections that are open by then.
        self._queued: dict[ServerRun, asyncio.Task[EngineReport | None]] = {}
        self._questions: dict[ServerRun, _Question] = {}
        self._confirmed: weakref.WeakKeyDictionary[BackendConnection, ServerRun] = (
            weakref.WeakKeyDictionary()
        )
        self._tasks = TaskGroup(owner="engine_runs")

    async def stop(self) -> None:
        """Cancel all checks."""
        await self._tasks.stop()

    def check(
        self, engine: BackendInstance, connection: BackendConnection | ProxiedCall
    ) -> RunCheck:
        """Begin to check the run at the other end of an open connection.

        The node that makes a call for this one checks its own connection.
        """
        if isinstance(connection, ProxiedCall):
            return RunCheck(self._tasks.start(connection.confirm_run(), name="ask"))
        is_known = self._confirmed.get(connection) == engine.run
        if not engine.started_ms or is_known:
            return RunCheck()
        return RunCheck(self._tasks.start(self._confirm(engine, connection), name="check"))

    async def answers(self, engine: BackendInstance, *, timeout_s: float) -> bool:
        """Return whether an engine answers now; True if its limit leaves no room to ask it."""
        question = self._questions.get(engine.run)
        if question is None:
            question = self._questions[engine.run] = _Question()
            self._tasks.start(self._find_out(engine, question), name="answers")
        await asyncio.wait({question.answered}, timeout=timeout_s)
        return question.answered.result() if question.answered.done() else not question.is_sent

    async def _find_out(self, engine: BackendInstance, question: _Question) -> None:
        has_answered = True
        try:
            if await self._may_ask(engine):
                question.is_sent = True
                has_answered = await self._ask_at_once(engine) is not None
        finally:
            del self._questions[engine.run]
            question.answered.set_result(has_answered)

    async def _confirm(self, engine: BackendInstance, connection: BackendConnection) -> bool:
        log = logger.bind(step="engine_run", peer=engine.key, started_ms=engine.started_ms)
        for attempt in range(_ATTEMPTS):
            await asyncio.sleep(attempt * _RETRY_DELAY_S)
            if connection.is_closed:
                log.info("run of the engine not confirmed; its connection has ended")
                return False
            report = await asyncio.shield(self._ask_soon(engine))
            if report is None:
                continue
            if report.started_ms != engine.started_ms:
                log.bind(reported_ms=report.started_ms).warning(
                    "engine has started again since it was listed"
                )
                return False
            if not connection.is_closed:
                self._confirmed[connection] = engine.run
            return True
        return False

    def _ask_soon(self, engine: BackendInstance) -> asyncio.Task[EngineReport | None]:
        """Return the report that is asked for next."""
        queued = self._queued.get(engine.run)
        if queued is None:
            queued = self._queued[engine.run] = self._tasks.start(self._ask(engine), name="report")
        return queued

    async def _ask(self, engine: BackendInstance) -> EngineReport | None:
        """Return a report of an engine, or None if there is none."""
        log = logger.bind(step="engine_run", peer=engine.key, started_ms=engine.started_ms)
        try:
            may_ask = await self._may_ask(engine)
        finally:
            del self._queued[engine.run]
        if not may_ask:
            log.info("run of the engine not confirmed yet; the engine is at its limit")
            return None
        return await self._ask_at_once(engine)

    async def _ask_at_once(self, engine: BackendInstance) -> EngineReport | None:
        try:
            return await self._report(engine)
        except FlamingoshelfError as error:
            logger.bind(step="engine_run", peer=engine.key, started_ms=engine.started_ms).info(
                "no report from the engine: {}", error.message
            )
            return None
