"""Endpoints for completions, compatible with the OpenAI API."""

import itertools
from collections.abc import AsyncIterator

from result import Err, Ok, Result
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from flamingoshelf.backends import DecodedToken, DecodeEnd
from flamingoshelf.callers._admission import Admission
from flamingoshelf.callers._answer_buffer import AnswerBuffer
from flamingoshelf.callers._authentication import Caller
from flamingoshelf.callers._completion_documents import END_OF_STREAM, AnswerWriter
from flamingoshelf.callers._completion_request import CompletionRequest, parse_completion
from flamingoshelf.callers._completion_run import (
    CompletionDependencies,
    CompletionRun,
    RefusedError,
)
from flamingoshelf.callers._streams import (
    CallerDisconnectedError,
    TimedStreamingResponse,
    run_until_disconnect,
)
from flamingoshelf.refusals import Refusal, RefusalReason

__all__ = ["CompletionEndpoints"]

_CLIENT_CLOSED_REQUEST_STATUS = 499


class CompletionEndpoints:
    """Endpoints ``/v1/chat/completions``, ``/v1/completions`` and ``/v1/models``.

    Parameters
    ----------
    admission : Admission
        Checks shared by all endpoints.
    dependencies : CompletionDependencies
        Dependencies shared by all completion runs of a node.
    incarnation : str
        Identifier of this run of the node's process.
    """

    def __init__(
        self, *, admission: Admission, dependencies: CompletionDependencies, incarnation: str
    ) -> None:
        self._admission = admission
        self._dependencies = dependencies
        self._incarnation = incarnation
        self._request_numbers = itertools.count(1)

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
        prepared = await self._prepare(request, is_chat=is_chat)
        if isinstance(prepared, Err):
            return self._admission.refuse(prepared.err_value)
        run = prepared.ok_value
        writer = AnswerWriter(request_id=run.request_id, request=run.request)
        buffer = AnswerBuffer(source=run)
        buffer.start()
        try:
            if run.request.stream:
                return await self._streaming_response(request, run, buffer, writer)
            return await self._complete_response(request, run, buffer, writer)
        except RefusedError as error:
            await buffer.stop()
            return self._admission.refuse(error.refusal)
        except CallerDisconnectedError:
            await buffer.stop()
            return Response(status_code=_CLIENT_CLOSED_REQUEST_STATUS)
        except BaseException:
            await buffer.stop()
            raise

    async def _prepare(self, request: Request, *, is_chat: bool) -> Result[CompletionRun, Refusal]:
        admitted = self._admission.authenticate(request)
        if isinstance(admitted, Err):
            return admitted
        body = await self._admission.read_body(request)
        if isinstance(body, Err):
            return body
        catalog = self._admission.catalog
        parsed = parse_completion(body.ok_value, is_chat=is_chat, catalog=catalog)
        if isinstance(parsed, Err):
            return parsed
        return self._new_run(parsed.ok_value, admitted.ok_value)

    def _new_run(
        self, completion: CompletionRequest, caller: Caller
    ) -> Result[CompletionRun, Refusal]:
        workspace = self._admission.catalog.workspace(caller.workspace)
        if workspace is None:
            return Err(_unknown_workspace())
        run = CompletionRun(
            dependencies=self._dependencies,
            request=completion,
            workspace_name=caller.workspace,
            workspace=workspace,
            request_id=f"{self._incarnation}.{next(self._request_numbers)}",
        )
        return Ok(run)

    async def _complete_response(
        self, request: Request, run: CompletionRun, buffer: AnswerBuffer, writer: AnswerWriter
    ) -> Response:
        events: list[DecodedToken | DecodeEnd] = []
        while batch := await run_until_disconnect(request, buffer.next_events()):
            events += batch
        return JSONResponse(writer.complete_document(events, prompt_tokens=run.prompt_tokens))

    async def _streaming_response(
        self, request: Request, run: CompletionRun, buffer: AnswerBuffer, writer: AnswerWriter
    ) -> Response:
        """Wait for the first event, so that an earlier refusal is an ordinary response."""
        first = await run_until_disconnect(request, buffer.next_events())
        return TimedStreamingResponse(
            _stream_events(run, buffer, writer, first), on_close=buffer.stop
        )


async def _stream_events(
    run: CompletionRun,
    buffer: AnswerBuffer,
    writer: AnswerWriter,
    first: list[DecodedToken | DecodeEnd],
) -> AsyncIterator[bytes]:
    """Yield the answer; a failed one ends with an error event and without ``[DONE]``."""
    try:
        events = first
        while events:
            yield writer.events(events, prompt_tokens=run.prompt_tokens)
            events = await buffer.next_events()
        yield END_OF_STREAM
    except RefusedError as error:
        yield writer.failure_event(error.refusal)
        raise


def _unknown_workspace() -> Refusal:
    return Refusal(
        reason=RefusalReason.UNKNOWN_KEY,
        status=401,
        detail="The key's workspace does not exist.",
        not_run=True,
    )
