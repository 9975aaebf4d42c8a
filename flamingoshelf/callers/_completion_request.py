"""Parsing and validation of completion requests."""

import json
import math
from typing import Any

import attrs
from result import Err, Ok, Result

from flamingoshelf.callers._prefix_blocks import prefix_hashes
from flamingoshelf.objects import Catalog, Kind, ModelVersion
from flamingoshelf.quarantine import content_digest, part_keys
from flamingoshelf.refusals import Refusal, RefusalReason
from flamingoshelf.utils import check_range

__all__ = ["CompletionRequest", "parse_completion"]

_DEFAULT_MAX_TOKENS = 256
_TEMPLATE_TOKEN_ALLOWANCE = 16


@attrs.frozen(kw_only=True)
class CompletionRequest:
    """A validated completion request.

    Parameters
    ----------
    model : str
        Model to run.
    prompt : str
        Text of the prompt.
    prompt_tokens : int
        Upper bound of the number of prompt tokens.
    max_tokens : int
        Maximum number of answer tokens.
    stream : bool
        Whether the answer is sent token by token.
    is_chat : bool
        Whether it is a chat completion.
    messages : tuple of str
        Role and text of each message of a chat, of which the prompt consists.
    """

    model: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    stream: bool
    is_chat: bool
    messages: tuple[str, ...] = ()

    @property
    def content_keys(self) -> tuple[str, ...]:
        """Keys of the whole prompt, and of each part that other prompts may have, too."""
        parts = self.messages or [
            f"{value:x}" for value in prefix_hashes(self.prompt, max_blocks=None)
        ]
        return (content_digest(self.model, self.prompt), *part_keys(self.model, parts))


def parse_completion(
    body: bytes, *, is_chat: bool, catalog: Catalog
) -> Result[CompletionRequest, Refusal]:
    """Return the request in `body`, or a refusal.

    The message of a ValueError raised while parsing becomes the detail that the caller gets.
    """
    try:
        document = json.loads(body)
        if not isinstance(document, dict):
            raise ValueError("the body must be a JSON object")
        messages = _chat_messages(document) if is_chat else ()
        prompt = "\n".join(messages) if is_chat else _required_text(document, "prompt")
        model_name = _required_text(document, "model")
        max_tokens = _max_tokens(document)
        stream = _optional_flag(document, "stream")
    except (ValueError, RecursionError) as error:
        return Err(_refusal(RefusalReason.MALFORMED_REQUEST, str(error), 400))
    model = catalog.model(model_name)
    if model is None:
        detail = f"There is no model {model_name!r}."
        return Err(_refusal(RefusalReason.UNKNOWN_MODEL, detail, 404))
    version = catalog.get(Kind.MODEL_VERSION, model.version)
    assert isinstance(version, ModelVersion)
    prompt_tokens = _prompt_token_bound(prompt, version)
    if prompt_tokens + max_tokens > version.context_tokens:
        detail = (
            f"Prompt ({prompt_tokens} tokens at most) and max_tokens ({max_tokens}) exceed the "
            f"{version.context_tokens} tokens of {model_name!r}."
        )
        return Err(_refusal(RefusalReason.REQUEST_TOO_LARGE, detail, 400))
    return Ok(
        CompletionRequest(
            model=model_name,
            prompt=prompt,
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            stream=stream,
            is_chat=is_chat,
            messages=messages,
        )
    )


def _prompt_token_bound(prompt: str, version: ModelVersion) -> int:
    """Return an upper bound of the prompt tokens that the engine counts, template included."""
    return (
        math.ceil(len(prompt.encode()) * version.tokens_per_byte_bound) + _TEMPLATE_TOKEN_ALLOWANCE
    )


def _chat_messages(document: dict[str, Any]) -> tuple[str, ...]:
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise ValueError("messages must be a list with at least one message")
    lines = []
    for position, entry in enumerate(messages):
        if not isinstance(entry, dict):
            raise ValueError(f"messages[{position}] must be an object")
        role = entry.get("role")
        content = entry.get("content")
        if not isinstance(role, str) or not isinstance(content, str):
            raise ValueError(f"messages[{position}] must have a role and a content, both text")
        lines.append(f"{role}: {content}")
    return tuple(lines)


def _required_text(document: dict[str, Any], field: str) -> str:
    value = document.get(field)
    if not isinstance(value, str) or not value:
        raise ValueError(f"{field} must be text with at least one character")
    return value


def _max_tokens(document: dict[str, Any]) -> int:
    for field in ("max_completion_tokens", "max_tokens"):
        value = document.get(field)
        if value is None:
            continue
        if not isinstance(value, int):
            raise ValueError(f"{field} is {value!r}; it must be a whole number")
        check_range(field, value, low=1, high=1_000_000)
        return value
    return _DEFAULT_MAX_TOKENS


def _optional_flag(document: dict[str, Any], field: str) -> bool:
    value = document.get(field, False)
    if not isinstance(value, bool):
        raise ValueError(f"{field} is {value!r}; it must be true or false")
    return value


def _refusal(reason: RefusalReason, detail: str, status: int) -> Refusal:
    return Refusal(reason=reason, status=status, detail=detail, not_run=True, step="parse")
