"""Random identifiers, and hashes that are the same on every node."""

import hashlib
import secrets
from collections.abc import Iterable

__all__ = ["new_apply_id", "new_incarnation", "rendezvous_rank", "stable_hash"]


def new_incarnation() -> str:
    """Return an identifier for one run of one process, 16 hexadecimal digits."""
    return secrets.token_hex(8)


def new_apply_id() -> str:
    """Return an identifier for one publication, 32 hexadecimal digits."""
    return secrets.token_hex(16)


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash of `parts` that is the same in every process.

    Examples
    --------
    >>> stable_hash("a", "b") == stable_hash("a", "b")
    True
    >>> stable_hash("ab") == stable_hash("a", "b")
    False
    """
    digest = hashlib.blake2b("\x00".join(parts).encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def rendezvous_rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Return `candidates` ordered by rendezvous hashing for `key`, best first.

    Notes
    -----
    When a candidate is removed, only the keys that ranked it first get another first candidate.

    Examples
    --------
    >>> full = rendezvous_rank("k", ["a", "b", "c"])
    >>> rendezvous_rank("k", [c for c in ["a", "b", "c"] if c != full[0]]) == full[1:]
    True
    """
    return sorted(candidates, key=lambda candidate: stable_hash(key, candidate), reverse=True)
