"""Callers that go away."""

import asyncio

import pytest

from flamingoshelf.callers._disconnects import while_connected

pytestmark = pytest.mark.looptime


class FakeRequest:
    """A request whose caller goes away after a time."""

    def __init__(self, leaves_after_s):
        self._leaves_after_s = leaves_after_s

    async def is_disconnected(self):
        return asyncio.get_running_loop().time() >= self._leaves_after_s


async def wait_for_a_place(seconds, log):
    try:
        await asyncio.sleep(seconds)
        return "answer"
    finally:
        log.append(asyncio.get_running_loop().time())


async def test_work_ends_soon_after_its_caller_left():
    log: list[float] = []
    assert await while_connected(FakeRequest(1.0), wait_for_a_place(20.0, log)) is None
    await asyncio.sleep(0)
    assert log and log[0] < 1.5


async def test_work_of_a_connected_caller_is_finished():
    assert await while_connected(FakeRequest(60.0), wait_for_a_place(2.0, [])) == "answer"


async def test_a_cancelled_handler_cancels_its_work():
    log: list[float] = []
    handler = asyncio.create_task(while_connected(FakeRequest(60.0), wait_for_a_place(20.0, log)))
    await asyncio.sleep(1.0)
    handler.cancel()
    await asyncio.wait((handler,))
    await asyncio.sleep(0)
    assert log and log[0] < 1.5
