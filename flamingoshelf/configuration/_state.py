"""Revision that a node holds, and the last steps that led to it."""

import asyncio
import itertools
import json
import zlib
from collections import deque
from collections.abc import Sequence

from loguru import logger

from flamingoshelf.configuration._documents import RevisionStep
from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.objects import Catalog, encode_objects

__all__ = ["RevisionState", "decode_steps"]

_MAX_KEPT_STEPS = 32
_OBJECTS_PER_PAGE = 512


class RevisionState:
    """Catalog in force, which only moves to higher revisions, and its last steps."""

    def __init__(self) -> None:
        self._catalog = Catalog(revision=0, objects=())
        self._manifest = ""
        self._steps: deque[RevisionStep] = deque(maxlen=_MAX_KEPT_STEPS)
        self._revision_changed = asyncio.Event()

    @property
    def catalog(self) -> Catalog:
        """The objects in force."""
        return self._catalog

    @property
    def revision(self) -> int:
        """Number of the revision in force."""
        return self._catalog.revision

    @property
    def manifest(self) -> str:
        """Key of the manifest of the revision in force; empty before the first one."""
        return self._manifest

    def adopt(self, catalog: Catalog, *, manifest: str) -> None:
        """Put a complete revision in force if it is newer."""
        if catalog.revision <= self.revision:
            return
        self._steps.clear()
        self._put_in_force(catalog, manifest)

    def adopt_steps(self, steps: Sequence[RevisionStep]) -> bool:
        """Apply the steps after this revision; return False at a gap or a step without a change.

        Raises
        ------
        ConfigurationError
            The objects do not have the digest of the step.
        """
        for step in steps:
            if step.revision <= self.revision:
                continue
            if step.parent != self._manifest or step.change is None:
                return False
            catalog = self._catalog.with_changes(
                revision=step.revision, upserts=step.change.upserts, removals=step.change.removals
            )
            if catalog.digest != step.digest:
                message = f"revision {step.revision} has the digest {catalog.digest}"
                raise ConfigurationError(message, step="adopt")
            self._steps.append(step)
            self._put_in_force(catalog, step.manifest)
        return True

    def encode_steps_after(self, manifest: str) -> bytes:
        """Return the compressed steps after `manifest`, or no bytes if not all are kept."""
        kept = list(self._steps)
        for index, step in enumerate(kept):
            if step.parent == manifest:
                documents = [later.encode() for later in kept[index:]]
                return zlib.compress(json.dumps(documents).encode())
        return b""

    def encode_page(self, offset: int) -> tuple[bytes, int]:
        """Return a page of compressed objects from `offset` on, and the next offset or 0."""
        items = list(itertools.islice(self._catalog, offset, offset + _OBJECTS_PER_PAGE))
        end = offset + len(items)
        return zlib.compress(encode_objects(items)), end if end < len(self._catalog) else 0

    async def wait(self, timeout_s: float) -> None:
        """Wait for a newer revision, for at most `timeout_s`."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._revision_changed.wait()
        except TimeoutError:
            return

    def _put_in_force(self, catalog: Catalog, manifest: str) -> None:
        self._catalog = catalog
        self._manifest = manifest
        logger.info("revision {} in force", catalog.revision)
        self._revision_changed.set()
        self._revision_changed = asyncio.Event()


def decode_steps(data: bytes) -> Sequence[RevisionStep]:
    """Return the steps in `data`, as `RevisionState.encode_steps_after` encodes them."""
    return [RevisionStep.decode(document) for document in json.loads(zlib.decompress(data))]
