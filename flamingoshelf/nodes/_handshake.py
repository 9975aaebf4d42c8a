"""Mutual authentication of two nodes by the secret that they share.

Each side sends a nonce and proves knowledge of the secret by a keyed hash over both nonces, its
role, its name and its incarnation. The secret itself never crosses the connection.
"""

import hashlib
import hmac
import secrets

import attrs
import cbor2
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.server import ServerConnection

from flamingoshelf.exceptions import ProtocolError

__all__ = ["Identity", "accept_handshake", "offer_handshake"]

_NONCE_BYTES = 16


@attrs.frozen(kw_only=True)
class Identity:
    """Name and incarnation of a node."""

    name: str
    incarnation: str


async def offer_handshake(
    socket: ClientConnection, *, identity: Identity, secret: bytes
) -> Identity:
    """Authenticate towards the node that was dialled; return the identity that it proved.

    Raises
    ------
    ProtocolError
        The other side does not know the secret.
    """
    nonce = secrets.token_bytes(_NONCE_BYTES)
    await socket.send(cbor2.dumps(nonce))
    peer_nonce, name, incarnation, proof = cbor2.loads(_binary(await socket.recv()))
    peer = Identity(name=name, incarnation=incarnation)
    _check_proof(proof, secret, "server", peer, nonce + peer_nonce)
    own_proof = _proof(secret, "client", identity, nonce + peer_nonce)
    await socket.send(cbor2.dumps([identity.name, identity.incarnation, own_proof]))
    return peer


async def accept_handshake(
    socket: ServerConnection, *, identity: Identity, secret: bytes
) -> Identity:
    """Authenticate a node that dialled; return the identity that it proved.

    Raises
    ------
    ProtocolError
        The other side does not know the secret.
    """
    peer_nonce = cbor2.loads(_binary(await socket.recv()))
    if not isinstance(peer_nonce, bytes) or len(peer_nonce) != _NONCE_BYTES:
        raise ProtocolError("not a nonce", step="handshake")
    nonce = secrets.token_bytes(_NONCE_BYTES)
    own_proof = _proof(secret, "server", identity, peer_nonce + nonce)
    await socket.send(cbor2.dumps([nonce, identity.name, identity.incarnation, own_proof]))
    name, incarnation, proof = cbor2.loads(_binary(await socket.recv()))
    peer = Identity(name=name, incarnation=incarnation)
    _check_proof(proof, secret, "client", peer, peer_nonce + nonce)
    return peer


def _proof(secret: bytes, role: str, identity: Identity, nonces: bytes) -> bytes:
    text = "\x00".join((role, identity.name, identity.incarnation)).encode()
    return hmac.new(secret, text + b"\x00" + nonces, hashlib.sha256).digest()


def _check_proof(proof: bytes, secret: bytes, role: str, identity: Identity, nonces: bytes) -> None:
    if not hmac.compare_digest(proof, _proof(secret, role, identity, nonces)):
        raise ProtocolError("does not know the secret", step="handshake", peer=identity.name)


def _binary(data: str | bytes) -> bytes:
    if isinstance(data, str):
        raise ProtocolError("text frame", step="handshake")
    return data
