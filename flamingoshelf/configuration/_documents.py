"""Layout of a revision in the object service.

One ``configuration/head`` object names the newest revision and its manifest. A manifest lists
chunks; a chunk holds the objects of one hash bucket. Manifests and chunks are named by the digest
of their content, so they never change once written.
"""

import hashlib
import json
from collections.abc import Iterable, Sequence

import attrs

from flamingoshelf.objects import NamedObject, encode_objects
from flamingoshelf.utils import stable_hash

__all__ = [
    "HEAD_KEY",
    "Head",
    "Manifest",
    "chunk_key",
    "content_digest",
    "manifest_key",
    "split_into_chunks",
]

HEAD_KEY = "configuration/head"
_OBJECTS_PER_CHUNK = 512


@attrs.frozen(kw_only=True)
class Head:
    """The newest revision.

    Parameters
    ----------
    revision : int
        Number of the revision, one above the one before.
    manifest : str
        Digest of its manifest.
    apply_id : str
        Identifier of the publication that made it.
    """

    revision: int
    manifest: str
    apply_id: str

    def encode(self) -> bytes:
        """Return the head as canonical JSON."""
        return json.dumps(attrs.asdict(self), sort_keys=True).encode()

    @classmethod
    def decode(cls, data: bytes) -> "Head":
        """Return the head in `data`."""
        return cls(**json.loads(data))


@attrs.frozen(kw_only=True)
class Manifest:
    """Chunks of a revision and the revision that it was made from."""

    chunks: tuple[str, ...]
    parent: str

    def encode(self) -> bytes:
        """Return the manifest as canonical JSON."""
        return json.dumps(attrs.asdict(self), sort_keys=True).encode()

    @classmethod
    def decode(cls, data: bytes) -> "Manifest":
        """Return the manifest in `data`."""
        document = json.loads(data)
        return cls(chunks=tuple(document["chunks"]), parent=document["parent"])


def content_digest(data: bytes) -> str:
    """Return the digest that names content, 32 hexadecimal digits."""
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def chunk_key(digest: str) -> str:
    """Return the name of a chunk in the object service."""
    return f"configuration/chunk/{digest}"


def manifest_key(digest: str) -> str:
    """Return the name of a manifest in the object service."""
    return f"configuration/manifest/{digest}"


def split_into_chunks(objects: Iterable[NamedObject]) -> Sequence[bytes]:
    """Return the encoded chunks of a set, one for each hash bucket that is not empty.

    Notes
    -----
    The number of buckets is a power of two, so that most changes rewrite one chunk only.
    """
    listed = list(objects)
    bucket_count = 1
    while len(listed) > bucket_count * _OBJECTS_PER_CHUNK:
        bucket_count *= 2
    buckets: dict[int, list[NamedObject]] = {}
    for item in listed:
        bucket = stable_hash(str(item.id)) % bucket_count
        buckets.setdefault(bucket, []).append(item)
    return [encode_objects(buckets[bucket]) for bucket in sorted(buckets)]
