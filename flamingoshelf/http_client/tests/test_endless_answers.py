"""Answers without end, to the clients of the product's own kind of node."""

import asyncio

import pytest

from flamingoshelf.backends import HttpEngineClient, PlainCall, PlainServiceClient, PrefillTask
from flamingoshelf.exceptions import EngineError, OutcomeUnknownError, ProtocolError

MAX_SENT_BYTES = 32 * 1024 * 1024  # beyond what a client takes in, and sockets hold
PIECE_LINES = 500
HEAD = b"HTTP/1.1 200 OK\r\n"
LINE = b"More: " + b"x" * 100 + b"\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
TASK = PrefillTask(request_id="r", model="m", prompt="p")
PLACES = {
    "head": (HEAD, LINE * PIECE_LINES),
    "first line": (b"HTTP/1.1 200 ", b"x" * 50_000),
    "chunk": (CHUNKED + b"fffffffff\r\n", b"x" * 50_000),
    "chunks": (CHUNKED, b"c350\r\n" + b"x" * 50_000 + b"\r\n"),
    "length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x" * 50_000),
}


@pytest.fixture
async def start_server():
    listeners = []
    sent = []

    async def start(begin, piece):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(begin)
            sent.append(0)
            try:
                while sent[-1] < MAX_SENT_BYTES:
                    writer.write(piece)
                    await writer.drain()
                    sent[-1] += len(piece)
            except ConnectionError:
                return
            finally:
                writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        listeners.append(listener)
        return "{}:{}".format(*listener.sockets[0].getsockname()), sent

    yield start
    for listener in listeners:
        listener.close()


async def call_plain(address):
    client = PlainServiceClient()
    call = PlainCall(method="GET", target="/a", headers=[("Host", "h")], body=b"")
    try:
        with pytest.raises(OutcomeUnknownError):
            await client.call(address, call, timeout_s=10.0)
    finally:
        await client.close()


async def prefill(address):
    client = HttpEngineClient()
    try:
        with pytest.raises((EngineError, ProtocolError)):
            await client.prefill(address, TASK, timeout_s=10.0)
    finally:
        await client.close()


# A node took in whatever a server sent, until its caller's time was over or its memory was used up.
@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("use", [call_plain, prefill])
async def test_answer_without_end_is_given_up(start_server, place, use):
    address, sent = await start_server(*PLACES[place])
    await use(address)
    await asyncio.sleep(0.1)
    assert sent[0] < MAX_SENT_BYTES
