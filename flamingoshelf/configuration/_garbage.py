"""Deletes manifests and chunks that no kept revision uses."""

from collections.abc import Iterable

from flamingoshelf.base import ObjectService
from flamingoshelf.configuration._documents import (
    CHUNK_PREFIX,
    MANIFEST_PREFIX,
    Manifest,
    revision_of,
)
from flamingoshelf.exceptions import ConflictError

__all__ = ["COLLECTION_INTERVAL_REVISIONS", "KEPT_REVISIONS", "collect_garbage"]

KEPT_REVISIONS = 64
COLLECTION_INTERVAL_REVISIONS = 8


async def collect_garbage(store: ObjectService, *, newest: int) -> None:
    """Delete manifests and chunks that the newest `KEPT_REVISIONS` revisions do not use.

    Notes
    -----
    Names are used only once, so a chunk that a revision drops is not used by any later one. An old
    chunk is therefore needed if, and only if, the oldest kept revision uses it. Failed
    publications leave manifests and chunks behind; these are deleted once their revision number
    is too old to be published.
    """
    oldest_kept = newest - KEPT_REVISIONS + 1
    if oldest_kept <= 1:
        return
    manifests = await store.keys(MANIFEST_PREFIX)
    needed: set[str] = set()
    for key in manifests:
        if revision_of(key) == oldest_kept:
            found = await store.get(key)
            if found is None:
                return
            needed.update(Manifest.decode(found.value).chunks)
    if not needed:
        return
    chunks = await store.keys(CHUNK_PREFIX)
    old_chunks = [key for key in chunks if revision_of(key) <= oldest_kept and key not in needed]
    old_manifests = [key for key in manifests if revision_of(key) < oldest_kept]
    await _delete(store, [*old_manifests, *old_chunks])


async def _delete(store: ObjectService, keys: Iterable[str]) -> None:
    for key in keys:
        found = await store.get(key)
        if found is None:
            continue
        try:
            await store.delete(key, expected_version=found.version)
        except ConflictError:
            continue  # another publisher deleted it
