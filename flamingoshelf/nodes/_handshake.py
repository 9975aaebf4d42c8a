"""Mutual authentication of two nodes by a shared secret.

The dialling node sends a greeting in a header of the websocket's opening request: its identity, the
name of the target node, a nonce, and an HMAC over these. The accepting node closes the connection
without a reply unless the greeting is valid. Then each side proves that it knows the secret by an
HMAC over both nonces, its role, its identity and, with TLS, the digest of the accepting side's
certificate. The secret itself is never sent, and a recorded handshake can't be replayed because
each side uses a new nonce for every connection.
"""

import base64
import hashlib
import hmac
import secrets
from collections import OrderedDict
from typing import Any

import attrs
import cbor2
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.server import ServerConnection

from flamingoshelf.exceptions import ProtocolError

__all__ = [
    "GREETING_HEADER",
    "Greeting",
    "GreetingChecker",
    "Identity",
    "accept_handshake",
    "initiate_handshake",
    "new_greeting",
]

GREETING_HEADER = "X-Flamingoshelf-Greeting"
_NONCE_BYTES = 16
_MAX_SEEN_NONCES = 8192


@attrs.frozen(kw_only=True)
class Identity:
    """Name and incarnation of a node."""

    name: str
    incarnation: str


@attrs.frozen(kw_only=True)
class Greeting:
    """First message of the handshake, sent by the dialling node.

    Parameters
    ----------
    identity : Identity
        Identity of the dialling node.
    target : str
        Name of the node that it dials.
    nonce : bytes
        Random value that is used once.
    """

    identity: Identity
    target: str
    nonce: bytes

    def encode(self, secret: bytes) -> str:
        """Return the value of the greeting header, including the proof."""
        proof = _compute_proof(secret, "greeting", self.identity, self.target.encode() + self.nonce)
        fields = [self.identity.name, self.identity.incarnation, self.target, self.nonce, proof]
        return base64.b64encode(cbor2.dumps(fields)).decode()


def new_greeting(identity: Identity, *, target: str) -> Greeting:
    """Return a greeting to the node `target` with a new nonce."""
    return Greeting(identity=identity, target=target, nonce=secrets.token_bytes(_NONCE_BYTES))


class GreetingChecker:
    """Verifies greetings and rejects replayed ones.

    The last `_MAX_SEEN_NONCES` nonces are remembered.

    Parameters
    ----------
    node_name : str
        Name of this node.
    secret : bytes
        Secret that the nodes share.
    """

    def __init__(self, *, node_name: str, secret: bytes) -> None:
        self._node_name = node_name
        self._secret = secret
        self._seen_nonces: OrderedDict[bytes, None] = OrderedDict()

    def check(self, header: str | None) -> Greeting:
        """Verify a greeting header and return the greeting.

        Raises
        ------
        ProtocolError
            The header is missing or not valid, names another target, or was used before.
        """
        greeting, proof = _decode_greeting(header)
        context = greeting.target.encode() + greeting.nonce
        _check_proof(proof, self._secret, "greeting", greeting.identity, context)
        if greeting.target != self._node_name:
            message = f"greeting addressed to {greeting.target}"
            raise ProtocolError(message, step="handshake", peer=greeting.identity.name)
        if greeting.nonce in self._seen_nonces:
            raise ProtocolError("replayed greeting", step="handshake", peer=greeting.identity.name)
        self._seen_nonces[greeting.nonce] = None
        if len(self._seen_nonces) > _MAX_SEEN_NONCES:
            self._seen_nonces.popitem(last=False)
        return greeting


async def initiate_handshake(
    socket: ClientConnection, *, greeting: Greeting, secret: bytes, certificate_digest: bytes
) -> Identity:
    """Run the dialling side of the handshake; return the verified identity of the peer.

    Raises
    ------
    ProtocolError
        The other side does not know the secret, or is not the target of the greeting.
    """
    nonce, incarnation, proof = _parse_fields(await socket.recv(), 3)
    if not isinstance(nonce, bytes) or not isinstance(incarnation, str):
        raise ProtocolError("malformed handshake message", step="handshake", peer=greeting.target)
    peer = Identity(name=greeting.target, incarnation=incarnation)
    context = greeting.nonce + nonce + certificate_digest
    _check_proof(proof, secret, "server", peer, context)
    own_proof = _compute_proof(secret, "client", greeting.identity, context)
    await socket.send(cbor2.dumps([own_proof]))
    return peer


async def accept_handshake(
    socket: ServerConnection,
    *,
    identity: Identity,
    greeting: Greeting,
    secret: bytes,
    certificate_digest: bytes,
) -> Identity:
    """Run the accepting side of the handshake; return the verified identity of the peer.

    Raises
    ------
    ProtocolError
        The other side does not know the secret.
    """
    nonce = secrets.token_bytes(_NONCE_BYTES)
    context = greeting.nonce + nonce + certificate_digest
    own_proof = _compute_proof(secret, "server", identity, context)
    await socket.send(cbor2.dumps([nonce, identity.incarnation, own_proof]))
    (proof,) = _parse_fields(await socket.recv(), 1)
    _check_proof(proof, secret, "client", greeting.identity, context)
    return greeting.identity


def _decode_greeting(header: str | None) -> tuple[Greeting, bytes]:
    try:
        data = base64.b64decode(header or "", validate=True)
        name, incarnation, target, nonce, proof = cbor2.loads(data)
        identity = Identity(name=str(name), incarnation=str(incarnation))
        return Greeting(identity=identity, target=str(target), nonce=bytes(nonce)), bytes(proof)
    except Exception as error:
        raise ProtocolError("greeting missing or malformed", step="handshake") from error


def _parse_fields(data: str | bytes, count: int) -> list[Any]:
    try:
        fields = cbor2.loads(data) if isinstance(data, bytes) else None
    except Exception as error:  # the decoder raises errors of several kinds
        raise ProtocolError("malformed handshake message", step="handshake") from error
    if not isinstance(fields, list) or len(fields) != count:
        raise ProtocolError("malformed handshake message", step="handshake")
    return fields


def _compute_proof(secret: bytes, role: str, identity: Identity, context: bytes) -> bytes:
    text = "\x00".join((role, identity.name, identity.incarnation)).encode()
    return hmac.new(secret, text + b"\x00" + context, hashlib.sha256).digest()


def _check_proof(proof: Any, secret: bytes, role: str, identity: Identity, context: bytes) -> None:
    expected = _compute_proof(secret, role, identity, context)
    if not isinstance(proof, bytes) or not hmac.compare_digest(proof, expected):
        raise ProtocolError("wrong proof of the secret", step="handshake", peer=identity.name)
