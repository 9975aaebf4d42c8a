"""Calls that one node makes for another, over real connections."""

import asyncio
import random
from contextlib import asynccontextmanager
from typing import Any, cast

import attrs
import pytest

from flamingoshelf.exceptions import OutcomeUnknownError
from flamingoshelf.gateway._backend_response import (
    NotRunError,
    ServerPausedError,
    WrongInstanceError,
)
from flamingoshelf.gateway._call_proxy import CallProxy
from flamingoshelf.gateway._direct_calls import DirectCalls
from flamingoshelf.gateway._engine_runs import EngineRuns
from flamingoshelf.gateway._proxied_calls import PeerPassedError, ProxiedCall, ProxiedCalls
from flamingoshelf.gateway._proxy_messages import ProxyFailureKind
from flamingoshelf.gateway.tests.conftest import COLD_BOUND, server
from flamingoshelf.gateway.tests.fake_origins import REPORT, may_ask
from flamingoshelf.gateway.tests.test_backend_client import Wire, response
from flamingoshelf.http1 import ConnectionPool, Headers, RequestHead
from flamingoshelf.nodes.tests.test_link import Links
from flamingoshelf.paths import PathService, PathTable, ProbeResult
from flamingoshelf.routing import ServerNotices
from flamingoshelf.server_limits import ColdServers, StatedLimits

STATED_START_MS = 100
DRAIN_S = 0.4
SIGNED = ("Answers: q1", "Seal: s")


class Served:
    """One backend server: answers each request with the next of some byte strings.

    A `None` among the parts of an answer breaks the connection there; a float is a pause.
    """

    def __init__(self):
        self.answers = []
        self.requests = []
        self.connections = 0
        self.left = asyncio.Event()
        self._listener: Any = None
        self.address = ""

    async def start(self):
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "{}:{}".format(*self._listener.sockets[0].getsockname())

    def stop(self):
        self._listener.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
                body = await reader.readexactly(length)
                self.requests.append(body)
                for part in self.answers.pop(0):
                    if part is None:
                        writer.transport.abort()
                    elif isinstance(part, float):
                        await asyncio.sleep(part)
                    else:
                        writer.write(part)
                        await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.left.set()
        finally:
            writer.close()


class Pair:
    """A node that reaches the server, and one that calls through it."""

    def __init__(self, address):
        self.instance = attrs.evolve(server("x"), address=address, started_ms=STATED_START_MS)
        self.notices = {name: ServerNotices(drain_s=lambda: DRAIN_S) for name in "ab"}
        self.limits = {
            name: StatedLimits(cold=ColdServers(bound=lambda service: COLD_BOUND)) for name in "ab"
        }
        self.table = PathTable()
        self.has_room = True
        self.reported_ms = STATED_START_MS
        self.links = Links()

    async def start(self):
        first, second = await self.links.start("a"), await self.links.start("b")
        self.proxied = ProxiedCalls(wire=Wire(), notices=self.notices["a"], limits=self.limits["a"])
        self.proxied.connect(first)
        self.pool = ConnectionPool(max_connections=lambda key: 4)
        paths = PathService(
            table=self.table,
            probe=self._probe,
            servers=tuple,
            has_open_connection=self.pool.has_idle,
            close_connections=self.pool.close_idle,
            random_source=random.Random(1),
        )
        direct = DirectCalls(
            pool=self.pool,
            wire=Wire(),
            notices=self.notices["b"],
            limits=self.limits["b"],
            paths=paths,
        )
        self.runs = EngineRuns(report=self._report, may_ask=may_ask)
        proxy = CallProxy(
            direct=direct,
            runs=self.runs,
            paths=self.table,
            notices=self.notices["b"],
            has_room=lambda key: self.has_room,
        )
        second.serve_channels(proxy.serve)
        self.second = second

    async def stop(self):
        await self.runs.stop()
        for link in self.links.running:
            await link.stop()
        await self.pool.stop()

    @asynccontextmanager
    async def call(self, body=b"body", **options):
        headers = Headers([("Host", "h"), ("Content-Length", str(len(body)))])
        head = RequestHead(method="POST", target="/r/1", headers=headers)
        options = {"request_id": "q1", **options}
        async with self.proxied.exchange("b", self.instance, head, body, **options) as answer:
            yield answer

    async def ask(self, **options):
        async with self.call(**options) as answer:
            return answer, await answer.read_all(limit=10_000_000)

    async def _probe(self, instance, is_fresh):
        return ProbeResult.HELD_BACK

    async def _report(self, engine):
        return attrs.evolve(REPORT, started_ms=self.reported_ms)


@pytest.fixture
async def served():
    served = Served()
    served.address = await served.start()
    yield served
    served.stop()


@pytest.fixture
async def pair(served):
    pair = Pair(served.address)
    await pair.start()
    yield pair
    await pair.stop()


def chunked(*parts, end=True):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nAnswers: q1\r\nSeal: s\r\n\r\n"
    chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
    return [head, *chunks, *([b"0\r\n\r\n"] if end else [])]


async def test_answer_arrives_as_the_server_gave_it(pair, served):
    second = response("Answers: q2", "Seal: s")
    served.answers = [[response(*SIGNED, "Extra: 1", status=404)], [second]]
    answer, body = await pair.ask()
    assert (answer.head.status, answer.is_signed, body) == (404, True, b"ok")
    assert answer.head.headers.get("Extra") == "1"
    await pair.ask(request_id="q2")
    assert served.requests == [b"body", b"body"]
    assert served.connections == 1 and pair.second.counters.strangers == 0


# The other node took a second copy of a refusal for the answer to the request sent again.
async def test_request_that_is_sent_again_goes_over_another_connection_of_the_other_node(
    pair, served
):
    refusal = response("Answers: q1", "Refused: 1", status=503)
    served.answers = [[refusal], [response(*SIGNED)]]
    with pytest.raises(NotRunError):
        await pair.ask()
    await pair.ask()
    assert served.connections == 2


async def test_large_bodies_pass_in_both_directions(pair, served):
    sent, received = random.Random(1).randbytes(3_000_000), random.Random(2).randbytes(3_000_000)
    served.answers = [[response(*SIGNED, body=received)]]
    _, body = await pair.ask(body=sent)
    assert served.requests == [sent] and body == received


async def test_events_arrive_one_by_one(pair, served):
    events = [b"id: %d\n\n" % number for number in range(5)]
    paused = [part for event in chunked(*events)[1:] for part in (event, 0.05)]
    served.answers = [[chunked()[0], *paused]]
    times = []
    async with pair.call() as answer:
        while part := await answer.read():
            times.append(asyncio.get_running_loop().time())
            assert part in events
    assert len(times) == 5 and times[-1] - times[0] >= 0.19


# A cut answer that passes another node must not look complete.
@pytest.mark.parametrize(
    "parts",
    [
        [*chunked(b"id: 1\n\n", end=False), None],
        [b"HTTP/1.1 200 OK\r\nAnswers: q1\r\nSeal: s\r\nContent-Length: 9\r\n\r\nok", None],
        [b"HTTP/1.1 200 OK\r\nAnswers: q1\r\nSeal: s\r\n", None],
        [None],
    ],
)
async def test_answer_that_breaks_off_is_not_complete(pair, served, parts):
    served.answers = [parts]
    with pytest.raises(OutcomeUnknownError):
        await pair.ask()


async def test_answer_is_not_complete_if_the_other_node_is_lost(pair, served):
    served.answers = [[*chunked(b"id: 1\n\n", end=False), 3600.0]]
    with pytest.raises(OutcomeUnknownError):
        async with pair.call() as answer:
            await answer.read()
            await pair.second.stop()
            await answer.read()


# A server went on working on a request whose caller had left the node that was cut off.
async def test_call_that_is_left_is_cancelled_at_the_server(pair, served):
    served.answers = [chunked(b"id: 1\n\n", end=False), [response(*SIGNED)]]
    async with pair.call() as answer:
        await answer.read()
    async with asyncio.timeout(0.5):
        await served.left.wait()
    assert (await pair.ask())[1] == b"ok"


async def test_slow_caller_holds_up_the_server(pair, served):
    chunk = b"x" * 100_000
    served.answers = [[chunked()[0], *chunked(*[chunk] * 300)[1:]]]
    async with pair.call() as answer:
        await answer.read()
        await asyncio.sleep(0.3)
        assert not served.left.is_set() and len(served.requests) == 1
        size = 0
        while part := await answer.read():
            size += len(part)
    assert size > 29_000_000


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        (response("Answers: q1", "Refused: 1", status=503), NotRunError),
        (response("Answers: q1", "Refused: 1", "Pause: 5", status=503), ServerPausedError),
        (response("Answers: q1", "Other: 1", status=421), WrongInstanceError),
        (response(*SIGNED, "Content-Encoding: gzip"), OutcomeUnknownError),
    ],
)
async def test_refusal_of_the_server_is_told_apart(pair, served, answer, error):
    served.answers = [[answer], [response(*SIGNED)]]
    with pytest.raises(error) as caught:
        await pair.ask()
    assert type(caught.value) is error


# A pause that a server asks one node for says nothing of the others.
async def test_pause_holds_for_the_node_that_made_the_call(pair, served):
    served.answers = [[response("Answers: q1", "Refused: 1", "Pause: 5", status=503)]]
    for was_sent in (True, False):
        with pytest.raises(ServerPausedError) as caught:
            await pair.ask()
        assert caught.value.was_sent is was_sent and caught.value.pause_s > 4.0
    assert len(served.requests) == 1
    assert pair.notices["b"].pause_s(pair.instance) > 4.0
    assert pair.notices["a"].pause_s(pair.instance) == 0.0


async def test_both_nodes_learn_that_a_server_leaves_and_of_its_limit(pair, served):
    served.answers = [[response(*SIGNED, "Leaves: 1", "Limit: 2.5")]]
    await pair.ask()
    for name in "ab":
        assert pair.notices[name].is_leaving(pair.instance)
        assert pair.limits[name].limit(pair.instance.run) == 2.5


async def test_both_nodes_learn_that_a_server_is_cold(pair, served):
    served.answers = [[response(*SIGNED, "Cold: 30")]]
    await pair.ask()
    assert [pair.limits[name].limit(pair.instance.run) for name in "ab"] == [2.0, 2.0]


# A request that went from node to node would never reach a server.
async def test_call_is_not_passed_on_by_a_node_that_is_cut_off_too(pair, served):
    pair.table.mark_cut(pair.instance, ["a"], checked_s=0.0, keeps_connections=False)
    with pytest.raises(PeerPassedError) as caught:
        await pair.ask()
    assert caught.value.reason is ProxyFailureKind.UNREACHABLE and not served.requests


async def test_node_without_room_passes_a_call_back(pair, served):
    pair.has_room = False
    with pytest.raises(PeerPassedError) as caught:
        await pair.ask()
    assert caught.value.reason is ProxyFailureKind.BUSY and not served.requests


# A node that knew that a server leaves passed requests on to it for nodes that didn't.
async def test_call_to_a_server_that_the_other_node_knows_to_leave_is_not_made(pair, served):
    served.answers = [[response(*SIGNED)], [response()]]
    pair.notices["b"].record_leaving(pair.instance.run, source="server")
    await pair.ask()  # it may be the only server for half of the drain time
    await asyncio.sleep(DRAIN_S / 2)
    with pytest.raises(PeerPassedError) as caught:
        await pair.ask()
    assert caught.value.reason is ProxyFailureKind.LEAVING
    assert pair.notices["a"].is_leaving(pair.instance)
    await pair.ask(request_id=None)  # such as the release of a handle
    assert len(served.requests) == 2


async def test_server_that_the_other_node_does_not_reach_gets_nothing(pair, served):
    served.stop()
    pair.instance = attrs.evolve(pair.instance, address="127.0.0.1:1")
    with pytest.raises(PeerPassedError):
        await pair.ask()
    await pair.second.stop()
    with pytest.raises(PeerPassedError):
        await pair.ask()


# A stream was bound to the version of the run that a node believed to call through another one.
@pytest.mark.parametrize("reported_ms", [STATED_START_MS, STATED_START_MS + 1])
async def test_other_node_confirms_the_run_of_its_own_connection(pair, served, reported_ms):
    pair.reported_ms = reported_ms
    served.answers = [[*chunked(b"id: 1\n\n", end=False), 0.1, b"0\r\n\r\n"], [response(*SIGNED)]]
    own_runs = EngineRuns(report=cast(Any, None), may_ask=may_ask)
    checks = []
    async with pair.call(
        on_sent=lambda call: checks.append(own_runs.check(pair.instance, call))
    ) as answer:
        assert await answer.read() == b"id: 1\n\n"
        assert await checks[0].is_confirmed() is (reported_ms == STATED_START_MS)
        assert await answer.read() == b""
    assert (await pair.ask())[1] == b"ok"
    await own_runs.stop()


# The reply to an earlier question must not count for the next call on the same channel.
async def test_call_that_ends_before_its_run_is_confirmed_ends_its_channel(pair, served):
    served.answers = [[response("Answers: q1", "Refused: 1", status=503)], [response(*SIGNED)]]
    own_runs = EngineRuns(report=cast(Any, None), may_ask=may_ask)
    checks = []
    with pytest.raises(NotRunError):
        async with pair.call(on_sent=lambda c: checks.append(own_runs.check(pair.instance, c))):
            pass
    assert not await checks[0].is_confirmed()
    assert (await pair.ask())[1] == b"ok"
    await own_runs.stop()


async def test_call_of_the_node_itself_needs_no_identifier(pair, served):
    served.answers = [[response()]]
    assert (await pair.ask(request_id=None))[1] == b"ok"
    assert not pair.proxied.running("b")


class EndlessChannel:
    """A channel on which a body arrives without end, faster than anybody takes it."""

    peer = "b"
    is_closed = False

    def __init__(self):
        self.received = 0

    async def send(self, message):
        await asyncio.sleep(0)

    async def receive(self):
        await asyncio.sleep(0)
        self.received += 16_384
        return bytes(16_384)


# A call whose run was being confirmed kept all that arrived meanwhile, however slow its caller was.
@pytest.mark.looptime
async def test_body_that_arrives_while_a_run_is_confirmed_is_kept_only_in_part():
    channel = EndlessChannel()
    call = ProxiedCall(channel=cast(Any, channel), instance=server("x"))
    confirming = asyncio.ensure_future(call.confirm_run())
    for _ in range(1000):
        await asyncio.sleep(0)
    assert channel.received <= 300_000
    taken = [await call.read() for _ in range(40)]  # a caller that reads goes on
    assert sum(len(part) for part in taken) == 40 * 16_384
    assert not await confirming
