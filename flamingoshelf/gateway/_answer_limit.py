"""Time by which a node must have answered all requests, as it stops."""

import asyncio
import math
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

from flamingoshelf.utils import now_s

__all__ = ["AnswerLimit", "AnswerLimitError"]


class AnswerLimitError(Exception):
    """The node ends before the request was answered."""


class AnswerLimit:
    """A time limit for all requests of a node, unset until the node is told to stop.

    It holds for requests that run already when it is set.
    """

    def __init__(self) -> None:
        self._at_s = math.inf
        self._running: set[asyncio.Timeout] = set()

    @property
    def at_s(self) -> float:
        """Time by which all requests must be answered, infinite unless the limit is set."""
        return self._at_s

    @property
    def left_s(self) -> float:
        """Seconds until then."""
        return self._at_s - now_s()

    def set(self, at_s: float) -> None:
        """End all blocks of `enforce` at a time, also those that run."""
        self._at_s = at_s
        for limit in self._running:
            limit.reschedule(at_s)

    @asynccontextmanager
    async def enforce(self) -> AsyncGenerator[None, None]:
        """End the block with an `AnswerLimitError` if it lasts until the limit."""
        limit = asyncio.timeout_at(None if math.isinf(self._at_s) else self._at_s)
        try:
            async with limit:
                self._running.add(limit)
                try:
                    yield
                finally:
                    self._running.discard(limit)
        except TimeoutError as error:
            if limit.expired():
                raise AnswerLimitError from error
            raise
