"""Interface and data types of the platform's store.

Revisions grow over restores of the store from a copy, see `join_revision`.
"""

from collections.abc import Mapping
from typing import Any, Protocol

import attrs

__all__ = ["KindChanges", "KindSnapshot", "KindStore", "StoreObject"]


@attrs.frozen(kw_only=True)
class StoreObject:
    """One versioned object of the platform's store.

    Parameters
    ----------
    name : str
        Name, unique in its kind.
    revision : int
        Store revision of the object's last change.
    content : Any
        Document of the object.
    """

    name: str
    revision: int
    content: Any


@attrs.frozen(kw_only=True)
class KindSnapshot:
    """All objects of a kind by name, at one revision of the store."""

    objects: Mapping[str, StoreObject]
    revision: int


@attrs.frozen(kw_only=True)
class KindChanges:
    """Changes of a kind's objects after a revision, in their order.

    Parameters
    ----------
    changed : tuple of StoreObject
        Latest state of each object that was created or changed.
    removed : tuple of str
        Names of the objects that were deleted.
    revision : int
        Store revision from which the next watch continues.
    last_change : int
        Store revision of the last of these changes, 0 if there are none.
    """

    changed: tuple[StoreObject, ...]
    removed: tuple[str, ...]
    revision: int
    last_change: int = 0


class KindStore(Protocol):
    """The platform's store of versioned objects by kind.

    All methods raise `ObjectServiceError` if the call had no effect. Writes raise
    `OutcomeUnknownError` if the reply was lost; such a write may still take effect later.
    """

    async def list(self, kind: str) -> KindSnapshot:
        """Return all objects of `kind`."""

    async def watch(self, kind: str, *, after_revision: int, timeout_s: float) -> KindChanges:
        """Wait up to `timeout_s` for changes after `after_revision` and return them.

        Raises
        ------
        HistoryLostError
            The store no longer has the changes after that revision, or was restored since.
        """

    async def create(self, kind: str, name: str, content: Any) -> StoreObject:
        """Create an object; raise `ConflictError` if it exists."""

    async def replace(
        self, kind: str, name: str, content: Any, *, expected_revision: int
    ) -> StoreObject:
        """Replace an object; raise `ConflictError` if its revision is not `expected_revision`.

        A call that meets a restore of the store raises `OutcomeUnknownError`: it may have replaced
        an object of the new era that got the same revision again.
        """

    async def put(self, kind: str, name: str, content: Any, *, is_likely_new: bool) -> StoreObject:
        """Create an object or replace it, whatever its revision.

        Takes one call if `is_likely_new` is right about whether the object exists, else two.
        """

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object, whatever its revision."""
