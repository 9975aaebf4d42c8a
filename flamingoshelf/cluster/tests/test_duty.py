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
def new_duty(store, clock, eras):
    def make(holder):
        return ExclusiveDuty(
            store=store,
            name="orders",
            holder=holder,
            lease_s=lambda: LEASE_S,
            clock=clock,
            eras=eras,
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


async def test_token_ends_with_a_restore_of_the_store(new_duty, store):
    store.restore({})
    duty = new_duty("a")
    token = await duty.acquire()
    assert duty.is_valid(token)
    store.restore({})
    assert not duty.is_valid(token)


async def test_tokens_grow_over_a_restore(new_duty, store, clock):
    store.restore({})
    duty = new_duty("a")
    for _ in range(20):
        last = await duty.acquire()
    store.restore({})
    assert await duty.acquire() is None
    clock.now += LEASE_S + 1.0
    assert (await duty.acquire()).number > last.number


@pytest.mark.parametrize("named_in_copy", ["a", "b", None])
async def test_successor_waits_for_the_lease_after_a_restore(new_duty, store, clock, named_in_copy):
    """The copy may name this node or none, while another one used the duty just before."""
    store.restore({})
    if named_in_copy is not None:
        await new_duty(named_in_copy).acquire()
    copy = dict(store.objects)
    clock.now += LEASE_S + 1.0
    holder, successor = new_duty("b"), new_duty("a")
    await holder.acquire()  # sees the duty of another node, if the copy has one
    clock.now += LEASE_S + 1.0
    assert await holder.acquire() is not None
    store.restore(copy)
    assert await successor.acquire() is None
    clock.now += LEASE_S
    assert await successor.acquire() is None
    clock.now += 1.0
    assert await successor.acquire() is not None


async def test_write_that_meets_a_restore_gives_no_token(new_duty, store, clock):
    """It may have replaced an object of the new era that got the same revision again."""
    store.restore({})
    duty = new_duty("a")
    await duty.acquire()
    replace = store.replace

    async def restoring_replace(kind, name, content, *, expected_revision):
        store.restore(dict(store.objects))
        return await replace(
            kind, name, content, expected_revision=store.objects[kind, name].revision
        )

    store.replace = restoring_replace
    with pytest.raises(OutcomeUnknownError):
        await duty.acquire()
    store.replace = replace
    clock.now += LEASE_S  # the object names this node, but another one's use was overwritten
    assert await duty.acquire() is None


async def test_own_write_of_an_earlier_era_that_lands_late_gives_no_right(new_duty, store, clock):
    """It overwrites the object of another holder, which got the same revision by chance."""
    store.restore({})
    late, holder = new_duty("a"), new_duty("b")
    store.loses_answers = True
    with pytest.raises(OutcomeUnknownError):
        await late.acquire()
    store.loses_answers = False
    [(key, written)] = store.objects.items()
    store.restore({})
    for duty in (late, holder):
        assert await duty.acquire() is None
    clock.now += LEASE_S + 1.0
    assert await holder.acquire() is not None
    store._write(*key, written.content)
    assert await late.acquire() is None
