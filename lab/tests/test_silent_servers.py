"""Whole nodes, and servers that fall silent for a moment and go on where they were."""

import asyncio

import pytest

from lab.tests.test_gateway_site import wait_until

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
