"""Bounds of what an answer may take in memory."""

import asyncio
from contextlib import aclosing
from typing import NoReturn

import aiosonic
from aiosonic.connection import Connection
from aiosonic.exceptions import HttpParsingError
from aiosonic.pools import BasePool

__all__ = ["MAX_ANSWER_BYTES", "BoundedConnection", "read_content"]

MAX_ANSWER_BYTES = 8 * 1024 * 1024
_MAX_HEAD_BYTES = 64 * 1024  # twice the largest limit that is common among servers


class BoundedConnection(Connection):
    """Connection that reads neither a head without end nor a large part of a body as a whole.

    `aiosonic` takes in any number of header lines, and a chunk or a body as large as its server
    says that it is.
    """

    def __init__(self, pool: BasePool, *, max_part_bytes: int = MAX_ANSWER_BYTES) -> None:
        super().__init__(pool)
        self._max_part_bytes = max_part_bytes
        self._head_bytes = 0

    def write(self, data: bytes) -> None:
        """Write a part of a request, whose answer has a head of its own."""
        self._head_bytes = 0
        super().write(data)

    async def readline(self) -> bytes:
        """Read a line of a head or the size of a chunk."""
        try:
            return self._count_head(await super().readline())
        except ValueError:  # of the stream reader, whose own limit the line exceeds
            self._give_up("a line of an answer has no end")

    async def readuntil(self, separator: bytes = b"\n") -> bytes:
        """Read the first line of a head."""
        try:
            return self._count_head(await super().readuntil(separator))
        except asyncio.LimitOverrunError:
            self._give_up("the first line of an answer has no end")

    async def readexactly(self, size: int) -> bytes:
        """Read a chunk or a body as a whole."""
        if size > self._max_part_bytes:
            self._give_up(f"a part of an answer has {size} bytes")
        self._head_bytes = 0
        return bytes(await super().readexactly(size))

    def _count_head(self, line: bytes) -> bytes:
        self._head_bytes += len(line)
        if self._head_bytes > _MAX_HEAD_BYTES:
            self._give_up(f"the head of an answer has more than {_MAX_HEAD_BYTES} bytes")
        return line

    def _give_up(self, reason: str) -> NoReturn:
        self.keep = False
        self.close()
        raise HttpParsingError(reason)


async def read_content(
    response: aiosonic.HttpResponse, *, max_bytes: int = MAX_ANSWER_BYTES
) -> bytes:
    """Return the body of a response.

    Raises
    ------
    HttpParsingError
        It has more than `max_bytes`.
    """
    if not response.chunked:  # the connection has bounded it
        return await response.content()
    body = bytearray()
    async with aclosing(response.read_chunks()) as chunks:
        async for chunk in chunks:
            body += chunk
            if len(body) > max_bytes:
                raise HttpParsingError(f"an answer has more than {max_bytes} bytes")
    return bytes(body)
