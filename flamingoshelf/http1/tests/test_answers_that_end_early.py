"""Answers of backend servers that end at any byte, however they arrive."""

import itertools

import pytest

from flamingoshelf.exceptions import OutcomeUnknownError
from flamingoshelf.http1.tests.test_client import ANSWER, GET, Connection, exchange, read_all

pytestmark = pytest.mark.looptime

SEALED = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSeal: s\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
CHUNKED = SEALED + b"Transfer-Encoding: chunked\r\n\r\n"
LENGTH = SEALED + b"Content-Length: 14\r\n\r\nid: 1\ndata: x\n"
CHUNKS = CHUNKED + b"7\r\nid: 1\n\n\r\na;x=1\r\ndata: 123\n\r\n0\r\nEnd: 1\r\n\r\n"
NO_BODY = SEALED + b"Content-Length: 0\r\n\r\n"
UNFRAMED = SEALED + b"\r\nid: 1\ndata: x\n\n"
FRAMED = {
    "length": LENGTH,
    "chunks": CHUNKS,
    "no body": NO_BODY,
    "interim": INTERIM + LENGTH,
    "interim before chunks": INTERIM + CHUNKS,
    "bare line feeds": LENGTH.replace(b"\r\n", b"\n"),
}


async def receive(answer, *, is_kept, in_bytes, is_reset):
    """Return status and body of an answer that ends with its connection; None if it is cut."""
    connection = Connection()
    if is_kept:
        await exchange(connection, ANSWER)
        connection.finish()
    connection.send(GET, b"")
    for part in [bytes([byte]) for byte in answer] if in_bytes else [answer]:
        if part:
            connection.data_received(part)
    if is_reset:
        connection.connection_lost(ConnectionResetError())
    else:
        connection.eof_received()
        connection.connection_lost(None)
    try:
        return (await connection.read_head()).status, await read_all(connection)
    except OutcomeUnknownError:
        return None


# An answer that ended within its head was passed on with status 200 and an empty body.
@pytest.mark.parametrize("name", FRAMED)
@pytest.mark.parametrize("is_kept", [False, True])
async def test_answer_that_ends_before_its_end_is_not_whole(name, is_kept):
    answer = FRAMED[name]
    for in_bytes, is_reset in itertools.product([False, True], repeat=2):
        options = {"is_kept": is_kept, "in_bytes": in_bytes, "is_reset": is_reset}
        whole = await receive(answer, **options)
        assert whole is not None and whole[0] == 200
        for end in range(len(answer)):
            assert await receive(answer[:end], **options) is None, answer[:end]


# Without a length only a regular end of the connection makes an answer whole, and only one with a
# whole head.
@pytest.mark.parametrize("is_kept", [False, True])
async def test_head_without_an_end_is_no_answer_without_a_length(is_kept):
    head_bytes = UNFRAMED.index(b"\r\n\r\n") + 4
    for in_bytes, end in itertools.product([False, True], range(len(UNFRAMED) + 1)):
        options = {"is_kept": is_kept, "in_bytes": in_bytes}
        assert await receive(UNFRAMED[:end], **options, is_reset=True) is None
        answer = await receive(UNFRAMED[:end], **options, is_reset=False)
        assert (answer is None) == (end < head_bytes), UNFRAMED[:end]


# A part of an answer was taken for a whole one: the server had ended its side before the request
# was written, and reset the connection then. A length or chunks prove the end.
@pytest.mark.parametrize(
    ("answer", "is_whole"), [(UNFRAMED, False), (LENGTH, True), (CHUNKS, True), (NO_BODY, True)]
)
async def test_answer_without_a_length_is_not_whole_before_the_request_is_written(answer, is_whole):
    connection = Connection()
    connection.send(GET, b"")
    connection.transport.unsent_bytes = 1
    connection.data_received(answer)
    connection.eof_received()
    assert (await connection.read_head()).status == 200
    if is_whole:
        await read_all(connection)
    else:
        with pytest.raises(OutcomeUnknownError, match="before the request was sent"):
            await read_all(connection)


# Statuses outside the range of HTTP were passed on to callers.
@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
async def test_status_outside_the_range_of_http_is_no_answer(status):
    connection = Connection()
    connection.send(GET, b"")
    connection.data_received(LENGTH.replace(b"200", status, 1))
    with pytest.raises(OutcomeUnknownError):
        await connection.read_head()
    assert connection.transport.is_aborted
