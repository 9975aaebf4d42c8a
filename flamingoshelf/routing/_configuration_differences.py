"""Differences between two versions of a gateway configuration."""

from collections.abc import Iterator, Mapping
from enum import StrEnum
from typing import Any

import attrs

from flamingoshelf.routing._configuration import GatewayConfiguration, RouteTarget

__all__ = ["ChangeKind", "Difference", "compare_configurations"]


class ChangeKind(StrEnum):
    """What became of an object."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@attrs.frozen(kw_only=True)
class Difference:
    """One object that was added or removed, or one field that changed.

    Parameters
    ----------
    object : str
        Kind and name of the object, such as ``route/chat``.
    change : ChangeKind
        What became of it.
    field : str
        Field that changed; empty if the whole object was added or removed.
    before, after : str, float, bool or None
        Values of the field. API keys are only counted.
    """

    object: str
    change: ChangeKind = ChangeKind.CHANGED
    field: str = ""
    before: Any = None
    after: Any = None


def compare_configurations(
    before: GatewayConfiguration, after: GatewayConfiguration
) -> list[Difference]:
    """Return what differs between two configurations, apart from their versions.

    Examples
    --------
    >>> def configuration(version, **services):
    ...     return GatewayConfiguration(
    ...         version=version, routes=(), services=services, workspaces={}
    ...     )
    >>> from flamingoshelf.routing import ServiceProfile
    >>> small = ServiceProfile(name="s", health_path="/health", max_connections=8)
    >>> large = attrs.evolve(small, max_connections=16)
    >>> [found] = compare_configurations(configuration(1, s=small), configuration(2, s=large))
    >>> found.object, found.field, found.before, found.after
    ('service/s', 'max_connections', 8, 16)
    """
    old_routes = {route.name: route for route in before.routes}
    new_routes = {route.name: route for route in after.routes}
    return [
        *_compare_named("route", old_routes, new_routes),
        *_compare_named("service", before.services, after.services),
        *_compare_named("workspace", before.workspaces, after.workspaces),
        *_compare_fields("limits", before.limits, after.limits),
    ]


def _compare_named(
    kind: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[Difference]:
    for name in sorted(before.keys() | after.keys()):
        label = f"{kind}/{name}"
        if name not in after:
            yield Difference(object=label, change=ChangeKind.REMOVED)
        elif name not in before:
            yield Difference(object=label, change=ChangeKind.ADDED)
        else:
            yield from _compare_fields(label, before[name], after[name])


def _compare_fields(label: str, before: Any, after: Any, path: str = "") -> Iterator[Difference]:
    for field in attrs.fields(type(after)):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old == new:
            continue
        name = path + field.name
        if attrs.has(type(old)) and attrs.has(type(new)):
            yield from _compare_fields(label, old, new, f"{name}.")
            continue
        if isinstance(new, frozenset):
            counts = f"{len(new)} ({len(new - old)} added, {len(old - new)} removed)"
            yield Difference(object=label, field=name, before=str(len(old)), after=counts)
            continue
        yield Difference(object=label, field=name, before=_describe(old), after=_describe(new))


def _describe(value: Any) -> Any:
    """Return a value of a field as a text or number."""
    if isinstance(value, tuple):
        return ", ".join(
            f"{target.service} {target.weight:g}"
            for target in value
            if isinstance(target, RouteTarget)
        )
    return "set" if attrs.has(type(value)) else value
