"""Engine client against a scripted server: valid responses and faults."""

import asyncio

import pytest

from flamingoshelf.backends import DecodedToken, DecodeEnd, HttpEngineClient, PrefillTask
from flamingoshelf.exceptions import EngineError, ProtocolError
from flamingoshelf.utils import Pacer
from lab.processes import AddressPool

ID = "i.1.0"
TOKEN = b'data: {"request_id": "i.1.0", "index": 0, "text": "a "}\n\n'
END = (
    b'data: {"request_id": "i.1.0", "done": true, "finish_reason": "stop", '
    b'"completion_tokens": 1}\n\n'
)
CROSSED = TOKEN.replace(b"i.1.0", b"i.2.0")


def answer(body, *, status=200, length=None):
    size = len(body) if length is None else length
    head = (
        f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {size}\r\n\r\n"
    )
    return head.encode() + body


def stream(body, *, is_finished=True):
    head = b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunk = f"{len(body):x}\r\n".encode() + body + b"\r\n"
    return head + chunk + (b"0\r\n\r\n" if is_finished else b"")


@pytest.fixture
async def engine():
    """An engine that answers every request with `script`, then closes the connection.

    With `stalls`, it leaves the connection open for some seconds first.
    """

    class Engine:
        script = b""
        stalls = False
        address = AddressPool().reserve()[0]
        client = HttpEngineClient()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(Engine.script)
        await writer.drain()
        if Engine.stalls:
            await asyncio.sleep(5)
        writer.close()

    host, _, port = Engine.address.rpartition(":")
    server = await asyncio.start_server(serve, host, int(port))
    yield Engine
    await Engine.client.close()
    server.close()


async def prefill(engine):
    task = PrefillTask(request_id=ID, model="m", prompt="x")
    return await engine.client.prefill(engine.address, task, timeout_s=0.5)


async def decode(engine):
    stream = engine.client.decode(engine.address, request_id=ID, from_index=0, stall_timeout_s=0.5)
    return [event async for event in stream]


async def test_prefill(engine):
    engine.script = answer(
        b'{"request_id": "i.1.0", "prompt_tokens": 3, "cached_tokens": 1, "kv_bytes": 9, '
        b'"lifetime_s": 0.8}'
    )
    result = await prefill(engine)
    assert (result.prompt_tokens, result.cached_tokens, result.kv_bytes) == (3, 1, 9)


async def test_decode(engine):
    engine.script = stream(TOKEN + END)
    assert await decode(engine) == [
        DecodedToken(request_id=ID, index=0, text="a "),
        DecodeEnd(request_id=ID, finish_reason="stop", completion_tokens=1),
    ]


@pytest.mark.parametrize(
    ("script", "stalls", "error", "crashed"),
    [
        (answer(b"full", status=503), False, EngineError, False),
        (answer(b'{"request_id": "i.2.0"}'), False, ProtocolError, None),
        (answer(b"no JSON"), False, ProtocolError, None),
        (answer(b"{", length=100), False, EngineError, True),
        (b"", False, EngineError, True),
        (b"", True, EngineError, False),
    ],
    ids=["refused", "crossed", "malformed", "cut", "closed", "stalled"],
)
async def test_prefill_faults(engine, script, stalls, error, crashed):
    engine.script, engine.stalls = script, stalls
    with pytest.raises(error) as caught:
        await prefill(engine)
    assert caught.value.step == "prefill"
    assert caught.value.peer == engine.address
    if crashed is not None:
        assert caught.value.crashed is crashed


@pytest.mark.parametrize(
    ("script", "stalls", "error", "crashed"),
    [
        (answer(b"gone", status=404), False, EngineError, False),
        (stream(TOKEN + CROSSED), False, ProtocolError, None),
        (stream(TOKEN, is_finished=False), False, EngineError, True),
        (b"", False, EngineError, True),
        (stream(TOKEN, is_finished=False), True, EngineError, False),
    ],
    ids=["refused", "crossed", "cut", "closed", "stalled"],
)
async def test_decode_faults(engine, script, stalls, error, crashed):
    engine.script, engine.stalls = script, stalls
    with pytest.raises(error) as caught:
        await decode(engine)
    assert caught.value.step == "decode"
    assert caught.value.peer == engine.address
    if crashed is not None:
        assert caught.value.crashed is crashed


class CountingPacer(Pacer):
    """Counts the turns that were waited for."""

    def __init__(self):
        super().__init__()
        self.turns = 0

    async def turn(self):
        self.turns += 1
        await super().turn()


# Events and chunks that had arrived were read at once, and nothing else was done meanwhile.
@pytest.mark.parametrize("is_chunked", [True, False], ids=["a chunk each", "one chunk"])
async def test_many_events_are_read_in_several_turns(engine, is_chunked):
    engine.client._pacer = pacer = CountingPacer()
    tokens = [TOKEN.replace(b'"index": 0', b'"index": %d' % number) for number in range(320)]
    parts = [*tokens, END] if is_chunked else [b"".join(tokens) + END]
    head, end = b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n", b"0\r\n\r\n"
    engine.script = head + b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts) + end
    assert len(await decode(engine)) == 321
    assert pacer.turns >= 10


async def test_event_without_end_is_given_up(engine):
    engine.script = stream(b"data: " + b"x" * 300_000, is_finished=False)
    engine.stalls = True
    with pytest.raises(ProtocolError, match="no end"):
        await decode(engine)
