"""Retry budgets and backoff."""

from flamingoshelf.retries._backoff import Backoff
from flamingoshelf.retries._budget import RetryBounds, RetryBudget, RetryBudgets

__all__ = ["Backoff", "RetryBounds", "RetryBudget", "RetryBudgets"]
