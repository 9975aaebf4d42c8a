"""Retry budget and backoff."""

import asyncio
import random

import pytest

from flamingoshelf.retries import Backoff, RetryBounds, RetryBudget, RetryBudgets


def spend_all(budget):
    spent = 0
    while budget.try_spend():
        spent += 1
    return spent


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("nodes", "requests", "idle_s", "expected"),
    [
        pytest.param(1, 0, 0.0, 60, id="reserve alone"),
        pytest.param(6, 0, 0.0, 10, id="reserve is divided by the nodes"),
        pytest.param(370, 0, 0.0, 2, id="smallest reserve"),
        pytest.param(6, 55, 0.0, 5, id="a tenth of the requests"),
        pytest.param(6, 5000, 0.0, 10, id="earnings stop at the reserve"),
        pytest.param(6, 0, 30.0, 5, id="floor is divided by the nodes"),
    ],
)
async def test_budget(nodes, requests, idle_s, expected):
    budget = RetryBudget(node_count=lambda: nodes)
    if requests or idle_s:
        spend_all(budget)
    for _ in range(requests):
        budget.record_request()
    await asyncio.sleep(idle_s)
    assert spend_all(budget) == expected


@pytest.mark.looptime
@pytest.mark.parametrize("nodes", [9, 81, 300])
async def test_nodes_of_a_large_fleet_keep_within_its_reserve(nodes):
    """A reserve of two retries on each of 300 nodes was three times the fleet's reserve."""
    budgets = [
        RetryBudget(
            node_count=lambda: nodes, bounds=RetryBounds(fleet_reserve=300, min_node_reserve=1.0)
        )
        for _ in range(nodes)
    ]
    assert sum(map(spend_all, budgets)) <= 300


def test_reserve_below_one_retry_is_rejected():
    with pytest.raises(ValueError, match="min_node_reserve"):
        RetryBounds(min_node_reserve=0.5)


@pytest.mark.looptime
async def test_budget_that_starts_empty_earns_retries_over_time():
    budget = RetryBudget(
        node_count=lambda: 1, bounds=RetryBounds(fleet_floor_per_s=0.5), starts_empty=True
    )
    assert not budget.try_spend()
    await asyncio.sleep(4.0)
    assert spend_all(budget) == 2


@pytest.mark.looptime
async def test_retry_that_costs_more_leaves_a_debt():
    bounds = RetryBounds(fleet_reserve=1.0, min_node_reserve=1.0, fleet_floor_per_s=1.0)
    budget = RetryBudget(node_count=lambda: 1, bounds=bounds)
    assert budget.try_spend(2.0)
    await asyncio.sleep(1.9)
    assert not budget.try_spend()
    await asyncio.sleep(0.2)
    assert budget.try_spend()


@pytest.mark.looptime
async def test_pools_do_not_share_a_budget():
    budgets = RetryBudgets(node_count=lambda: 6)
    spend_all(budgets.budget("decode"))
    assert budgets.budget("plain").try_spend()
    assert not budgets.budget("decode").try_spend()


@pytest.mark.looptime
async def test_bounds_that_change_apply_to_the_pools_that_exist():
    budgets = RetryBudgets(node_count=lambda: 1)
    budgets.budget("decode")
    budgets.resize(RetryBounds(ratio=0.5, fleet_reserve=8.0, fleet_floor_per_s=2.0))
    assert spend_all(budgets.budget("decode")) == 8
    for _ in range(4):
        budgets.budget("decode").record_request()
    assert spend_all(budgets.budget("decode")) == 2
    await asyncio.sleep(1.0)
    assert spend_all(budgets.budget("decode")) == 2
    assert spend_all(budgets.budget("plain")) == 8


def test_backoff_is_bounded_by_cap_and_deadline():
    backoff = Backoff(base_s=0.1, cap_s=0.5, random_source=random.Random(1))
    delays = [backoff.delay_s(attempt, remaining_s=10.0) for attempt in range(30)]
    assert all(delay is not None and delay <= 0.5 for delay in delays)
    assert len(set(delays)) > 20
    late = [backoff.delay_s(5, remaining_s=0.05) for _ in range(30)]
    assert None in late
    assert all(delay is None or delay < 0.05 for delay in late)


@pytest.mark.looptime
async def test_refund_fills_the_budget_no_further_than_its_reserve():
    """Guards against retries beyond the fleet's share after many refunds."""
    budget = RetryBudget(node_count=lambda: 1, bounds=RetryBounds(fleet_reserve=3.0))
    assert budget.try_spend(2.0)
    budget.refund(2.0)
    assert spend_all(budget) == 3
    for _ in range(5):
        budget.refund(2.0)
    assert spend_all(budget) == 3
