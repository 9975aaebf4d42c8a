"""Responses of backend servers, and the errors of calls without one."""

from enum import StrEnum
from typing import Protocol

import attrs

from flamingoshelf.exceptions import PeerUnreachableError
from flamingoshelf.http1 import NoFreeConnectionError, ResponseHead
from flamingoshelf.routing import BackendInstance

__all__ = [
    "BackendResponse",
    "BodySource",
    "EvacuatedError",
    "NotRunError",
    "ResponseFault",
    "SendProgress",
    "ServerPausedError",
    "WrongInstanceError",
    "read_all",
]


class NotRunError(PeerUnreachableError):
    """The server states that it did not run the request and will not run it."""


class ServerPausedError(NotRunError):
    """The server wants no requests from this node for a time.

    Parameters
    ----------
    message, step, peer : str
        As in `FlamingoshelfError`.
    pause_s : float
        Seconds until the pause ends.
    was_sent : bool
        Whether the request was sent and turned away, rather than held back by this node.
    """

    def __init__(
        self, message: str, *, step: str, peer: str = "", pause_s: float, was_sent: bool
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.pause_s = pause_s
        self.was_sent = was_sent


class WrongInstanceError(NotRunError):
    """The address belongs to another server than the expected one."""


class EvacuatedError(NoFreeConnectionError):
    """The server's data centre is evacuated; nothing was sent.

    Parameters
    ----------
    instance : BackendInstance
        The server.
    """

    def __init__(self, instance: BackendInstance) -> None:
        super().__init__("the data centre is evacuated", step="connect", peer=instance.key)


class ResponseFault(StrEnum):
    """Why a response is not accepted as the server's answer."""

    OTHER_REQUEST = "answers no known request"
    ENCODED = "has an encoding that was not asked for"


@attrs.define(kw_only=True)
class SendProgress:
    """How far the sending of a request has come.

    Attributes
    ----------
    may_have_arrived : bool
        Whether a server may have received it.
    """

    may_have_arrived: bool = False


class BodySource(Protocol):
    """Source of a response's body."""

    @property
    def is_closed(self) -> bool:
        """Whether the connection to the server has ended."""

    async def read(self) -> bytes:
        """Return the next bytes of the body, or empty bytes at its regular end."""


@attrs.frozen(kw_only=True)
class BackendResponse:
    """A response whose head was validated as the answer to the request.

    Parameters
    ----------
    head : ResponseHead
        Status and headers.
    is_signed : bool
        Whether it carries the server's signature.
    connection : BodySource
        Where the body is read from.
    """

    head: ResponseHead
    is_signed: bool
    connection: BodySource

    async def read(self) -> bytes:
        """Return the next bytes of the body, or empty bytes at its regular end."""
        return await self.connection.read()

    async def read_all(self, *, limit: int) -> bytes | None:
        """Return the whole body, or None if it has more than `limit` bytes."""
        return await read_all(self.connection, limit=limit)


async def read_all(source: BodySource, *, limit: int) -> bytes | None:
    """Return the whole body, or None if it has more than `limit` bytes."""
    parts = []
    size = 0
    while part := await source.read():
        size += len(part)
        if size > limit:
            return None
        parts.append(part)
    return b"".join(parts)
