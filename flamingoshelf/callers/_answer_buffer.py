"""Buffering of an answer, which decouples the engines from a slow caller."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Protocol

from flamingoshelf.backends import DecodedToken, DecodeEnd
from flamingoshelf.utils import TaskGroup

__all__ = ["AnswerBuffer", "AnswerSource"]


class AnswerSource(Protocol):
    """Source of the events of one answer."""

    def events(self) -> AsyncGenerator[DecodedToken | DecodeEnd, None]:
        """Yield every token of the answer once and in order, then the end event."""


class AnswerBuffer:
    """Reads the events of one answer into memory as fast as the engine sends them.

    A caller that reads slowly therefore does not occupy a place at an engine. The buffer is bounded
    by the maximum length of an answer.

    Parameters
    ----------
    source : AnswerSource
        Source of the answer's events.
    """

    def __init__(self, *, source: AnswerSource) -> None:
        self._source = source
        self._events: list[DecodedToken | DecodeEnd] = []
        self._state_changed = asyncio.Event()
        self._failure: Exception | None = None
        self._is_done = False
        self._tasks = TaskGroup(owner="answer")

    def start(self) -> None:
        """Start reading."""
        self._tasks.start(self._read(), name="read")

    async def stop(self) -> None:
        """Stop reading; an incomplete answer is cancelled at the engines."""
        await self._tasks.stop()

    async def next_events(self) -> list[DecodedToken | DecodeEnd]:
        """Wait for events and return all that are buffered; an empty list marks the end.

        Raises
        ------
        RefusedError
            The request was refused or its retries are exhausted. It is raised after all earlier
            events were returned.
        """
        while not self._events and not self._is_done:
            self._state_changed.clear()
            await self._state_changed.wait()
        if not self._events and self._failure is not None:
            raise self._failure
        events, self._events = self._events, []
        return events

    async def _read(self) -> None:
        try:
            async with aclosing(self._source.events()) as events:
                async for event in events:
                    self._events.append(event)
                    self._state_changed.set()
        except Exception as error:
            self._failure = error
        finally:
            self._is_done = True
            self._state_changed.set()
