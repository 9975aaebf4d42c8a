"""Tells when a call has made no progress for a time, and when it goes on."""

import asyncio
from collections.abc import Callable

from flamingoshelf.utils import now_s

__all__ = ["SilenceWatch"]

_TIMER_SLACK_S = 0.001  # the event loop may call a timer a little early
# A process that stood still calls its timers before its tasks have read what arrived meanwhile.
_CONFIRM_S = 0.01


class SilenceWatch:
    """Times the pauses of one call.

    Parameters
    ----------
    on_silence : callable
        Called each time the call becomes silent.
    on_progress : callable
        ``on_progress(silent_s)`` is called when a silent call makes progress again.
    """

    def __init__(
        self,
        *,
        on_silence: Callable[[], None],
        on_progress: Callable[[float], None] = lambda silent_s: None,
    ) -> None:
        self._on_silence = on_silence
        self._on_progress = on_progress
        self._limit_s: Callable[[], float | None] = lambda: None
        self._progress_s = now_s()
        self._timer: asyncio.TimerHandle | None = None
        self._is_silent = False
        self._is_held = False
        self._is_confirming = False
        self._is_stopped = False

    @property
    def is_silent(self) -> bool:
        """Whether the call has made no progress for longer than its limit."""
        return self._is_silent

    @property
    def pause_s(self) -> float:
        """Seconds since the last progress."""
        return now_s() - self._progress_s

    def start(self, limit_s: Callable[[], float | None]) -> None:
        """Begin a step of the call, which counts as progress.

        Parameters
        ----------
        limit_s : callable
            Returns the seconds without progress after which the call counts as silent, or None if
            it never does. It may only grow between two reports of progress.
        """
        self._limit_s = limit_s
        self._cancel_timer()
        self.record_progress()

    def record_progress(self) -> None:
        """Record progress of the call."""
        pause_s, self._progress_s = self.pause_s, now_s()
        self._is_held = self._is_confirming = False
        if self._is_silent:
            self._is_silent = False
            self._on_progress(pause_s)
        if self._timer is None:
            self._arm()

    def hold(self) -> None:
        """Don't count the time until the next progress, as the call waits for something else."""
        self._is_held = True

    def stop(self) -> None:
        """Stop to watch the call, which has ended."""
        self._is_silent = False
        self._is_stopped = True
        self._cancel_timer()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _arm(self) -> None:
        limit_s = self._limit_s()
        if limit_s is not None and not self._is_stopped:
            delay_s = max(0.0, limit_s - self.pause_s)
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._check)

    def _check(self) -> None:
        self._timer = None
        limit_s = self._limit_s()
        if self._is_held or limit_s is None:
            return
        if self.pause_s < limit_s - _TIMER_SLACK_S:
            self._arm()
            return
        if not self._is_confirming:
            self._is_confirming = True
            self._timer = asyncio.get_running_loop().call_later(_CONFIRM_S, self._check)
            return
        self._is_silent = True
        self._on_silence()
