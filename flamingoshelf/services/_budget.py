"""Bound on retries."""

from typing import Protocol

__all__ = ["RetryBudget", "ShareBudget"]

_RETRIES_PER_REQUEST = 0.1
_MAX_SAVED_RETRIES = 10.0


class RetryBudget(Protocol):
    """Decides whether one more retry may be sent."""

    def record_request(self) -> None:
        """Note a first attempt."""

    def try_spend(self) -> bool:
        """Return whether a retry may be sent, and count it if so."""


class ShareBudget:
    """Allows retries up to a share of the requests, with a small reserve.

    Examples
    --------
    >>> budget = ShareBudget(reserve=1)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    """

    def __init__(self, *, reserve: float = _MAX_SAVED_RETRIES) -> None:
        self._reserve = reserve
        self._saved = reserve

    def record_request(self) -> None:
        """Note a first attempt."""
        self._saved = min(self._reserve, self._saved + _RETRIES_PER_REQUEST)

    def try_spend(self) -> bool:
        """Return whether a retry may be sent, and count it if so."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
