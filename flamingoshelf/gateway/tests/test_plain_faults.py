"""Plain calls to servers that fall silent, with their connections open, or fail in other ways."""

import asyncio
import random
from collections import Counter
from contextlib import asynccontextmanager

import attrs
import looptime
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flamingoshelf.cluster import MemberList
from flamingoshelf.gateway import (
    ActiveConfiguration,
    AdmittedRequest,
    CallerRequest,
    PlainForwarder,
    TargetSelector,
)
from flamingoshelf.gateway.tests.conftest import (
    Answer,
    FakeClient,
    FakeCrashDetector,
    FakeOutput,
    FakeResponse,
    lost,
    not_run,
    refused,
    route,
    server,
)
from flamingoshelf.gateway.tests.fake_paths import FakePaths
from flamingoshelf.http1 import Exchange, Headers, NoFreeConnectionError, RequestHead
from flamingoshelf.placement import PlainCallMeter
from flamingoshelf.refusals import RefusalReason
from flamingoshelf.retries import RetryBounds, RetryBudget
from flamingoshelf.routing import (
    CallKind,
    EjectionRule,
    GatewayConfiguration,
    InstanceDirectory,
    ServerNotices,
    ServerSelector,
)
from flamingoshelf.server_limits import LimitService
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import now_s

WORK_S = 0.01
CALL_INTERVAL_S = 0.005
GOAL_S = 0.1


class SilentServers:
    """Servers that answer after `WORK_S`, but not while they are silent.

    `silences` holds start and end of each server's silence by its key, `max_connections` how many
    calls run at a server at a time.
    """

    def __init__(self, *, max_connections=100, **silences):
        self.silences = silences
        self.max_connections = max_connections
        self.calls = []  # server and time of each call
        self.running: Counter[str] = Counter()

    @asynccontextmanager
    async def send(self, request, call, *, progress, is_patient=False):
        key = call.instance.key
        if self.running[key] >= self.max_connections:
            raise NoFreeConnectionError("all connections are in use", step="connect", peer=key)
        self.calls.append((key, now_s()))
        progress.may_have_arrived = True
        self.running[key] += 1
        try:
            await asyncio.sleep(WORK_S)
            start_s, end_s = self.silences.get(key, (0.0, 0.0))
            if start_s <= now_s() < end_s:
                await asyncio.sleep(end_s - now_s())
            yield FakeResponse(Answer(), [b"ok"])
        finally:
            self.running[key] -= 1

    def share_of(self, key, start_s, end_s):
        """Return the share of the calls in a time window that went to one server."""
        servers = [called for called, called_s in self.calls if start_s <= called_s < end_s]
        return servers.count(key) / len(servers)


def make_forwarder(client, targets, crash_detector, metrics, *, reserve=10.0):
    budget = RetryBudget(node_count=lambda: 1, bounds=RetryBounds(fleet_reserve=reserve))
    selector = ServerSelector(data_centre="a", rule=EjectionRule(), random_source=random.Random(1))
    return PlainForwarder(
        client=client,
        targets=targets,
        selector=selector,
        limits=LimitService(node_name="n", incarnation="1", members=MemberList()),
        budget=lambda service: budget,
        plain_calls=PlainCallMeter(),
        crash_detector=crash_detector,
        paths=FakePaths(),
        metrics=metrics,
    )


@pytest.fixture
def run_load(targets, crash_detector, metrics, new_request, new_exchange, list_servers):
    """Send a call every `CALL_INTERVAL_S`; return the time and the wait of each, and its body."""

    async def call(forwarder, kind):
        request = new_request(kind, timeout_s=1.5, latency_goal_s=GOAL_S)
        exchange, output = new_exchange(request)
        started_s = now_s()
        await forwarder.forward(exchange, request)
        return started_s, now_s() - started_s, output.body

    async def run(client, *, seconds, kinds, far=""):
        list_servers(*(server(n, data_centre="far" if n in far else "a") for n in "abc"))
        forwarder = make_forwarder(client, targets, crash_detector, metrics)
        tasks = []
        for number in range(round(seconds / CALL_INTERVAL_S)):
            tasks.append(asyncio.create_task(call(forwarder, kinds[number % len(kinds)])))
            await asyncio.sleep(CALL_INTERVAL_S)
        return await asyncio.gather(*tasks)

    return run


KINDS = [
    [CallKind.IDEMPOTENT],
    [CallKind.NON_IDEMPOTENT],
    [CallKind.IDEMPOTENT, CallKind.NON_IDEMPOTENT],
]


@pytest.mark.looptime
@pytest.mark.parametrize("kinds", KINDS)
async def test_server_silent_for_a_second_is_used_again_soon(run_load, kinds):
    """Guards against seconds without a sound server, and against calls lost to its silence."""
    servers = SilentServers(a=(1.0, 2.0))
    answers = await run_load(servers, seconds=4.0, kinds=kinds)
    assert all(body == b"ok" for _, _, body in answers)
    assert servers.share_of("a", 2.5, 4.0) > 0.2


@pytest.mark.looptime
async def test_silent_server_without_a_free_connection_is_used_again_soon(run_load):
    """Guards against this node's own limit of connections that is taken for a server's failure."""
    servers = SilentServers(a=(1.0, 2.0), max_connections=3)
    answers = await run_load(servers, seconds=4.0, kinds=[CallKind.IDEMPOTENT], far="bc")
    assert all(body == b"ok" for _, _, body in answers)
    assert servers.share_of("a", 2.5, 4.0) > 0.5


@pytest.mark.looptime
async def test_refusal_for_lack_of_connections_says_so(
    targets, crash_detector, metrics, new_request, new_exchange, list_servers
):
    """Guards against a refusal that blames servers for this node's own limit."""
    list_servers(server("a"))
    servers = SilentServers(max_connections=0)
    request = new_request(CallKind.NON_IDEMPOTENT)
    exchange, _ = new_exchange(request)
    refusal = await make_forwarder(servers, targets, crash_detector, metrics).forward(
        exchange, request
    )
    assert (refusal.status, refusal.not_run) == (503, True)
    assert refusal.reason is RefusalReason.QUEUE_FULL and "connections" in refusal.detail


@pytest.mark.looptime
@pytest.mark.parametrize("kinds", KINDS)
async def test_silent_server_delays_few_callers(run_load, kinds):
    """Guards against a wait for a silent server in each call during the whole outage."""
    servers = SilentServers(a=(1.0, 31.0))
    answers = await run_load(servers, seconds=30.0, kinds=kinds)
    waits = [wait_s for started_s, wait_s, _ in answers if started_s >= 1.0 + GOAL_S]
    assert sum(wait_s > 0.9 * GOAL_S for wait_s in waits) < 0.01 * len(waits)


TIMEOUT_S = 0.6
LARGE_BYTES = 300_000  # more than the forwarder buffers


class TimedClient(FakeClient):
    """Fake servers with the time of each call."""

    def __init__(self):
        super().__init__()
        self.started_s = {}

    def send(self, request, call, *, fresh=False, on_sent=None, progress=None, is_patient=False):
        assert call.instance.key not in self.started_s, "a server is called twice"
        self.started_s[call.instance.key] = now_s()
        return super().send(request, call, progress=progress)


@attrs.frozen(kw_only=True)
class Case:
    """Servers with what they do, and the request.

    Attributes
    ----------
    servers : tuple
        Pair of outcome and delay in seconds of each server.
    leaves_s : float or None
        Time at which the caller leaves, or None if it stays.
    """

    servers: tuple
    kind: CallKind
    max_attempts: int
    has_budget: bool
    leaves_s: float | None

    def answer(self, key):
        outcome, delay_s = self.servers["abc".index(key)]
        body = key.encode()
        return {
            "good": Answer(body=body),
            "large": Answer(body=[body * LARGE_BYTES, body]),
            "failure": Answer(status=503, body=body),
            "large failure": Answer(status=500, body=[body * LARGE_BYTES, body]),
            "lost": lost(),
            "refused": refused(),
            "not run": not_run(),
        }[outcome], delay_s

    def outcome(self, key):
        return self.servers["abc".index(key)][0]


OUTCOMES = ["good", "good", "large", "failure", "large failure", "lost", "refused", "not run"]
DELAYS_S = st.one_of(
    st.just(0.01), st.just(60.0), st.integers(0, 70).map(lambda n: n / 100 + 0.003)
)
CASES = st.builds(
    Case,
    servers=st.lists(st.tuples(st.sampled_from(OUTCOMES), DELAYS_S), min_size=1, max_size=3).map(
        tuple
    ),
    kind=st.sampled_from([CallKind.IDEMPOTENT, CallKind.IDEMPOTENT, CallKind.NON_IDEMPOTENT]),
    max_attempts=st.integers(1, 3),
    has_budget=st.sampled_from([True, True, False]),
    leaves_s=st.sampled_from([None, None, None, 0.05, 0.25, 0.45]),
)


async def play(case):
    """Forward one request; return the client, the selector, what the caller got and when."""
    keys = "abc"[: len(case.servers)]
    client = TimedClient()
    for key in keys:
        answer, delay_s = case.answer(key)
        client.queue_answers(key, attrs.evolve(answer, after_s=delay_s))
    chosen = route(case.kind, max_attempts=case.max_attempts, timeout_s=TIMEOUT_S)
    active = ActiveConfiguration()
    active.adopt(GatewayConfiguration(version=1, routes=(chosen,), services={}, workspaces={}))
    notices = ServerNotices(drain_s=lambda: 2.0)
    directory = InstanceDirectory(notices=notices)
    directory.replace({key: server(key) for key in keys}, 1)
    targets = TargetSelector(
        configuration=active, directory=directory, random_source=random.Random(1), notices=notices
    )
    forwarder = make_forwarder(client, targets, FakeCrashDetector(), Metrics(node_name="n"))
    while not case.has_budget and forwarder._budget("s").try_spend():
        pass
    head = RequestHead(method="POST", target="/r/1", headers=Headers([("Host", "h")]))
    request = AdmittedRequest(
        head=head,
        caller=CallerRequest(request_id="q1"),
        route=chosen,
        workspace=None,
        configuration_version=active.version,
        deadline_s=now_s() + TIMEOUT_S,
        arrived_s=now_s(),
        body=b"body",
    )
    output = FakeOutput()
    exchange = Exchange(head=head, output=output, arrived_s=now_s())
    task = asyncio.create_task(forwarder.forward(exchange, request))
    await asyncio.wait([task], timeout=case.leaves_s)
    has_left = task.cancel()
    await asyncio.wait([task])
    assert asyncio.all_tasks() == {asyncio.current_task()}, "a call goes on"
    assert all(record.running == 0 for record in forwarder._selector._records.values())
    return client, output, None if has_left else task.result(), now_s(), has_left


@settings(derandomize=True, deadline=None, max_examples=600)
@given(case=CASES)
def test_caller_gets_the_first_good_answer_of_any_called_server(case):
    """Guards against answers given up for a silence, and against calls beyond the allowed ones."""
    loop = looptime.new_event_loop(start=0)
    try:
        client, output, refusal, end_s, has_left = loop.run_until_complete(play(case))
    finally:
        loop.close()
    called = client.called_servers()
    ran = [key for key in called if case.outcome(key) not in ("refused", "not run")]
    assert len(ran) <= (case.max_attempts if case.kind is CallKind.IDEMPOTENT else 1)
    if has_left:
        return
    done_s = {key: client.started_s[key] + case.answer(key)[1] for key in called}
    good = [k for k in called if case.outcome(k) in ("good", "large") and done_s[k] < TIMEOUT_S]
    if good:
        first = min(good, key=lambda key: done_s[key])
        size = LARGE_BYTES + 1 if case.outcome(first) == "large" else 1
        assert output.is_complete and output.head.status == 200
        assert output.body == first.encode() * size
        assert end_s == pytest.approx(done_s[first], abs=0.001)
        return
    assert all(done_s[key] <= end_s + 0.001 for key in called) or end_s >= TIMEOUT_S - 0.001
    if any("failure" in case.outcome(key) and done_s[key] < TIMEOUT_S for key in called):
        assert refusal is None and output.head.status in (500, 503)
    else:
        assert refusal is not None and output.head is None
        assert not (refusal.not_run and ran)
