"""Bound of the bytes that all connections to backend servers hold together."""

import math

__all__ = ["BufferBudget"]


class BufferBudget:
    """Counts received bytes that nobody has taken yet, over all connections of a node.

    While the bound is exceeded, each connection reads on only when its own bytes were taken. So a
    connection always makes progress, and no connection has to wake another.

    Parameters
    ----------
    max_bytes : float
        Bytes above which connections read no further ahead; no bound by default.

    Examples
    --------
    >>> budget = BufferBudget(max_bytes=10)
    >>> budget.add(11)
    >>> budget.is_exceeded
    True
    >>> budget.add(-5)
    >>> budget.is_exceeded
    False
    """

    def __init__(self, *, max_bytes: float = math.inf) -> None:
        self._max_bytes = max_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Received bytes that nobody has taken yet."""
        return self._held_bytes

    @property
    def is_exceeded(self) -> bool:
        """Whether the connections hold more than the bound."""
        return self._held_bytes > self._max_bytes

    def add(self, change_bytes: int) -> None:
        """Count bytes that were received; a negative number counts bytes that were taken."""
        self._held_bytes += change_bytes
