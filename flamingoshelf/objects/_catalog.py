"""A consistent set of objects, indexed for the look-ups that a node needs.

There are many workspaces and keys, so they are stored compactly: a key is its 32-byte digest and
a shared reference to the name of its workspace. Their `NamedObject`s are created on access.
"""

import sys
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import TypeVar, cast

from flamingoshelf.objects._documents import object_digest
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

_DIGEST_MODULUS = 1 << 128


class Catalog:
    """The objects of one revision; immutable.

    Parameters
    ----------
    revision : int
        Number of the revision; 0 stands for the empty set before the first one.
    objects : iterable of NamedObject
        A consistent set, see `check_objects`.
    """

    def __init__(self, *, revision: int, objects: Iterable[NamedObject]) -> None:
        self._revision = revision
        self._digest = 0
        self._workspaces: dict[str, Workspace] = {}
        self._key_digests: dict[str, bytes] = {}
        self._key_workspaces: dict[bytes, str] = {}
        self._withdrawn_digests: set[bytes] = set()
        self._other_objects: dict[ObjectId, NamedObject] = {}
        self._shared_specs: dict[Workspace, Workspace] = {}
        for item in objects:
            self._insert(item)
        self._build_indexes()

    @property
    def revision(self) -> int:
        """Number of the revision."""
        return self._revision

    @property
    def digest(self) -> str:
        """Digest of all objects, 32 hexadecimal digits.

        It is the sum of the objects' digests, so that `with_changes` computes it from the changed
        objects alone.
        """
        return f"{self._digest:032x}"

    @property
    def objects(self) -> Mapping[ObjectId, NamedObject]:
        """All objects by id; a new mapping at each access."""
        return {item.id: item for item in self}

    @property
    def fleet(self) -> Fleet:
        """Settings of the whole fleet."""
        return self._fleet

    def __len__(self) -> int:
        return len(self._other_objects) + len(self._workspaces) + len(self._key_digests)

    def __iter__(self) -> Iterator[NamedObject]:
        yield from self._other_objects.values()
        for name, workspace in self._workspaces.items():
            yield NamedObject(id=ObjectId(kind=Kind.WORKSPACE, name=name), spec=workspace)
        for name, digest in self._key_digests.items():
            yield NamedObject(id=ObjectId(kind=Kind.KEY, name=name), spec=self._build_key(digest))

    def with_changes(
        self, *, revision: int, upserts: Iterable[NamedObject], removals: Iterable[ObjectId]
    ) -> "Catalog":
        """Return the catalog of a later revision with some objects replaced or removed."""
        catalog = Catalog.__new__(Catalog)
        catalog._revision = revision
        catalog._digest = self._digest
        catalog._shared_specs = self._shared_specs
        catalog._workspaces = self._workspaces.copy()
        catalog._key_digests = self._key_digests.copy()
        catalog._key_workspaces = self._key_workspaces.copy()
        catalog._withdrawn_digests = self._withdrawn_digests.copy()
        catalog._other_objects = self._other_objects.copy()
        upsert_list = list(upserts)
        for item_id in (*removals, *(item.id for item in upsert_list)):
            catalog._remove(item_id)
        for item in upsert_list:
            catalog._insert(item)
        catalog._build_indexes()
        return catalog

    def key_by_digest(self, digest: str) -> Key | None:
        """Return the key with the hexadecimal SHA-256 `digest`, or None."""
        binary = bytes.fromhex(digest)
        return self._build_key(binary) if binary in self._key_workspaces else None

    def workspace(self, name: str) -> Workspace | None:
        """Return a workspace by name."""
        return self._workspaces.get(name)

    def model(self, name: str) -> Model | None:
        """Return a model by name."""
        return self._get(Kind.MODEL, name, Model)

    def get(self, kind: Kind, name: str) -> ObjectSpec | None:
        """Return the specification of any object."""
        if kind is Kind.WORKSPACE:
            return self._workspaces.get(name)
        if kind is Kind.KEY:
            digest = self._key_digests.get(name)
            return None if digest is None else self._build_key(digest)
        item = self._other_objects.get(ObjectId(kind=kind, name=name))
        return None if item is None else item.spec

    def model_names(self) -> list[str]:
        """Return the sorted names of all models."""
        return self.names(Kind.MODEL)

    def names(self, kind: Kind) -> list[str]:
        """Return the sorted names of all objects of `kind`."""
        if kind is Kind.WORKSPACE:
            return sorted(self._workspaces)
        if kind is Kind.KEY:
            return sorted(self._key_digests)
        return sorted(item_id.name for item_id in self._other_objects if item_id.kind is kind)

    def servers(self, pools: Iterable[str]) -> Sequence[tuple[str, BackendServer]]:
        """Return the names and specifications of the backend servers of `pools`."""
        return [entry for pool in pools for entry in self._servers.get(pool, ())]

    def route_for(self, path: str) -> tuple[str, Route] | None:
        """Return the longest prefix that covers `path` with its route, or None."""
        for prefix, route in self._routes:
            if path == prefix or path.startswith(prefix.rstrip("/") + "/"):
                return prefix, route
        return None

    def _get(self, kind: Kind, name: str, spec_class: type[SpecT]) -> SpecT | None:
        return cast("SpecT | None", self.get(kind, name))

    def _build_key(self, digest: bytes) -> Key:
        return Key(
            workspace=self._key_workspaces[digest],
            sha256=digest.hex(),
            withdrawn=digest in self._withdrawn_digests,
        )

    def _insert(self, item: NamedObject) -> None:
        self._digest = (self._digest + object_digest(item)) % _DIGEST_MODULUS
        match item.spec:
            case Workspace() as workspace:
                shared = self._shared_specs.setdefault(workspace, workspace)
                self._workspaces[sys.intern(item.id.name)] = shared
            case Key() as key:
                digest = bytes.fromhex(key.sha256)
                self._key_digests[item.id.name] = digest
                self._key_workspaces[digest] = sys.intern(key.workspace)
                if key.withdrawn:
                    self._withdrawn_digests.add(digest)
            case _:
                self._other_objects[item.id] = item

    def _remove(self, item_id: ObjectId) -> None:
        spec = self.get(item_id.kind, item_id.name)
        if spec is None:
            return
        old = object_digest(NamedObject(id=item_id, spec=spec))
        self._digest = (self._digest - old) % _DIGEST_MODULUS
        if item_id.kind is Kind.WORKSPACE:
            del self._workspaces[item_id.name]
        elif item_id.kind is Kind.KEY:
            digest = self._key_digests.pop(item_id.name)
            self._key_workspaces.pop(digest)
            self._withdrawn_digests.discard(digest)
        else:
            del self._other_objects[item_id]

    def _build_indexes(self) -> None:
        self._fleet = self._get(Kind.FLEET, "fleet", Fleet) or Fleet()
        self._routes: list[tuple[str, Route]] = []
        self._servers: dict[str, list[tuple[str, BackendServer]]] = {}
        for item in self._other_objects.values():
            match item.spec:
                case Route(path_prefix=prefix):
                    self._routes.append((prefix, item.spec))
                case BackendServer(pool=pool):
                    self._servers.setdefault(pool, []).append((item.id.name, item.spec))
        self._routes.sort(key=lambda entry: len(entry[0]), reverse=True)
