"""Bounds the new connections to a server while these are answered slowly."""

import math
from collections.abc import Collection

from loguru import logger

__all__ = ["SlowStart"]

_MAX_BOUND = 16  # above it, new connections aren't bounded any more


class SlowStart:
    """How many new connections to each server may wait for their first answers at a time.

    Something on the way to a server may take few new connections a second. Connections that are
    opened beyond that are given up before their turn, and still hold up those behind them. After a
    probe over a new connection that wasn't answered in time, only probes open some; each prompt
    answer on a new connection then doubles the number.
    """

    def __init__(self) -> None:
        self._bounds: dict[str, int] = {}

    def bound(self, key: str) -> float:
        """Return the number for a server, infinite if there is no bound."""
        return self._bounds.get(key, math.inf)

    def record_silence(self, key: str) -> None:
        """Record that a probe over a new connection had no answer in time, nor a refusal."""
        if key not in self._bounds:
            logger.bind(step="path", peer=key).info(
                "new connections to a backend server are slow; using those that are open"
            )
        self._bounds[key] = 0

    def record_answer(self, key: str, *, is_prompt: bool) -> None:
        """Record the first answer on a new connection."""
        if key not in self._bounds:
            return
        self._bounds[key] = max(1, 2 * self._bounds[key] if is_prompt else 1)
        if self._bounds[key] > _MAX_BOUND:
            del self._bounds[key]
            logger.bind(step="path", peer=key).info(
                "new connections to a backend server are prompt again"
            )

    def retain(self, keys: Collection[str]) -> None:
        """Drop the bounds of all servers except `keys`."""
        for key in self._bounds.keys() - set(keys):
            del self._bounds[key]
