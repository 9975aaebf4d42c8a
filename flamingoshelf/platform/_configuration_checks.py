"""Checks of the operators' configuration document before it is published.

Findings name the fields of the document. They hold no value of a field that can't be decoded,
because an API key may stand in the wrong place.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from typing import Any, TypeVar

import attrs

from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.platform._configuration import (
    BYTES_S_PER_MBPS,
    CALL_KINDS,
    MAX_AMOUNT,
    decode_configuration,
)
from flamingoshelf.platform._documents import parse_document
from flamingoshelf.routing import (
    CallKind,
    Difference,
    Finding,
    GatewayConfiguration,
    check_configuration,
    compare_configurations,
)

__all__ = ["CheckedDocument", "check_document", "read_document"]

_Item = TypeVar("_Item", Finding, Difference)

_KIND_NAMES = {kind: name for name, kind in CALL_KINDS.items()}

# Names of our fields in the document, and by what our values are multiplied there.
_WIRE_FIELDS: Mapping[str, tuple[str, float]] = {
    "path_prefix": ("pathPrefix", 1),
    "timeout_s": ("timeoutMs", 1000),
    "latency_goal_s": ("latencyGoalMs", 1000),
    "max_attempts": ("maxAttempts", 1),
    "is_open": ("public", 1),
    "may_resume": ("canResume", 1),
    "event_gap_goal_s": ("gapAimMs", 1000),
    "health_path": ("healthPath", 1),
    "max_connections": ("maxConns", 1),
    "engine.kv_tokens": ("engine.kvCapacity", 1),
    "engine.kv_bytes_per_token": ("engine.kvTokenBytes", 1),
    "engine.link_bytes_per_s": ("engine.linkMbps", 1 / BYTES_S_PER_MBPS),
    "engine.handle_lifetime_s": ("engine.handleTtlS", 1),
    "engine.role_change_s": ("engine.reconfigS", 1),
    "cold_start_s": ("coldStartS", 1),
    "cold_per_s": ("coldPerS", 1),
    "keys": ("apiKeys", 1),
    "rate_tokens_s": ("ratePerS", 1),
    "burst_tokens": ("burst", 1),
    "default_call_tokens": ("plainTokens", 1),
    "max_header_bytes": ("maxHeaderBytes", 1),
    "max_body_bytes": ("maxBodyBytes", 1),
    "header_timeout_s": ("headerTimeoutMs", 1000),
    "idle_timeout_s": ("idleTimeoutMs", 1000),
}
_DERIVED_FIELDS = ("abandon_after_s",)  # not in the document


@attrs.frozen(kw_only=True)
class CheckedDocument:
    """What was found in a document.

    Parameters
    ----------
    findings : list of Finding
        Faults of the document.
    differences : list of Difference or None
        What differs from the configuration in force; None if none was given, or if the document
        can't be decoded.
    """

    findings: list[Finding]
    differences: list[Difference] | None = None


@attrs.frozen
class _Type:
    """Valid values of a field."""

    expected: str
    accepts: Callable[[Any], bool]
    is_required: bool = True

    @property
    def optional(self) -> "_Type":
        return attrs.evolve(self, is_required=False)


def _is_number(value: Any) -> bool:
    return type(value) in (int, float) and math.isfinite(value)


_TEXT = _Type("a text that is not empty", lambda value: isinstance(value, str) and bool(value))
_NUMBER = _Type("a number", _is_number)
_WHOLE = _Type("a whole number", lambda value: _is_number(value) and value == int(value))
_FLAG = _Type("true or false", lambda value: isinstance(value, bool))
_AMOUNT = _Type(
    f"a number from 0 to {MAX_AMOUNT:g}",
    lambda value: _is_number(value) and 0 <= value <= MAX_AMOUNT,
)
_OBJECT = _Type("an object", lambda value: isinstance(value, dict))
_LIST = _Type("a list", lambda value: isinstance(value, list))
_KIND = _Type(
    "one of " + ", ".join(CALL_KINDS),
    lambda value: isinstance(value, str) and value in CALL_KINDS,
)
_KEYS = _Type(
    "a list of texts that are not empty",
    lambda value: isinstance(value, list) and all(_TEXT.accepts(key) for key in value),
)

_DOCUMENT = {
    "version": _WHOLE,
    "routes": _LIST,
    "services": _LIST,
    "tenants": _LIST.optional,
    "limits": _OBJECT.optional,
}
_ROUTE = {
    "name": _TEXT,
    "host": _TEXT,
    "pathPrefix": _TEXT,
    "kind": _KIND,
    "timeoutMs": _NUMBER,
    "latencyGoalMs": _NUMBER,
    "maxAttempts": _WHOLE.optional,
    "priority": _WHOLE.optional,
    "public": _FLAG.optional,
    "canResume": _FLAG.optional,
    "gapAimMs": _NUMBER.optional,
    "backends": _LIST.optional,
}
_SPLIT = {"service": _TEXT, "weight": _NUMBER}
_SERVICE = {
    "name": _TEXT,
    "healthPath": _TEXT.optional,
    "maxConns": _WHOLE.optional,
    "engine": _OBJECT.optional,
    "coldStartS": _AMOUNT.optional,
    "coldPerS": _AMOUNT.optional,
}
_ENGINE = {
    "slots": _WHOLE,
    "kvCapacity": _WHOLE,
    "kvTokenBytes": _NUMBER,
    "linkMbps": _NUMBER,
    "handleTtlS": _NUMBER,
    "reconfigS": _NUMBER,
}
_WORKSPACE = {
    "name": _TEXT,
    "apiKeys": _KEYS,
    "priority": _WHOLE.optional,
    "ratePerS": _NUMBER.optional,
    "burst": _NUMBER.optional,
    "plainTokens": _NUMBER.optional,
}
_LIMITS = {
    "maxHeaderBytes": _WHOLE.optional,
    "maxBodyBytes": _WHOLE.optional,
    "headerTimeoutMs": _NUMBER.optional,
    "idleTimeoutMs": _NUMBER.optional,
}
_LISTS = (
    ("routes", "route", _ROUTE),
    ("services", "service", _SERVICE),
    ("tenants", "workspace", _WORKSPACE),
)


def read_document(content: bytes) -> Any:
    """Return the configuration document in `content`, also out of an object of the store.

    Raises
    ------
    ValueError
        It is not a JSON document.
    """
    document = parse_document(content)
    if isinstance(document, dict) and "routes" not in document and "spec" in document:
        return document["spec"]
    return document


def check_document(document: Any, *, in_force: Any = None) -> CheckedDocument:
    """Check a configuration document; names and units are those of the document.

    Parameters
    ----------
    document : object
        The configuration that is to be published.
    in_force : object, optional
        The configuration in force; a version that is not higher is an error.

    Raises
    ------
    ConfigurationError
        `in_force` can't be decoded.
    """
    before = None if in_force is None else _decode(in_force)
    type_errors = list(_check_types(document))
    if type_errors:
        return CheckedDocument(findings=type_errors)
    after = decode_configuration(document)
    findings = _check_unique_names(document)
    findings += [_translate(finding, document) for finding in check_configuration(after)]
    if before is None:
        return CheckedDocument(findings=findings)
    if after.version <= before.version:
        reason = f"{after.version} is not above {before.version}, which is in force"
        findings.append(Finding(object="configuration", field="version", reason=reason))
    differences = [
        attrs.evolve(
            _translate(difference, document),
            before=_to_wire(difference.field, difference.before),
            after=_to_wire(difference.field, difference.after),
        )
        for difference in compare_configurations(before, after)
        if difference.field not in _DERIVED_FIELDS
    ]
    return CheckedDocument(findings=findings, differences=differences)


def _decode(document: Any) -> GatewayConfiguration:
    errors = [f"{f.object}: {f.field}: {f.reason}" for f in _check_types(document)]
    if errors:
        raise ConfigurationError("\n".join(errors), step="decode configuration")
    return decode_configuration(document)


def _check_types(document: Any) -> Iterator[Finding]:
    if not isinstance(document, dict):
        yield Finding(object="configuration", field="", reason="must be an object")
        return
    yield from _check_fields("configuration", document, _DOCUMENT)
    yield from _check_fields("limits", document.get("limits") or {}, _LIMITS)
    for list_name, kind, fields in _LISTS:
        entries = document.get(list_name)
        for index, entry in enumerate(entries if isinstance(entries, list) else ()):
            label = f"{list_name}[{index}]"
            if not isinstance(entry, dict):
                yield Finding(object=label, field="", reason="must be an object")
                continue
            if _TEXT.accepts(entry.get("name")):
                label = f"{kind}/{entry['name']}"
            yield from _check_fields(label, entry, fields)
            if kind == "route":
                yield from _check_split(label, entry)
            if kind == "service":
                yield from _check_fields(label, entry.get("engine"), _ENGINE, "engine")


def _check_split(label: str, route: Mapping[str, Any]) -> Iterator[Finding]:
    split = route.get("backends")
    if not split:
        yield from _check_fields(label, route, {"service": _TEXT})
        return
    for index, entry in enumerate(split if isinstance(split, list) else ()):
        path = f"backends[{index}]"
        if isinstance(entry, dict):
            yield from _check_fields(label, entry, _SPLIT, path)
        else:
            yield Finding(object=label, field=path, reason="must be an object")


def _check_fields(
    label: str, document: Any, fields: Mapping[str, _Type], path: str = ""
) -> Iterator[Finding]:
    if not isinstance(document, dict):  # missing, or of a type that is reported already
        return
    for name, field_type in fields.items():
        value = document.get(name)
        field = f"{path}.{name}" if path else name
        if value is None:
            if field_type.is_required:
                yield Finding(object=label, field=field, reason="is missing")
        elif not field_type.accepts(value):
            yield Finding(object=label, field=field, reason=f"must be {field_type.expected}")


def _check_unique_names(document: Mapping[str, Any]) -> list[Finding]:
    """Return an error for each name that is given twice; decoding keeps the last of them.

    Routes are not among them, because decoding keeps all of these.
    """
    findings = []
    for list_name, kind, _ in _LISTS[1:]:
        counts = Counter(entry["name"] for entry in document.get(list_name) or ())
        findings += [
            Finding(object=f"{kind}/{name}", field="name", reason=f"is defined {count} times")
            for name, count in counts.items()
            if count > 1
        ]
    return findings


def _translate(item: _Item, document: Mapping[str, Any]) -> _Item:
    if item.field != "targets":
        return attrs.evolve(item, field=_WIRE_FIELDS.get(item.field, (item.field, 1))[0])
    is_split = any(
        route.get("backends") and f"route/{route['name']}" == item.object
        for route in document["routes"]
    )
    return attrs.evolve(item, field="backends" if is_split else "service")


def _to_wire(field: str, value: Any) -> Any:
    if isinstance(value, CallKind):
        return _KIND_NAMES[value]
    factor = _WIRE_FIELDS.get(field, (field, 1))[1]
    return round(value * factor, 6) if type(value) in (int, float) and factor != 1 else value
