"""Answers of the engine stand-in: a function of the prompt alone, so that tests can check them."""

import hashlib
import math

__all__ = ["answer_length", "count_tokens", "digest_of", "expected_answer", "token_text"]

_BYTES_PER_TOKEN = 4


def count_tokens(text: str) -> int:
    """Return the number of tokens in `text`."""
    return math.ceil(len(text.encode()) / _BYTES_PER_TOKEN)


def token_text(prompt_digest: str, index: int) -> str:
    """Return the text of the answer's token at `index`."""
    return hashlib.blake2b(f"{prompt_digest}:{index}".encode(), digest_size=3).hexdigest() + " "


def answer_length(prompt_digest: str, max_tokens: int) -> int:
    """Return the number of tokens of the answer, between half of `max_tokens` and `max_tokens`."""
    fraction = int(prompt_digest[:4], 16) / 0xFFFF
    return max(1, math.ceil(max_tokens * (0.5 + 0.5 * fraction)))


def digest_of(prompt: str) -> str:
    """Return the digest of a prompt, which determines its answer."""
    return hashlib.blake2b(prompt.encode(), digest_size=16).hexdigest()


def expected_answer(prompt: str, max_tokens: int) -> str:
    """Return the complete answer to `prompt`."""
    digest = digest_of(prompt)
    return "".join(token_text(digest, index) for index in range(answer_length(digest, max_tokens)))
