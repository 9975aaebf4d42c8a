"""Callers of the gateway."""

import asyncio
import itertools
from collections.abc import Sequence

import attrs

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.http1 import BackendConnection, Headers, RequestHead
from flamingoshelf.utils import now_s

__all__ = ["Answer", "Caller"]

_request_numbers = itertools.count(1)


@attrs.define(kw_only=True)
class Answer:
    """Response that a caller received, as far as it came.

    Parameters
    ----------
    request_id : str
        Id of the request.
    status : int
        HTTP status, or 0 if no response head was received.
    headers : Headers
        Headers of the response.
    body : bytes
        Body, as far as it was received.
    is_complete : bool
        Whether the response was received to its regular end.
    failure : str
        Error because of which the response is incomplete, or an empty string.
    sent_s : float
        Event loop time at which the request was wholly sent, or 0.
    head_s : float
        Event loop time at which the head of the answer arrived, or 0.
    """

    request_id: str
    status: int = 0
    headers: Headers = Headers()
    body: bytes = b""
    is_complete: bool = False
    failure: str = ""
    sent_s: float = 0.0
    head_s: float = 0.0

    @property
    def events(self) -> list[int]:
        """Ids of the received server-sent events."""
        lines = self.body.decode(errors="replace").split("\n")
        return [int(line[4:]) for line in lines if line.startswith("id: ")]

    @property
    def versions(self) -> list[str]:
        """Software versions of the engines that made the received events."""
        lines = self.body.decode(errors="replace").split("\n")
        texts = [line.split() for line in lines if line.startswith("data: ")]
        return [text[3] for text in texts if len(text) == 4]


class Caller:
    """Client of the gateway; each request uses a new connection unless one is passed in.

    Parameters
    ----------
    host, key : str
        Host header and API key of the requests.
    """

    def __init__(self, *, host: str, key: str) -> None:
        self._host = host
        self._key = key

    async def call(
        self,
        address: str,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"",
        deadline_ms: int = 5000,
        tokens: tuple[int, int] | None = None,
        headers: Sequence[tuple[str, str]] = (),
        connection: BackendConnection | None = None,
        request_id: str | None = None,
    ) -> Answer:
        """Send a request to the node at `address` and return its answer, complete or not."""
        answer = Answer(request_id=request_id or f"q{next(_request_numbers):06d}")
        items = [
            ("Host", self._host),
            ("Request-Id", answer.request_id),
            ("Deadline-Ms", str(deadline_ms)),
            ("Content-Length", str(len(body))),
            *headers,
        ]
        if self._key:
            items.append(("Authorization", f"Bearer {self._key}"))
        if tokens is not None:
            items.append(("Token-Counts", f"{tokens[0]},{tokens[1]}"))
        head = RequestHead(method=method, target=path, headers=Headers(items))
        owns_connection = connection is None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                if connection is None:
                    connection = await BackendConnection.open(address, timeout_s=1.0)
                connection.send(head, body)
                answer.sent_s = now_s()
                response = await connection.read_head()
                answer.head_s = now_s()
                answer.status, answer.headers = response.status, response.headers
                while part := await connection.read():
                    answer.body += part
                answer.is_complete = True
        except (PeerUnreachableError, OutcomeUnknownError, TimeoutError) as error:
            answer.failure = repr(error)
        finally:
            if connection is not None:
                connection.finish()
                if owns_connection:
                    connection.close()
        return answer
