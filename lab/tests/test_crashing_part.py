"""Whole nodes, and requests that share a part of their prompts under which engines crash."""

import asyncio
import itertools

import pytest

from flamingoshelf.utils import now_s
from lab.gateway._checks import is_served
from lab.gateway._crashing_part import CrashingPart
from lab.gateway._site import NOTES, RESUMABLE
from lab.tests.test_gateway_site import wait_for_initial_roles, wait_until

pytestmark = [pytest.mark.processes, pytest.mark.timeout(60)]

OUTAGE_S = 1.0
SETTLED_S = 6.0  # after the start; twice the time after which nodes know what others learned
LATE_ARRIVALS = 3


class Load:
    """Calls with the crashing part and sound ones, to all nodes in turn and none alike."""

    def __init__(self, site, *, parts_before=0):
        self.site = site
        self.part = CrashingPart(
            site=site, part="bad", on_crash=self._on_crash, parts_before=parts_before
        )
        self.part.activate()
        self.sound = []  # time and answer of each
        self._numbers = itertools.count()
        self._tasks = set()

    def _on_crash(self, engine):
        self._start(self.site.replace_crashed(engine, OUTAGE_S))

    def _start(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        return task

    async def call(self, *, crashing, node=None):
        """Send one call and return its answer."""
        number = next(self._numbers)
        addresses = self.site.node_addresses
        sent_s = now_s()
        answer = await self.site.caller.call(
            addresses[(number if node is None else node) % len(addresses)],
            f"{(NOTES, RESUMABLE)[number % 2]}{number}",
            body=b"%d" % number,
            tokens=(1000, 160),
            headers=self.part.prompt(number, crashing=crashing),
        )
        if not crashing:
            self.sound.append((sent_s, answer))
        return answer

    async def run(self, seconds, *, interval_s=0.1):
        """Send calls of both kinds at an interval, and wait for their answers."""
        until_s = now_s() + seconds
        calls = []
        while now_s() < until_s:
            calls += [self._start(self.call(crashing=flag)) for flag in (True, False)]
            await asyncio.sleep(interval_s)
        await asyncio.gather(*calls)

    def sound_share(self, *, after_s):
        """Return the share of sound calls sent after a time that were served."""
        answers = [answer for sent_s, answer in self.sound if sent_s > after_s]
        served = sum(is_served(answer) for answer in answers)
        print(served, "of", len(answers), "sound calls served")
        return served / len(answers)


@pytest.fixture
async def new_load(new_site):
    loads = []

    async def start(*, parts_before=0, **sizes):
        site = await new_site(**{"node_count": 3, "decode_count": 4, **sizes})
        await wait_for_initial_roles(site)
        loads.append(Load(site, parts_before=parts_before))
        return loads[-1]

    yield start
    for load in loads:
        for task in load._tasks:
            task.cancel()


# Engine after engine crashed under requests that share a part, as no two of them were alike. Behind
# the 48th part of long prompts, sound requests were refused beside them.
@pytest.mark.parametrize("parts_before", [0, 60, 1000])
async def test_crashing_part_ends_no_engine_after_engine(new_load, parts_before):
    load = await new_load(parts_before=parts_before)
    started_s = now_s()
    await load.run(9.0)
    late = load.part.late_arrivals()
    print(len(load.part.crashes_s), "crashes,", len(late), "late arrivals")
    assert len(late) <= LATE_ARRIVALS
    assert load.sound_share(after_s=started_s + SETTLED_S) > 0.9


# Nodes that start again knew nothing of the crashes before, and each let some more happen.
@pytest.mark.parametrize(
    ("killed", "parts_before"), [("one by one", 0), ("all at once", 0), ("all at once", 1000)]
)
async def test_crashing_part_is_refused_by_nodes_that_start_again(new_load, killed, parts_before):
    load = await new_load(parts_before=parts_before)
    await load.run(2.0)
    before = len(load.part.arrivals())
    nodes = range(len(load.site.nodes))
    for group in [nodes] if killed == "all at once" else [[number] for number in nodes]:
        for number in group:
            load.site.nodes[number].kill()
        for number in group:
            load.site.nodes[number].start()
        for number in group:
            await load.site.wait_until_ready(load.site.ready_addresses[number])
        await asyncio.sleep(1.0)
        for number in nodes:
            answer = await load.call(crashing=True, node=number)
            assert (answer.status, answer.headers.get("Retry-After") is not None) == (503, True)
    assert len(load.part.arrivals()) == before
    await wait_until(lambda: not load.site.nodes[0].log.count("Traceback"))
    assert (await load.call(crashing=False)).status == 200
