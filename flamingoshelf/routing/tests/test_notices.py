"""Servers that state that they leave, or ask for a pause."""

import asyncio

import attrs
import pytest

from flamingoshelf.routing import (
    BackendInstance,
    EngineRole,
    InstanceDirectory,
    InstanceState,
    ServerNotices,
    ServerRun,
)
from flamingoshelf.store import join_revision

pytestmark = pytest.mark.looptime

DRAIN_S = 2.0


def instance(name, *, started_ms=100, **fields):
    return BackendInstance(
        instance_id=name,
        service="notes",
        address="10.0.0.1:80",
        data_centre="a",
        started_ms=started_ms,
        **fields,
    )


def leaving(name, *, started_ms=100):
    return ServerRun(instance_id=name, started_ms=started_ms)


@pytest.fixture
def notices():
    return ServerNotices(drain_s=lambda: DRAIN_S)


@pytest.fixture
def directory(notices):
    directory = InstanceDirectory(notices=notices)
    directory.replace({name: instance(name) for name in "ij"}, 5)
    return directory


def ready(directory):
    return [server.key for server in directory.ready("notes")]


async def test_server_that_leaves_gets_nothing_more_though_it_is_listed_as_ready(
    directory, notices
):
    notices.record_leaving(leaving("i"), source="server")
    assert ready(directory) == ["j"] and directory.get("i") is None
    directory.apply([attrs.evolve(instance("i"), slots=9)], [], 6)  # the store lags behind
    directory.replace({name: instance(name) for name in "ij"}, join_revision(1, 3))  # a restore
    await asyncio.sleep(600)
    assert ready(directory) == ["j"]


async def test_only_a_new_run_of_the_server_ends_its_notice(directory, notices):
    notices.record_leaving(leaving("i"), source="server")
    directory.apply([instance("i", started_ms=200)], [], 6)
    assert sorted(ready(directory)) == ["i", "j"]
    notices.record_leaving(leaving("i", started_ms=100), source="late")
    assert sorted(ready(directory)) == ["i", "j"]


async def test_last_server_is_used_for_a_part_of_the_drain_time(directory, notices):
    for name in "ij":
        notices.record_leaving(leaving(name), source="server")
    assert sorted(ready(directory)) == ["i", "j"] and directory.get("i") is not None
    await asyncio.sleep(0.6 * DRAIN_S)
    assert ready(directory) == [] and directory.get("i") is None


async def test_last_engine_of_a_role_is_used_beside_those_of_the_other_role(directory, notices):
    roles = {"i": EngineRole.PREFILL, "j": EngineRole.DECODE, "k": EngineRole.DECODE}
    directory.replace({name: instance(name, role=role) for name, role in roles.items()}, 6)
    for name in "ij":
        notices.record_leaving(leaving(name), source="server")
    assert sorted(ready(directory)) == ["i", "k"]


async def test_notice_is_told_to_others_until_the_store_shows_it(directory, notices):
    notices.record_leaving(leaving("i"), source="server")
    assert directory.unreported_leaving() == [leaving("i")]
    directory.apply([], ["i"], 6)
    assert directory.unreported_leaving() == []


@pytest.mark.parametrize("seconds", [2, 0.25])
async def test_pause_lasts_as_long_as_asked(notices, seconds):
    notices.record_pause(instance("i"), seconds)
    await asyncio.sleep(0.99 * seconds)
    assert notices.pause_s(instance("i")) > 0
    await asyncio.sleep(0.02 * seconds)
    assert notices.pause_s(instance("i")) == 0


@pytest.mark.parametrize("seconds", [-1.0, float("nan"), float("-inf")])
async def test_pause_that_makes_no_sense_is_ignored(notices, seconds):
    notices.record_pause(instance("i"), seconds)
    assert notices.pause_s(instance("i")) == 0


async def test_pause_beyond_reason_is_bounded(notices):
    notices.record_pause(instance("i"), float("inf"))
    assert 600 <= notices.pause_s(instance("i")) <= 3600


async def test_shorter_pause_does_not_end_a_longer_one(notices):
    notices.record_pause(instance("i"), 10.0)
    notices.record_pause(instance("i"), 1.0)
    await asyncio.sleep(5)
    assert notices.pause_s(instance("i")) > 0


async def test_new_run_of_a_server_has_no_pause(notices):
    notices.record_pause(instance("i"), 10.0)
    assert notices.pause_s(instance("i", started_ms=200)) == 0


# Streams of a version whose engines all leave could not go on while these still served.
@pytest.mark.parametrize("state", [InstanceState.DRAINING, InstanceState.READY])
async def test_leaving_decode_engine_continues_streams_for_a_part_of_the_drain_time(
    directory, notices, state
):
    engines = {name: instance(name, role=EngineRole.DECODE) for name in "ij"}
    directory.replace(engines, 6)
    directory.apply([attrs.evolve(engines["i"], state=state)], [], 7)
    notices.record_leaving(leaving("i"), source="server")
    assert [engine.key for engine in directory.leaving("notes")] == ["i"]
    assert directory.get("i") is None and directory.get("i", continues=True) is not None
    assert ready(directory) == ["j"]
    await asyncio.sleep(0.6 * DRAIN_S)
    assert directory.leaving("notes") == [] and directory.get("i", continues=True) is None
