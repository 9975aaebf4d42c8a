"""Plain service client against servers that fail at each step of a call."""

import asyncio

import pytest

from flamingoshelf.backends import PlainCall, PlainServiceClient
from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.utils import Pacer

REPLY = b"HTTP/1.1 201 Created\r\nContent-Length: 2\r\nConnection: keep-alive\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"


class RawServer:
    """Server that fails at `step` or answers with `reply`, and records the requests."""

    def __init__(self, step, reply=b""):
        self.step = step
        self.reply = reply
        self.requests = []
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        if self.step == "cut after accept":
            writer.transport.abort()
            return
        while head := await self.read_head(reader):
            self.requests.append(head)
            if self.step == "cut after head":
                break
            if self.step == "hang":
                await asyncio.sleep(5)
            writer.write(self.reply)
            if self.step == "cut in reply":
                break
            await writer.drain()
        writer.close()

    async def read_head(self, reader):
        try:
            return await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return b""


@pytest.fixture
async def start_server():
    started = []

    async def start(step, reply=b""):
        server = RawServer(step, reply)
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        started.append(listener)
        host, port = listener.sockets[0].getsockname()
        return server, f"{host}:{port}"

    yield start
    for listener in started:
        listener.close()


@pytest.fixture
async def client():
    client = PlainServiceClient(max_reply_bytes=100)
    yield client
    await client.close()


def call_of(method, body=b"", target="/bookings/van-7"):
    return PlainCall(method=method, target=target, headers=[("X-Day", "3")], body=body)


FAULTS = [
    ("cut after accept", b""),
    ("cut after head", b""),
    ("cut in reply", b"HTTP/1.1 201 Created\r\nContent-Length: 9\r\n\r\nhalf"),
    ("cut in reply", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf"),
    ("hang", b""),
    ("answer", b"HTTP/1.1 201 Created\r\nContent-Length: 101\r\n\r\n" + b"x" * 101),
    ("answer", b"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n" + REPLY),
    ("answer", b"HTTP/1.1 200 OK\r\n\r\nbody until the connection closes"),
    ("answer", b"not HTTP at all\r\n\r\n"),
]


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "GET"])
@pytest.mark.parametrize(("step", "reply"), FAULTS)
async def test_fault_leaves_the_outcome_unknown_and_sends_once(
    start_server, client, method, step, reply
):
    server, address = await start_server(step, reply)
    with pytest.raises(OutcomeUnknownError) as caught:
        await client.call(address, call_of(method), timeout_s=0.3)
    assert caught.value.step == "call"
    assert caught.value.peer == address
    assert server.connections == 1
    assert len(server.requests) <= 1


async def test_refused_connection_proves_that_nothing_was_sent(start_server, client):
    with pytest.raises(PeerUnreachableError):
        await client.call("127.0.0.1:1", call_of("POST"), timeout_s=1)


@pytest.mark.parametrize("method", ["PUT", "DELETE", "GET"])
async def test_a_connection_is_never_used_twice(start_server, client, method):
    server, address = await start_server("answer", REPLY)
    await client.call(address, call_of(method), timeout_s=5)
    server.step = "cut after head"
    with pytest.raises(OutcomeUnknownError):
        await client.call(address, call_of(method), timeout_s=5)
    assert server.connections == 2
    assert len(server.requests) == 2


async def test_redirects_are_passed_on(start_server, client):
    redirect = b"HTTP/1.1 307 Moved\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n"
    server, address = await start_server("answer", redirect)
    reply = await client.call(address, call_of("POST", b"{}"), timeout_s=5)
    assert reply.status == 307
    assert len(server.requests) == 1


# A status outside the range of HTTP was passed on to callers.
@pytest.mark.parametrize("status", [b"000", b"600", b"999"])
async def test_status_outside_the_range_of_http_is_no_reply(start_server, client, status):
    _, address = await start_server("whole", REPLY.replace(b"201", status))
    with pytest.raises(OutcomeUnknownError):
        await client.call(address, call_of("POST"), timeout_s=1.0)


@pytest.mark.parametrize("raw", [REPLY, CHUNKED])
async def test_whole_reply(start_server, client, raw):
    server, address = await start_server("answer", raw)
    reply = await client.call(address, call_of("POST"), timeout_s=5)
    assert reply.body == b"ok"
    assert server.requests[0].startswith(b"POST /bookings/van-7 HTTP/1.1\r\n")


async def test_second_answer_reaches_no_other_call(start_server, client):
    late = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"
    server, address = await start_server("answer", REPLY + late)
    for _ in range(3):
        reply = await client.call(address, call_of("POST"), timeout_s=5)
        assert (reply.status, reply.body) == (201, b"ok")
    assert server.connections == 3


# Chunks that had arrived were read at once, and nothing else was done meanwhile.
async def test_small_chunks_are_read_in_several_turns(client, start_server):
    turns = []

    class CountingPacer(Pacer):
        async def turn(self):
            turns.append(1)
            await super().turn()

    client._pacer = CountingPacer()
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    _, address = await start_server("answer", head + b"1\r\nx\r\n" * 96 + b"0\r\n\r\n")
    reply = await client.call(address, call_of("GET"), timeout_s=2.0)
    assert reply.body == b"x" * 96 and len(turns) == 3
