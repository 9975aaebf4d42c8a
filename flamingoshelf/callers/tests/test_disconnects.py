"""Callers that go away."""

import asyncio

import pytest
from starlette.requests import Request

from flamingoshelf.callers._streams import CallerGoneError, unless_caller_leaves

pytestmark = pytest.mark.looptime


def make_request(*, leaves_after_s):
    """Return a request whose caller goes away after a time."""

    async def receive():
        await asyncio.sleep(leaves_after_s)
        return {"type": "http.disconnect"}

    return Request({"type": "http", "headers": []}, receive)


async def wait_for_a_place(seconds, log):
    try:
        await asyncio.sleep(seconds)
        return "answer"
    finally:
        log.append(asyncio.get_running_loop().time())


async def test_work_ends_soon_after_its_caller_left():
    log: list[float] = []
    with pytest.raises(CallerGoneError):
        await unless_caller_leaves(make_request(leaves_after_s=1.0), wait_for_a_place(20.0, log))
    assert log and log[0] < 1.5


async def test_work_of_a_connected_caller_is_finished():
    request = make_request(leaves_after_s=60.0)
    assert await unless_caller_leaves(request, wait_for_a_place(2.0, [])) == "answer"


async def test_a_cancelled_handler_cancels_its_work():
    log: list[float] = []
    request = make_request(leaves_after_s=60.0)
    work = wait_for_a_place(20.0, log)
    handler = asyncio.create_task(unless_caller_leaves(request, work))
    await asyncio.sleep(1.0)
    handler.cancel()
    await asyncio.wait((handler,))
    await asyncio.sleep(0)
    assert log and log[0] < 1.5
