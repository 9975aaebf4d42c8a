"""Timer for a limit that may change while it runs."""

import asyncio
from collections.abc import Callable

from flamingoshelf.utils import now_s

__all__ = ["LimitTimer"]

_TOLERANCE_S = 0.001


class LimitTimer:
    """Calls back once the limit in force has passed; a limit that was raised meanwhile counts."""

    def __init__(self) -> None:
        self._handle: asyncio.TimerHandle | None = None

    def start(self, limit_s: Callable[[], float], on_due: Callable[[], None]) -> None:
        """Start to measure the time until ``limit_s()`` seconds have passed."""
        self._wait(now_s(), limit_s, on_due)

    def cancel(self) -> None:
        """Stop the timer."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _wait(
        self, began_s: float, limit_s: Callable[[], float], on_due: Callable[[], None]
    ) -> None:
        self.cancel()
        self._handle = asyncio.get_running_loop().call_later(
            began_s + limit_s() - now_s(), self._check, began_s, limit_s, on_due
        )

    def _check(
        self, began_s: float, limit_s: Callable[[], float], on_due: Callable[[], None]
    ) -> None:
        if began_s + limit_s() - now_s() > _TOLERANCE_S:
            self._wait(began_s, limit_s, on_due)
        else:
            on_due()
