"""Layout of a revision in the object service.

One ``configuration/head`` object names the newest revision and its manifest. A manifest names the
chunks of the revision and holds the change from the revision before; a chunk holds the objects of
one hash bucket. The names of manifests and chunks begin with the number of the revision that they
were written for and hold the apply id, so that two publications never use the same name.
"""

import json
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from flamingoshelf.objects import Change, NamedObject, encode_objects
from flamingoshelf.utils import stable_hash

__all__ = [
    "CHUNK_PREFIX",
    "HEAD_KEY",
    "Head",
    "MANIFEST_PREFIX",
    "Manifest",
    "RevisionStep",
    "bucket_of",
    "encode_buckets",
    "revision_of",
    "suggest_bucket_count",
]

HEAD_KEY = "configuration/head"
CHUNK_PREFIX = "configuration/chunk/"
MANIFEST_PREFIX = "configuration/manifest/"
_MAX_OBJECTS_PER_BUCKET = 512
_MIN_OBJECTS_PER_BUCKET = 64
_MAX_CHANGE_BYTES = 64 * 1024


@attrs.frozen(kw_only=True)
class Head:
    """The newest revision.

    Parameters
    ----------
    revision : int
        Number of the revision; consecutive.
    manifest : str
        Key of its manifest.
    apply_id : str
        Identifier of the publication that wrote it.
    digest : str
        Digest of all objects of the revision, see `flamingoshelf.objects.Catalog.digest`.
    """

    revision: int
    manifest: str
    apply_id: str
    digest: str

    def encode(self) -> bytes:
        """Return the head as canonical JSON."""
        return _encode(attrs.asdict(self))

    @classmethod
    def decode(cls, data: bytes) -> "Head":
        """Return the head in `data`."""
        return cls(**json.loads(data))


@attrs.frozen(kw_only=True)
class RevisionStep:
    """The change from one revision to the next.

    Parameters
    ----------
    revision : int
        Number of the later revision.
    manifest, parent : str
        Keys of the manifests of the later and of the earlier revision.
    digest : str
        Digest of all objects of the later revision.
    change : Change or None
        The change; None if it is too large to store in the manifest.
    """

    revision: int
    manifest: str
    parent: str
    digest: str
    change: Change | None

    def encode(self) -> dict[str, Any]:
        """Return the step as a JSON document."""
        change = None if self.change is None else self.change.encode()
        return {**attrs.asdict(self, recurse=False), "change": change}

    @classmethod
    def decode(cls, document: Mapping[str, Any]) -> "RevisionStep":
        """Return the step in a JSON document."""
        change = document["change"]
        decoded = None if change is None else Change.decode(change)
        return cls(**{**document, "change": decoded})


@attrs.frozen(kw_only=True)
class Manifest:
    """Content of one revision and the step from its parent.

    Parameters
    ----------
    step : RevisionStep
        The step from the parent revision.
    chunks : tuple of str
        Keys of the chunks by bucket; an empty string for a bucket without objects.
    author, published_at : str
        Publisher and time of publication, as stated by the publisher.
    """

    step: RevisionStep
    chunks: tuple[str, ...]
    author: str = ""
    published_at: str = ""

    def encode(self) -> bytes:
        """Return the manifest as canonical JSON, without the change if it is too large."""
        document = {
            "step": self.step.encode(),
            "chunks": self.chunks,
            "author": self.author,
            "published_at": self.published_at,
        }
        if len(json.dumps(document["step"])) > _MAX_CHANGE_BYTES:
            document["step"] = attrs.evolve(self.step, change=None).encode()
        return _encode(document)

    @classmethod
    def decode(cls, data: bytes) -> "Manifest":
        """Return the manifest in `data`."""
        document = json.loads(data)
        return cls(
            step=RevisionStep.decode(document["step"]),
            chunks=tuple(document["chunks"]),
            author=document["author"],
            published_at=document["published_at"],
        )


def revision_of(key: str) -> int:
    """Return the revision that the manifest or chunk `key` was written for.

    Examples
    --------
    >>> revision_of("configuration/chunk/00000012-3-0f")
    12
    """
    return int(key.rsplit("/", 1)[-1].split("-", 1)[0])


def bucket_of(item: NamedObject, *, bucket_count: int) -> int:
    """Return the hash bucket of `item`."""
    return stable_hash(str(item.id)) % bucket_count


def suggest_bucket_count(object_count: int, *, current: int) -> int:
    """Return the number of buckets, a power of two, for `object_count` objects.

    `current` is kept while the average bucket has neither too many nor too few objects.

    Examples
    --------
    >>> suggest_bucket_count(36_000, current=1)
    128
    >>> suggest_bucket_count(30_000, current=128)
    128
    >>> suggest_bucket_count(100, current=128)
    1
    """
    count = current
    while object_count > count * _MAX_OBJECTS_PER_BUCKET:
        count *= 2
    while count > 1 and object_count < count * _MIN_OBJECTS_PER_BUCKET:
        count //= 2
    return count


def encode_buckets(
    objects: Iterable[NamedObject], *, bucket_count: int, wanted: set[int]
) -> dict[int, bytes]:
    """Return the encoded objects of each of the `wanted` buckets that is not empty."""
    buckets: dict[int, list[NamedObject]] = {}
    for item in objects:
        bucket = bucket_of(item, bucket_count=bucket_count)
        if bucket in wanted:
            buckets.setdefault(bucket, []).append(item)
    return {bucket: encode_objects(items) for bucket, items in buckets.items()}


def _encode(document: Mapping[str, Any]) -> bytes:
    return json.dumps(document, sort_keys=True, separators=(",", ":")).encode()
