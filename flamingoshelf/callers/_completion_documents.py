"""Answers in the format of the OpenAI API."""

import json
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

from flamingoshelf.backends import DecodedToken, DecodeEnd
from flamingoshelf.callers._completion_request import CompletionRequest
from flamingoshelf.refusals import Refusal

__all__ = ["AnswerWriter", "END_OF_STREAM"]

END_OF_STREAM = b"data: [DONE]\n\n"


@attrs.frozen(kw_only=True)
class AnswerWriter:
    """Builds the documents and server-sent events of one answer.

    Parameters
    ----------
    request_id : str
        Identifier sent with the answer.
    request : CompletionRequest
        The request that is answered.
    """

    request_id: str
    request: CompletionRequest

    def events(self, events: Iterable[DecodedToken | DecodeEnd], *, prompt_tokens: int) -> bytes:
        """Return server-sent events, one for each token and one for the end."""
        return b"".join(_server_sent_event(self._chunk(event, prompt_tokens)) for event in events)

    def failure_event(self, refusal: Refusal) -> bytes:
        """Return the server-sent event of a failed answer; ``[DONE]`` must not follow it."""
        outcome = {"reason": refusal.reason.value, "detail": refusal.detail, "outcome": "unknown"}
        return _server_sent_event({"id": self.request_id, "error": outcome})

    def complete_document(
        self, events: Sequence[DecodedToken | DecodeEnd], *, prompt_tokens: int
    ) -> dict[str, Any]:
        """Return the document of an answer that is not streamed."""
        *tokens, end = events
        assert isinstance(end, DecodeEnd)
        text = "".join(event.text for event in tokens if isinstance(event, DecodedToken))
        choice: dict[str, Any] = {"index": 0, "finish_reason": end.finish_reason}
        if self.request.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        document = self._common_fields(
            "chat.completion" if self.request.is_chat else "text_completion"
        )
        return document | {"choices": [choice], "usage": _usage(prompt_tokens, end)}

    def _chunk(self, event: DecodedToken | DecodeEnd, prompt_tokens: int) -> dict[str, Any]:
        document = self._common_fields(
            "chat.completion.chunk" if self.request.is_chat else "text_completion"
        )
        if isinstance(event, DecodeEnd):
            choice = self._choice("", event.finish_reason)
            return document | {"choices": [choice], "usage": _usage(prompt_tokens, event)}
        return document | {"choices": [self._choice(event.text, None)]}

    def _choice(self, text: str, finish_reason: str | None) -> dict[str, Any]:
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self.request.is_chat:
            choice["delta"] = {"content": text} if text else {}
        else:
            choice["text"] = text
        return choice

    def _common_fields(self, kind: str) -> dict[str, Any]:
        return {"id": self.request_id, "object": kind, "model": self.request.model}


def _server_sent_event(document: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(document, separators=(",", ":")).encode() + b"\n\n"


def _usage(prompt_tokens: int, end: DecodeEnd) -> dict[str, int]:
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": end.completion_tokens,
        "total_tokens": prompt_tokens + end.completion_tokens,
    }
