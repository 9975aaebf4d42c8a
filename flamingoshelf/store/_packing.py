"""Compression of large objects that nodes send to one another."""

import zlib

import attrs
import cbor2

from flamingoshelf.exceptions import ProtocolError
from flamingoshelf.store._types import StoreObject

__all__ = ["PackedObject", "pack_object", "unpack_object"]

# Of an object's encoding; smaller ones take a link of 5 Mbit/s less than 30 ms.
_MIN_BYTES = 16 * 1024
_MAX_UNPACKED_BYTES = 64 * 1024 * 1024  # many times the largest object of the store
_LEVEL = 1  # the fastest; lists of routes shrink to about a tenth with it


@attrs.frozen(kw_only=True)
class PackedObject:
    """An object of the store whose document is compressed.

    Parameters
    ----------
    name : str
        Name, unique in its kind.
    revision : int
        Store revision of the object's last change.
    content : bytes
        Compressed CBOR encoding of its document.
    """

    name: str
    revision: int
    content: bytes


def pack_object(item: StoreObject) -> PackedObject | None:
    """Return an object in its compressed form, or None if it is too small to gain from that."""
    encoded = cbor2.dumps(item.content)
    if len(encoded) < _MIN_BYTES:
        return None
    return PackedObject(
        name=item.name, revision=item.revision, content=zlib.compress(encoded, _LEVEL)
    )


def unpack_object(packed: PackedObject, *, peer: str) -> StoreObject:
    """Return the object that a node has sent in its compressed form.

    Raises
    ------
    ProtocolError
        It can't be decoded.
    """
    try:
        expander = zlib.decompressobj()
        encoded = expander.decompress(packed.content, _MAX_UNPACKED_BYTES)
        content = cbor2.loads(encoded)
    except (zlib.error, ValueError, EOFError) as error:
        message = f"compressed object not readable: {error!r}"
        raise ProtocolError(message, step="watch", peer=peer) from error
    return StoreObject(name=packed.name, revision=packed.revision, content=content)
