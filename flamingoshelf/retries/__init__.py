"""When a failed step may be tried again: budget, backoff and deadline."""

from flamingoshelf.retries._backoff import Backoff
from flamingoshelf.retries._budget import RetryBounds, RetryBudget, RetryBudgets

__all__ = ["Backoff", "RetryBounds", "RetryBudget", "RetryBudgets"]
