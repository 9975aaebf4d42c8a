"""Reads and publishes revisions in the object service."""

import asyncio

import attrs

from flamingoshelf.base import ObjectService, VersionedObject
from flamingoshelf.configuration._documents import (
    HEAD_KEY,
    Head,
    Manifest,
    chunk_key,
    content_digest,
    manifest_key,
    split_into_chunks,
)
from flamingoshelf.exceptions import ConfigurationError, ConflictError, OutcomeUnknownError
from flamingoshelf.objects import Catalog, NamedObject, check_objects, decode_objects
from flamingoshelf.utils import new_apply_id

__all__ = ["PublishedRevision", "Repository"]

_READ_ATTEMPTS = 5
_READ_RETRY_S = 0.2


@attrs.frozen(kw_only=True)
class PublishedRevision:
    """A revision as it stands in the object service.

    Parameters
    ----------
    catalog : Catalog
        Its objects.
    head : Head or None
        Its head; None before the first publication.
    head_version : int
        Version of the head object.
    """

    catalog: Catalog
    head: Head | None
    head_version: int


class Repository:
    """Revisions in the object service.

    Parameters
    ----------
    store : ObjectService
        The platform's object service.
    """

    def __init__(self, *, store: ObjectService) -> None:
        self._store = store

    async def newest(self) -> PublishedRevision:
        """Return the newest revision."""
        stored = await self._store.get(HEAD_KEY)
        if stored is None:
            empty = Catalog(revision=0, objects=())
            return PublishedRevision(catalog=empty, head=None, head_version=0)
        return await self.load(stored)

    async def load(self, stored_head: VersionedObject) -> PublishedRevision:
        """Return the revision that a head object names."""
        head = Head.decode(stored_head.value)
        manifest = Manifest.decode(await self._read(manifest_key(head.manifest)))
        chunks = [await self._read(chunk_key(digest)) for digest in manifest.chunks]
        objects = [item for chunk in chunks for item in decode_objects(chunk)]
        return PublishedRevision(
            catalog=Catalog(revision=head.revision, objects=objects),
            head=head,
            head_version=stored_head.version,
        )

    async def publish(self, objects: list[NamedObject], *, base: PublishedRevision) -> int:
        """Publish `objects` as the revision after `base` and return its number.

        Raises
        ------
        ConfigurationError
            The set is not consistent; nothing was published.
        ConflictError
            Another revision was published after `base`.
        ObjectServiceError
            Nothing was published.
        OutcomeUnknownError
            It could not be learned whether the revision was published.
        """
        problems = check_objects(objects)
        if problems:
            raise ConfigurationError("\n".join(problems), step="check")
        manifest = await self._write_content(objects, base=base)
        head = Head(revision=base.catalog.revision + 1, manifest=manifest, apply_id=new_apply_id())
        await self._move_head(head, expected_version=base.head_version)
        return head.revision

    async def _write_content(self, objects: list[NamedObject], *, base: PublishedRevision) -> str:
        digests = []
        for chunk in split_into_chunks(objects):
            digest = content_digest(chunk)
            await self._write_once(chunk_key(digest), chunk)
            digests.append(digest)
        parent = "" if base.head is None else base.head.manifest
        manifest = Manifest(chunks=tuple(digests), parent=parent).encode()
        digest = content_digest(manifest)
        await self._write_once(manifest_key(digest), manifest)
        return digest

    async def _write_once(self, key: str, value: bytes) -> None:
        """Write content that is named by its digest; an existing object is the same content."""
        for _ in range(_READ_ATTEMPTS):
            try:
                await self._store.put(key, value, expected_version=0)
            except ConflictError:
                return
            except OutcomeUnknownError:
                await asyncio.sleep(_READ_RETRY_S)
                continue
            return
        raise OutcomeUnknownError(f"{key} may not be written", step="publish")

    async def _move_head(self, head: Head, *, expected_version: int) -> None:
        try:
            await self._store.put(HEAD_KEY, head.encode(), expected_version=expected_version)
        except (ConflictError, OutcomeUnknownError) as error:
            if not await self._is_published(head):
                raise ConflictError(
                    f"another revision was published before revision {head.revision}",
                    step="publish",
                ) from error

    async def _is_published(self, head: Head) -> bool:
        """Return whether `head` was written, by its apply id."""
        for attempt in range(_READ_ATTEMPTS):
            try:
                stored = await self._store.get(HEAD_KEY)
            except Exception:
                if attempt == _READ_ATTEMPTS - 1:
                    raise
                await asyncio.sleep(_READ_RETRY_S)
                continue
            return stored is not None and Head.decode(stored.value).apply_id == head.apply_id
        raise AssertionError("unreachable")

    async def _read(self, key: str) -> bytes:
        stored = await self._store.get(key)
        if stored is None:
            raise ConfigurationError(f"{key} is missing", step="load")
        return stored.value
