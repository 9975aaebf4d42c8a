"""Whole nodes, and servers that state the requests per second that they take from all of them."""

import asyncio
import itertools

import pytest

from flamingoshelf.utils import now_s
from lab.gateway._checks import is_served
from lab.gateway._lost import Call
from lab.gateway._site import BOOKINGS, NOTES, RESUMABLE, STOCK
from lab.proxy import ProxyMode
from lab.tests.test_gateway_site import wait_for_initial_roles

pytestmark = [pytest.mark.processes, pytest.mark.timeout(60)]

OFFERED_PER_S = 14.0
TOLD_S = 0.5  # after the first answer with a limit
LIMITED_S = 10.0
MIN_USE = 0.9  # of what a server takes, while more is asked for
BACK_S = 1.0  # after the end of a limit
AT_ONCE_S = 0.6  # a refusal of what can't be served


class Load:
    """Calls at a steady rate, to all nodes in turn."""

    def __init__(self, site, paths, **call):
        self.site = site
        self.calls = []
        self._paths = itertools.cycle(paths)
        self._call_fields = call
        self._nodes = itertools.cycle(range(len(site.nodes)))
        self._numbers = itertools.count()
        self._tasks = set()

    async def _call(self, path):
        address = self.site.node_addresses[next(self._nodes)]
        sent_s = now_s()
        answer = await self.site.caller.call(
            address,
            f"{path}{next(self._numbers)}",
            method="GET" if path == STOCK else "POST",
            **self._call_fields,
        )
        self.calls.append(
            Call(
                path=path,
                service="",
                node=address,
                sent_s=sent_s,
                deadline_s=sent_s + 5.0,
                ended_s=now_s(),
                answer=answer,
            )
        )

    async def run(self, seconds, *, per_s=OFFERED_PER_S):
        """Send calls for some time."""
        until_s = now_s() + seconds
        while now_s() < until_s:
            task = asyncio.ensure_future(self._call(next(self._paths)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / per_s)

    async def end(self):
        """Wait for the answers."""
        await asyncio.gather(*self._tasks)

    def worst_windows(self, spans):
        """Return the most requests of each server in a window, those of untold nodes included."""
        return [
            span.worst_window([run.at_s for run in span.arrivals(self.site.log, after_s=TOLD_S)])
            for span in spans
        ]

    def sent_between(self, begin_s, end_s):
        return [call for call in self.calls if begin_s <= call.sent_s < end_s]


def check_limits(load, spans):
    """Check that limits were kept and used, and that the excess was refused at once."""
    uses = [round(span.use(load.site.log), 2) for span in spans]
    print("use of the limits:", uses)
    worst = load.worst_windows(spans)
    print("most requests in a window:", worst)
    assert all(count <= span.allowed for count, span in zip(worst, spans, strict=True))
    assert min(uses) >= MIN_USE
    refused = [call for call in load.calls if not is_served(call.answer)]
    assert {call.answer.status for call in refused} == {503}
    assert all(float(call.answer.headers.get("Retry-After")) > 0 for call in refused)
    assert not [call for call in refused if load.site.log.runs_of(call.answer.request_id)]


# Each of several nodes sent a server as much as it had said that it takes from all of them.
@pytest.mark.parametrize("node_count", [1, 3, 6])
async def test_limits_of_plain_servers_hold_for_all_nodes_together(new_site, node_count):
    site = await new_site(node_count=node_count)
    load = Load(site, [BOOKINGS, STOCK])
    await load.run(2.0)
    spans = [server.state_limit(2.0) for server in site.plain]
    await load.run(LIMITED_S)
    for server in site.plain:
        server.end_limit()
    await load.run(BACK_S + 2.0)
    await load.end()
    check_limits(load, spans)
    refused = [call for call in load.calls if not is_served(call.answer)]
    assert max(call.ended_s - call.sent_s for call in refused) < AT_ONCE_S
    back = load.sent_between(spans[0].end_s + BACK_S, float("inf"))
    assert len(back) > OFFERED_PER_S and all(is_served(call.answer) for call in back)


# A limited server got its share by running calls alone, although others had room.
async def test_servers_without_a_limit_take_the_rest(new_site):
    site = await new_site(node_count=3, plain_count=3)
    load = Load(site, [BOOKINGS, STOCK])
    await load.run(1.0)
    spans = [site.plain[0].state_limit(2.0), site.plain[1].state_limit(0.0)]
    await load.run(LIMITED_S)
    await load.end()
    worst = load.worst_windows(spans)
    print("most requests in a window:", worst)
    assert all(count <= span.allowed for count, span in zip(worst, spans, strict=True))
    assert spans[0].use(site.log) >= MIN_USE
    assert all(is_served(call.answer) for call in load.calls)


# Turns were granted at engines that had said that they take fewer requests.
@pytest.mark.parametrize(("role", "per_s"), [("decode", 1.0), ("prefill", 2.0)])
async def test_limits_of_engines_hold_for_all_nodes_together(new_site, role, per_s):
    site = await new_site(node_count=3, prefill_count=2, decode_count=2)
    await wait_for_initial_roles(site)
    load = Load(site, [NOTES, RESUMABLE], tokens=(100, 80), deadline_ms=3000)
    await load.run(3.0)  # after which the speeds of the engines are measured
    engines = [engine for engine in site.engines if engine.role == role]
    spans = [engine.state_limit(per_s) for engine in engines]
    await load.run(LIMITED_S)
    for engine in engines:
        engine.end_limit()
    await load.run(BACK_S + 2.0)
    await load.end()
    kept = [s for s, engine in zip(spans, engines, strict=True) if engine.role == role]
    check_limits(load, kept)
    back = load.sent_between(spans[0].end_s + BACK_S, float("inf"))
    assert len(back) > OFFERED_PER_S and all(is_served(call.answer) for call in back)


# Each node that took over the permits gave out those of a whole limit again.
@pytest.mark.parametrize("fault", ["kill", "cut"])
async def test_limits_hold_while_each_node_fails_in_turn(new_site, fault):
    site = await new_site(node_count=3)
    load = Load(site, [BOOKINGS, STOCK])
    await load.run(1.0)
    spans = [server.state_limit(2.0) for server in site.plain]
    running = asyncio.ensure_future(load.run(15.0))
    for node, proxy in zip(site.nodes, site.peer_proxies, strict=True):
        await asyncio.sleep(2.5)
        if fault == "kill":
            node.kill()
            await asyncio.sleep(0.5)
            node.start()
        else:
            proxy.mode = ProxyMode.STALL
            await asyncio.sleep(1.5)
            proxy.mode = ProxyMode.PASS
            proxy.reset_connections()
    await running
    for server in site.plain:
        server.end_limit()
    await load.run(BACK_S + 2.0)
    await load.end()
    worst = load.worst_windows(spans)
    print("most requests in a window:", worst, [span.use(site.log) for span in spans])
    assert all(count <= span.allowed for count, span in zip(worst, spans, strict=True))
    assert all(span.use(site.log) > 0.5 for span in spans)
    back = load.sent_between(spans[0].end_s + BACK_S, float("inf"))
    assert len(back) > OFFERED_PER_S and all(is_served(call.answer) for call in back)
