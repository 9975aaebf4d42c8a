"""One consistent set of objects with the look-ups that a node needs."""

from collections.abc import Iterable, Mapping, Sequence
from typing import TypeVar, cast

from flamingoshelf.objects._kinds import (
    BackendServer,
    Fleet,
    Key,
    Kind,
    Model,
    NamedObject,
    ObjectId,
    ObjectSpec,
    Route,
    Workspace,
)

__all__ = ["Catalog"]

SpecT = TypeVar("SpecT")


class Catalog:
    """The objects of one revision; never changed once made.

    Parameters
    ----------
    revision : int
        Number of the revision; 0 stands for the empty set before the first one.
    objects : iterable of NamedObject
        A set without inconsistencies, see `check_objects`.
    """

    def __init__(self, *, revision: int, objects: Iterable[NamedObject]) -> None:
        self._revision = revision
        self._objects: Mapping[ObjectId, NamedObject] = {item.id: item for item in objects}
        self._keys: dict[str, str] = {}
        self._routes: list[tuple[str, Route]] = []
        self._servers: dict[str, list[tuple[str, BackendServer]]] = {}
        for item in self._objects.values():
            self._index(item)
        self._routes.sort(key=lambda entry: len(entry[0]), reverse=True)

    @property
    def revision(self) -> int:
        """Number of the revision."""
        return self._revision

    @property
    def objects(self) -> Mapping[ObjectId, NamedObject]:
        """All objects by id."""
        return self._objects

    @property
    def fleet(self) -> Fleet:
        """Settings of the whole fleet."""
        return self._get(Kind.FLEET, "fleet", Fleet) or Fleet()

    def key_by_digest(self, digest: str) -> Key | None:
        """Return the key with the hexadecimal SHA-256 `digest`."""
        name = self._keys.get(digest)
        return None if name is None else self._get(Kind.KEY, name, Key)

    def workspace(self, name: str) -> Workspace | None:
        """Return a workspace by name."""
        return self._get(Kind.WORKSPACE, name, Workspace)

    def model(self, name: str) -> Model | None:
        """Return a model by name."""
        return self._get(Kind.MODEL, name, Model)

    def get(self, kind: Kind, name: str) -> ObjectSpec | None:
        """Return the specification of any object."""
        item = self._objects.get(ObjectId(kind=kind, name=name))
        return None if item is None else item.spec

    def model_names(self) -> list[str]:
        """Return the sorted names of all models."""
        return self.names(Kind.MODEL)

    def names(self, kind: Kind) -> list[str]:
        """Return the sorted names of all objects of `kind`."""
        return sorted(item_id.name for item_id in self._objects if item_id.kind == kind)

    def servers(self, pools: Iterable[str]) -> Sequence[tuple[str, BackendServer]]:
        """Return the names and specifications of the backend servers of `pools`."""
        return [entry for pool in pools for entry in self._servers.get(pool, ())]

    def route_for(self, path: str) -> tuple[str, Route] | None:
        """Return prefix and route with the longest prefix that covers `path`."""
        for prefix, route in self._routes:
            if path == prefix or path.startswith(prefix.rstrip("/") + "/"):
                return prefix, route
        return None

    def _get(self, kind: Kind, name: str, spec_class: type[SpecT]) -> SpecT | None:
        return cast("SpecT | None", self.get(kind, name))

    def _index(self, item: NamedObject) -> None:
        match item.spec:
            case Key(sha256=digest):
                self._keys[digest] = item.id.name
            case Route(path_prefix=prefix):
                self._routes.append((prefix, item.spec))
            case BackendServer(pool=pool):
                self._servers.setdefault(pool, []).append((item.id.name, item.spec))
