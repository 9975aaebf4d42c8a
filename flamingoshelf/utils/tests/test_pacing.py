"""Work that is queued does not hold up the event loop."""

import asyncio
from functools import partial

import pytest

from flamingoshelf.utils import Pacer

pytestmark = pytest.mark.looptime


async def test_pieces_of_several_tasks_take_turns():
    pacer = Pacer()
    order: list[object] = []

    async def work(name):
        for number in range(3):
            await pacer.turn()
            order.append((name, number))

    await asyncio.gather(work("a"), work("b"))
    assert order == [(name, number) for number in range(3) for name in "ab"]


async def test_other_callbacks_run_between_two_pieces():
    pacer = Pacer()
    order: list[object] = []
    for number in range(3):
        pacer.schedule(partial(order.append, number))
    while len(order) < 5:
        await asyncio.sleep(0.001)
        order.append("other")
    assert order[:4] in ([0, "other", 1, "other"], ["other", 0, "other", 1])


def fail():
    raise ValueError("the piece fails")


async def test_failed_or_cancelled_piece_ends_no_other():
    pacer = Pacer()
    order: list[object] = []
    leaving = asyncio.ensure_future(pacer.turn())
    pacer.schedule(fail)
    pacer.schedule(lambda: order.append("last"))
    await asyncio.sleep(0)
    leaving.cancel()
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: order.append("failed"))
    await asyncio.sleep(0.1)
    assert order == ["failed", "last"]
