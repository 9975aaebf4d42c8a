"""Differences between two sets of objects."""

from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from flamingoshelf.objects._documents import encode_object, parse_document
from flamingoshelf.objects._kinds import Kind, NamedObject, ObjectId

__all__ = ["Change", "differing_fields"]


@attrs.frozen(kw_only=True)
class Change:
    """Objects that are created or replaced, and objects that are removed.

    Parameters
    ----------
    upserts : tuple of NamedObject
        Objects to create or replace.
    removals : tuple of ObjectId
        Objects to remove.
    """

    upserts: tuple[NamedObject, ...] = ()
    removals: tuple[ObjectId, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.upserts or self.removals)

    @property
    def ids(self) -> tuple[ObjectId, ...]:
        """Ids of all objects that the change touches."""
        return (*(item.id for item in self.upserts), *self.removals)

    @classmethod
    def between(
        cls, old: Mapping[ObjectId, NamedObject], new: Mapping[ObjectId, NamedObject]
    ) -> "Change":
        """Return the change that turns `old` into `new`."""
        upserts = [item for item_id, item in new.items() if old.get(item_id) != item]
        removals = [item_id for item_id in old if item_id not in new]
        return cls(
            upserts=tuple(sorted(upserts, key=lambda item: item.id)),
            removals=tuple(sorted(removals)),
        )

    def applied_to(self, objects: Mapping[ObjectId, NamedObject]) -> dict[ObjectId, NamedObject]:
        """Return `objects` with the change applied."""
        changed = dict(objects)
        for item_id in self.removals:
            changed.pop(item_id, None)
        changed.update((item.id, item) for item in self.upserts)
        return changed

    def encode(self) -> dict[str, Any]:
        """Return the change as a JSON document."""
        return {
            "upserts": [encode_object(item) for item in self.upserts],
            "removals": [str(item_id) for item_id in self.removals],
        }

    @classmethod
    def decode(cls, document: Mapping[str, Any]) -> "Change":
        """Return the change in a JSON document."""
        return cls(
            upserts=tuple(parse_document(entry) for entry in document["upserts"]),
            removals=tuple(_parse_id(text) for text in document["removals"]),
        )


def differing_fields(old: NamedObject | None, new: NamedObject | None) -> Iterable[str]:
    """Return the fields of the specification in which two versions of an object differ.

    Examples
    --------
    >>> from flamingoshelf.objects import Pool, PoolRole
    >>> pool_id = ObjectId(kind=Kind.POOL, name="p")
    >>> old = NamedObject(id=pool_id, spec=Pool(role=PoolRole.PLAIN))
    >>> differing_fields(old, NamedObject(id=pool_id, spec=Pool(role=PoolRole.DECODE)))
    ['role']
    """
    if old is None or new is None:
        present = old or new
        return [] if present is None else [field.name for field in attrs.fields(type(present.spec))]
    names = [field.name for field in attrs.fields(type(old.spec))]
    return [name for name in names if getattr(old.spec, name) != getattr(new.spec, name)]


def _parse_id(text: str) -> ObjectId:
    kind, _, name = text.partition("/")
    return ObjectId(kind=Kind(kind), name=name)
