"""Endpoints for completions, in the shape of the OpenAI API."""

import itertools
import json
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing
from typing import Any

import attrs
from result import Err
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse

from flamingoshelf.backends import DecodedToken, DecodeEnd
from flamingoshelf.callers._admission import Admission
from flamingoshelf.callers._authentication import Caller
from flamingoshelf.callers._completion_request import CompletionRequest, parse_completion
from flamingoshelf.callers._completion_run import CompletionRun, CompletionRunner, RefusedError
from flamingoshelf.callers._disconnects import while_connected
from flamingoshelf.refusals import Refusal, RefusalReason

__all__ = ["CompletionEndpoints"]

_CLIENT_GONE = 499


@attrs.define(kw_only=True)
class _Answer:
    """Texts of an answer and its end."""

    texts: list[str] = attrs.field(factory=list)
    end: DecodeEnd | None = None


class CompletionEndpoints:
    """``/v1/chat/completions``, ``/v1/completions`` and ``/v1/models``.

    Parameters
    ----------
    admission : Admission
        Checks that all endpoints share.
    runner : CompletionRunner
        What the runs of one node share.
    incarnation : str
        Identifier of this run of the node's process.
    """

    def __init__(self, *, admission: Admission, runner: CompletionRunner, incarnation: str) -> None:
        self._admission = admission
        self._runner = runner
        self._incarnation = incarnation
        self._numbers = itertools.count(1)

    async def chat(self, request: Request) -> Response:
        """Answer ``POST /v1/chat/completions``."""
        return await self._complete(request, is_chat=True)

    async def text(self, request: Request) -> Response:
        """Answer ``POST /v1/completions``."""
        return await self._complete(request, is_chat=False)

    async def models(self, request: Request) -> Response:
        """Answer ``GET /v1/models``."""
        admitted = self._admission.authenticate(request)
        if isinstance(admitted, Err):
            return self._admission.refuse(admitted.err_value)
        names = self._admission.catalog.model_names()
        entries = [{"id": name, "object": "model", "owned_by": "flamingoshelf"} for name in names]
        return JSONResponse({"object": "list", "data": entries})

    async def _complete(self, request: Request, *, is_chat: bool) -> Response:
        admitted = self._admission.authenticate(request)
        if isinstance(admitted, Err):
            return self._admission.refuse(admitted.err_value)
        body = await self._admission.read_body(request)
        if isinstance(body, Err):
            return self._admission.refuse(body.err_value)
        catalog = self._admission.catalog
        parsed = parse_completion(body.ok_value, is_chat=is_chat, catalog=catalog)
        if isinstance(parsed, Err):
            return self._admission.refuse(parsed.err_value)
        completion = parsed.ok_value
        run = self._new_run(completion, admitted.ok_value)
        if isinstance(run, Refusal):
            return self._admission.refuse(run)
        if completion.stream:
            return await self._stream(request, completion, run)
        return await self._whole(request, completion, run)

    def _new_run(self, completion: CompletionRequest, caller: Caller) -> CompletionRun | Refusal:
        workspace = self._admission.catalog.workspace(caller.workspace)
        if workspace is None:
            return Refusal(
                reason=RefusalReason.UNKNOWN_KEY,
                status=401,
                detail="The key's workspace does not exist.",
                not_run=True,
            )
        return CompletionRun(
            runner=self._runner,
            request=completion,
            workspace_name=caller.workspace,
            workspace=workspace,
            request_id=f"{self._incarnation}.{next(self._numbers)}",
        )

    async def _whole(
        self, request: Request, completion: CompletionRequest, run: CompletionRun
    ) -> Response:
        try:
            answer = await while_connected(request, _collect(run))
        except RefusedError as error:
            return self._admission.refuse(error.refusal)
        if answer is None:
            return Response(status_code=_CLIENT_GONE)
        return JSONResponse(_whole_document(completion, run, answer))

    async def _stream(
        self, request: Request, completion: CompletionRequest, run: CompletionRun
    ) -> Response:
        """Answer once the first event is there, so that a refusal is still a plain response."""
        events = run.tokens()
        try:
            first = await while_connected(request, anext(events))
        except RefusedError as error:
            return self._admission.refuse(error.refusal)
        if first is None:
            return Response(status_code=_CLIENT_GONE)
        return StreamingResponse(
            _server_sent_events(completion, run, first, events), media_type="text/event-stream"
        )


async def _collect(run: CompletionRun) -> _Answer:
    answer = _Answer()
    async with aclosing(run.tokens()) as events:
        async for event in events:
            if isinstance(event, DecodeEnd):
                answer.end = event
            else:
                answer.texts.append(event.text)
    return answer


async def _server_sent_events(
    completion: CompletionRequest,
    run: CompletionRun,
    first: DecodedToken | DecodeEnd,
    events: AsyncGenerator[DecodedToken | DecodeEnd, None],
) -> AsyncIterator[bytes]:
    """Yield the answer as events; a cut answer ends without the closing event."""
    async with aclosing(events):
        yield _encode_event(_event_document(completion, run, first))
        async for event in events:
            yield _encode_event(_event_document(completion, run, event))
        yield b"data: [DONE]\n\n"


def _encode_event(document: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(document, separators=(",", ":")).encode() + b"\n\n"


def _event_document(
    completion: CompletionRequest, run: CompletionRun, event: DecodedToken | DecodeEnd
) -> dict[str, Any]:
    is_end = isinstance(event, DecodeEnd)
    text = "" if isinstance(event, DecodeEnd) else event.text
    choice: dict[str, Any] = {"index": 0}
    if completion.is_chat:
        choice["delta"] = {} if is_end else {"content": text}
    else:
        choice["text"] = text
    choice["finish_reason"] = event.finish_reason if isinstance(event, DecodeEnd) else None
    document: dict[str, Any] = {
        "id": run.request_id,
        "model": completion.model,
        "choices": [choice],
    }
    document["object"] = "chat.completion.chunk" if completion.is_chat else "text_completion"
    if isinstance(event, DecodeEnd):
        document["usage"] = _usage(run, event)
    return document


def _whole_document(
    completion: CompletionRequest, run: CompletionRun, answer: _Answer
) -> dict[str, Any]:
    assert answer.end is not None
    text = "".join(answer.texts)
    choice: dict[str, Any] = {"index": 0, "finish_reason": answer.end.finish_reason}
    if completion.is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": run.request_id,
        "object": "chat.completion" if completion.is_chat else "text_completion",
        "model": completion.model,
        "choices": [choice],
        "usage": _usage(run, answer.end),
    }


def _usage(run: CompletionRun, end: DecodeEnd) -> dict[str, int]:
    return {
        "prompt_tokens": run.prompt_tokens,
        "completion_tokens": end.completion_tokens,
        "total_tokens": run.prompt_tokens + end.completion_tokens,
    }
