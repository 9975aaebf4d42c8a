"""Objects as JSON documents: ``{"kind": ..., "name": ..., "spec": {...}}``."""

import hashlib
import json
import math
from collections.abc import Iterable, Sequence
from enum import Enum
from typing import Any

import cattrs
from cattrs.errors import ForbiddenExtraKeysError
from cattrs.gen import make_dict_structure_fn
from cattrs.v import transform_error

from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.objects._kinds import (
    SPEC_CLASSES,
    BackendState,
    Kind,
    NamedObject,
    ObjectId,
    PoolRole,
)
from flamingoshelf.utils import check_choice, check_name

__all__ = ["decode_objects", "encode_object", "encode_objects", "object_digest", "parse_document"]

_DIGEST_BYTES = 16

_converter = cattrs.Converter(forbid_extra_keys=True, omit_if_default=True)


def _structure_str(value: Any, _: type) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a string")
    return value


def _structure_bool(value: Any, _: type) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is not true or false")
    return value


def _structure_int(value: Any, _: type) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is not a whole number")
    return value


def _structure_float(value: Any, _: type) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{value!r} is not a number")
    if not math.isfinite(value):
        raise ValueError(f"{value!r} is not a finite number")
    return float(value)


def _structure_names(value: Any, _: type) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise ValueError(f"{value!r} is not a list of names")
    return tuple(_structure_str(name, str) for name in value)


def _structure_choice(value: Any, enum: type[Enum]) -> Any:
    choices = [member.value for member in enum]
    if value not in choices:
        raise ValueError(f"{value!r} is not one of {', '.join(choices)}")
    return enum(value)


def _format_error(error: BaseException, _: type | None) -> str:
    if isinstance(error, KeyError):
        return "required field is missing"
    if isinstance(error, ForbiddenExtraKeysError):
        return f"unknown fields: {', '.join(sorted(error.extra_fields))}"
    return str(error)


_converter.register_structure_hook(str, _structure_str)
_converter.register_structure_hook(bool, _structure_bool)
_converter.register_structure_hook(int, _structure_int)
_converter.register_structure_hook(float, _structure_float)
_converter.register_structure_hook_func(lambda cls: cls == tuple[str, ...], _structure_names)
_converter.register_structure_hook(PoolRole, _structure_choice)
_converter.register_structure_hook(BackendState, _structure_choice)
for _spec_class in SPEC_CLASSES.values():
    _converter.register_structure_hook(
        _spec_class,
        make_dict_structure_fn(_spec_class, _converter, _cattrs_forbid_extra_keys=True),
    )


def parse_document(document: Any) -> NamedObject:
    """Return the object in `document`.

    Raises
    ------
    ConfigurationError
        Listing every error with the object and the field.
    """
    if not isinstance(document, dict):
        raise ConfigurationError(f"{document!r} is not an object", step="parse")
    label = f"{document.get('kind')}/{document.get('name')}"
    try:
        check_choice("kind", document.get("kind", ""), choices=[kind.value for kind in Kind])
        check_name("name", document.get("name", ""))
        unknown = set(document) - {"kind", "name", "spec"}
        if unknown:
            raise ValueError(f"unknown fields: {', '.join(sorted(unknown))}")
    except ValueError as error:
        raise ConfigurationError(f"{label}: {error}", step="parse") from error
    kind = Kind(document["kind"])
    fields = document.get("spec", {})
    if not isinstance(fields, dict):
        raise ConfigurationError(f"{label}: spec is {fields!r}; it must be an object", step="parse")
    try:
        spec = _converter.structure(fields, SPEC_CLASSES[kind])
    except (cattrs.ClassValidationError, ValueError, TypeError) as error:
        lines = transform_error(error, path="spec", format_exception=_format_error)
        problems = "\n".join(f"{label}: {line}" for line in lines)
        raise ConfigurationError(problems, step="parse") from error
    return NamedObject(id=ObjectId(kind=kind, name=document["name"]), spec=spec)


def encode_object(item: NamedObject) -> dict[str, Any]:
    """Return the JSON document of `item`, defaults left out."""
    spec = _converter.unstructure(item.spec)
    return {"kind": item.id.kind.value, "name": item.id.name, "spec": spec}


def object_digest(item: NamedObject) -> int:
    """Return a digest of `item` as a number; equal objects have the same in every process."""
    text = json.dumps(encode_object(item), separators=(",", ":"), sort_keys=True)
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest(), "big")


def encode_objects(items: Iterable[NamedObject]) -> bytes:
    """Return canonical JSON of `items`, sorted by id."""
    documents = [encode_object(item) for item in sorted(items, key=lambda item: item.id)]
    return json.dumps(documents, separators=(",", ":"), sort_keys=True).encode()


def decode_objects(data: bytes) -> Sequence[NamedObject]:
    """Return the objects in a JSON list.

    Raises
    ------
    ConfigurationError
        Listing the errors of all objects.
    """
    try:
        documents = json.loads(data)
    except ValueError as error:
        raise ConfigurationError(f"not valid JSON: {error}", step="parse") from error
    if not isinstance(documents, list):
        raise ConfigurationError("the top level must be a list of objects", step="parse")
    items, problems = [], []
    for document in documents:
        try:
            items.append(parse_document(document))
        except ConfigurationError as error:
            problems.append(error.message)
    if problems:
        raise ConfigurationError("\n".join(problems), step="parse")
    return items
