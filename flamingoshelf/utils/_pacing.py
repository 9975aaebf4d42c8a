"""Shares the event loop between work of unknown size and all other work."""

import asyncio
from collections import deque
from collections.abc import Callable

__all__ = ["Pacer"]

_PAUSE_S = 0.001  # the event loop handles what is ready meanwhile; about as long as a piece takes


class Pacer:
    """Runs pieces of long work one at a time, with a pause before each.

    What a peer sends decides how much work its bytes are. Work beyond a small piece is queued here,
    so that the event loop handles all other connections between two pieces. Each waiting work gets
    its turn after the ones that were queued before.

    Examples
    --------
    >>> async def run():
    ...     pacer, order = Pacer(), []
    ...     pacer.schedule(lambda: order.append("first"))
    ...     pacer.schedule(lambda: order.append("second"))
    ...     await pacer.turn()
    ...     return order
    >>> asyncio.run(run())
    ['first', 'second']
    """

    def __init__(self) -> None:
        self._waiting: deque[Callable[[], None]] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def schedule(self, piece: Callable[[], None]) -> None:
        """Call `piece` when its turn has come."""
        self._waiting.append(piece)
        self._start_timer()

    async def turn(self) -> None:
        """Wait until the calling task may run its next piece of work."""
        turn = asyncio.get_running_loop().create_future()
        self.schedule(lambda: None if turn.done() else turn.set_result(None))
        await turn

    def _start_timer(self) -> None:
        if self._timer is None and self._waiting:
            self._timer = asyncio.get_running_loop().call_later(_PAUSE_S, self._run_next)

    def _run_next(self) -> None:
        self._timer = None
        piece = self._waiting.popleft()
        try:
            piece()
        finally:
            self._start_timer()
