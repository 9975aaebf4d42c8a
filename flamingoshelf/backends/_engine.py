"""Interface of model engines and its HTTP client.

Steps of a request: `prefill` at a prefill engine, `import_kv` at a decode engine, which pulls the
KV cache from the prefill engine, then `decode`, a stream of tokens. `cancel` frees all that an
engine holds for a request id and may be repeated.
"""

import asyncio
import itertools
import json
from collections.abc import AsyncGenerator, AsyncIterator, Iterator, Mapping, Sequence
from typing import Any, Protocol

import aiosonic
import attrs
import cattrs
from aiosonic.exceptions import AiosonicError, BaseTimeout
from aiosonic.timeout import Timeouts

from flamingoshelf.exceptions import EngineError, ProtocolError
from flamingoshelf.http_client import new_http_client, read_content
from flamingoshelf.utils import Pacer

__all__ = [
    "DecodeEnd",
    "DecodedToken",
    "EngineClient",
    "EngineLoad",
    "HttpEngineClient",
    "PrefillResult",
    "PrefillTask",
]

_CONNECT_TIMEOUT_S = 1.0
_CANCEL_TIMEOUT_S = 2.0
_LOAD_TIMEOUT_S = 2.0
_MAX_LINE_BYTES = 256 * 1024  # an event carries one token
_MAX_PARTS_PER_TURN = 32  # chunks or events, each of which takes some 10 us
_CONNECTION_ERRORS = (AiosonicError, OSError, asyncio.IncompleteReadError, ValueError)


@attrs.frozen(kw_only=True)
class PrefillTask:
    """A prompt to process.

    Parameters
    ----------
    request_id : str
        Identifier of this attempt.
    model : str
        Model to run.
    prompt : str
        Text of the prompt.
    generated : sequence of str
        Tokens that the caller already has; used to resume an answer.
    priority : int
        Scheduling priority; a lower value is more urgent.
    """

    request_id: str
    model: str
    prompt: str
    generated: Sequence[str] = ()
    priority: int = 0


@attrs.frozen(kw_only=True)
class PrefillResult:
    """Result of a prefill, whose KV cache is held at the prefill engine.

    Parameters
    ----------
    request_id : str
        Identifier of the attempt.
    prompt_tokens : int
        Tokens of the prompt as the engine counts them.
    cached_tokens : int
        Prompt tokens found in the prefix cache.
    kv_bytes : int
        Size of the KV cache.
    lifetime_s : float
        Seconds until the engine drops the KV cache.
    """

    request_id: str
    prompt_tokens: int
    cached_tokens: int
    kv_bytes: int
    lifetime_s: float


@attrs.frozen(kw_only=True)
class DecodedToken:
    """One token of an answer.

    Parameters
    ----------
    request_id : str
        Identifier of the attempt that it belongs to.
    index : int
        Position in the answer, from 0.
    text : str
        Text of the token.
    """

    request_id: str
    index: int
    text: str


@attrs.frozen(kw_only=True)
class DecodeEnd:
    """End of a complete answer.

    Parameters
    ----------
    request_id : str
        Identifier of the attempt that it belongs to.
    finish_reason : str
        ``"stop"`` or ``"length"``.
    completion_tokens : int
        Number of tokens of the whole answer.
    """

    request_id: str
    finish_reason: str
    completion_tokens: int


@attrs.frozen(kw_only=True)
class EngineLoad:
    """Load as an engine reports it, with a lag.

    Parameters
    ----------
    held : tuple of str
        Identifiers of the attempts that hold memory at the engine.
    used_pieces : int
        Pieces of KV cache memory in use.
    queued : int
        Number of queued attempts.
    """

    held: tuple[str, ...]
    used_pieces: int
    queued: int


class EngineClient(Protocol):
    """Interface of a client of model engines; `address` is ``ip:port``.

    All methods raise `EngineError`, with `crashed` set if the connection failed or broke off, and
    may raise `ProtocolError` for a response that is not valid or belongs to another request.
    """

    async def prefill(self, address: str, task: PrefillTask, *, timeout_s: float) -> PrefillResult:
        """Process a prompt and keep its KV cache for a short time."""

    async def import_kv(
        self,
        address: str,
        *,
        request_id: str,
        source: str,
        prompt_tokens: int,
        max_tokens: int,
        timeout_s: float,
    ) -> None:
        """Have a decode engine pull a KV cache from the prefill engine at `source`."""

    def decode(
        self, address: str, *, request_id: str, from_index: int, stall_timeout_s: float
    ) -> AsyncGenerator[DecodedToken | DecodeEnd, None]:
        """Stream the tokens of an imported request, starting at `from_index`."""

    async def cancel(self, address: str, request_id: str) -> None:
        """Free all that the engine holds for `request_id`; return once the engine confirmed.

        A refused connection counts as confirmation: no engine process runs, so nothing is held.
        """

    async def load(self, address: str) -> EngineLoad:
        """Return the engine's load."""


class HttpEngineClient:
    """Client of engines over HTTP; implements `EngineClient`."""

    def __init__(self) -> None:
        self._client = new_http_client()
        self._converter = cattrs.Converter()
        self._pacer = Pacer()

    async def prefill(self, address: str, task: PrefillTask, *, timeout_s: float) -> PrefillResult:
        """Process a prompt and keep its KV cache for a short time."""
        body = attrs.asdict(task)
        answer = await self._post(address, "/prefill", body, step="prefill", timeout_s=timeout_s)
        self._check_id(answer, task.request_id, step="prefill", address=address)
        return self._converter.structure(answer, PrefillResult)

    async def import_kv(
        self,
        address: str,
        *,
        request_id: str,
        source: str,
        prompt_tokens: int,
        max_tokens: int,
        timeout_s: float,
    ) -> None:
        """Have a decode engine pull a KV cache from the prefill engine at `source`."""
        body = {
            "request_id": request_id,
            "source": source,
            "tokens": prompt_tokens,
            "max_tokens": max_tokens,
        }
        answer = await self._post(address, "/import", body, step="transfer", timeout_s=timeout_s)
        self._check_id(answer, request_id, step="transfer", address=address)

    async def decode(
        self, address: str, *, request_id: str, from_index: int, stall_timeout_s: float
    ) -> AsyncGenerator[DecodedToken | DecodeEnd, None]:
        """Stream the tokens of an imported request, starting at `from_index`."""
        response = None
        try:
            response = await self._client.post(
                f"http://{address}/decode",
                json={"request_id": request_id, "from_index": from_index},
                headers={"Connection": "close"},
                timeouts=_timeouts(stall_timeout_s, request_timeout_s=None),
            )
            if response.status_code != 200:
                raise _status_error(response.status_code, step="decode", address=address)
            async for event in _events(response, stall_timeout_s, self._pacer):
                yield _parse_event(event, request_id=request_id, address=address)
        except (BaseTimeout, TimeoutError) as error:
            raise EngineError("stream stalled", step="decode", peer=address) from error
        except _CONNECTION_ERRORS as error:
            raise EngineError(repr(error), step="decode", peer=address, crashed=True) from error
        finally:
            if response is not None:
                await response.aclose()

    async def cancel(self, address: str, request_id: str) -> None:
        """Free all that the engine holds for `request_id`; return once the engine confirmed."""
        body = {"request_id": request_id}
        try:
            await self._post(address, "/cancel", body, step="cancel", timeout_s=_CANCEL_TIMEOUT_S)
        except EngineError as error:
            if not isinstance(error.__cause__, ConnectionRefusedError):
                raise

    async def load(self, address: str) -> EngineLoad:
        """Return the engine's load."""
        answer = await self._post(address, "/load", {}, step="load", timeout_s=_LOAD_TIMEOUT_S)
        return self._converter.structure(answer, EngineLoad)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.connector.cleanup()

    async def _post(
        self, address: str, path: str, body: Mapping[str, Any], *, step: str, timeout_s: float
    ) -> Any:
        try:
            response = await self._client.post(
                f"http://{address}{path}",
                json=dict(body),
                timeouts=_timeouts(timeout_s, request_timeout_s=timeout_s),
            )
            content = await read_content(response)
        except (BaseTimeout, TimeoutError) as error:
            raise EngineError("timeout", step=step, peer=address) from error
        except _CONNECTION_ERRORS as error:
            raise EngineError(repr(error), step=step, peer=address, crashed=True) from error
        if response.status_code != 200:
            raise _status_error(response.status_code, step=step, address=address)
        try:
            return json.loads(content)
        except ValueError as error:
            raise ProtocolError("response is not JSON", step=step, peer=address) from error

    @staticmethod
    def _check_id(answer: Any, request_id: str, *, step: str, address: str) -> None:
        if not isinstance(answer, dict) or answer.get("request_id") != request_id:
            raise ProtocolError("response has another request id", step=step, peer=address)


def _timeouts(read_s: float, *, request_timeout_s: float | None) -> Timeouts:
    return Timeouts(
        sock_connect=_CONNECT_TIMEOUT_S, sock_read=read_s, request_timeout=request_timeout_s
    )


def _status_error(status: int, *, step: str, address: str) -> EngineError:
    return EngineError(f"status {status}", step=step, peer=address, status=status)


async def _events(
    response: aiosonic.HttpResponse, stall_timeout_s: float, pacer: Pacer
) -> AsyncIterator[Mapping[str, Any]]:
    """Yield the JSON document of every server-sent event.

    Raises
    ------
    TimeoutError
        No data arrived for `stall_timeout_s` seconds.
    ProtocolError
        A line has no end.
    """
    pending = bytearray()
    parts = itertools.count(1)
    chunks = response.read_chunks()
    while True:
        async with asyncio.timeout(stall_timeout_s):
            chunk = await anext(chunks, None)
        if chunk is None:
            return
        await _pause_after_many(pacer, parts)
        pending += chunk
        if b"\n" not in chunk:
            if len(pending) > _MAX_LINE_BYTES:
                raise ProtocolError("an event has no end", step="decode")
            continue
        *lines, pending = pending.split(b"\n")
        for line in lines:
            if line.startswith(b"data: "):
                yield json.loads(line[6:])
                await _pause_after_many(pacer, parts)


async def _pause_after_many(pacer: Pacer, parts: Iterator[int]) -> None:
    """Let other work run after a number of parts; those that have arrived are read at once."""
    if next(parts) % _MAX_PARTS_PER_TURN == 0:
        await pacer.turn()


def _parse_event(
    event: Mapping[str, Any], *, request_id: str, address: str
) -> DecodedToken | DecodeEnd:
    if event.get("request_id") != request_id:
        raise ProtocolError("event has another request id", step="decode", peer=address)
    if event.get("done"):
        return DecodeEnd(
            request_id=request_id,
            finish_reason=event["finish_reason"],
            completion_tokens=event["completion_tokens"],
        )
    return DecodedToken(request_id=request_id, index=event["index"], text=event["text"])
