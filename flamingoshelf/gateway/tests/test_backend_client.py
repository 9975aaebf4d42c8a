"""Which responses count as a backend server's answer to a request, over real connections."""

import asyncio
from contextlib import asynccontextmanager

import attrs
import pytest

from flamingoshelf.exceptions import OutcomeUnknownError
from flamingoshelf.gateway import BackendCall, BackendClient, BackendResponseHead
from flamingoshelf.gateway._backend_client import NotRunError, WrongInstanceError
from flamingoshelf.gateway.tests.conftest import server
from flamingoshelf.http1 import ConnectionPool, Headers, RequestHead


class Wire:
    """Wire format with headers that only this test uses."""

    def encode_request(self, head, call, *, body_bytes):
        headers = [("Host", "h"), ("Content-Length", str(body_bytes))]
        return RequestHead(method="POST", target="/r/1", headers=Headers(headers))

    def decode_request(self, head):
        raise NotImplementedError

    def decode_handle(self, body, instance):
        raise NotImplementedError

    def encode_handle_release(self, handle, instance):
        raise NotImplementedError

    def decode_response_head(self, head):
        return BackendResponseHead(
            request_id=head.headers.get("Answers"),
            is_signed=head.headers.get("Seal") is not None,
            has_not_run=head.headers.get("Refused") is not None,
            is_wrong_instance=head.headers.get("Other") is not None,
            is_encoded=head.headers.get("Content-Encoding") is not None,
        )


def response(*headers, status=200, body=b"ok"):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


@pytest.fixture
async def ask(new_request):
    """Return a function that sends requests to a server that answers each with the given bytes."""
    pool = ConnectionPool(max_connections=lambda key: 4)
    client = BackendClient(pool=pool, wire=Wire())
    connections = []

    @asynccontextmanager
    async def serve(sent):
        async def answer(reader, writer):
            connections.append(writer)
            while await reader.readuntil(b"\r\n\r\n"):
                await reader.readexactly(len(b"body"))
                writer.write(sent)

        listener = await asyncio.start_server(answer, "127.0.0.1", 0)
        try:
            yield "{}:{}".format(*listener.sockets[0].getsockname())
        finally:
            listener.close()

    async def run(sent, *, times=1):
        async with serve(sent) as address:
            instance = attrs.evolve(server("x"), address=address)
            call = BackendCall(instance=instance, workspace="w", remaining_s=1.0)
            bodies = []
            for _ in range(times):
                async with client.send(new_request(), call) as answer:
                    bodies.append(await answer.read_all(limit=100))
            return bodies, len(connections)

    yield run
    await client.stop()
    await pool.stop()


async def test_answer_to_the_request_is_accepted(ask):
    bodies, connections = await ask(response("Answers: q1", "Seal: s"), times=2)
    assert (bodies, connections) == ([b"ok", b"ok"], 1)


async def test_late_answer_to_another_request_is_skipped(ask):
    sent = response("Answers: q0", "Seal: s", body=b"other") + response("Answers: q1", "Seal: s")
    bodies, _ = await ask(sent)
    assert bodies == [b"ok"]


async def test_only_answers_to_other_requests_raise(ask):
    with pytest.raises(OutcomeUnknownError, match="no known request"):
        await ask(3 * response("Answers: q0", "Seal: s", body=b"other"))


async def test_surplus_answer_ends_the_connection(ask):
    sent = response("Answers: q1", "Seal: s") + response("Answers: q1", "Seal: s", body=b"twice")
    bodies, connections = await ask(sent, times=2)
    assert (bodies, connections) == ([b"ok", b"ok"], 2)


@pytest.mark.parametrize(
    ("sent", "error"),
    [
        pytest.param(response("Seal: s"), OutcomeUnknownError, id="success without request id"),
        pytest.param(
            response("Answers: q1", "Seal: s", "Content-Encoding: gzip"),
            OutcomeUnknownError,
            id="encoded",
        ),
        pytest.param(response("Answers: q1", "Refused: 1", status=503), NotRunError, id="not run"),
        pytest.param(
            response("Answers: q1", "Other: 1", status=421), WrongInstanceError, id="replaced"
        ),
    ],
)
async def test_response_that_is_not_accepted_raises(ask, sent, error):
    with pytest.raises(error) as caught:
        await ask(sent)
    assert type(caught.value) is error
