"""Bytes behind a response, and the memory that responses take while nobody reads them."""

import asyncio

import pytest

from flamingoshelf.exceptions import OutcomeUnknownError
from flamingoshelf.http1 import BackendConnection, BufferBudget, _client
from flamingoshelf.http1.tests.conftest import FakeTransport, run_pending_callbacks
from flamingoshelf.http1.tests.test_client import ANSWER, GET, read_all

pytestmark = pytest.mark.looptime

BODY = b"id: 1\n\n" * 1000
LONG = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY
PIECE = bytes(16 * 1024)
MAX_PIECES = 8


def connect(budget=None):
    connection = BackendConnection(address="10.0.0.1:80", budget=budget)
    return connection, FakeTransport(connection)


def feed_until_paused(connection, transport):
    """Send bytes without end, as long as the connection reads; return the number of pieces."""
    for number in range(MAX_PIECES):
        if transport.is_paused or transport.is_aborted:
            return number
        connection.data_received(PIECE)
    return MAX_PIECES


# A node took in all that a server sent behind a whole answer, and was killed for its memory.
@pytest.mark.parametrize("is_accepted", [False, True])
async def test_bytes_without_end_behind_a_response_are_not_taken_in(is_accepted):
    connection, transport = connect()
    connection.send(GET, b"")
    connection.data_received(LONG)
    head = await connection.read_head()
    if is_accepted:
        connection.accept_response()
    assert feed_until_paused(connection, transport) <= 1
    assert (head.status, await read_all(connection)) == (200, BODY)
    assert transport.is_aborted == is_accepted
    connection.finish()
    await run_pending_callbacks()
    assert transport.is_aborted and not connection.is_reusable


async def test_bytes_that_arrive_with_the_end_of_an_accepted_response_close_the_connection():
    connection, transport = connect()
    connection.send(GET, b"")
    connection.data_received(LONG[:100])
    await connection.read_head()
    connection.accept_response()
    connection.data_received(LONG[100:] + b"x")
    assert transport.is_aborted
    assert await read_all(connection) == BODY


@pytest.mark.parametrize("split", [1, 20, len(ANSWER) - 1])
async def test_response_behind_a_late_one_is_read_although_reading_has_paused(split):
    connection, transport = connect()
    connection.send(GET, b"")
    connection.data_received(LONG + ANSWER[:split])
    await connection.read_head()
    assert transport.is_paused
    await connection.skip_response()
    assert not transport.is_paused
    connection.data_received(ANSWER[split:])
    await connection.read_head()
    connection.accept_response()
    assert await read_all(connection) == b"ok"
    connection.finish()
    assert connection.is_reusable


async def test_late_response_without_end_is_given_up():
    connection, transport = connect()
    connection.send(GET, b"")
    connection.data_received(b"HTTP/1.1 200 OK\r\n\r\n")
    await connection.read_head()
    skipping = asyncio.ensure_future(connection.skip_response())
    for _ in range(2 * _client._MAX_SKIPPED_BYTES // len(PIECE)):
        connection.data_received(PIECE)
        await run_pending_callbacks()
    with pytest.raises(OutcomeUnknownError, match="late response"):
        await skipping
    assert transport.is_aborted


# Bounded by connection alone, the servers of a large fleet could together fill a node's memory.
async def test_connections_together_read_no_further_ahead_than_their_budget():
    budget = BufferBudget(max_bytes=4 * len(PIECE))
    pairs = [connect(budget) for _ in range(20)]
    for connection, transport in pairs:
        connection.send(GET, b"")
        connection.data_received(b"HTTP/1.1 200 OK\r\n\r\n")
        await connection.read_head()
        feed_until_paused(connection, transport)
    assert budget.held_bytes <= (4 + len(pairs)) * len(PIECE)
    for connection, transport in pairs:  # each goes on as soon as its own bytes were taken
        while transport.is_paused:
            await connection.read()
        connection.data_received(b"x")
        connection.close()
    assert budget.held_bytes == 0


async def test_bytes_of_a_response_that_nobody_reads_are_given_back_to_the_budget():
    budget = BufferBudget()
    for is_broken in (False, True):
        connection, _ = connect(budget)
        connection.send(GET, b"")
        connection.data_received(LONG[:-1])
        if is_broken:
            connection.connection_lost(ConnectionResetError())
        assert budget.held_bytes
        connection.finish()
        assert budget.held_bytes == 0
