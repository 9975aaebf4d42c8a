"""Notices that this process was paused."""

import asyncio

from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["LoopGuard"]

_TICK_S = 0.2


class LoopGuard:
    """Tells whether the loop ran all the time.

    After a pause the guard stays closed until `confirm`, so that what was known before is checked
    again first.

    Parameters
    ----------
    max_gap_s : float
        Longest time between two ticks that is no pause.
    """

    def __init__(self, *, max_gap_s: float) -> None:
        self._max_gap_s = max_gap_s
        self._last_tick_s = float("-inf")
        self._resumed_s = float("-inf")
        self._confirmed = False
        self._resumed = asyncio.Event()
        self._tasks = TaskGroup(owner="loop_guard")

    @property
    def is_open(self) -> bool:
        """Whether the loop ran all the time since the last confirmation."""
        return self._confirmed and now_s() - self._last_tick_s <= self._max_gap_s

    async def start(self) -> None:
        """Start to tick; the guard is closed."""
        self._last_tick_s = now_s()
        self._resumed.set()
        self._tasks.start(self._tick(), name="tick")

    async def stop(self) -> None:
        """Stop to tick; the guard closes."""
        self._confirmed = False
        await self._tasks.stop()

    async def wait_closed(self) -> float:
        """Wait until there is something to confirm; return the time of the resumption."""
        await self._resumed.wait()
        return self._resumed_s

    def confirm(self, resumed_s: float) -> None:
        """Open the guard, unless there was another pause after `resumed_s`."""
        if resumed_s == self._resumed_s and now_s() - self._last_tick_s <= self._max_gap_s:
            self._confirmed = True
            self._resumed.clear()

    def ran_since(self, start_s: float) -> bool:
        """Return whether the loop ran all the time since `start_s`."""
        gap_s = now_s() - self._last_tick_s
        return self._resumed_s < start_s and gap_s <= self._max_gap_s

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            now = now_s()
            if now - self._last_tick_s > self._max_gap_s:
                self._resumed_s = now
                self._confirmed = False
                self._resumed.set()
            self._last_tick_s = now
