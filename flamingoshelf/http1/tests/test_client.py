"""Connections to backend servers: framing, failures and reuse."""

import asyncio

import pytest

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.http1 import BackendConnection, Headers, RequestHead, _client
from flamingoshelf.http1.tests.conftest import FakeTransport, run_pending_callbacks

pytestmark = pytest.mark.looptime

GET = RequestHead(method="GET", target="/a", headers=Headers([("Host", "h")]))
ANSWER = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nok"


def post(body):
    headers = Headers([("Host", "h"), ("Content-Length", str(len(body)))])
    return RequestHead(method="POST", target="/a", headers=headers)


class Connection(BackendConnection):
    """A connection over a fake transport; the test acts as the backend server."""

    def __init__(self):
        super().__init__(address="10.0.0.1:80")
        self.transport = FakeTransport(self)


@pytest.fixture
async def connection():
    connection = Connection()
    yield connection
    connection.close()


async def read_all(connection):
    parts = []
    while part := await connection.read():
        parts.append(part)
    return b"".join(parts)


async def exchange(connection, answer):
    connection.send(GET, b"")
    connection.data_received(answer)
    head = await connection.read_head()
    return head, await read_all(connection)


async def test_request_is_written_as_it_is(connection):
    connection.send(post(b"abc"), b"abc")
    assert connection.transport.pop_written() == (
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
    )


@pytest.mark.parametrize(
    "answer",
    [
        ANSWER,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\n\r\n" + ANSWER,
    ],
    ids=["length", "chunks", "interim"],
)
async def test_complete_answer_leaves_the_connection_reusable(connection, answer):
    head, body = await exchange(connection, answer)
    connection.finish()
    assert (head.status, body) == (200, b"ok")
    assert connection.is_reusable
    head, body = await exchange(connection, ANSWER)
    assert body == b"ok"


async def test_answer_without_a_length_ends_with_the_connection(connection):
    connection.send(GET, b"")
    connection.data_received(b"HTTP/1.1 200 OK\r\n\r\nok")
    connection.eof_received()
    assert (await connection.read_head()).status == 200
    assert await read_all(connection) == b"ok"
    connection.finish()
    assert not connection.is_reusable


TRUNCATED_ANSWERS = {
    "nothing": b"",
    "half a head": b"HTTP/1.1 200 OK\r\nConte",
    "half a body": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
    "half the chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
    "no length": b"HTTP/1.1 200 OK\r\n\r\nok",
    "not HTTP": b"ok then\r\n\r\n",
}


@pytest.mark.parametrize("name", TRUNCATED_ANSWERS)
async def test_truncated_answer_is_never_reported_as_complete(connection, name):
    connection.send(GET, b"")
    connection.data_received(TRUNCATED_ANSWERS[name])
    connection.connection_lost(ConnectionResetError())
    with pytest.raises(OutcomeUnknownError):
        await connection.read_head()
        await read_all(connection)
    connection.finish()
    assert not connection.is_reusable


@pytest.mark.parametrize("name", ["half a body", "half the chunks", "half a head"])
async def test_answer_that_ends_before_its_length_is_not_complete(connection, name):
    connection.send(GET, b"")
    connection.data_received(TRUNCATED_ANSWERS[name])
    connection.eof_received()
    with pytest.raises(OutcomeUnknownError, match="closed the connection before"):
        await connection.read_head()
        await read_all(connection)


@pytest.mark.parametrize("surplus", [b"x", ANSWER], ids=["a byte", "a second answer"])
async def test_surplus_after_an_answer_is_discarded(connection, surplus):
    _, body = await exchange(connection, ANSWER + surplus)
    connection.finish()
    assert body == b"ok"
    assert not connection.is_reusable
    with pytest.raises(PeerUnreachableError):
        connection.send(GET, b"")


async def test_late_second_answer_closes_an_idle_connection(connection):
    await exchange(connection, ANSWER)
    connection.finish()
    connection.data_received(ANSWER)
    assert not connection.is_reusable
    assert connection.transport.is_aborted


@pytest.mark.parametrize("body", [b"", b"abc"], ids=["no body", "body"])
async def test_late_answer_to_an_earlier_request_is_skipped(connection, body):
    connection.send(post(body) if body else GET, body)
    connection.data_received(ANSWER + ANSWER.replace(b"Id: 1", b"Id: 2").replace(b"ok", b"me"))
    assert (await connection.read_head()).headers.get("Request-Id") == "1"
    await connection.skip_response()
    assert (await connection.read_head()).headers.get("Request-Id") == "2"
    assert await read_all(connection) == b"me"
    connection.finish()
    assert connection.is_reusable


async def test_answer_before_the_request_is_written_ends_the_connection(connection):
    connection.send(post(b"abc"), b"abc")
    connection.pause_writing()
    connection.data_received(ANSWER)
    assert (await connection.read_head()).status == 200
    await read_all(connection)
    connection.finish()
    assert not connection.is_reusable


async def test_closing_answer_ends_the_connection(connection):
    await exchange(connection, ANSWER.replace(b"Request-Id: 1", b"Connection: close"))
    connection.finish()
    assert not connection.is_reusable


# The reader of a head ended in an error, and with it the connection, in the middle of the answer.
@pytest.mark.parametrize("value", [b"9" * 5000, b"\xb2", b"-1", b"x"])
async def test_odd_time_to_keep_the_connection_is_ignored(connection, value):
    answer = ANSWER.replace(b"Request-Id: 1", b"Keep-Alive: timeout=" + value)
    assert (await exchange(connection, answer))[1] == b"ok"
    connection.finish()
    assert connection.is_reusable


async def test_connection_is_not_used_when_the_server_may_close_it(connection):
    await exchange(connection, ANSWER.replace(b"Request-Id: 1", b"Keep-Alive: timeout=5"))
    connection.finish()
    assert connection.is_reusable
    await asyncio.sleep(4.6)
    assert not connection.is_reusable


async def test_finishing_before_the_answer_is_complete_aborts_the_connection(connection):
    connection.send(GET, b"")
    connection.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
    await connection.read_head()
    connection.finish()
    assert connection.transport.is_aborted


async def test_reading_from_a_fast_server_is_paused(connection):
    connection.send(GET, b"")
    size = 1_000_000
    connection.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
    connection.data_received(bytes(size))
    assert connection.transport.is_paused
    await connection.read_head()
    assert len(await read_all(connection)) == size
    assert not connection.transport.is_paused


async def test_waiting_reader_is_woken_by_the_end_of_the_connection(connection):
    connection.send(GET, b"")
    reader = asyncio.ensure_future(connection.read_head())
    await run_pending_callbacks()
    connection.connection_lost(None)
    with pytest.raises(OutcomeUnknownError):
        await reader


# A connection that carries an id twice can't tell the answers to the two requests apart.
async def test_connection_carries_no_request_twice(connection):
    connection.send(GET, b"", request_id="1")
    connection.data_received(ANSWER)
    await connection.read_head()
    assert await read_all(connection) == b"ok"
    connection.finish()
    assert connection.has_carried("1") and not connection.has_carried("2")
    with pytest.raises(PeerUnreachableError):
        connection.send(GET, b"", request_id="1")
    assert connection.is_reusable and connection.transport.pop_written().count(b"GET") == 1


async def test_ids_that_a_connection_remembers_are_bounded(connection, monkeypatch):
    monkeypatch.setattr(_client, "_MAX_CARRIED_IDS", 3)
    for number in range(3):
        assert connection.is_reusable
        connection.send(GET, b"", request_id=str(number))
        connection.data_received(ANSWER)
        await connection.read_head()
        await read_all(connection)
        connection.finish()
    assert not connection.is_reusable
