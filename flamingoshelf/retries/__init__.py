"""When a failed step may be tried again: budget, backoff and deadline."""

from flamingoshelf.retries._backoff import Backoff
from flamingoshelf.retries._budget import RetryBudget, RetryBudgets

__all__ = ["Backoff", "RetryBudget", "RetryBudgets"]
