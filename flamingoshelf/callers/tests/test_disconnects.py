"""Cancellation of work whose caller disconnects."""

import asyncio

import pytest
from starlette.requests import Request

from flamingoshelf.callers._streams import CallerDisconnectedError, run_until_disconnect

pytestmark = pytest.mark.looptime


def make_request(*, disconnects_after_s):
    """Return a request whose caller disconnects after `disconnects_after_s` seconds."""

    async def receive():
        await asyncio.sleep(disconnects_after_s)
        return {"type": "http.disconnect"}

    return Request({"type": "http", "headers": []}, receive)


async def simulate_work(seconds, end_times_s):
    try:
        await asyncio.sleep(seconds)
        return "answer"
    finally:
        end_times_s.append(asyncio.get_running_loop().time())


async def test_work_ends_soon_after_its_caller_left():
    end_times_s: list[float] = []
    with pytest.raises(CallerDisconnectedError):
        await run_until_disconnect(
            make_request(disconnects_after_s=1.0), simulate_work(20.0, end_times_s)
        )
    assert end_times_s and end_times_s[0] < 1.5


async def test_work_of_a_connected_caller_is_finished():
    request = make_request(disconnects_after_s=60.0)
    assert await run_until_disconnect(request, simulate_work(2.0, [])) == "answer"


async def test_a_cancelled_handler_cancels_its_work():
    end_times_s: list[float] = []
    request = make_request(disconnects_after_s=60.0)
    work = simulate_work(20.0, end_times_s)
    handler = asyncio.create_task(run_until_disconnect(request, work))
    await asyncio.sleep(1.0)
    handler.cancel()
    await asyncio.wait((handler,))
    await asyncio.sleep(0)
    assert end_times_s and end_times_s[0] < 1.5
