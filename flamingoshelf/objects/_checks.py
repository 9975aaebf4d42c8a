"""Consistency checks of a set of objects.

`check_objects` finds inconsistencies that must not be published. `find_warnings` finds states that
are valid and may be intended, such as a model whose last live server is drained. No kind refers to
itself, directly or indirectly, so references can't form cycles.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from flamingoshelf.objects._kinds import (
    BackendServer,
    BackendState,
    Fleet,
    Key,
    Kind,
    Model,
    ModelVersion,
    NamedObject,
    ObjectId,
    Pool,
    PoolRole,
    Route,
    ServiceSpec,
    Workspace,
    references_of,
)

__all__ = ["check_objects", "find_warnings"]


def check_objects(items: Iterable[NamedObject]) -> list[str]:
    """Return a message for each inconsistency, naming object, field and reference."""
    item_list = list(items)
    by_id = {item.id: item for item in item_list}
    problems = _check_duplicates(item_list)
    for item in item_list:
        problems += _check_references(item, by_id)
        problems += _check_roles(item, by_id)
    problems += _check_unique_values(item_list)
    problems += _check_decode_memory(by_id)
    return problems


def find_warnings(items: Iterable[NamedObject]) -> list[str]:
    """Return messages, naming object and field, for states that are valid but likely unintended."""
    by_id = {item.id: item for item in items}
    live_pools = {
        item.spec.pool
        for item in by_id.values()
        if isinstance(item.spec, BackendServer) and item.spec.state is BackendState.LIVE
    }
    warnings = []
    for item in by_id.values():
        for field, pools in _required_pools(item):
            if not live_pools.intersection(pools):
                warnings.append(f"{item.id}: spec.{field} names no pool with a live backend server")
    return warnings + _find_small_bursts(by_id)


def _required_pools(item: NamedObject) -> list[tuple[str, tuple[str, ...]]]:
    """Return the fields of `item` that need a live backend server, with the pools they name."""
    match item.spec:
        case Model(prefill_pools=prefill, decode_pools=decode):
            return [("prefill_pools", prefill), ("decode_pools", decode)]
        case ServiceSpec(pool=pool):
            return [("pool", (pool,))]
    return []


def _find_small_bursts(by_id: Mapping[ObjectId, NamedObject]) -> list[str]:
    """Return a warning for each workspace whose burst is below the largest request."""
    contexts = [(version.context_tokens, item.id) for item, version in _versions_of_models(by_id)]
    if not contexts:
        return []
    largest, model_id = max(contexts, key=lambda entry: entry[0])
    return [
        f"{item.id}: spec.burst_tokens is {item.spec.burst_tokens}, below the {largest} tokens "
        f"that {model_id} allows; larger requests are always refused"
        for item in by_id.values()
        if isinstance(item.spec, Workspace) and item.spec.burst_tokens < largest
    ]


def _versions_of_models(
    by_id: Mapping[ObjectId, NamedObject],
) -> list[tuple[NamedObject, ModelVersion]]:
    pairs = []
    for item in by_id.values():
        if not isinstance(item.spec, Model):
            continue
        version = by_id.get(ObjectId(kind=Kind.MODEL_VERSION, name=item.spec.version))
        if version is not None and isinstance(version.spec, ModelVersion):
            pairs.append((item, version.spec))
    return pairs


def _check_decode_memory(by_id: Mapping[ObjectId, NamedObject]) -> list[str]:
    """Return an error for each decode engine that can't hold the largest request of a model."""
    needed: dict[str, tuple[int, ObjectId]] = {}
    for item, version in _versions_of_models(by_id):
        assert isinstance(item.spec, Model)
        for pool in item.spec.decode_pools:
            entry = (version.context_tokens, item.id)
            needed[pool] = max(needed.get(pool, entry), entry, key=lambda pair: pair[0])
    problems = []
    for item in by_id.values():
        if not isinstance(item.spec, BackendServer) or item.spec.pool not in needed:
            continue
        tokens, model_id = needed[item.spec.pool]
        capacity = item.spec.kv_pieces * item.spec.piece_tokens
        if capacity < tokens:
            problems.append(
                f"{item.id}: spec.kv_pieces * spec.piece_tokens is {capacity}; {model_id} "
                f"needs {tokens} for its largest request"
            )
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
    for name, count in Counter(names).items():
        if count > 1:
            problems.append(f"{item.id}: spec.{field} names {name} {count} times")
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
    first_users: dict[tuple[str, str], ObjectId] = {}
    for item in items:
        match item.spec:
            case Key(sha256=digest):
                value = ("sha256", digest)
            case Route(path_prefix=prefix):
                value = ("path_prefix", prefix.rstrip("/"))
            case BackendServer(address=address):
                value = ("address", address)
            case _:
                continue
        first = first_users.setdefault(value, item.id)
        if first != item.id:
            problems.append(f"{item.id}: spec.{value[0]} is the same as that of {first}")
    return problems
