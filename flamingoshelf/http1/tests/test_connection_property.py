"""Random requests, changes of limits, pauses of both sides and planned stops on one connection."""

import asyncio

import attrs
import h11
import looptime
from hypothesis import given, settings
from hypothesis import strategies as st

from flamingoshelf.http1 import ResponseHead
from flamingoshelf.http1.tests.conftest import Server, run_pending_callbacks

_LONG_S = 500.0  # longer than all limits, bodies and answers together


@attrs.frozen
class Request:
    """A request of the caller; `framing` says how its body is sent."""

    framing: str
    size: int
    answer_after_s: float
    parts: int
    is_refused: bool
    padding: int

    def encode(self, number):
        head = b"POST /%d HTTP/1.1\r\nHost: h\r\nX: %s\r\n" % (number, b"x" * self.padding)
        body = b"b" * self.size
        if self.framing == "none":
            return head.replace(b"POST", b"GET") + b"\r\n"
        if self.framing == "chunked":
            chunk = b"%x\r\n%s\r\n" % (self.size, body) if self.size else b""
            return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"
        expect = b"Expect: 100-continue\r\n" if self.framing == "expect" else b""
        return head + expect + b"Content-Length: %d\r\n\r\n" % self.size + body

    def answer(self, number):
        return b"%d:%d" % (number, -1 if self.is_refused else self.body_size)

    @property
    def body_size(self):
        return 0 if self.framing == "none" else self.size


class Caller:
    """Sends requests over one connection in random pieces, and counts those that must be answered.

    That are those wholly received before the server announced the close or began it.
    """

    def __init__(self, requests):
        self.requests = requests
        self.server = Server()
        self.server.handle = self._answer
        self.data = b""
        self.ends = []
        for number, request in enumerate(requests):
            self.data += request.encode(number)
            self.ends.append(len(self.data))
        self.sent = 0
        self.must_be_answered = 0

    async def _answer(self, exchange):
        request = self.requests[number := int(exchange.head.target[1:])]
        if request.is_refused:
            exchange.respond(ResponseHead(status=404), request.answer(number))
            return
        body = await exchange.read_body(limit=10_000)
        await asyncio.sleep(request.answer_after_s / 2)
        answer = b"%d:%d" % (number, len(body))
        if request.parts == 1:
            exchange.respond(ResponseHead(status=200), answer)
            return
        exchange.start_response(ResponseHead(status=200))
        await exchange.write(answer[:1])
        await asyncio.sleep(request.answer_after_s / 2)
        await exchange.write(answer[1:])
        exchange.end()

    @property
    def is_closing(self):
        transport = self.server.transport
        return (
            transport.has_eof or transport.is_aborted or b"Connection: close" in transport.written
        )

    async def send(self, size):
        data = self.data[self.sent : self.sent + size]
        if not data or self.server.transport.is_aborted:
            return
        was_closing = self.is_closing
        self.sent += len(data)
        self.server.connection.data_received(data)
        if not was_closing:
            self.must_be_answered = sum(end <= self.sent for end in self.ends)
        await run_pending_callbacks()

    async def play(self, action, value):
        match action:
            case "send":
                await self.send(value)
            case "send rest of request":
                rest = [end - self.sent for end in self.ends if end > self.sent]
                await self.send(rest[0] if rest else 0)
            case "sleep":
                await asyncio.sleep(value)
            case "idle limit":
                self._change(idle_timeout_s=value)
            case "header time":
                self._change(header_timeout_s=value)
            case "header size":
                self._change(max_header_bytes=value)
            case "drain":
                self.server.connection.close_after_response()
            case "stop reading":
                self.server.connection.pause_writing()
            case "read on":
                self.server.connection.resume_writing()
            case "close idle":
                self.server.connection.close_after_response()
                self.server.connection.close_if_idle()
        await run_pending_callbacks()

    def answers(self):
        """Return the complete answers that were written."""
        if not self.server.transport.written:
            return []
        parser = h11.Connection(h11.CLIENT)
        parser.receive_data(self.server.transport.written)
        found, body = [], b""
        while True:
            if parser.our_state is h11.IDLE:
                parser.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
                parser.send(h11.EndOfMessage())
            match parser.next_event():
                case h11.Response() as response:
                    status, body = response.status_code, b""
                case h11.Data() as part:
                    body += bytes(part.data)
                case h11.EndOfMessage():
                    found.append((status, body))
                    if parser.our_state is not h11.DONE:
                        return found
                    parser.start_next_cycle()
                case h11.InformationalResponse():
                    pass
                case _:
                    return found

    def _change(self, **limits):
        self.server.limits = attrs.evolve(self.server.limits, **limits)


requests = st.builds(
    Request,
    framing=st.sampled_from(["none", "length", "chunked", "expect"]),
    size=st.sampled_from([0, 1, 50, 3000]),
    answer_after_s=st.sampled_from([0.0, 0.2, 4.0, 20.0]),
    parts=st.sampled_from([1, 2]),
    is_refused=st.booleans(),
    padding=st.sampled_from([1, 100, 800]),
)
actions = st.one_of(
    st.tuples(st.just("send"), st.sampled_from([1, 20, 90, 400, 5000])),
    st.tuples(st.just("send rest of request"), st.none()),
    st.tuples(st.just("sleep"), st.sampled_from([0.01, 0.5, 2.5, 3.0, 11.9, 15.0])),
    st.tuples(st.just("idle limit"), st.sampled_from([1.0, 3.0, 15.0, 40.0])),
    st.tuples(st.just("header time"), st.sampled_from([0.5, 3.0, 10.0])),
    # A head that the limit doesn't allow is refused; that is another property.
    st.tuples(st.just("header size"), st.sampled_from([1000, 2000, 8000])),
    st.tuples(st.sampled_from(["drain", "close idle", "stop reading", "read on"]), st.none()),
)


async def play(callers_requests, script):
    caller = Caller(callers_requests)
    for action, value in script:
        await caller.play(action, value)
    await caller.play("read on", None)
    await asyncio.sleep(_LONG_S)
    answers = caller.answers()
    assert len(answers) >= caller.must_be_answered
    for number, (status, body) in enumerate(answers):
        if status == 408:  # a head that did not arrive in time
            assert number >= caller.must_be_answered
            continue
        request = caller.requests[number]
        assert (status, body) == (404 if request.is_refused else 200, request.answer(number))
    caller.server.transport.abort()
    await run_pending_callbacks()


@given(st.lists(requests, min_size=1, max_size=5), st.lists(actions, min_size=4, max_size=30))
@settings(derandomize=True, deadline=None, max_examples=1000)
def test_each_request_that_was_received_before_the_close_gets_one_complete_answer(
    callers_requests, script
):
    """No interleaving of parts of requests, limits, pauses and stops may lose a request."""
    loop = looptime.new_event_loop()
    try:
        loop.run_until_complete(play(callers_requests, script))
    finally:
        loop.close()
