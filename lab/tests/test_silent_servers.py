"""Whole nodes, and servers that fall silent for a moment and go on where they were."""

import asyncio
import copy
import signal

import pytest

from lab.gateway import EngineStandIn
from lab.gateway._site import BOOKINGS, HOST, NOTES, RESUMABLE, STOCK
from lab.tests.test_gateway_site import wait_for_initial_roles, wait_until

pytestmark = [pytest.mark.processes, pytest.mark.timeout(30)]


# A silence that lost runs, or let anything out, would test something else.
async def test_frozen_server_sends_nothing_and_goes_on_where_it_was(new_site):
    site = await new_site(node_count=0)
    engine, server = site.engines[1], site.plain[0]
    stream = asyncio.ensure_future(site.caller.call(engine.address, "/a", tokens=(100, 400)))
    left = asyncio.ensure_future(site.caller.call(engine.address, "/a", tokens=(100, 400)))
    await wait_until(lambda: any(engine.sent.values()))
    silences = [asyncio.ensure_future(s.freeze(0.5)) for s in (engine, server)]
    await asyncio.sleep(0.1)
    report = asyncio.ensure_future(site.caller.call(engine.address, "/report", method="GET"))
    booking = asyncio.ensure_future(site.caller.call(server.address, "/b"))
    unseen = asyncio.ensure_future(site.caller.call(server.address, "/b", deadline_ms=-900))
    sent = dict(engine.sent)
    left.cancel()
    await asyncio.sleep(0.3)
    assert engine.sent == sent and len(engine.held) == 2
    assert not report.done() and not booking.done() and unseen.done()
    await asyncio.gather(*silences)
    assert (await stream).events == list(range(1, 51))
    assert (await report).status == 200 and (await booking).is_complete
    assert [run.ended for run in site.log.runs if run.target == "/a"] == ["whole", "left"]
    assert sorted(run.ended for run in site.log.runs if run.target == "/b") == ["left", "whole"]


async def start_two_streams(site):
    """Fill the memory of one decode engine; return a resumable stream and its engine, the other."""
    await wait_for_initial_roles(site)
    address = site.node_addresses[0]
    filling = asyncio.ensure_future(site.caller.call(address, f"{NOTES}1", tokens=(2000, 3200)))
    await wait_until(lambda: site.log.runs)
    running = asyncio.ensure_future(
        site.caller.call(address, f"{RESUMABLE}1", tokens=(500, 800), deadline_ms=3500)
    )
    await wait_until(lambda: len(site.log.runs) == 2)
    full, silent = (run.server for run in site.log.runs)
    assert full != silent
    await asyncio.sleep(0.3)
    return filling, running, next(e for e in site.engines if e.instance_id == silent)


def logs_of(site):
    return "\n".join(node.log for node in site.nodes)


# A stream whose engine only paused was aborted because no other engine had room to resume it.
async def test_stream_of_a_silent_engine_goes_on_if_the_other_engine_is_full(new_site, monkeypatch):
    monkeypatch.setattr(EngineStandIn, "kv_capacity_tokens", 4100)
    site = await new_site(node_count=1)
    filling, running, engine = await start_two_streams(site)
    await engine.freeze(1.3)
    answer = await running
    assert answer.is_complete, (len(answer.events), answer.failure, logs_of(site))
    assert answer.events == list(range(1, 101))
    assert (await filling).is_complete


# The same abort beside changes of the configuration, which are no reason for it either.
async def test_stream_of_a_silent_engine_goes_on_beside_changes_of_the_configuration(
    new_site, monkeypatch
):
    monkeypatch.setattr(EngineStandIn, "kv_capacity_tokens", 4100)
    site = await new_site(node_count=1)
    filling, running, engine = await start_two_streams(site)
    silence = asyncio.ensure_future(engine.freeze(1.3))
    await asyncio.sleep(0.3)
    document = copy.deepcopy(site.store.objects("config")["main"])
    added = {**document["routes"][0], "name": "added", "pathPrefix": "/added/", "host": HOST}
    limits = {**document["limits"], "idleTimeoutMs": 700, "headerTimeoutMs": 300}
    site.configure(routes=[*document["routes"], added], limits=limits)
    await asyncio.sleep(0.4)
    split = [{"service": "writers", "weight": 0.5}, {"service": "writers", "weight": 2}]
    site.configure(routes=[{**route, "backends": split} for route in document["routes"][:2]])
    await silence
    answer = await running
    assert answer.is_complete, (len(answer.events), answer.failure, logs_of(site))
    assert answer.events == list(range(1, 101))
    assert (await filling).is_complete


# A short silence of all servers of a plain service ended calls with 502 that had time to wait.
@pytest.mark.parametrize("path", [BOOKINGS, STOCK], ids=["bookings", "stock"])
async def test_calls_are_answered_after_a_silence_of_all_servers(new_site, path):
    site = await new_site(plain_count=2)
    method = "GET" if path == STOCK else "POST"
    silences = [asyncio.ensure_future(server.freeze(1.0)) for server in site.plain]
    await asyncio.sleep(0.05)
    calls = []
    for number in range(160):
        address = site.node_addresses[number % 2]
        calls.append(
            asyncio.ensure_future(site.caller.call(address, f"{path}{number}", method=method))
        )
        await asyncio.sleep(0.005)
    answers = await asyncio.gather(*calls)
    await asyncio.gather(*silences)
    failed = [answer for answer in answers if answer.status != 200 or not answer.is_complete]
    assert not failed, (failed[0], logs_of(site))


# Requests were turned away when all prefill engines paused, though their callers would have waited.
@pytest.mark.parametrize("path", [NOTES, RESUMABLE], ids=["notes", "drafts"])
async def test_streams_are_served_after_a_silence_of_all_prefill_engines(new_site, path):
    site = await new_site(prefill_count=2, decode_count=2)
    await wait_for_initial_roles(site)
    for address in site.node_addresses:  # the usual time of a prefill is known
        assert (await site.caller.call(address, f"{path}0", tokens=(500, 80))).is_complete
    silences = [
        asyncio.ensure_future(engine.freeze(1.0))
        for engine in site.engines
        if engine.role == "prefill"
    ]
    await asyncio.sleep(0.05)
    answers = await asyncio.gather(
        *(
            site.caller.call(site.node_addresses[number % 2], f"{path}{number}", tokens=(500, 160))
            for number in range(4)
        )
    )
    await asyncio.gather(*silences)
    failed = [answer for answer in answers if answer.status != 200 or not answer.is_complete]
    assert not failed, (failed[0], logs_of(site))


# A node that stopped cut off a request that still waited, with neither an answer nor a refusal.
async def test_request_that_waits_until_the_end_of_a_planned_stop_is_refused(new_site):
    site = await new_site(prefill_count=2, decode_count=2, node_count=1)
    await wait_for_initial_roles(site)
    address, node = site.node_addresses[0], site.nodes[0]
    assert (await site.caller.call(address, f"{RESUMABLE}0", tokens=(500, 80))).is_complete
    node.send(signal.SIGTERM)
    await asyncio.sleep(1.0)
    silences = [
        asyncio.ensure_future(engine.freeze(1.0))
        for engine in site.engines
        if engine.role == "prefill"
    ]
    answer = await site.caller.call(address, f"{RESUMABLE}1", tokens=(500, 80))
    await asyncio.gather(*silences)
    assert answer.is_complete, (answer, logs_of(site))
    assert answer.status in (200, 503)


# Streams of a silent engine were ended for runs at an empty engine that was silent, too, and turned
# them away later.
@pytest.mark.parametrize("silent", ["one and an added one", "all"])
async def test_streams_go_on_if_the_engine_in_place_of_a_silent_one_is_silent_too(
    new_site, monkeypatch, silent
):
    monkeypatch.setattr(EngineStandIn, "kv_capacity_tokens", 60_000)
    monkeypatch.setattr(EngineStandIn, "s_per_event", 0.05)
    site = await new_site(node_count=2, decode_count=4)
    added = site.engines[-1]
    site.store.remove("servers", added.instance_id)
    site.configure(
        routes=[
            {**route, "latencyGoalMs": 500, "gapAimMs": 200} if route["canResume"] else route
            for route in site.configuration()["routes"]
        ]
    )
    await asyncio.sleep(1.0)
    streams = [
        asyncio.ensure_future(
            site.caller.call(
                site.node_addresses[number % 2], f"{RESUMABLE}{number}", tokens=(500, 480)
            )
        )
        for number in range(24)
    ]
    await asyncio.sleep(0.5)
    site.register(added)
    await asyncio.sleep(0.4)
    for node in site.nodes:
        node.send(signal.SIGHUP)
    engines = [site.engines[1], added] if silent != "all" else site.engines
    await asyncio.gather(*(engine.freeze(1.3) for engine in engines))
    answers = await asyncio.gather(*streams)
    broken = [answer for answer in answers if not answer.is_complete or len(answer.events) != 60]
    assert not broken, (len(broken), broken[0], logs_of(site))
