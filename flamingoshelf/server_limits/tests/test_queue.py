"""Which requests get the permits of a server, and what the others are told."""

import asyncio

import pytest

from flamingoshelf.server_limits import PermitQueue
from flamingoshelf.server_limits.tests.conftest import A, B
from flamingoshelf.utils import now_s

pytestmark = pytest.mark.looptime


@pytest.fixture
def queue(keeper):
    return PermitQueue(keeper=keeper)


@pytest.fixture
def state(stated):
    def record(per_s, run=A):
        stated.record_answer(run, per_s, sent_s=now_s())

    return record


def acquire(queue, runs=(A,), *, priority=0, wait_s=0.0):
    return asyncio.ensure_future(queue.acquire(runs, priority=priority, wait_s=wait_s))


async def test_request_waits_for_its_permit_and_no_longer(queue, state):
    state(4.0)
    began_s = now_s()
    permit = await acquire(queue, wait_s=0.3)
    assert permit.run == A and now_s() - began_s == pytest.approx(0.25, abs=0.01)


# Calls were held until their deadline although no server would accept them in time.
async def test_request_without_a_permit_in_time_is_refused_at_once(queue, state):
    state(4.0)
    began_s = now_s()
    permit = await acquire(queue, wait_s=0.2)
    assert permit.run is None and now_s() == began_s
    assert permit.retry_after_s == pytest.approx(0.25)


async def test_refused_requests_return_one_after_the_other_and_are_served(queue, state):
    state(4.0)
    refusals = [await acquire(queue) for _ in range(6)]
    waits = [permit.retry_after_s for permit in refusals]
    assert waits == pytest.approx([0.25 * number for number in range(1, 7)])

    async def return_later(permit):
        await asyncio.sleep(permit.retry_after_s)
        return await acquire(queue, wait_s=0.01)

    served = await asyncio.gather(*map(return_later, refusals))
    assert [permit.run for permit in served] == [A] * 6


async def test_most_urgent_request_gets_the_next_permit(queue, state):
    state(4.0)
    later = acquire(queue, priority=2, wait_s=0.3)
    await asyncio.sleep(0.1)
    urgent = acquire(queue, priority=1, wait_s=0.3)
    await asyncio.sleep(0)
    assert (await later).run is None  # at once, as its turn would now come too late
    assert now_s() == pytest.approx(0.1, abs=0.02)
    assert (await urgent).run == A


async def test_server_with_most_permits_left_is_chosen(queue, state, keeper):
    state(2.0)
    state(2.0, B)
    await asyncio.sleep(60)
    keeper.spend(A)
    assert (await acquire(queue, [A, B])).run == B
    assert {(await acquire(queue, [A, B])).run for _ in range(2)} == {A, B}
    assert (await acquire(queue, [A, B])).run is None


async def test_request_that_is_cancelled_takes_no_permit(queue, state, keeper):
    state(4.0)
    waiting = acquire(queue, wait_s=0.3)
    await asyncio.sleep(0.1)
    waiting.cancel()
    await asyncio.sleep(0.2)
    assert keeper.permits(A) > 1


async def test_end_of_a_limit_frees_all_that_wait(queue, state):
    state(1.0)
    waiting = [acquire(queue, wait_s=1.1), acquire(queue, [A, B], wait_s=0.1)]
    assert (await waiting[1]).run == B
    await asyncio.sleep(0.05)
    state(None)
    assert (await acquire(queue)).run == A
    assert (await waiting[0]).run == A


# A full queue of more urgent requests used up the permits of a server only in part.
@pytest.mark.parametrize("per_s", [0.7, 2.0, 9.0])
async def test_limit_is_used_up_while_more_is_asked_for(queue, state, per_s):
    state(per_s)
    asked = []
    for number in range(round(30 * 14)):
        asked.append(acquire(queue, priority=number % 3, wait_s=0.1))
        await asyncio.sleep(1 / 14)
    granted = sum([(await request).run is not None for request in asked])
    assert 0.9 * 30 * per_s <= granted <= 30 * per_s + 2
