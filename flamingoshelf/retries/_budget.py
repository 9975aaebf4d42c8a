"""Retry budgets, one for each pool.

Each node sends a part of the requests to a pool. Without a budget, a failing pool would get several
times its usual load in retries from all nodes together. A node's retries are limited to a fixed
share of the requests that the node itself sent, so the sum over all nodes is the same share of the
fleet's requests. What is allowed beyond that share is divided by the number of nodes.
"""

from collections.abc import Callable

import attrs

from flamingoshelf.utils import check_positive, check_range, now_s

__all__ = ["RetryBounds", "RetryBudget", "RetryBudgets"]


@attrs.frozen(kw_only=True)
class RetryBounds:
    """Bounds of the retries of all nodes together.

    Parameters
    ----------
    ratio : float
        Retries that each request adds to the budget.
    fleet_reserve : float
        Largest balance of all nodes together; it is divided by the number of nodes.
    fleet_floor_per_s : float
        Retries per second that all nodes together get without any requests.
    min_node_reserve : float
        Lower bound of a node's largest balance. With less than 1 a node could never retry.
    """

    ratio: float = 0.1
    fleet_reserve: float = 60.0
    fleet_floor_per_s: float = 1.0
    min_node_reserve: float = 2.0

    def __attrs_post_init__(self) -> None:
        check_range("ratio", self.ratio, low=0, high=1)
        check_positive("fleet_reserve", self.fleet_reserve)
        check_range("min_node_reserve", self.min_node_reserve, low=1, high=float("inf"))


_DEFAULT_BOUNDS = RetryBounds()


class RetryBudget:
    """Token bucket of retries that is refilled by requests.

    Parameters
    ----------
    node_count : callable
        Returns the number of nodes in the fleet.
    bounds : RetryBounds
        Bounds of the retries of all nodes together.
    starts_empty : bool
        Whether the balance is 0 at first, for a budget that continues one of another node.

    Examples
    --------
    >>> import asyncio
    >>> async def spend():
    ...     budget = RetryBudget(node_count=lambda: 1, bounds=RetryBounds(fleet_reserve=2.0))
    ...     return [budget.try_spend() for _ in range(3)]
    >>> asyncio.run(spend())
    [True, True, False]
    """

    def __init__(
        self,
        *,
        node_count: Callable[[], int],
        bounds: RetryBounds = _DEFAULT_BOUNDS,
        starts_empty: bool = False,
    ) -> None:
        self._node_count = node_count
        self._bounds = bounds
        self._balance = 0.0 if starts_empty else self._reserve
        self._updated_s = now_s() if starts_empty else None

    def resize(self, bounds: RetryBounds) -> None:
        """Replace the bounds; a balance above the new reserve is cut to the reserve."""
        self._bounds = bounds
        self._balance = min(self._balance, self._reserve)

    def record_request(self) -> None:
        """Add the share of a retry that a request earns; call once per request, not per retry."""
        self._refill(self._bounds.ratio)

    def try_spend(self, amount: float = 1.0) -> bool:
        """Spend `amount` retries; return False if the request must not be retried.

        A balance of 1 is enough for any amount and may become negative. Otherwise a node whose
        reserve is smaller than the amount could never retry such a request.
        """
        self._refill(0.0)
        if self._balance < 1.0:
            return False
        self._balance -= amount
        return True

    def refund(self, amount: float) -> None:
        """Return `amount` retries that were spent but not made; the reserve is not exceeded."""
        self._refill(amount)

    @property
    def _reserve(self) -> float:
        """Largest balance of this node."""
        part = self._bounds.fleet_reserve / max(1, self._node_count())
        return max(self._bounds.min_node_reserve, part)

    def _refill(self, retries: float) -> None:
        """Add `retries` and the retries earned over time, up to the reserve."""
        now = now_s()
        if self._updated_s is not None:
            nodes = max(1, self._node_count())
            retries += (now - self._updated_s) * self._bounds.fleet_floor_per_s / nodes
        self._updated_s = now
        self._balance = min(self._reserve, self._balance + retries)


class RetryBudgets:
    """The budgets of one node, one for each pool.

    Parameters
    ----------
    node_count, bounds, starts_empty
        As in `RetryBudget`.
    """

    def __init__(
        self,
        *,
        node_count: Callable[[], int],
        bounds: RetryBounds = _DEFAULT_BOUNDS,
        starts_empty: bool = False,
    ) -> None:
        self._node_count = node_count
        self._bounds = bounds
        self._starts_empty = starts_empty
        self._budgets: dict[str, RetryBudget] = {}

    def resize(self, bounds: RetryBounds) -> None:
        """Replace the bounds of all pools."""
        self._bounds = bounds
        for budget in self._budgets.values():
            budget.resize(bounds)

    def budget(self, pool: str) -> RetryBudget:
        """Return the budget of `pool`, created on first use."""
        budget = self._budgets.get(pool)
        if budget is None:
            budget = RetryBudget(
                node_count=self._node_count,
                bounds=self._bounds,
                starts_empty=self._starts_empty,
            )
            self._budgets[pool] = budget
        return budget
