"""Mutual authentication of two nodes by the secret that they share.

The node that dials puts a greeting into the websocket's opening request: a nonce and a keyed hash
over it, its identity and the name of the node that it means to reach. Without a valid greeting the
connection is closed with no reply. Then each side proves knowledge of the secret by a keyed hash
over both nonces, its role, its identity and, with TLS, the certificate of the accepting side. The
secret itself never crosses the connection, and a recorded handshake is of no use since the other
side's nonce is new each time.
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
    "new_greeting",
    "offer_handshake",
]

GREETING_HEADER = "X-Flamingoshelf-Greeting"
_NONCE_BYTES = 16
_REMEMBERED_NONCES = 8192


@attrs.frozen(kw_only=True)
class Identity:
    """Name and incarnation of a node."""

    name: str
    incarnation: str


@attrs.frozen(kw_only=True)
class Greeting:
    """What the node that dials says first.

    Parameters
    ----------
    identity : Identity
        Who dials.
    target : str
        Name of the node that it means to reach.
    nonce : bytes
        Never used before.
    """

    identity: Identity
    target: str
    nonce: bytes

    def encode(self, secret: bytes) -> str:
        """Return the greeting with its proof as the value of a header."""
        proof = _proof(secret, "greeting", self.identity, self.target.encode() + self.nonce)
        fields = [self.identity.name, self.identity.incarnation, self.target, self.nonce, proof]
        return base64.b64encode(cbor2.dumps(fields)).decode()


def new_greeting(identity: Identity, *, target: str) -> Greeting:
    """Return a greeting with a new nonce."""
    return Greeting(identity=identity, target=target, nonce=secrets.token_bytes(_NONCE_BYTES))


class GreetingChecker:
    """Checks greetings; each is accepted once.

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
        self._nonces: OrderedDict[bytes, None] = OrderedDict()

    def check(self, header: str | None) -> Greeting:
        """Return the greeting in a header.

        Raises
        ------
        ProtocolError
            It is missing, not valid, meant for another node, or was used before.
        """
        greeting, proof = _decode_greeting(header)
        context = greeting.target.encode() + greeting.nonce
        _check_proof(proof, self._secret, "greeting", greeting.identity, context)
        if greeting.target != self._node_name:
            message = f"meant for {greeting.target}"
            raise ProtocolError(message, step="handshake", peer=greeting.identity.name)
        if greeting.nonce in self._nonces:
            raise ProtocolError("replayed", step="handshake", peer=greeting.identity.name)
        self._nonces[greeting.nonce] = None
        if len(self._nonces) > _REMEMBERED_NONCES:
            self._nonces.popitem(last=False)
        return greeting


async def offer_handshake(
    socket: ClientConnection, *, greeting: Greeting, secret: bytes, certificate_digest: bytes
) -> Identity:
    """Authenticate towards the node that was dialled; return the identity that it proved.

    Raises
    ------
    ProtocolError
        The other side does not know the secret or is another node.
    """
    nonce, incarnation, proof = _fields(await socket.recv(), 3)
    peer = Identity(name=greeting.target, incarnation=incarnation)
    context = greeting.nonce + nonce + certificate_digest
    _check_proof(proof, secret, "server", peer, context)
    own_proof = _proof(secret, "client", greeting.identity, context)
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
    """Authenticate a node that dialled; return the identity that it proved.

    Raises
    ------
    ProtocolError
        The other side does not know the secret.
    """
    nonce = secrets.token_bytes(_NONCE_BYTES)
    context = greeting.nonce + nonce + certificate_digest
    own_proof = _proof(secret, "server", identity, context)
    await socket.send(cbor2.dumps([nonce, identity.incarnation, own_proof]))
    (proof,) = _fields(await socket.recv(), 1)
    _check_proof(proof, secret, "client", greeting.identity, context)
    return greeting.identity


def _decode_greeting(header: str | None) -> tuple[Greeting, bytes]:
    try:
        data = base64.b64decode(header or "", validate=True)
        name, incarnation, target, nonce, proof = cbor2.loads(data)
        identity = Identity(name=str(name), incarnation=str(incarnation))
        return Greeting(identity=identity, target=str(target), nonce=bytes(nonce)), bytes(proof)
    except Exception as error:
        raise ProtocolError("no greeting", step="handshake") from error


def _fields(data: str | bytes, count: int) -> list[Any]:
    fields = cbor2.loads(data) if isinstance(data, bytes) else None
    if not isinstance(fields, list) or len(fields) != count:
        raise ProtocolError("not a handshake", step="handshake")
    return fields


def _proof(secret: bytes, role: str, identity: Identity, context: bytes) -> bytes:
    text = "\x00".join((role, identity.name, identity.incarnation)).encode()
    return hmac.new(secret, text + b"\x00" + context, hashlib.sha256).digest()


def _check_proof(proof: Any, secret: bytes, role: str, identity: Identity, context: bytes) -> None:
    expected = _proof(secret, role, identity, context)
    if not isinstance(proof, bytes) or not hmac.compare_digest(proof, expected):
        raise ProtocolError("does not know the secret", step="handshake", peer=identity.name)
