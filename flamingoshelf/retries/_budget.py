"""Budget of retries towards one pool.

Every node sees a part of the requests to a pool. If each of them retried freely, a failing pool
would get several times its usual load from all nodes together. Here retries are a fixed part of the
requests that the node itself sent, so the sum over all nodes is the same part of the fleet's
requests. What a node may spend beyond that part is divided by the number of nodes.
"""

from collections.abc import Callable

from flamingoshelf.utils import check_positive, check_range, now_s

__all__ = ["RetryBudget", "RetryBudgets"]

_RATIO = 0.1
_FLEET_RESERVE = 60.0
_FLEET_FLOOR_PER_S = 1.0
_LEAST_RESERVE = 2.0


class RetryBudget:
    """Token bucket of retries that requests fill.

    Parameters
    ----------
    node_count : callable
        Returns the number of nodes in the fleet.
    ratio : float
        Retries that one request earns.
    fleet_reserve : float
        Retries that all nodes together may save up. Each node saves its part.
    fleet_floor_per_s : float
        Retries a second that all nodes together earn without requests.
    least_reserve : float
        What a node saves at least, however many there are; below 1 it could never retry.

    Examples
    --------
    >>> import asyncio
    >>> async def spend():
    ...     budget = RetryBudget(node_count=lambda: 1, fleet_reserve=2.0)
    ...     return [budget.try_spend() for _ in range(3)]
    >>> asyncio.run(spend())
    [True, True, False]
    """

    def __init__(
        self,
        *,
        node_count: Callable[[], int],
        ratio: float = _RATIO,
        fleet_reserve: float = _FLEET_RESERVE,
        fleet_floor_per_s: float = _FLEET_FLOOR_PER_S,
        least_reserve: float = _LEAST_RESERVE,
    ) -> None:
        check_range("ratio", ratio, low=0, high=1)
        check_range("least_reserve", least_reserve, low=1, high=float("inf"))
        check_positive("fleet_reserve", fleet_reserve)
        self._node_count = node_count
        self._ratio = ratio
        self._fleet_reserve = fleet_reserve
        self._fleet_floor_per_s = fleet_floor_per_s
        self._least_reserve = least_reserve
        self._balance = self._reserve
        self._updated_s: float | None = None

    def resize(self, *, ratio: float, fleet_reserve: float, fleet_floor_per_s: float) -> None:
        """Set other bounds; what was saved up beyond the new reserve is lost."""
        check_range("ratio", ratio, low=0, high=1)
        check_positive("fleet_reserve", fleet_reserve)
        self._ratio = ratio
        self._fleet_reserve = fleet_reserve
        self._fleet_floor_per_s = fleet_floor_per_s
        self._balance = min(self._balance, self._reserve)

    def record_request(self) -> None:
        """Earn the part of a retry that one first attempt is worth."""
        self._earn(self._ratio)

    def try_spend(self) -> bool:
        """Take one retry; False if the budget is spent and the request must not be retried."""
        self._earn(0.0)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    @property
    def _reserve(self) -> float:
        return max(self._least_reserve, self._fleet_reserve / max(1, self._node_count()))

    def _earn(self, retries: float) -> None:
        now = now_s()
        if self._updated_s is not None:
            nodes = max(1, self._node_count())
            retries += (now - self._updated_s) * self._fleet_floor_per_s / nodes
        self._updated_s = now
        self._balance = min(self._reserve, self._balance + retries)


class RetryBudgets:
    """The budgets of one node, one for each pool.

    Parameters
    ----------
    node_count : callable
        Returns the number of nodes in the fleet.
    ratio, fleet_reserve, fleet_floor_per_s, least_reserve : float
        As in `RetryBudget`.
    """

    def __init__(
        self,
        *,
        node_count: Callable[[], int],
        ratio: float = _RATIO,
        fleet_reserve: float = _FLEET_RESERVE,
        fleet_floor_per_s: float = _FLEET_FLOOR_PER_S,
        least_reserve: float = _LEAST_RESERVE,
    ) -> None:
        self._node_count = node_count
        self._ratio = ratio
        self._fleet_reserve = fleet_reserve
        self._fleet_floor_per_s = fleet_floor_per_s
        self._least_reserve = least_reserve
        self._budgets: dict[str, RetryBudget] = {}

    def resize(self, *, ratio: float, fleet_reserve: float, fleet_floor_per_s: float) -> None:
        """Set other bounds for all pools."""
        self._ratio = ratio
        self._fleet_reserve = fleet_reserve
        self._fleet_floor_per_s = fleet_floor_per_s
        for budget in self._budgets.values():
            budget.resize(
                ratio=ratio, fleet_reserve=fleet_reserve, fleet_floor_per_s=fleet_floor_per_s
            )

    def budget(self, pool: str) -> RetryBudget:
        """Return the budget of `pool`."""
        budget = self._budgets.get(pool)
        if budget is None:
            budget = RetryBudget(
                node_count=self._node_count,
                ratio=self._ratio,
                fleet_reserve=self._fleet_reserve,
                fleet_floor_per_s=self._fleet_floor_per_s,
                least_reserve=self._least_reserve,
            )
            self._budgets[pool] = budget
        return budget
