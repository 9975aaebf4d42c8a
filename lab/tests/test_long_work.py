"""Whole nodes that get bytes which take long to handle, beside calls to sound servers."""

import asyncio

import pytest

from flamingoshelf.utils import now_s
from lab.gateway._records import ServerFaults
from lab.gateway._site import BOOKINGS, RESUMABLE, STOCK

pytestmark = [pytest.mark.processes, pytest.mark.timeout(60)]

TIMEOUT_S, DEADLINE_MS = 0.8, 1500
SLACK_S = 0.5  # after a route's time limit, by which callers have an answer
GOAL_S = 0.2
INTERVAL_S = 0.02
CALLS = 250
ENDLESS = 4
EVENTS = b"\n\n" * 2000
LARGE_ENTRY = b'{"models":[' + b"[]," * 300_000 + b"]}"
ENTRY_INTERVAL_S = 1.2  # in which servers write their entries
MIN_SERVED = 0.9


def with_short_timeouts(routes):
    plain = [route for route in routes if route["kind"] != "streaming"]
    for route in plain:
        route["timeoutMs"] = int(1000 * TIMEOUT_S)
    return routes


async def send_calls(site):
    """Return for each call whether sound servers ran it, its status and the time until its answer.

    They go to all nodes by turns.
    """

    async def send(number):
        method, path = (("POST", BOOKINGS), ("GET", STOCK))[number % 2]
        sent_s = now_s()
        address = site.node_addresses[number // 2 % len(site.node_addresses)]
        answer = await site.caller.call(
            address, f"{path}{number}", method=method, deadline_ms=DEADLINE_MS
        )
        runs = site.log.runs_of(answer.request_id)
        is_sound = all(run.ended == "whole" for run in runs)
        return is_sound, answer.status, (answer.head_s or now_s()) - sent_s

    calls = []
    for number in range(CALLS):
        calls.append(asyncio.ensure_future(send(number)))
        await asyncio.sleep(INTERVAL_S)
    return await asyncio.gather(*calls)


def check_time_limits(calls):
    assert not [seconds for _, _, seconds in calls if seconds > TIMEOUT_S + SLACK_S]


def check_calls(calls):
    check_time_limits(calls)
    sound = [(status, seconds) for is_sound, status, seconds in calls if is_sound]
    in_time = [seconds for status, seconds in sound if status == 200 and seconds <= GOAL_S]
    assert len(in_time) >= MIN_SERVED * len(sound), sorted(s for _, s in sound)[-20:]


# While one server sent a body without end in chunks of one byte, its node answered nobody for more
# than a second: neither calls to sound servers nor those whose time was over.
async def test_small_chunks_without_end_hold_up_no_other_call(new_site):
    site = await new_site(node_count=1, plain_count=3)
    site.configure(routes=with_short_timeouts(site.configuration()["routes"]))
    await asyncio.sleep(0.5)
    calls = asyncio.ensure_future(send_calls(site))
    for _ in range(ENDLESS):
        await asyncio.sleep(CALLS * INTERVAL_S / (ENDLESS + 1))
        site.plain[0].faults = ServerFaults(endless_next=1)
    check_calls(await calls)


# An engine that sent empty events, thousands to a chunk, did the same for half a minute.
async def test_empty_events_without_end_hold_up_no_other_call(new_site):
    site = await new_site(node_count=1, decode_count=2)
    site.configure(routes=with_short_timeouts(site.configuration()["routes"]))
    await asyncio.sleep(0.5)
    calls = asyncio.ensure_future(send_calls(site))
    streams = []
    for number in range(ENDLESS):
        await asyncio.sleep(CALLS * INTERVAL_S / (ENDLESS + 1))
        for engine in site.engines:
            engine.faults = ServerFaults(endless_next=1, endless_chunk=EVENTS)
        path = f"{RESUMABLE}{number}"
        stream = site.caller.call(
            site.node_addresses[0], path, tokens=(100, 80), deadline_ms=DEADLINE_MS
        )
        streams.append(asyncio.ensure_future(stream))
    check_calls(await calls)
    for stream in await asyncio.gather(*streams):
        assert not stream.is_complete


# An entry of 1 MB that another writer had left took each node some seconds to read, each time.
# Now it takes some tenths of a second, in which calls miss their goals but not their time limits.
async def test_large_entry_that_is_not_readable_holds_up_no_call(new_site):
    site = await new_site(node_count=3, plain_count=2)  # the last one follows the first one
    site.configure(routes=with_short_timeouts(site.configuration()["routes"]))
    await asyncio.sleep(0.5)
    calls = asyncio.ensure_future(send_calls(site))
    for number in range(int(CALLS * INTERVAL_S / ENTRY_INTERVAL_S)):
        site.store.put_raw("servers", "i-odd", LARGE_ENTRY + b" " * number)
        await asyncio.sleep(ENTRY_INTERVAL_S)
    check_time_limits(await calls)
