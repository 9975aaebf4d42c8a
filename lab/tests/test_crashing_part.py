"""Whole nodes, and requests that share a part of their prompts under which engines crash."""

import asyncio
import itertools

import pytest

from lab.gateway._servers import prompt_parts
from lab.gateway._site import NOTES, RESUMABLE
from lab.tests.test_gateway_site import wait_for_initial_roles, wait_until

pytestmark = [pytest.mark.processes, pytest.mark.timeout(60)]

CRASHING = "bad0"
OUTAGE_S = 1.0
CONTACT_S = 3.0  # time after which every node is to know what the others learned
CRASHES = 5  # later than the contact time after this many, no more than three requests may arrive
LATE_ARRIVALS = 3


class Load:
    """Calls with the crashing part and sound ones, to all nodes in turn and none alike."""

    def __init__(self, site):
        self.site = site
        self.crashes = []  # times
        self.sound = []  # time and answer of each
        self.crashing = []
        self._numbers = itertools.count()
        self._tasks = set()
        for engine in site.engines:
            engine.crashing_part = CRASHING
            engine.on_crash = self._on_crash

    def _on_crash(self, engine):
        self.crashes.append(asyncio.get_running_loop().time())
        self._start(self.site.replace_crashed(engine, OUTAGE_S))

    def _start(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        return task

    async def call(self, *, crashing, node=None):
        """Send one call and record its answer."""
        number = next(self._numbers)
        parts = [f"a{number % 3}:200", *([f"{CRASHING}:300"] if crashing else []), f"f{number}:500"]
        addresses = self.site.node_addresses
        path = (NOTES, RESUMABLE)[number % 2]
        sent_s = asyncio.get_running_loop().time()
        answer = await self.site.caller.call(
            addresses[(number if node is None else node) % len(addresses)],
            f"{path}{number}",
            body=b"%d" % number,
            tokens=(1000, 160),
            headers=[("Prompt-Prefix", ",".join(parts))],
        )
        (self.crashing if crashing else self.sound).append((sent_s, answer))
        return answer

    async def run(self, seconds, *, interval_s=0.1):
        """Send calls of both kinds at an interval, and wait for their answers."""
        until_s = asyncio.get_running_loop().time() + seconds
        calls = []
        while asyncio.get_running_loop().time() < until_s:
            calls += [self._start(self.call(crashing=flag)) for flag in (True, False)]
            await asyncio.sleep(interval_s)
        await asyncio.gather(*calls)

    def arrivals(self, *, after_s=0.0):
        """Return the calls with the crashing part that reached engines after a time."""
        return [
            run
            for run in self.site.log.arrivals
            if run.at_s > after_s and CRASHING in prompt_parts(run.headers)
        ]

    def late_arrivals(self):
        """Return those later than the contact time after the fifth crash."""
        if len(self.crashes) < CRASHES:
            return []
        return self.arrivals(after_s=self.crashes[CRASHES - 1] + CONTACT_S)

    def sound_share(self, *, after_s):
        """Return the share of sound calls sent after a time that were served."""
        answers = [answer for sent_s, answer in self.sound if sent_s > after_s]
        assert len(answers) >= 10
        served = sum(answer.status == 200 and answer.is_complete for answer in answers)
        print(served, "of", len(answers), "sound calls served")
        return served / len(answers)


@pytest.fixture
async def new_load(new_site):
    loads = []

    async def start(**sizes):
        site = await new_site(**{"node_count": 3, "decode_count": 4, **sizes})
        await wait_for_initial_roles(site)
        loads.append(Load(site))
        return loads[-1]

    yield start
    for load in loads:
        for task in load._tasks:
            task.cancel()


# Engine after engine crashed under requests that share a part, as no two of them were alike.
async def test_crashing_part_ends_no_engine_after_engine(new_load):
    load = await new_load()
    started_s = asyncio.get_running_loop().time()
    await load.run(9.0)
    print(len(load.crashes), "crashes,", len(load.late_arrivals()), "late arrivals")
    assert len(load.late_arrivals()) <= LATE_ARRIVALS
    assert load.sound_share(after_s=started_s + 2 * CONTACT_S) > 0.9


# Nodes that start again knew nothing of the crashes before, and each let some more happen.
@pytest.mark.parametrize("killed", ["one by one", "all at once"])
async def test_crashing_part_is_refused_by_nodes_that_start_again(new_load, killed):
    load = await new_load()
    await load.run(2.0)
    before = len(load.arrivals())
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
    assert len(load.arrivals()) == before
    await wait_until(lambda: not load.site.nodes[0].log.count("Traceback"))
    assert (await load.call(crashing=False)).status == 200
