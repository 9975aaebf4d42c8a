"""Whole nodes, one of which misses the release of another software version of the engines."""

import asyncio
import signal

import pytest

from lab.gateway._paths import PathSite
from lab.gateway._site import RESUMABLE
from lab.gateway._versions import ResumedStream, find_joined
from lab.proxy import ProxyMode
from lab.tests.test_cut_nodes import coordinator_of

pytestmark = [pytest.mark.processes, pytest.mark.timeout(60)]

EVENTS = 100
S_PER_EVENT = 0.03
LIMIT_PER_S = 40.0
STREAMS = 24


class OutOfStep:
    """A site, and a node of it that is cut off from all others and the store, or stands still."""

    def __init__(self, site, *, is_frozen):
        self.site = site
        self.number = (coordinator_of(site) + 1) % len(site.nodes)
        self.address = site.node_addresses[self.number]
        self._is_frozen = is_frozen

    @property
    def others(self):
        return [n for n in range(len(self.site.nodes)) if n != self.number]

    def begin(self):
        if self._is_frozen:
            self.site.nodes[self.number].send(signal.SIGSTOP)
            return
        self.site.store_proxies[self.number].mode = ProxyMode.STALL
        own = self.site.peer_proxies[self.number]
        own.mode = ProxyMode.REFUSE
        own.reset_connections()
        for other in self.others:
            proxy = self.site.peer_proxies[other]
            proxy.refused_sources.add(self.address.rpartition(":")[0])
            proxy.reset_connections()

    def thaw(self):
        self.site.nodes[self.number].send(signal.SIGCONT)


@pytest.fixture
async def new_path_site(tmp_path):
    sites = []

    async def start():
        site = PathSite(folder=tmp_path, node_count=3, prefill_count=2, decode_count=4)
        sites.append(site)
        await site.start()
        for engine in site.engines:
            engine.s_per_event = S_PER_EVENT
        await asyncio.sleep(2.5)  # for the initial changes of engine roles
        return site

    yield start
    for site in sites:
        for node in site.nodes:
            node.send(signal.SIGCONT)
        await site.stop()


async def upgrade(site, engine, *, in_place):
    """Let another version take the place of an engine, under its id or another one."""
    await engine.stop()
    if not in_place:
        site.store.remove("servers", engine.instance_id)
        engine.renew()
    engine.started_ms += 1000
    engine.version = "v2"
    await engine.start()
    site.register(engine)


async def send(site, stream, address, **call):
    tokens = (100, 8 * EVENTS)
    answer = await site.caller.call(address, f"{RESUMABLE}{stream.number}", tokens=tokens, **call)
    stream.answers.append(answer)


# A node that had missed a release took streams of the new version up at engines that it took for
# such of that version, or bound new streams to a version that their engine no longer had.
@pytest.mark.parametrize("is_limited", [False, True])
@pytest.mark.parametrize("in_place", [True, False])
@pytest.mark.parametrize("is_frozen", [True, False])
async def test_node_out_of_step_joins_no_streams(new_path_site, is_limited, in_place, is_frozen):
    site = await new_path_site()
    if is_limited:
        for engine in site.engines:
            engine.state_limit(LIMIT_PER_S)
    streams = [ResumedStream(number=number) for number in range(3 * STREAMS)]
    for stream in streams[:6]:  # so that every node knows of the limits, and has connections
        await send(site, stream, site.node_addresses[stream.number % 3])
    out_of_step = OutOfStep(site, is_frozen=is_frozen)
    first = site.node_addresses[out_of_step.others[0]]
    own = [asyncio.ensure_future(send(site, s, out_of_step.address)) for s in streams[6:STREAMS]]
    await asyncio.sleep(0.5)
    out_of_step.begin()
    await asyncio.sleep(0.3)
    decodes = [engine for engine in site.engines if engine.role == "decode"]
    for engine in decodes[::2]:
        await upgrade(site, engine, in_place=in_place)
        if is_limited:
            engine.state_limit(LIMIT_PER_S)
    began = [
        asyncio.ensure_future(send(site, stream, first))
        for stream in streams[STREAMS : 2 * STREAMS]
    ]
    if not is_frozen:  # some begin at an engine that this node takes for an earlier version
        own += [
            asyncio.ensure_future(send(site, stream, out_of_step.address))
            for stream in streams[2 * STREAMS :]
        ]
    await asyncio.sleep(1.0)
    for number in out_of_step.others:  # their streams break off for the callers
        site.nodes[number].kill()
    await decodes[1].stop()  # and those of the engine within their answers
    if is_frozen:
        out_of_step.thaw()
    await asyncio.gather(*began, *own)
    for _ in range(2):
        broken = [stream for stream in streams if stream.answers and stream.is_broken]
        await asyncio.gather(
            *(
                send(site, stream, out_of_step.address, headers=stream.take_up_headers)
                for stream in broken
            )
        )
    tried = [stream for stream in streams if stream.answers]
    assert find_joined(tried, events=EVENTS) == []
    assert sum(len(stream.answers) > 1 for stream in tried) >= 6
