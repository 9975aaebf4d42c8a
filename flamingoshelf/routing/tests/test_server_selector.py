"""Servers that fall silent: how soon they are avoided, and how soon they are used again.

Failures and ejections are tested in `flamingoshelf/services/tests/test_services.py`.
"""

import asyncio
import random

import attrs
import pytest

from flamingoshelf.routing import EjectionRule, ServerSelector
from flamingoshelf.utils import now_s

pytestmark = pytest.mark.looptime


@attrs.frozen
class FakeServer:
    key: str
    data_centre: str = "a"
    accepts_new_work: bool = True


SERVERS = [FakeServer(key) for key in "abcd"]


@pytest.fixture
def selector():
    return ServerSelector(data_centre="a", rule=EjectionRule(), random_source=random.Random(1))


def chosen(selector, servers=SERVERS):
    return {selector.choose(servers) for _ in range(200)}


async def fall_silent(selector, key, seconds=0.1):
    since_s = now_s()
    selector.start_call(key)
    await asyncio.sleep(seconds)
    selector.record_silence(key, since_s=since_s)


async def test_silent_server_is_avoided_after_one_overdue_call(selector):
    """Guards against callers that wait for a silent server in turn."""
    await fall_silent(selector, "a")
    assert chosen(selector) == {"b", "c", "d"}
    assert selector.choose(SERVERS[:1]) == "a"


async def test_late_answer_ends_the_silence_at_once(selector):
    """Guards against a sound server that is left out after its silence."""
    await fall_silent(selector, "a")
    selector.end_call("a", is_failure=False)
    assert "a" in chosen(selector)
    assert not selector._records


async def test_silent_server_gets_one_call_an_interval(selector):
    """Guards against an idle server that is left out for good, and against calls by the dozen."""
    await fall_silent(selector, "a")
    selector.end_call("a", is_failure=None)
    await asyncio.sleep(0.3)
    assert "a" in chosen(selector)
    selector.start_call("a")
    assert "a" not in chosen(selector)


async def test_long_silence_is_probed_rarely(selector):
    """Guards against a caller in each fraction of a second that waits for a dead server."""
    await fall_silent(selector, "a")
    selector.end_call("a", is_failure=None)
    probes = 0
    end_s = now_s() + 60.0
    while now_s() < end_s:
        await asyncio.sleep(0.01)
        if "a" in {selector.choose(SERVERS) for _ in range(40)}:
            probes += 1
            selector.start_call("a")
            selector.end_call("a", is_failure=None)
    assert 10 <= probes <= 40


async def test_server_that_answers_other_calls_is_not_silent(selector):
    """Guards against a busy server that is avoided because one call takes long."""
    since_s = now_s()
    selector.start_call("a")
    await asyncio.sleep(0.05)
    selector.start_call("a")
    selector.end_call("a", is_failure=False)
    await asyncio.sleep(0.05)
    selector.record_silence("a", since_s=since_s)
    selector.end_call("a", is_failure=None)
    assert "a" in chosen(selector)


async def test_failure_does_not_end_the_silence(selector):
    """Guards against a lost server that is taken for sound when its connections break."""
    await fall_silent(selector, "a")
    selector.end_call("a", is_failure=True)
    assert "a" not in chosen(selector)


async def test_at_most_half_of_the_servers_are_avoided(selector):
    """Guards against all load on one server when most are ejected or silent."""
    for _ in range(5):
        selector.start_call("a")
        selector.end_call("a", is_failure=True)
    await asyncio.gather(*(fall_silent(selector, key) for key in "bc"))
    for key in "bc":
        selector.end_call(key, is_failure=None)
    assert len(chosen(selector)) == 2


async def test_silent_server_leaves_no_record_once_it_answers(selector):
    """Guards against records that grow with each silence."""
    await fall_silent(selector, "a")
    selector.end_call("a", is_failure=None)
    selector.start_call("a")
    selector.end_call("a", is_failure=False)
    assert not selector._records
