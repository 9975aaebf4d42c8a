"""Whole nodes, and engines of several software versions whose streams don't fit together."""

import asyncio
import itertools

import pytest

from flamingoshelf.utils import now_s
from lab.gateway._records import ServerFaults
from lab.gateway._servers import EngineStandIn
from lab.gateway._site import RESUMABLE
from lab.gateway._versions import ResumedStream, find_joined
from lab.tests.test_gateway_site import wait_for_initial_roles

pytestmark = [pytest.mark.processes, pytest.mark.timeout(60)]

EVENTS = 60
S_PER_EVENT = 0.03
AT_ONCE_S = 0.6  # a refusal of what can't be served
MIN_SHARE = 0.5  # of the share of new streams that begin
LEAST_JUDGED = 12
CUT_SHARE = 0.4  # of the runs of each engine, which it ends in the middle
DRAIN_S = 2.0
LONG_CHANGE_S = 2.5  # longer than a leaving engine serves
LONG_STREAM_S = 4.5
LONG_DEADLINE_MS = 8000
STORE_LAG_S = 0.5  # streams that begin as late before all nodes are lost may be forgotten


class Streams:
    """Sends streams to all nodes in turn, and takes them up again."""

    def __init__(self, site):
        self.site = site
        self.streams = []
        self._numbers = itertools.count()
        self._nodes = itertools.cycle(site.node_addresses)
        for engine in site.engines:
            engine.s_per_event = S_PER_EVENT

    async def send(self, **call):
        """Send a new stream."""
        stream = ResumedStream(number=next(self._numbers))
        self.streams.append(stream)
        await self._try(stream, **call)
        return stream

    async def take_up(self, stream, **call):
        """Take a broken stream up again at some node."""
        await self._try(stream, headers=stream.take_up_headers, **call)

    async def _try(self, stream, **call):
        answer = await self.site.caller.call(
            next(self._nodes), f"{RESUMABLE}{stream.number}", tokens=(500, 8 * EVENTS), **call
        )
        stream.answers.append(answer)

    def joined(self):
        return find_joined(self.streams, events=EVENTS)


async def start_site(new_site, *, node_count, decode_count=6, versions=("v1", "v2")):
    """Start a site whose engines are of the versions in turn."""
    site = await new_site(node_count=node_count, prefill_count=2, decode_count=decode_count)
    for engine, version in zip(site.engines, itertools.cycle(versions)):
        engine.version = version
        site.register(engine)
    await wait_for_initial_roles(site)
    return site


async def restart_nodes(site, nodes):
    for node in nodes:
        node.kill()
    await asyncio.sleep(0.1)
    for node in nodes:
        node.start()
    for address in site.ready_addresses:
        await site.wait_until_ready(address)


async def remove_engines(site, version):
    for engine in site.engines:
        if engine.version == version:
            await engine.stop()
            site.store.remove("servers", engine.instance_id)


def share_that_goes_on(streams):
    return sum(stream.is_served for stream in streams) / len(streams)


async def break_and_take_up(streams, *, killed, count=40):
    """Send streams, kill nodes in the middle, and take up what broke, beside new streams."""
    sending = [asyncio.ensure_future(streams.send()) for _ in range(count)]
    await asyncio.sleep(EVENTS * S_PER_EVENT / 2 + STORE_LAG_S)
    await killed()
    await asyncio.gather(*sending)
    broken = [stream for stream in streams.streams if stream.is_broken]
    new = [asyncio.ensure_future(streams.send()) for _ in range(LEAST_JUDGED)]
    await asyncio.gather(*(streams.take_up(stream) for stream in broken))
    return broken, await asyncio.gather(*new)


# Streams that an engine cut went on in the same answer at an engine of another version.
@pytest.mark.parametrize("node_count", [1, 3])
async def test_stream_goes_on_at_the_version_that_began_it(new_site, node_count):
    site = await start_site(new_site, node_count=node_count)
    for engine in site.engines:
        engine.faults = ServerFaults(cut=CUT_SHARE)
    streams = Streams(site)
    for _ in range(3):
        await asyncio.gather(*(streams.send() for _ in range(20)))
    assert streams.joined() == []
    runs = [site.log.runs_of(stream.answers[0].request_id) for stream in streams.streams]
    assert sum(len(runs_of) > 1 for runs_of in runs) >= LEAST_JUDGED
    # A second run that is cut as well ends its stream, as a request has two attempts.
    whole = [
        stream
        for stream, runs_of in zip(streams.streams, runs, strict=True)
        if len(runs_of) > 1 and runs_of[-1].ended == "whole"
    ]
    assert whole and share_that_goes_on(whole) > MIN_SHARE / (1 - CUT_SHARE)


# Once all nodes had been killed, callers got streams joined from two versions, answered 200.
@pytest.mark.parametrize("node_count", [1, 3, 6])
async def test_take_ups_after_the_loss_of_all_nodes_keep_the_version(new_site, node_count):
    site = await start_site(new_site, node_count=node_count)
    streams = Streams(site)
    broken, new = await break_and_take_up(
        streams, killed=lambda: restart_nodes(site, site.nodes), count=40 if node_count > 1 else 24
    )
    assert streams.joined() == []
    assert len(broken) >= LEAST_JUDGED
    assert share_that_goes_on(broken) >= MIN_SHARE * share_that_goes_on(new)
    assert share_that_goes_on(new) > MIN_SHARE


# Take-ups of streams whose version had left were answered 200, with the text of another one.
@pytest.mark.parametrize("node_count", [1, 3])
async def test_take_up_is_refused_at_once_if_its_version_has_left(new_site, node_count):
    site = await start_site(new_site, node_count=node_count)
    streams = Streams(site)

    async def lose_nodes_and_old_version():
        await remove_engines(site, "v1")
        await restart_nodes(site, site.nodes)

    broken, new = await break_and_take_up(streams, killed=lose_nodes_and_old_version, count=24)
    assert streams.joined() == []
    old = [stream for stream in broken if "v1" in stream.versions]
    assert {stream.answers[-1].status for stream in old} == {503}
    assert all(float(s.answers[-1].headers.get("Retry-After")) > 0 for s in old)
    assert max(s.answers[-1].head_s - s.answers[-1].sent_s for s in old) < AT_ONCE_S
    current = [stream for stream in broken if "v1" not in stream.versions]
    assert share_that_goes_on(current) >= MIN_SHARE * share_that_goes_on(new)


# A take-up at a node that hadn't relayed the stream went on at any version.
async def test_take_ups_after_the_loss_of_one_node_keep_the_version(new_site):
    site = await start_site(new_site, node_count=3)
    streams = Streams(site)
    broken, new = await break_and_take_up(
        streams, killed=lambda: restart_nodes(site, site.nodes[:1])
    )
    assert streams.joined() == []
    assert len(broken) >= LEAST_JUDGED
    assert share_that_goes_on(broken) >= MIN_SHARE * share_that_goes_on(new)


# While all engines of a version left, its streams could not go on, though these still served.
async def test_leaving_engines_continue_the_streams_of_their_version(new_site):
    site = await start_site(new_site, node_count=3)
    streams = Streams(site)
    sending = [asyncio.ensure_future(streams.send()) for _ in range(24)]
    await asyncio.sleep(0.8)
    old = [engine for engine in site.engines if engine.role == "decode" and engine.version == "v1"]
    for engine in old:
        engine.state = "draining"
        site.register(engine)
    await asyncio.sleep(0.2)
    await old[0].stop()
    began = {run.request_id for run in site.log.runs if run.server == old[0].instance_id}
    await asyncio.gather(*sending)
    assert streams.joined() == []
    broken = [stream for stream in streams.streams if stream.answers[0].request_id in began]
    assert len(broken) >= 3 and share_that_goes_on(broken) >= MIN_SHARE


# Nodes that read the store late took an engine for the version that it had before it started anew.
async def test_engine_that_starts_again_at_another_version_continues_no_stream(new_site):
    site = await start_site(new_site, node_count=3, versions=("v1",))
    decodes = [engine for engine in site.engines if engine.role == "decode"]
    streams = Streams(site)
    sending = [asyncio.ensure_future(streams.send()) for _ in range(24)]
    await asyncio.sleep(0.8)
    site.store.faults.mode = "reset"
    site.store._wake_watches()
    for engine in decodes[::2]:  # same id and address
        await engine.stop()
        engine.version = "v2"
        engine.started_ms += 1000
        site.store.put("servers", engine.instance_id, engine.entry())
        await engine.start()
    await asyncio.sleep(0.2)
    sending += [asyncio.ensure_future(streams.send()) for _ in range(12)]
    await asyncio.sleep(0.8)
    await decodes[1].stop()
    await asyncio.gather(*sending)
    assert streams.joined() == []
    broken = [stream for stream in streams.streams if stream.is_broken]
    await asyncio.gather(*(streams.take_up(stream) for stream in broken))
    assert streams.joined() == []


# While the last decode engine of a version was replaced, none of its streams went on, though two
# prefill engines of that version served.
@pytest.mark.parametrize("is_handed_over", [False, True], ids=["", "coordinator lost"])
async def test_streams_go_on_when_the_last_decode_engine_of_their_version_leaves(
    new_site, monkeypatch, is_handed_over
):
    monkeypatch.setattr(EngineStandIn, "role_change_s", LONG_CHANGE_S)
    site = await new_site(node_count=3, prefill_count=2, decode_count=3)
    for engine in site.engines[3:]:
        engine.version = "v2"
        site.register(engine)
    await asyncio.sleep(0.5)
    leaving = site.engines[2]
    streams = Streams(site)
    for engine in site.engines:
        engine.s_per_event = LONG_STREAM_S / EVENTS

    async def send():
        stream = await streams.send(deadline_ms=LONG_DEADLINE_MS)
        for _ in range(3):
            if not stream.is_broken:
                break
            retry_after = stream.answers[-1].headers.get("Retry-After")
            await asyncio.sleep(float(retry_after or 0.0))
            await streams.take_up(stream, deadline_ms=LONG_DEADLINE_MS)
        return stream

    sending = [asyncio.ensure_future(send()) for _ in range(24)]
    await asyncio.sleep(0.8)
    orders = len(site.log.orders)
    leaving.state = "draining"
    site.register(leaving)
    began_s = now_s()
    while len(site.log.orders) == orders and now_s() < began_s + DRAIN_S:
        await asyncio.sleep(0.02)
    if is_handed_over and len(site.log.orders) > orders:
        holder = str(site.log.orders[-1]["holder"])
        coordinator = site.nodes[int(holder.rpartition("-")[2])]
        coordinator.kill()
        coordinator.start()
    await asyncio.sleep(max(0.0, began_s + DRAIN_S - now_s()))
    began = {run.request_id for run in site.log.runs if run.server == leaving.instance_id}
    await leaving.stop()
    site.store.remove("servers", leaving.instance_id)
    new = [asyncio.ensure_future(send()) for _ in range(LEAST_JUDGED)]
    old = [s for s in await asyncio.gather(*sending) if s.answers[0].request_id in began]
    assert streams.joined() == []
    assert len(old) >= 5
    assert share_that_goes_on(old) >= MIN_SHARE * share_that_goes_on(await asyncio.gather(*new))
