"""Clocks, and groups of tasks that are stopped together with their owner."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from flamingoshelf.exceptions import FlamingoshelfError

__all__ = ["TaskGroup", "boot_time_s", "now_s", "release_frames"]


def now_s() -> float:
    """Return the time of the running event loop in seconds; tests pause and advance it."""
    return asyncio.get_running_loop().time()


def boot_time_s() -> float:
    """Return the time since the machine booted, in seconds.

    Unlike `now_s`, this clock also advances while the machine is suspended, so leases are measured
    with it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def release_frames(task: asyncio.Task[Any]) -> None:
    """Drop the traceback of an ended task's error, and with it what its frames hold.

    An owner that keeps its task is in a cycle with these frames, which would last until a full
    garbage collection. An error of another kind than this package's keeps its traceback, as it is
    logged.
    """
    error: BaseException | None
    try:
        error = task.exception()
    except asyncio.CancelledError as cancelled:  # that of the task
        error = cancelled
    if not isinstance(error, FlamingoshelfError | asyncio.CancelledError):
        return
    while error is not None:
        error.__traceback__ = None
        error = error.__cause__ or error.__context__


class TaskGroup:
    """The background tasks of one owner.

    Unlike `asyncio.TaskGroup`, a failed task is logged and does not cancel its siblings.

    Parameters
    ----------
    owner : str
        Prefix of the task names, which appear in the logs.
    """

    def __init__(self, *, owner: str) -> None:
        self._owner = owner
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Coroutine[Any, Any, Any], *, name: str) -> asyncio.Task[Any]:
        """Start `coroutine` as a task of this owner."""
        task = asyncio.create_task(coroutine, name=f"{self._owner}.{name}")
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended; the calling task is left out."""
        current = asyncio.current_task()
        tasks = [task for task in self._tasks if task is not current]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def drain(self) -> None:
        """Wait until all tasks have ended, without cancelling them."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            logger.opt(exception=error).error("task {} failed", task.get_name())
