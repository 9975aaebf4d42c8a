"""Permits of one keeper."""

import asyncio
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flamingoshelf.server_limits import LimitKeeper, StatedLimits
from flamingoshelf.server_limits.tests.conftest import A, B, most_in_window
from flamingoshelf.utils import now_s

pytestmark = pytest.mark.looptime


def state(stated, per_s, run=A):
    stated.record_answer(run, per_s, sent_s=now_s())


async def test_server_without_a_limit_needs_no_permit(keeper):
    keeper.spend(A)
    assert keeper.wait_s(A) == 0.0 and math.isinf(keeper.permits(A))


async def test_permits_accrue_at_the_rate_of_the_limit(keeper, stated):
    state(stated, 4.0)
    assert keeper.wait_s(A) == pytest.approx(0.25)
    await asyncio.sleep(0.25)
    assert keeper.wait_s(A) == 0.0
    keeper.spend(A)
    assert keeper.wait_s(A) == pytest.approx(0.25)
    await asyncio.sleep(60)
    assert keeper.permits(A) == pytest.approx(4.0)


# Of a limit of 0 no answer was left that could have ended it.
async def test_server_that_accepts_nothing_is_tried_rarely(keeper, stated):
    state(stated, 0.0)
    assert keeper.wait_s(A) == pytest.approx(2.0)
    await asyncio.sleep(2.0)
    assert keeper.wait_s(A) == 0.0


async def test_new_keeper_begins_without_permits(keeper, stated):
    state(stated, 2.0)
    await asyncio.sleep(60)
    assert keeper.permits(A) > 1
    keeper.restart()
    assert keeper.permits(A) == 0.0


async def test_keeper_gives_out_the_share_of_the_nodes_that_it_reaches(stated):
    share = 0.25
    keeper = LimitKeeper(stated=stated, share=lambda: share)
    state(stated, 4.0)
    assert keeper.wait_s(A) == pytest.approx(1.0)
    await asyncio.sleep(1.0)
    keeper.spend(A)
    share = 1.0
    await asyncio.sleep(0.2)
    assert keeper.wait_s(A) == pytest.approx(0.8 / 4.0)  # the time before counts at the old share


async def test_lower_limit_takes_effect_at_once(keeper, stated):
    state(stated, 20.0)
    await asyncio.sleep(10)
    state(stated, 1.0)
    assert keeper.permits(A) == pytest.approx(2.0)


async def test_forecast_reserves_the_permits_of_several_servers_in_turn(keeper, stated):
    state(stated, 1.0)
    state(stated, 2.0, B)
    forecast = keeper.forecast()
    waits = []
    for _ in range(4):
        waits.append(forecast.wait_s([A, B]))
        forecast.reserve([A, B])
    assert waits == pytest.approx([0.5, 1.0, 1.0, 1.5])
    assert forecast.wait_s([]) == 0.0


class OneLimit(StatedLimits):
    """The same limit for every server."""

    def __init__(self, per_s):
        super().__init__()
        self._per_s = per_s

    def limit(self, run):
        return self._per_s

    def limited(self):
        return {}


@given(
    per_s=st.floats(0, 50),
    steps=st.lists(st.tuples(st.floats(0, 2), st.integers(0, 30)), min_size=1, max_size=40),
    changes=st.lists(st.tuples(st.integers(0, 39), st.booleans()), max_size=3),
)
def test_requests_in_any_window_stay_within_the_platforms_bound(per_s, steps, changes):
    now = 0.0
    keeper = LimitKeeper(stated=OneLimit(per_s), share=lambda: 1.0, clock=lambda: now)
    sent = []
    for number, (pause_s, requests) in enumerate(steps):
        now += pause_s
        if (number, True) in changes:
            keeper.restart()
        for _ in range(requests):
            if keeper.wait_s(A) <= 0:
                keeper.spend(A)
                sent.append(now)
    assert most_in_window(sent) <= 1.5 * 4.0 * per_s + 5
