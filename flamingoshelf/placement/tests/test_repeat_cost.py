"""Cost of repeated requests in the fleet's retry budget."""

import asyncio

import pytest

from flamingoshelf.placement import Turn, WorkspaceLimit, WorkspaceLimits
from flamingoshelf.placement.tests.simulation import add_reference_measurements
from flamingoshelf.placement.tests.test_bounded_waits import new_dispatchers
from flamingoshelf.placement.tests.test_fleet import placement_request
from flamingoshelf.refusals import Refusal, RefusalReason
from flamingoshelf.retries import RetryBounds, RetryBudget

pytestmark = pytest.mark.looptime


def new_budget():
    bounds = RetryBounds(ratio=0.0, fleet_reserve=2.0, fleet_floor_per_s=0.0)
    return RetryBudget(node_count=lambda: 1, bounds=bounds)


async def test_refused_repeat_costs_no_retry():
    """Guards against an empty budget after refusals, though no engine was called."""
    budget = new_budget()
    dispatchers = new_dispatchers(budget=budget)
    add_reference_measurements(dispatchers.runner("s").dispatcher.model)
    for number in range(5):
        request = placement_request(number, repeat_cost=2, wait_left_s=0.001)
        refusal = await dispatchers.acquire(request, "n")
        assert isinstance(refusal, Refusal) and refusal.reason is RefusalReason.QUEUE_FULL
        await asyncio.sleep(0.1)  # beyond the interval between checks for such requests
    granted = await dispatchers.acquire(placement_request(6, repeat_cost=2), "n")
    assert isinstance(granted, Turn)


async def test_withdrawn_repeat_costs_no_retry():
    """Guards against an empty budget after callers left, though no engine was called."""
    budget = new_budget()
    dispatchers = new_dispatchers(budget=budget, other_nodes={"m"})
    for number in range(5):
        request = placement_request(number, repeat_cost=2)
        waiting = asyncio.ensure_future(dispatchers.acquire(request, "n"))
        await asyncio.sleep(0.01)  # the dispatcher is new and grants nothing yet
        waiting.cancel()
        await asyncio.sleep(0.01)
    assert budget.try_spend(2)


async def test_repeat_above_the_rate_limit_costs_no_retry():
    """Guards against an empty budget after one workspace's requests exceeded its limit."""
    budget = new_budget()
    limit = WorkspaceLimit(rate_tokens_s=1.0, burst_tokens=1.0, initial_tokens=1.0)
    limits = WorkspaceLimits(limit=lambda name: limit)
    assert limits.charge("w", 5.0) is None
    dispatchers = new_dispatchers(budget=budget, limits=limits)
    for number in range(5):
        request = placement_request(number, repeat_cost=2, workspace="w", charge_tokens=5.0)
        refusal = await dispatchers.acquire(request, "n")
        assert isinstance(refusal, Refusal)
        assert refusal.reason is not RefusalReason.RETRIES_EXHAUSTED
    assert budget.try_spend(2)


async def test_granted_repeat_is_paid_for():
    """Guards against repeats beyond the budget: a granted turn may call engines."""
    budget = new_budget()
    dispatchers = new_dispatchers(budget=budget)
    add_reference_measurements(dispatchers.runner("s").dispatcher.model)
    assert isinstance(await dispatchers.acquire(placement_request(1, repeat_cost=2), "n"), Turn)
    refusal = await dispatchers.acquire(placement_request(2, repeat_cost=2), "n")
    assert isinstance(refusal, Refusal) and refusal.reason is RefusalReason.RETRIES_EXHAUSTED


async def test_refused_first_attempt_earns_no_second_retry():
    """Guards against a budget that grows by refunds of what was never paid."""
    budget = new_budget()
    dispatchers = new_dispatchers(budget=budget)
    add_reference_measurements(dispatchers.runner("s").dispatcher.model)
    assert budget.try_spend(2)
    for number in range(5):
        request = placement_request(number, wait_left_s=0.001)
        assert isinstance(await dispatchers.acquire(request, "n"), Refusal)
        await asyncio.sleep(0.1)  # beyond the interval between checks for such requests
    assert not budget.try_spend()
