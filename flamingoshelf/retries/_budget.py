"""Budget of retries towards one pool.

Every node sees a part of the requests to a pool. If each of them retried freely, a failing pool
would get several times its usual load from all nodes together. Here retries are a fixed part of the
requests that the node itself sent, so the sum over all nodes is the same part of the fleet's
requests. What a node may spend beyond that part is divided by the number of nodes.
"""

from collections.abc import Callable

import attrs

from flamingoshelf.utils import check_positive, check_range, now_s

__all__ = ["RetryBounds", "RetryBudget", "RetryBudgets"]


@attrs.frozen(kw_only=True)
class RetryBounds:
    """What all nodes together may retry.

    Parameters
    ----------
    ratio : float
        Retries that one request earns.
    fleet_reserve : float
        Retries that all nodes together may save up. Each node saves its part.
    fleet_floor_per_s : float
        Retries a second that all nodes together earn without requests.
    least_reserve : float
        What a node saves at least, however many there are; below 1 it could never retry.
    """

    ratio: float = 0.1
    fleet_reserve: float = 60.0
    fleet_floor_per_s: float = 1.0
    least_reserve: float = 2.0

    def __attrs_post_init__(self) -> None:
        check_range("ratio", self.ratio, low=0, high=1)
        check_positive("fleet_reserve", self.fleet_reserve)
        check_range("least_reserve", self.least_reserve, low=1, high=float("inf"))


_DEFAULT_BOUNDS = RetryBounds()


class RetryBudget:
    """Token bucket of retries that requests fill.

    Parameters
    ----------
    node_count : callable
        Returns the number of nodes in the fleet.
    bounds : RetryBounds
        What all nodes together may retry.
    starts_empty : bool
        Whether nothing is saved up at first, as after a budget that another node kept.

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
        """Set other bounds; what was saved up beyond the new reserve is lost."""
        self._bounds = bounds
        self._balance = min(self._balance, self._reserve)

    def record_request(self) -> None:
        """Earn the part of a retry that one first attempt is worth."""
        self._earn(self._bounds.ratio)

    def try_spend(self, amount: float = 1.0) -> bool:
        """Take a retry; False if the budget is spent and the request must not be retried.

        One that costs more than 1 leaves a debt rather than being refused for good by a node whose
        reserve is smaller.
        """
        self._earn(0.0)
        if self._balance < 1.0:
            return False
        self._balance -= amount
        return True

    @property
    def _reserve(self) -> float:
        part = self._bounds.fleet_reserve / max(1, self._node_count())
        return max(self._bounds.least_reserve, part)

    def _earn(self, retries: float) -> None:
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
        """Set other bounds for all pools."""
        self._bounds = bounds
        for budget in self._budgets.values():
            budget.resize(bounds)

    def budget(self, pool: str) -> RetryBudget:
        """Return the budget of `pool`."""
        budget = self._budgets.get(pool)
        if budget is None:
            budget = RetryBudget(
                node_count=self._node_count,
                bounds=self._bounds,
                starts_empty=self._starts_empty,
            )
            self._budgets[pool] = budget
        return budget
