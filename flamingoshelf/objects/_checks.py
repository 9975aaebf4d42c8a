"""Checks of a whole set of objects."""

from collections import Counter
from collections.abc import Iterable, Mapping

from flamingoshelf.objects._kinds import (
    Fleet,
    Key,
    Kind,
    Model,
    NamedObject,
    ObjectId,
    Pool,
    PoolRole,
    Route,
    ServiceSpec,
    references_of,
)

__all__ = ["check_objects"]


def check_objects(items: Iterable[NamedObject]) -> list[str]:
    """Return every inconsistency of a set, each naming object, field and reference."""
    listed = list(items)
    by_id = {item.id: item for item in listed}
    problems = _check_duplicates(listed)
    for item in listed:
        problems += _check_references(item, by_id)
        problems += _check_roles(item, by_id)
    problems += _check_unique_values(listed)
    return problems


def _check_duplicates(items: list[NamedObject]) -> list[str]:
    counts = Counter(item.id for item in items)
    return [f"{item_id}: defined {count} times" for item_id, count in counts.items() if count > 1]


def _check_references(item: NamedObject, by_id: Mapping[ObjectId, NamedObject]) -> list[str]:
    return [
        f"{item.id}: spec.{field} refers to {target}, which does not exist"
        for field, target in references_of(item)
        if target not in by_id
    ]


def _check_roles(item: NamedObject, by_id: Mapping[ObjectId, NamedObject]) -> list[str]:
    match item.spec:
        case Model(prefill_pools=prefill, decode_pools=decode):
            return [
                *_check_pool_role(item, "prefill_pools", prefill, PoolRole.PREFILL, by_id),
                *_check_pool_role(item, "decode_pools", decode, PoolRole.DECODE, by_id),
            ]
        case ServiceSpec(pool=pool):
            return _check_pool_role(item, "pool", (pool,), PoolRole.PLAIN, by_id)
        case Fleet() if item.id.name != "fleet":
            return [f"{item.id}: the only object of kind fleet must be named 'fleet'"]
    return []


def _check_pool_role(
    item: NamedObject,
    field: str,
    names: tuple[str, ...],
    role: PoolRole,
    by_id: Mapping[ObjectId, NamedObject],
) -> list[str]:
    problems = [] if names else [f"{item.id}: spec.{field} is empty; it must name a pool"]
    for name in names:
        pool = by_id.get(ObjectId(kind=Kind.POOL, name=name))
        if pool is None or not isinstance(pool.spec, Pool) or pool.spec.role == role:
            continue
        problems.append(
            f"{item.id}: spec.{field} refers to {pool.id}, whose role is "
            f"{pool.spec.role.value}; it must be {role.value}"
        )
    return problems


def _check_unique_values(items: list[NamedObject]) -> list[str]:
    problems = []
    owners: dict[tuple[str, str], ObjectId] = {}
    for item in items:
        match item.spec:
            case Key(sha256=digest):
                value = ("sha256", digest)
            case Route(path_prefix=prefix):
                value = ("path_prefix", prefix)
            case _:
                continue
        first = owners.setdefault(value, item.id)
        if first != item.id:
            problems.append(f"{item.id}: spec.{value[0]} is the same as that of {first}")
    return problems
