"""Reads revisions from the object service."""

import asyncio
from collections.abc import Sequence

import attrs

from flamingoshelf.base import ObjectService, VersionedObject
from flamingoshelf.configuration._documents import HEAD_KEY, Head, Manifest, RevisionStep
from flamingoshelf.exceptions import ConfigurationError, ObjectServiceError
from flamingoshelf.objects import Catalog, decode_objects

__all__ = ["NO_HEAD_VERSION", "PublishedRevision", "RevisionReader"]

_READ_ATTEMPTS = 3
_READ_RETRY_DELAY_S = 0.2
NO_HEAD_VERSION = -1


@attrs.frozen(kw_only=True)
class PublishedRevision:
    """A revision in the object service.

    Parameters
    ----------
    catalog : Catalog
        Objects of the revision.
    head : Head or None
        Head of the revision; None before the first publication.
    head_version : int
        Version of the head object; `NO_HEAD_VERSION` for a revision that is not the newest.
    manifest : Manifest or None
        Manifest of the revision; None before the first publication.
    """

    catalog: Catalog
    head: Head | None
    head_version: int
    manifest: Manifest | None = None


class RevisionReader:
    """Reads heads, manifests and chunks.

    Parameters
    ----------
    store : ObjectService
        The platform's object service.
    """

    def __init__(self, *, store: ObjectService) -> None:
        self._store = store

    async def newest(self) -> PublishedRevision:
        """Return the newest revision.

        If the revision is garbage collected while it is loaded, the head is read again.
        """
        for _ in range(_READ_ATTEMPTS - 1):
            try:
                return await self._load_newest()
            except ConfigurationError:
                await asyncio.sleep(_READ_RETRY_DELAY_S)
        return await self._load_newest()

    async def load(self, stored_head: VersionedObject) -> PublishedRevision:
        """Return the revision that the head object `stored_head` names."""
        head = Head.decode(stored_head.value)
        manifest = await self.manifest(head.manifest)
        return PublishedRevision(
            catalog=await self.catalog(manifest),
            head=head,
            head_version=stored_head.version,
            manifest=manifest,
        )

    async def catalog(self, manifest: Manifest) -> Catalog:
        """Return the objects of the revision that `manifest` describes.

        Raises
        ------
        ConfigurationError
            A chunk is missing, or the objects do not have the digest of the revision.
        """
        catalog = Catalog(revision=manifest.step.revision, objects=())
        for key in filter(None, manifest.chunks):
            objects = decode_objects(await self._read(key))
            catalog = catalog.with_changes(revision=catalog.revision, upserts=objects, removals=())
        if catalog.digest != manifest.step.digest:
            message = f"revision {catalog.revision} has the digest {catalog.digest}, "
            message += f"not {manifest.step.digest}"
            raise ConfigurationError(message, step="load")
        return catalog

    async def manifest(self, key: str) -> Manifest:
        """Return the manifest stored under `key`."""
        return Manifest.decode(await self._read(key))

    async def revision(self, number: int, *, newest: PublishedRevision) -> PublishedRevision:
        """Return revision `number`, not later than `newest`, with `NO_HEAD_VERSION`.

        Raises
        ------
        ConfigurationError
            The revision does not exist or is no longer kept.
        """
        manifest = newest.manifest
        while manifest is not None and manifest.step.revision > number and manifest.step.parent:
            manifest = await self.manifest(manifest.step.parent)
        if manifest is None or manifest.step.revision != number:
            raise ConfigurationError(f"there is no revision {number}", step="load")
        step = manifest.step
        head = Head(revision=number, manifest=step.manifest, apply_id="", digest=step.digest)
        return PublishedRevision(
            catalog=await self.catalog(manifest),
            head=head,
            head_version=NO_HEAD_VERSION,
            manifest=manifest,
        )

    async def history(self, *, limit: int) -> Sequence[Manifest]:
        """Return up to `limit` manifests that are still kept, newest first."""
        stored = await self._get_with_retry(HEAD_KEY)
        key = "" if stored is None else Head.decode(stored.value).manifest
        manifests: list[Manifest] = []
        while key and len(manifests) < limit:
            found = await self._get_with_retry(key)
            if found is None:
                break
            manifests.append(Manifest.decode(found.value))
            key = manifests[-1].step.parent
        return manifests

    async def steps_after(
        self, manifest_key: str, *, head: Head, limit: int
    ) -> Sequence[RevisionStep] | None:
        """Return the steps from the revision of `manifest_key` to `head`, oldest first.

        Return None if there are more than `limit` steps, if one is no longer kept, or if one has
        a change too large for its manifest.
        """
        steps: list[RevisionStep] = []
        key = head.manifest
        while key != manifest_key:
            if not key or len(steps) == limit:
                return None
            try:
                step = (await self.manifest(key)).step
            except ConfigurationError:
                return None
            if step.change is None:
                return None
            steps.append(step)
            key = step.parent
        return steps[::-1]

    async def _load_newest(self) -> PublishedRevision:
        stored = await self._get_with_retry(HEAD_KEY)
        if stored is None:
            empty = Catalog(revision=0, objects=())
            return PublishedRevision(catalog=empty, head=None, head_version=0)
        return await self.load(stored)

    async def _read(self, key: str) -> bytes:
        stored = await self._get_with_retry(key)
        if stored is None:
            raise ConfigurationError(f"{key} is missing", step="load")
        return stored.value

    async def _get_with_retry(self, key: str) -> VersionedObject | None:
        for _ in range(_READ_ATTEMPTS - 1):
            try:
                return await self._store.get(key)
            except ObjectServiceError:
                await asyncio.sleep(_READ_RETRY_DELAY_S)
        return await self._store.get(key)
