"""Messages between nodes as CBOR.

A frame is a CBOR array ``[kind, number, type, body]``: the frame's kind, the number that pairs a
reply with its request, the name of the message class, and its fields.
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


class FrameKind(IntEnum):
    """What a frame is."""

    REQUEST = 0
    REPLY = 1
    ERROR = 2
    NOTIFICATION = 3


@attrs.frozen(kw_only=True)
class Frame:
    """One frame: its kind, its number and the message in it."""

    kind: FrameKind
    number: int
    message: Any


@attrs.frozen(kw_only=True)
class UnknownMessage:
    """Stands for a message whose class this node does not have, as sent by a newer node."""

    name: str


def message(cls: ClassT) -> ClassT:
    """Class decorator: register an `attrs` class as a message between nodes."""
    if cls.__name__ in _message_classes:
        raise ValueError(f"a message class named {cls.__name__} is registered already")
    _message_classes[cls.__name__] = cls
    return cls


def encode_frame(frame: Frame) -> bytes:
    """Return `frame` as CBOR."""
    name = type(frame.message).__name__
    body = _converter.unstructure(frame.message)
    return cbor2.dumps([int(frame.kind), frame.number, name, body])


def decode_frame(data: bytes, *, peer: str) -> Frame:
    """Return the frame in `data`.

    Raises
    ------
    ProtocolError
        It is not a frame, or the fields are not those of its message class.
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
        raise ProtocolError(f"not a frame: {error!r}", step="decode", peer=peer) from error
