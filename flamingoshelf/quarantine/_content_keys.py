"""Keys of what requests may have in common: the whole content, or a part of it."""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

__all__ = ["content_digest", "part_key", "part_keys"]

_PART_DIGEST_BYTES = 12
_MAX_PARTS = 4096  # of a prompt; a head of 16 KiB, a usual limit, has room for no more
_KEPT_KEYS = 2048  # prompts share parts, so their keys are computed, and kept in memory, once


def content_digest(model: str, prompt: str) -> str:
    """Return the key of a whole content, a prompt for a model.

    Examples
    --------
    >>> len(content_digest("writer", "Value the van."))
    32
    """
    return hashlib.blake2b(f"{model}\x00{prompt}".encode(), digest_size=16).hexdigest()


def part_keys(model: str, parts: Iterable[str]) -> tuple[str, ...]:
    """Return the keys of the parts of a prompt for a model, without repeats.

    Either each part has a key or none has: crashes under a part without one would be held against
    the others. So a prompt of too many parts is told apart as a whole only.

    Examples
    --------
    >>> part_keys("writer", ["a", "b", "a"]) == (part_key("writer", "a"), part_key("writer", "b"))
    True
    """
    different = dict.fromkeys(parts)
    if len(different) > _MAX_PARTS:
        return ()
    return tuple(part_key(model, part) for part in different)


@lru_cache(maxsize=_KEPT_KEYS)
def part_key(model: str, part: str) -> str:
    """Return the key of a part of a prompt for a model.

    Examples
    --------
    >>> part_key("writer", "5c1e07a2") == part_key("other", "5c1e07a2")
    False
    """
    digest = hashlib.blake2b(f"{model}\x00{part}".encode(), digest_size=_PART_DIGEST_BYTES)
    return f"part-{digest.hexdigest()}"
