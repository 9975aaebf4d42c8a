"""CBOR encoding of the messages between nodes.

A frame is a CBOR array ``[kind, number, type, body]``: the kind of frame, the number that matches a
reply to its request, the name of the message class, and the fields of the message.
"""

from enum import IntEnum
from typing import Any, TypeVar

import attrs
import cattrs
import cbor2

from flamingoshelf.exceptions import ProtocolError

__all__ = ["Frame", "FrameKind", "UnknownMessage", "decode_frame", "encode_frame", "message"]

ClassT = TypeVar("ClassT", bound=type)

_message_classes: dict[str, type[Any]] = {}
_converter = cattrs.Converter(omit_if_default=True)
_converter.register_unstructure_hook(bytes, lambda value: value)
_converter.register_structure_hook(bytes, lambda value, _: value)
# Documents, which are plain values already; walking through large ones takes long.
_converter.register_unstructure_hook_func(lambda kind: kind is Any, lambda value: value)


class FrameKind(IntEnum):
    """Kind of a frame."""

    REQUEST = 0
    REPLY = 1
    ERROR = 2
    NOTIFICATION = 3


@attrs.frozen(kw_only=True)
class Frame:
    """One frame; `number` matches a reply to its request and is 0 for a notification."""

    kind: FrameKind
    number: int
    message: Any


@attrs.frozen(kw_only=True)
class UnknownMessage:
    """Placeholder for a message whose class this node does not have, as sent by a newer node."""

    name: str


def message(cls: ClassT) -> ClassT:
    """Register an `attrs` class as a message between nodes; used as a class decorator.

    Raises
    ------
    ValueError
        A message class of that name is registered already.
    """
    if cls.__name__ in _message_classes:
        raise ValueError(f"message class {cls.__name__} is already registered")
    _message_classes[cls.__name__] = cls
    return cls


def encode_frame(frame: Frame) -> bytes:
    """Return `frame` encoded as CBOR."""
    name = type(frame.message).__name__
    body = _converter.unstructure(frame.message)
    return cbor2.dumps([int(frame.kind), frame.number, name, body])


def decode_frame(data: bytes, *, peer: str) -> Frame:
    """Decode the frame in `data`.

    A message whose class is not registered is decoded as an `UnknownMessage`.

    Raises
    ------
    ProtocolError
        `data` is not a frame, or the fields do not match the message class.
    """
    try:
        kind, number, name, body = cbor2.loads(data)
        message_class = _message_classes.get(name)
        if message_class is None:
            unknown = UnknownMessage(name=str(name))
            return Frame(kind=FrameKind(kind), number=int(number), message=unknown)
        decoded = _converter.structure(body, message_class)
        return Frame(kind=FrameKind(kind), number=int(number), message=decoded)
    except Exception as error:
        raise ProtocolError(f"malformed frame: {error!r}", step="decode", peer=peer) from error
