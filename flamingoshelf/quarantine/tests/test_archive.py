"""Evidence that is kept in the store while all nodes start again."""

import asyncio
import copy
import json

import pytest

from flamingoshelf.cluster.tests.conftest import FakeStore
from flamingoshelf.quarantine import CrashArchive, Suspect
from flamingoshelf.utils import now_s

pytestmark = pytest.mark.looptime
KEY = ("gateway-quarantine", "crashes")
MAX_OBJECT_BYTES = 1_000_000


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
async def new_archive(store, network):
    archives = []

    async def start(name, *, may_write=True, is_cut_off=False, clock_ahead_s=0.0):
        archive = CrashArchive(
            store=store,
            quarantine=network.add(name).services[name],
            may_write=lambda: may_write,
            is_cut_off=lambda: is_cut_off,
            eras=store.eras,
            wall_time_s=lambda: 1e9 + now_s() + clock_ahead_s,
        )
        archives.append(archive)
        await archive.start()
        await asyncio.sleep(0.1)
        return network.services[name]

    yield start
    for archive in archives:
        await archive.stop()


async def crash_twice(service, key="bad"):
    for number in range(2):
        lost = Suspect(keys=(f"r{number}", key), waited_s=0.1)
        service.report_crash(f"e{number} {key}", [lost], started_ms=7)
        await asyncio.sleep(1.0)


# Nodes that had all started again let engines crash anew under the same part.
async def test_node_that_starts_reads_what_is_refused(new_archive, network, store):
    await crash_twice(await new_archive("n0"))
    await asyncio.sleep(100.0)
    del network.services["n0"]
    await new_archive("n1", clock_ahead_s=3.0)
    assert network.refusing("r9", "bad") == ["n1"]
    assert not network.refusing("r0")
    assert 10 < network.services["n1"].quarantined()["bad"] < 30
    await asyncio.sleep(50.0)
    await new_archive("n2")
    assert not network.refusing("r9", "bad")


async def test_old_evidence_adds_up_again(new_archive, network):
    service = await new_archive("n0")
    await crash_twice(service)
    for number in range(2):
        lost = Suspect(keys=(f"q{number}", "bad"), waited_s=0.1)
        service.report_crash(f"f{number}", [lost], started_ms=7)
        await asyncio.sleep(1.0)
    await asyncio.sleep(400.0)
    del network.services["n0"]
    await new_archive("n1")
    assert network.refusing("r9", "bad") == ["n1"]


async def test_only_one_node_writes_and_the_next_one_takes_over(new_archive, store):
    await crash_twice(await new_archive("n0", may_write=False))
    assert KEY not in store.objects
    await crash_twice(await new_archive("n1"))
    assert len(store.objects[KEY].content["crashes"]) == 2
    written = store.revision
    await asyncio.sleep(60.0)
    assert store.revision == written


async def test_nodes_that_are_cut_off_from_each_other_learn_through_the_store(new_archive, network):
    one = await new_archive("n0", is_cut_off=True)
    other = await new_archive("n1", is_cut_off=True)
    for service, key in ((one, "bad1"), (other, "bad2")):
        await crash_twice(service, key)
        await asyncio.sleep(1.5)
    await asyncio.sleep(2.5)
    assert network.refusing("r9", "bad1") == network.refusing("r9", "bad2") == ["n0", "n1"]


async def test_evidence_is_written_again_after_a_restore_without_it(new_archive, store):
    store.eras.observe(1, source="store")
    before = copy.deepcopy(store.objects)
    await crash_twice(await new_archive("n0"))
    store.restore(before)
    await asyncio.sleep(2.0)
    assert len(store.objects[KEY].content["crashes"]) == 2


async def test_store_that_is_down_or_loses_answers_is_asked_again(new_archive, network, store):
    store.is_down = True
    service = await new_archive("n0")
    await crash_twice(service)
    store.is_down, store.loses_answers = False, True
    await asyncio.sleep(1.0)
    store.loses_answers = False
    await asyncio.sleep(1.0)
    await new_archive("n1")
    assert network.refusing("r9", "bad") == ["n0", "n1"]


@pytest.mark.parametrize(
    "content", [None, [], {"crashes": 3}, {"crashes": [{"crashed_ms": "x"}, 4, {"server": "e"}]}]
)
async def test_what_another_writer_has_put_there_is_ignored(new_archive, network, store, content):
    await store.put(*KEY, content, is_likely_new=True)
    await crash_twice(await new_archive("n0"))
    await new_archive("n1")
    assert network.refusing("r9", "bad") == ["n0", "n1"]


# An object that is too large is refused by the store, and would be written again without end.
async def test_evidence_of_long_prompts_fits_into_an_object(new_archive, store):
    service = await new_archive("n0")
    parts = tuple(f"part-{number:024x}" for number in range(3000))
    for number in range(12):
        lost = Suspect(keys=(f"r{number}", *parts), waited_s=0.1)
        service.report_crash(f"e{number}", [lost], started_ms=7)
        await asyncio.sleep(1.0)
    assert service.check(("r", *parts)) is not None
    stored = store.objects[KEY].content
    assert 2 <= len(stored["crashes"]) < 12
    assert len(json.dumps(stored)) < MAX_OBJECT_BYTES
