"""Handshake messages that are not valid."""

import cbor2
import pytest

from flamingoshelf.exceptions import ProtocolError
from flamingoshelf.nodes._handshake import Identity, initiate_handshake, new_greeting


class Socket:
    """Connection to a peer that answers with given bytes."""

    def __init__(self, answer):
        self._answer = answer

    async def recv(self):
        return self._answer


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"\xff\xff",
        b"\x83\x01",
        "text",
        cbor2.dumps(5),
        cbor2.dumps([1, 2]),
        cbor2.dumps([1, 2, 3]),
        cbor2.dumps([b"nonce", 5, b"proof"]),
        cbor2.dumps([b"nonce", "1", "proof"]),
    ],
)
async def test_answer_that_is_not_valid_is_an_error_of_the_protocol(answer):
    greeting = new_greeting(Identity(name="a", incarnation="1"), target="b")
    with pytest.raises(ProtocolError):
        await initiate_handshake(
            Socket(answer),  # type: ignore[arg-type]
            greeting=greeting,
            secret=b"s",
            certificate_digest=b"",
        )
