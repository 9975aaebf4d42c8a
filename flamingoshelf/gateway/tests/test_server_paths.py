"""Which way a call takes, and what failures of paths are taken for, with the clock paused."""

import asyncio
import random
from contextlib import asynccontextmanager
from typing import Any, cast

import attrs
import pytest

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.gateway import BackendCall, BackendClient
from flamingoshelf.gateway._backend_response import BackendResponse, NotRunError
from flamingoshelf.gateway._engine_failures import EngineFailures
from flamingoshelf.gateway._proxied_calls import PeerPassedError
from flamingoshelf.gateway._proxy_messages import ProxyFailureKind
from flamingoshelf.gateway.tests.conftest import server
from flamingoshelf.gateway.tests.fake_paths import FakePaths
from flamingoshelf.gateway.tests.fake_placer import FakePlacer
from flamingoshelf.http1 import (
    Headers,
    NoFreeConnectionError,
    RequestHead,
    ResponseHead,
    SlowConnectionError,
)
from flamingoshelf.paths import PathTable
from flamingoshelf.placement import FailureKind, Turn
from flamingoshelf.routing import EjectionRule, EngineRole, ServerSelector
from flamingoshelf.server_limits import StatedLimits
from flamingoshelf.utils import now_s

pytestmark = pytest.mark.looptime

REFUSED = PeerUnreachableError("refused", step="connect")
HEAD = RequestHead(method="POST", target="/r/1", headers=Headers([]))


class Wire:
    """Puts the time left into the head."""

    def encode_request(self, head, call, *, body_bytes):
        return attrs.evolve(HEAD, headers=Headers([("Left", f"{call.remaining_s:.2f}")]))


class Ways:
    """Stand-in for calls over the own path (None) and through nodes; each has an error or none."""

    def __init__(self):
        self.errors = {}
        self.open = set()
        self.sent = []
        self.connect_s = 0.0
        self.busy = {}
        self.waited = 0

    async def wait_for_connection(self, key, timeout_s):
        self.waited += 1
        await asyncio.sleep(timeout_s)

    def has_open_connection(self, key):
        return key in self.open

    def running(self, peer):
        return self.busy.get(peer, 0)

    @asynccontextmanager
    async def exchange(self, *arguments, request_id, fresh=False, on_sent=None):
        peer, instance, head, _ = arguments if len(arguments) == 4 else (None, *arguments)
        await asyncio.sleep(self.connect_s if peer is None else 0.0)
        self.sent.append((peer, head.headers.get("Left")))
        if peer in self.errors:
            raise self.errors[peer]
        yield BackendResponse(
            head=ResponseHead(status=200), is_signed=True, connection=cast(Any, Body())
        )


class Body:
    is_closed = False

    async def read(self):
        return b""


class Checks:
    """Stand-in for checks of paths, with a verdict after a time."""

    def __init__(self, table):
        self.table = table
        self.verdict = False
        self.after_s = 0.0
        self.asked = 0
        self.failed_peers = []

    async def is_cut(self, instance):
        self.asked += 1
        await asyncio.sleep(self.after_s)
        if self.verdict:
            self.table.mark_cut(instance, ["b", "c"], checked_s=0.0, keeps_connections=False)
        return self.verdict

    def record_peer_failure(self, instance, peer):
        self.failed_peers.append(peer)
        self.table.drop_peer(instance.key, peer)

    def record_silence(self, instance, *, since_s):
        pass


@pytest.fixture
def table():
    return PathTable()


@pytest.fixture
def ways():
    return Ways()


@pytest.fixture
def checks(table):
    return Checks(table)


@pytest.fixture
def backend_client(table, ways, checks):
    return BackendClient(
        direct=cast(Any, ways),
        proxied=cast(Any, ways),
        paths=cast(Any, checks),
        path_table=table,
        wire=cast(Any, Wire()),
        limits=StatedLimits(),
        random_source=random.Random(1),
    )


@pytest.fixture
def send(backend_client, new_request):
    async def run(**options):
        call = BackendCall(instance=server("x"), workspace="w", remaining_s=1.0)
        async with backend_client.send(new_request(), call, **options) as response:
            return response.head.status

    return run


def cut(table, *peers, keeps=False):
    table.mark_cut(server("x"), peers, checked_s=0.0, keeps_connections=keeps)


async def test_call_takes_the_own_path_while_it_works(send, ways, checks):
    assert await send() == 200
    assert ways.sent == [(None, "1.00")] and not checks.asked


# Callers were refused because this node could not connect to a server that others reached.
async def test_call_that_was_not_sent_goes_through_another_node(send, ways, checks):
    ways.errors[None] = REFUSED
    checks.verdict, ways.connect_s = True, 0.4
    assert await send() == 200
    assert await send() == 200
    assert [left for _, left in ways.sent] == ["1.00", "0.60", "1.00"]
    assert ways.sent[0][0] is None and {peer for peer, _ in ways.sent[1:]} <= {"b", "c"}


@pytest.mark.parametrize(("verdict", "after_s"), [(False, 0.0), (True, 0.3)])
async def test_caller_does_not_wait_long_for_the_check_of_a_path(
    send, ways, checks, verdict, after_s
):
    ways.errors[None] = REFUSED
    checks.verdict, checks.after_s = verdict, after_s
    began_s = now_s()
    with pytest.raises(PeerUnreachableError):
        await send()
    assert now_s() - began_s <= 0.06
    assert len(ways.sent) == 1


@pytest.mark.parametrize(
    "error",
    [
        OutcomeUnknownError("reset", step="head"),
        NotRunError("status 503", step="answer"),
        NoFreeConnectionError("all in use", step="connect"),
    ],
)
async def test_call_that_may_have_been_sent_is_not_passed_on(send, ways, checks, error):
    ways.errors[None] = error
    checks.verdict = True
    with pytest.raises(type(error)):
        await send()
    assert len(ways.sent) == 1 and not checks.asked


@pytest.mark.parametrize(
    ("keeps", "is_open", "peer"), [(True, True, None), (True, False, "b"), (False, True, "b")]
)
async def test_open_connections_are_used_while_they_carry_calls(
    send, ways, table, keeps, is_open, peer
):
    ways.open = {"x"} if is_open else set()
    cut(table, "b", keeps=keeps)
    assert await send() == 200
    assert ways.sent == [(peer, "1.00")]


async def test_calls_are_shared_among_the_nodes_that_reach_the_server(send, ways, table):
    cut(table, "b", "c")
    ways.busy = {"b": 2, "c": 1}
    await send()
    assert ways.sent == [("c", "1.00")]


async def test_call_that_a_node_could_not_make_is_offered_to_another_one(send, ways, table, checks):
    cut(table, "b", "c")
    ways.busy = {"c": 1}
    ways.errors["b"] = PeerPassedError("no path", step="proxy", peer="b")
    assert await send() == 200
    assert [peer for peer, _ in ways.sent] == ["b", "c"]
    assert checks.failed_peers == ["b"] and table.peers("x") == ("c",)


@pytest.mark.parametrize(
    ("reason", "error", "tries"),
    [
        (ProxyFailureKind.BUSY, NoFreeConnectionError, 2),
        (ProxyFailureKind.UNREACHABLE, PeerUnreachableError, 2),
        (ProxyFailureKind.LEAVING, NoFreeConnectionError, 1),
    ],
)
async def test_call_that_no_node_can_make_was_not_sent(send, ways, table, reason, error, tries):
    cut(table, "b", "c", "d")
    for peer in "bcd":
        ways.errors[peer] = PeerPassedError("no", step="proxy", peer=peer, reason=reason)
    with pytest.raises(error) as caught:
        await send()
    assert type(caught.value) is error
    assert len(ways.sent) == tries


# New connections were slow here, while other nodes had open ones.
@pytest.mark.parametrize("verdict", [True, False])
async def test_call_without_an_open_connection_goes_through_another_node(
    send, ways, checks, verdict
):
    ways.errors[None] = SlowConnectionError("slow", step="connect")
    checks.verdict = verdict
    if verdict:
        assert await send() == 200
        assert ways.sent[-1][0] in ("b", "c")
    else:
        with pytest.raises(SlowConnectionError):
            await send()
    assert checks.asked == 1


@pytest.mark.looptime
async def test_patient_call_waits_for_a_connection(send, ways):
    ways.errors[None] = SlowConnectionError("slow", step="connect")
    sending = asyncio.ensure_future(send(is_patient=True))
    await asyncio.sleep(0.45)
    del ways.errors[None]
    assert await sending == 200
    assert ways.waited == 5 and ways.sent[-1] == (None, "0.50")


# A call that waits for the server here would wait until its end, though others reach it.
@pytest.mark.looptime
async def test_patient_call_goes_through_another_node_once_the_path_is_found_cut(
    send, ways, checks
):
    ways.errors[None] = SlowConnectionError("slow", step="connect")
    sending = asyncio.ensure_future(send(is_patient=True))
    await asyncio.sleep(0.15)
    checks.verdict = True
    assert await sending == 200
    assert ways.waited == 2 and ways.sent[-1][0] in ("b", "c")


# Each call to a server that nobody reached waited for its timeouts.
async def test_server_that_no_node_reaches_is_not_called(send, ways, table):
    table.record_failure(server("x"), since_s=now_s())
    table.mark_lost(server("x"))
    began_s = now_s()
    with pytest.raises(PeerUnreachableError):
        await send()
    assert now_s() == began_s and not ways.sent


# Orders from another node would be those of another holder.
async def test_order_is_sent_from_this_node_only(backend_client, ways, table):
    cut(table, "b")
    arguments = (server("x"), HEAD, b"")
    status, _ = await backend_client.call(*arguments, step="report", timeout_s=1.0)
    assert status == 200 and ways.sent[-1][0] == "b"
    with pytest.raises(PeerUnreachableError):
        await backend_client.call(*arguments, step="order", timeout_s=1.0, is_order=True)
    assert len(ways.sent) == 1
    table.restore("x")
    await backend_client.call(*arguments, step="order", timeout_s=1.0, is_order=True)
    assert ways.sent[-1][0] is None


# What one node couldn't reach was marked down for all nodes.
@pytest.mark.parametrize("kind", [FailureKind.UNREACHABLE, FailureKind.BROKE_OFF])
@pytest.mark.parametrize("is_cut", [True, False])
async def test_failure_of_a_path_is_not_reported_as_one_of_the_engine(kind, is_cut):
    placer, paths = FakePlacer(), FakePaths()
    engine = server("d1", EngineRole.DECODE)
    paths.cut = {"d1"} if is_cut else set()
    failures = EngineFailures(placer=placer, paths=paths)
    turn = Turn(turn_id="t", service="s", prefill_id="d1", decode_id="d2")
    failures.report(engine, kind, detail="reset")
    failures.report_slow_prefill(engine, turn, seconds=2.0)
    await asyncio.sleep(0.1)
    assert bool(placer.failed) is not is_cut
    assert bool(placer.slow_prefills) is not is_cut
    failures.report(engine, FailureKind.REPLACED, detail="another server")
    assert placer.failed[-1][1] is FailureKind.REPLACED
    await failures.stop()


# A server was left out for up to a minute after its path had been replaced by another one.
async def test_failures_over_one_way_say_nothing_of_another(table):
    selector = ServerSelector(data_centre="a", rule=EjectionRule(), random_source=random.Random(1))
    table.subscribe(selector.forget)
    servers = [server("x"), server("y")]
    for _ in range(5):
        selector.start_call("x")
        selector.end_call("x", is_failure=True)
    assert selector.usable(servers) == [servers[1]]
    cut(table, "b")
    assert selector.usable(servers) == servers
