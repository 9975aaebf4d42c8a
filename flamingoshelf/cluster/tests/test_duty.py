"""Tests of exclusive duties: one holder, growing tokens, no change of holder during the lease."""

import pytest

from flamingoshelf.cluster import ExclusiveDuty
from flamingoshelf.exceptions import ObjectServiceError, OutcomeUnknownError

LEASE_S = 3.0


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def new_duty(store, clock):
    def make(holder):
        return ExclusiveDuty(
            store=store, name="orders", holder=holder, lease_s=lambda: LEASE_S, clock=clock
        )

    return make


async def test_tokens_grow_with_each_use(new_duty, clock):
    duty = new_duty("a")
    first = await duty.acquire()
    clock.now += 60
    second = await duty.acquire()
    assert second.number > first.number


async def test_successor_waits_for_the_lease(new_duty, clock):
    first, second = new_duty("a"), new_duty("b")
    first_token = await first.acquire()
    assert await second.acquire() is None
    clock.now += LEASE_S
    assert await second.acquire() is None
    clock.now += 1.0
    assert (await second.acquire()).number > first_token.number


async def test_each_use_restarts_the_lease(new_duty, clock):
    first, second = new_duty("a"), new_duty("b")
    await first.acquire()
    assert await second.acquire() is None
    for _ in range(5):
        clock.now += 2.0
        await first.acquire()
        assert await second.acquire() is None


async def test_replaced_holder_does_not_acquire_the_duty_again_at_once(new_duty, clock):
    first, second = new_duty("a"), new_duty("b")
    await first.acquire()
    await second.acquire()
    clock.now += 10
    await second.acquire()
    clock.now += 0.1
    assert await first.acquire() is None


async def test_token_is_valid_for_a_short_time_only(new_duty, clock):
    duty = new_duty("a")
    token = await duty.acquire()
    assert duty.is_valid(token)
    clock.now += 1.0  # the clock also runs while the process is suspended
    assert not duty.is_valid(token)


async def test_concurrent_acquisitions_give_one_token(new_duty, store, clock):
    """Both see the duty as free; the second write fails because the revision has changed."""
    await new_duty("c").acquire()
    first, second = new_duty("a"), new_duty("b")
    await first.acquire()
    await second.acquire()
    clock.now += 10
    listed = await store.list("gateway-duties")

    async def stale_list(kind):
        return listed

    assert await first.acquire() is not None
    store.list = stale_list
    assert await second.acquire() is None


async def test_lost_answer_gives_no_token(new_duty, store, clock):
    duty = new_duty("a")
    store.loses_answers = True
    with pytest.raises(OutcomeUnknownError):
        await duty.acquire()
    store.loses_answers = False
    clock.now += 5
    assert await duty.acquire() is not None


async def test_store_that_is_down_gives_no_token(new_duty, store):
    store.is_down = True
    with pytest.raises(ObjectServiceError):
        await new_duty("a").acquire()
