"""Reads an answer from the engines at their speed, whatever the caller's speed is."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Protocol

from flamingoshelf.backends import DecodedToken, DecodeEnd
from flamingoshelf.utils import TaskGroup

__all__ = ["AnswerPump", "AnswerSource"]


class AnswerSource(Protocol):
    """Something that yields the events of one answer."""

    def tokens(self) -> AsyncGenerator[DecodedToken | DecodeEnd, None]:
        """Yield every token of the answer once and in order, and then its end."""


class AnswerPump:
    """Moves the events of one answer into memory as fast as they come.

    A caller that reads slowly holds no place at an engine. What is kept is bounded by the longest
    answer.

    Parameters
    ----------
    source : AnswerSource
        The answer.
    """

    def __init__(self, *, source: AnswerSource) -> None:
        self._source = source
        self._events: list[DecodedToken | DecodeEnd] = []
        self._changed = asyncio.Event()
        self._failure: Exception | None = None
        self._is_done = False
        self._tasks = TaskGroup(owner="answer")

    def start(self) -> None:
        """Start to read."""
        self._tasks.start(self._read(), name="read")

    async def stop(self) -> None:
        """Stop to read; an answer that is not complete is cancelled at the engines."""
        await self._tasks.stop()

    async def next_events(self) -> list[DecodedToken | DecodeEnd]:
        """Wait for and return the events that are there; an empty list stands for the end.

        Raises
        ------
        RefusedError
            The request was refused or given up; events before it were returned earlier.
        """
        while not self._events and not self._is_done:
            self._changed.clear()
            await self._changed.wait()
        if not self._events and self._failure is not None:
            raise self._failure
        events, self._events = self._events, []
        return events

    async def _read(self) -> None:
        try:
            async with aclosing(self._source.tokens()) as events:
                async for event in events:
                    self._events.append(event)
                    self._changed.set()
        except Exception as error:
            self._failure = error
        finally:
            self._is_done = True
            self._changed.set()
