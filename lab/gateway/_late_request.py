"""Requests whose head and body arrive at different times, on connections of their own."""

import asyncio
from collections.abc import Sequence

from lab.gateway._site import HOST, KEY

__all__ = ["LateRequest"]

_BODY = b"late"


class LateRequest:
    """A request that is sent in two parts: the head with the first byte of its body, and the rest.

    Parameters
    ----------
    address : str
        Address of the node.
    path : str
        Path of the request.
    request_id : str
        Id of the request.
    headers : sequence of (str, str)
        Further headers.

    Attributes
    ----------
    received : bytes
        All that was received, until the node closed the connection.
    """

    def __init__(
        self, *, address: str, path: str, request_id: str, headers: Sequence[tuple[str, str]] = ()
    ) -> None:
        self._address = address
        self._path = path
        self._headers = headers
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.request_id = request_id
        self.received = b""

    @property
    def statuses(self) -> list[int]:
        """Statuses of the answers."""
        lines = self.received.split(b"\r\n")
        return [int(line.split()[1]) for line in lines if line.startswith(b"HTTP/1.1 ")]

    @property
    def is_answered(self) -> bool:
        """Whether the first answer came whole."""
        head, _, body = self.received.partition(b"\r\n\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        if b"transfer-encoding" in fields:
            return body.endswith(b"0\r\n\r\n")
        return bool(fields) and len(body) >= int(fields[b"content-length"])

    async def begin(self) -> None:
        """Send the head, and the first byte of the body."""
        host, _, port = self._address.rpartition(":")
        self._streams = await asyncio.open_connection(host, int(port))
        items = [
            ("Host", HOST),
            ("Authorization", f"Bearer {KEY}"),
            ("Request-Id", self.request_id),
            ("Deadline-Ms", "9000"),
            ("Content-Length", str(len(_BODY))),
            *self._headers,
        ]
        lines = [f"POST {self._path} HTTP/1.1", *(f"{name}: {value}" for name, value in items)]
        self._streams[1].write("\r\n".join([*lines, "", ""]).encode() + _BODY[:1])

    async def finish(self) -> None:
        """Send the rest, and read until the node closes the connection."""
        assert self._streams is not None
        reader, writer = self._streams
        writer.write(_BODY[1:])
        try:
            while part := await reader.read(65_536):
                self.received += part
        except ConnectionError:
            pass  # what was received says how far the answer came
        finally:
            writer.close()
