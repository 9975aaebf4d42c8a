"""Generate the operators' reference of objects: ``python -m lab.reference``."""

import enum
import inspect
import re
import types
import typing
from pathlib import Path
from typing import Any

import attrs

from flamingoshelf.objects import SPEC_CLASSES, Kind

__all__ = ["REFERENCE_PATH", "render_reference"]

REFERENCE_PATH = Path(__file__).parent.parent / "docs" / "operators" / "objects.md"
_PARAMETER_PATTERN = re.compile(r"^(\w+(?:, \w+)*) : .*\n((?:    .*\n?)+)", re.MULTILINE)
_INTRODUCTION = """# Objects

This page is made by `python -m lab.reference` from the classes of `flamingoshelf.objects`.

An object is a JSON document: `{"kind": "pool", "name": "writers", "spec": {"role": "decode"}}`.
Names have 1 to 63 characters of `a-z 0-9 . _ -`. Fields without a default are required. A file
holds one document or a list of them. [cli.md](cli.md) shows how sets are checked and published.

Beside the fields, the whole set is checked: every reference exists; prefill, decode and plain pools
are used as such; no pool is named twice in a field; no two keys have the same digest, no two routes
the same prefix (a trailing slash aside) and no two backend servers the same address; a decode
engine holds the largest request of each model that it serves. Of two prefixes that cover a path
the longer one is used. Models and services without a live backend server, and bursts below the
largest request of a model, are warnings.
"""


def render_reference() -> str:
    """Return the page in Markdown."""
    parts = [_INTRODUCTION]
    parts += [_render_kind(kind, SPEC_CLASSES[kind]) for kind in Kind]
    return "\n".join(parts)


def _render_kind(kind: Kind, spec_class: type[Any]) -> str:
    document = inspect.getdoc(spec_class) or ""
    summary = document.split("\n\n")[0].replace("\n", " ")
    descriptions = _parse_parameters(document)
    lines = [f"## {kind.value}", "", summary, ""]
    lines += ["| Field | Type | Default | Meaning |", "| --- | --- | --- | --- |"]
    hints = typing.get_type_hints(spec_class)
    for field in attrs.fields(spec_class):
        default = (
            "required" if field.default is attrs.NOTHING else f"`{_format_default(field.default)}`"
        )
        target = field.metadata.get("refers_to")
        kind_text = _describe_type(hints[field.name], target)
        lines.append(
            f"| {field.name} | {kind_text} | {default} | {descriptions.get(field.name, '')} |"
        )
    return "\n".join(lines) + "\n"


def _parse_parameters(document: str) -> dict[str, str]:
    descriptions = {}
    for names, text in _PARAMETER_PATTERN.findall(document + "\n"):
        for name in names.split(", "):
            descriptions[name] = " ".join(text.split())
    return descriptions


def _describe_type(hint: Any, target: Kind | None) -> str:
    if isinstance(hint, types.GenericAlias):
        return f"list of names of {target.value}" if target else "list"
    if target is not None:
        return f"name of a {target.value}"
    if issubclass(hint, enum.Enum):
        return " or ".join(f"`{member.value}`" for member in hint)
    return {str: "text", int: "whole number", float: "number", bool: "true or false"}[hint]


def _format_default(value: Any) -> Any:
    if isinstance(value, bool):
        return str(value).lower()
    return value.value if isinstance(value, enum.Enum) else value


if __name__ == "__main__":
    REFERENCE_PATH.parent.mkdir(parents=True, exist_ok=True)
    REFERENCE_PATH.write_text(render_reference())
