"""Publication of revisions in the object service."""

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs
from loguru import logger

from flamingoshelf.base import ObjectService
from flamingoshelf.configuration._documents import (
    CHUNK_PREFIX,
    HEAD_KEY,
    MANIFEST_PREFIX,
    Head,
    Manifest,
    RevisionStep,
    bucket_of,
    encode_buckets,
    suggest_bucket_count,
)
from flamingoshelf.configuration._garbage import COLLECTION_INTERVAL_REVISIONS, collect_garbage
from flamingoshelf.configuration._reading import NO_HEAD_VERSION, PublishedRevision, RevisionReader
from flamingoshelf.exceptions import (
    ConfigurationError,
    ConflictError,
    FlamingoshelfError,
    ObjectServiceError,
    OutcomeUnknownError,
)
from flamingoshelf.objects import (
    Catalog,
    Change,
    NamedObject,
    ObjectId,
    check_objects,
    differing_fields,
)
from flamingoshelf.utils import new_apply_id

__all__ = ["AppliedChange", "Edit", "Repository"]

Edit = Callable[[Mapping[ObjectId, NamedObject]], Mapping[ObjectId, NamedObject]]

_WRITE_ATTEMPTS = 8
_WRITE_RETRY_DELAY_S = 0.2
_APPLY_ATTEMPTS = 10
_MAX_HISTORY_STEPS = 32


@attrs.frozen(kw_only=True)
class AppliedChange:
    """Outcome of an applied edit.

    Parameters
    ----------
    revision : int
        Revision that holds the edit.
    change : Change
        The change that was made; empty if the objects were as wanted already.
    """

    revision: int
    change: Change


class Repository(RevisionReader):
    """Reads and publishes revisions in the object service.

    Parameters
    ----------
    store : ObjectService
        The platform's object service.
    author, published_at : str
        Publisher and time of publication, stored in the manifests.
    """

    def __init__(self, *, store: ObjectService, author: str = "", published_at: str = "") -> None:
        super().__init__(store=store)
        self._author = author
        self._published_at = published_at

    async def apply(self, edit: Edit, *, base: PublishedRevision | None = None) -> AppliedChange:
        """Apply `edit` and publish the result.

        Concurrent changes by other operators to other objects are kept: the change is rebased on
        the newest revision and the resulting set of objects is checked again.

        Parameters
        ----------
        edit : callable
            Returns the wanted objects, given the objects of a revision.
        base : PublishedRevision, optional
            Revision that the edit was made for; the newest one if not given.

        Raises
        ------
        ConfigurationError
            The resulting objects are not consistent; nothing was published.
        ConflictError
            A revision after `base` changed one of the objects, or other operators published
            faster on every attempt; nothing was published.
        ObjectServiceError
            The object service failed; nothing was published.
        OutcomeUnknownError
            It is unknown whether the change was published.
        """
        base = base or await self.newest()
        old_objects = base.catalog.objects
        change = Change.between(old_objects, edit(old_objects))
        current = base
        if base.head_version == NO_HEAD_VERSION:
            current = await self.newest()
            await self._check_no_conflict(change, old_objects, base, current)
        for _ in range(_APPLY_ATTEMPTS):
            wanted = change.applied_to(current.catalog.objects)
            remaining_change = Change.between(current.catalog.objects, wanted)
            if not remaining_change:
                return AppliedChange(revision=current.catalog.revision, change=remaining_change)
            try:
                revision = await self.publish(list(wanted.values()), base=current)
            except ConflictError:
                await asyncio.sleep(random.uniform(0, _WRITE_RETRY_DELAY_S))
                current = await self.newest()
                await self._check_no_conflict(change, old_objects, base, current)
                continue
            return AppliedChange(revision=revision, change=remaining_change)
        raise ConflictError("other operators published all the time", step="publish")

    async def publish(self, objects: Sequence[NamedObject], *, base: PublishedRevision) -> int:
        """Publish `objects` as the revision after `base` and return its number.

        Raises
        ------
        ConfigurationError, ConflictError, ObjectServiceError, OutcomeUnknownError
            As in `apply`; any revision after `base` is a conflict.
        """
        problems = check_objects(objects)
        if problems:
            raise ConfigurationError("\n".join(problems), step="check")
        apply_id = new_apply_id()
        revision = base.catalog.revision + 1
        manifest = Manifest(
            step=RevisionStep(
                revision=revision,
                manifest=f"{MANIFEST_PREFIX}{revision:08d}-{apply_id}",
                parent="" if base.head is None else base.head.manifest,
                digest=Catalog(revision=revision, objects=objects).digest,
                change=Change.between(base.catalog.objects, {item.id: item for item in objects}),
            ),
            chunks=await self._write_chunks(objects, base=base, apply_id=apply_id),
            author=self._author,
            published_at=self._published_at,
        )
        step = manifest.step
        await self._create_object(step.manifest, manifest.encode())
        head = Head(
            revision=revision, manifest=step.manifest, apply_id=apply_id, digest=step.digest
        )
        await self._update_head(head, expected_version=base.head_version)
        if revision % COLLECTION_INTERVAL_REVISIONS == 0:
            await self._collect_garbage(revision)
        return revision

    async def _write_chunks(
        self, objects: Sequence[NamedObject], *, base: PublishedRevision, apply_id: str
    ) -> tuple[str, ...]:
        """Write the chunks that differ from those of `base`; return the keys of all chunks."""
        old_keys = () if base.manifest is None else base.manifest.chunks
        bucket_count = suggest_bucket_count(len(objects), current=len(old_keys) or 1)
        wanted = set(range(bucket_count))
        if bucket_count == len(old_keys):
            wanted = _changed_buckets(base.catalog.objects, objects, bucket_count)
        contents = encode_buckets(objects, bucket_count=bucket_count, wanted=wanted)
        keys = list(old_keys) if bucket_count == len(old_keys) else [""] * bucket_count
        for bucket in sorted(wanted):
            keys[bucket] = ""
            if bucket in contents:
                name = f"{base.catalog.revision + 1:08d}-{bucket}-{apply_id}"
                keys[bucket] = f"{CHUNK_PREFIX}{name}"
                await self._create_object(keys[bucket], contents[bucket])
        return tuple(keys)

    async def _create_object(self, key: str, value: bytes) -> None:
        """Create an object under a key that no other publication uses."""
        for _ in range(_WRITE_ATTEMPTS):
            try:
                await self._store.put(key, value, expected_version=0)
            except ConflictError:
                return  # an earlier attempt was written but its answer was lost
            except OutcomeUnknownError:
                await asyncio.sleep(_WRITE_RETRY_DELAY_S)
                continue
            return
        raise ObjectServiceError(f"{key} may not be written", step="publish")

    async def _update_head(self, head: Head, *, expected_version: int) -> None:
        """Point the head object to a new revision.

        Notes
        -----
        A write whose answer is lost may still take effect later. It is repeated with the same
        expected version until the head has another version; after that, none of these writes can
        take effect.
        """
        is_ambiguous = False
        for _ in range(_WRITE_ATTEMPTS):
            try:
                await self._store.put(HEAD_KEY, head.encode(), expected_version=expected_version)
                return
            except ConflictError:
                await self._check_published(head, expected_version=expected_version)
                return
            except OutcomeUnknownError:
                is_ambiguous = True
            except ObjectServiceError:
                if not is_ambiguous:
                    raise
            await asyncio.sleep(_WRITE_RETRY_DELAY_S)
        message = f"revision {head.revision} may be published, apply id {head.apply_id}"
        raise OutcomeUnknownError(message, step="publish")

    async def _check_published(self, head: Head, *, expected_version: int) -> None:
        """Raise `ConflictError` unless `head` was published, even if later revisions followed.

        Raises `OutcomeUnknownError` if that can't be determined.
        """
        for _ in range(_WRITE_ATTEMPTS):
            try:
                if await self._is_published(head, expected_version=expected_version):
                    return
            except ObjectServiceError:
                await asyncio.sleep(_WRITE_RETRY_DELAY_S)
                continue
            message = f"another revision was published before revision {head.revision}"
            raise ConflictError(message, step="publish")
        message = f"revision {head.revision} may be published, apply id {head.apply_id}"
        raise OutcomeUnknownError(message, step="publish")

    async def _is_published(self, head: Head, *, expected_version: int) -> bool:
        """Return whether `head` is the current head or one of its ancestors."""
        stored = await self._store.get(HEAD_KEY)
        if stored is None or stored.version <= expected_version:
            raise ObjectServiceError("an old head was read", step="publish")
        found = Head.decode(stored.value)
        key, revision = found.manifest, found.revision
        while revision > head.revision:
            parent = await self._store.get(key)
            if parent is None:
                message = f"{key} is missing; apply id {head.apply_id}"
                raise OutcomeUnknownError(message, step="publish")
            key = Manifest.decode(parent.value).step.parent
            revision -= 1
        return key == head.manifest

    async def _check_no_conflict(
        self,
        change: Change,
        old_objects: Mapping[ObjectId, NamedObject],
        base: PublishedRevision,
        current: PublishedRevision,
    ) -> None:
        """Raise `ConflictError` if a revision after `base` changed an object of `change`.

        Objects that are already as `change` wants them are no conflict.
        """
        objects = current.catalog.objects
        wanted = change.applied_to(old_objects)
        conflicts = []
        for item_id in change.ids:
            old, new = old_objects.get(item_id), objects.get(item_id)
            if new not in (old, wanted.get(item_id)):
                revision = await self._last_revision_of(item_id, base=base, current=current)
                fields = ", ".join(f"spec.{name}" for name in differing_fields(old, new))
                conflicts.append(f"{item_id}: {fields} changed by revision {revision}")
        if conflicts:
            raise ConflictError("\n".join(conflicts), step="rebase")

    async def _last_revision_of(
        self, item_id: ObjectId, *, base: PublishedRevision, current: PublishedRevision
    ) -> int:
        """Return the last revision after `base`, up to `current`, that changed `item_id`."""
        start = "" if base.head is None else base.head.manifest
        assert current.head is not None
        steps = await self.steps_after(start, head=current.head, limit=_MAX_HISTORY_STEPS)
        for step in reversed(steps or ()):
            if step.change is not None and item_id in step.change.ids:
                return step.revision
        return current.catalog.revision

    async def _collect_garbage(self, revision: int) -> None:
        try:
            await collect_garbage(self._store, newest=revision)
        except FlamingoshelfError as error:
            logger.bind(step="collect").warning(
                "garbage collection of old revisions failed: {}", error
            )


def _changed_buckets(
    old: Mapping[ObjectId, NamedObject], objects: Iterable[NamedObject], bucket_count: int
) -> set[int]:
    new = {item.id: item for item in objects}
    changed = [item for item_id, item in new.items() if old.get(item_id) != item]
    changed += [item for item_id, item in old.items() if item_id not in new]
    return {bucket_of(item, bucket_count=bucket_count) for item in changed}
