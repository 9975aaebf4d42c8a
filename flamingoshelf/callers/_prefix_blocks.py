"""Hashes of a prompt's leading blocks, for the prefix caches of engines."""

import hashlib

__all__ = ["prefix_hashes"]

_BLOCK_CHARS = 1024
_MAX_BLOCKS = 32
_HASH_BYTES = 8


def prefix_hashes(prompt: str, *, max_blocks: int | None = _MAX_BLOCKS) -> tuple[int, ...]:
    """Return a hash for each leading complete block of the prompt, all with `max_blocks` None.

    Each hash covers its block and all blocks before it.

    Examples
    --------
    >>> first = prefix_hashes("a" * 2048 + "b")
    >>> second = prefix_hashes("a" * 1024 + "c" * 1024)
    >>> len(first), first[0] == second[0], first[1] == second[1]
    (2, True, False)
    """
    digest = hashlib.blake2b(digest_size=_HASH_BYTES)
    hashes = []
    blocks = len(prompt) // _BLOCK_CHARS
    for block in range(blocks if max_blocks is None else min(max_blocks, blocks)):
        digest.update(prompt[block * _BLOCK_CHARS : (block + 1) * _BLOCK_CHARS].encode())
        hashes.append(int.from_bytes(digest.digest(), "big"))
    return tuple(hashes)
