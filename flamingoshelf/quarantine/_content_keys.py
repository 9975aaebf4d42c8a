"""Keys of what requests may have in common: the whole content, or a part of it."""

import hashlib

__all__ = ["content_digest", "part_key"]

_PART_DIGEST_BYTES = 12


def content_digest(model: str, prompt: str) -> str:
    """Return the key of a whole content, a prompt for a model.

    Examples
    --------
    >>> len(content_digest("writer", "Value the van."))
    32
    """
    return hashlib.blake2b(f"{model}\x00{prompt}".encode(), digest_size=16).hexdigest()


def part_key(model: str, part: str) -> str:
    """Return the key of a part of a prompt for a model.

    Examples
    --------
    >>> part_key("writer", "5c1e07a2") == part_key("other", "5c1e07a2")
    False
    """
    digest = hashlib.blake2b(f"{model}\x00{part}".encode(), digest_size=_PART_DIGEST_BYTES)
    return f"part-{digest.hexdigest()}"
