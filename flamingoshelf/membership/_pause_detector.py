"""Detection of pauses of this process, such as a SIGSTOP or a blocked event loop."""

import asyncio

from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["PauseDetector"]

_TICK_INTERVAL_S = 0.2


class PauseDetector:
    """Detect pauses by the time between periodic ticks of the event loop.

    After a pause the state known before it is unconfirmed until `confirm` is called, because slots
    may have been reassigned meanwhile.

    Parameters
    ----------
    max_gap_s : float
        Longest time between two ticks, in seconds, that does not count as a pause.
    """

    def __init__(self, *, max_gap_s: float) -> None:
        self._max_gap_s = max_gap_s
        self._last_tick_s = float("-inf")
        self._resumed_s = float("-inf")
        self._confirmed = False
        self._confirmation_due = asyncio.Event()
        self._tasks = TaskGroup(owner="pause_detector")

    @property
    def is_confirmed(self) -> bool:
        """Whether the loop has run without a pause since the last confirmation."""
        return self._confirmed and now_s() - self._last_tick_s <= self._max_gap_s

    async def start(self) -> None:
        """Start ticking; the state is unconfirmed."""
        self._last_tick_s = now_s()
        self._confirmation_due.set()
        self._tasks.start(self._tick(), name="tick")

    async def stop(self) -> None:
        """Stop ticking; the state becomes unconfirmed."""
        self._confirmed = False
        await self._tasks.stop()

    async def wait_until_confirmation_due(self) -> float:
        """Wait until a confirmation is due and return when the last pause ended.

        The time is in seconds of the loop's clock, or minus infinity if there was no pause yet.
        """
        await self._confirmation_due.wait()
        return self._resumed_s

    def confirm(self, resumed_s: float) -> None:
        """Mark the state as confirmed unless there was another pause after `resumed_s`."""
        if resumed_s == self._resumed_s and now_s() - self._last_tick_s <= self._max_gap_s:
            self._confirmed = True
            self._confirmation_due.clear()

    def has_run_since(self, start_s: float) -> bool:
        """Return whether the loop has run without a pause since `start_s`."""
        gap_s = now_s() - self._last_tick_s
        return self._resumed_s < start_s and gap_s <= self._max_gap_s

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_INTERVAL_S)
            now = now_s()
            if now - self._last_tick_s > self._max_gap_s:
                self._resumed_s = now
                self._confirmed = False
                self._confirmation_due.set()
            self._last_tick_s = now
