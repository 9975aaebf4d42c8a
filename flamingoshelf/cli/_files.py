"""Reads objects from files and folders."""

import json
from collections.abc import Iterable, Sequence
from pathlib import Path

from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.objects import NamedObject, decode_objects

__all__ = ["read_objects"]


def read_objects(paths: Iterable[Path]) -> Sequence[NamedObject]:
    """Return the objects in JSON files, and in all ``*.json`` files below folders.

    A file holds one document or a list of documents.

    Raises
    ------
    ConfigurationError
        A file can't be read or is not valid; the message lists the errors of all files.
    """
    items: list[NamedObject] = []
    problems: list[str] = []
    for path in _expand(paths, problems):
        try:
            items += _read_file(path)
        except OSError as error:
            problems.append(f"{path}: {error.strerror}")
        except ConfigurationError as error:
            problems += [f"{path}: {line}" for line in error.message.splitlines()]
    if problems:
        raise ConfigurationError("\n".join(problems), step="read")
    return items


def _expand(paths: Iterable[Path], problems: list[str]) -> list[Path]:
    files: list[Path] = []
    for path in paths:
        found = sorted(path.rglob("*.json")) if path.is_dir() else [path]
        if not found:
            problems.append(f"{path}: the folder holds no *.json file")
        files += found
    return files


def _read_file(path: Path) -> Sequence[NamedObject]:
    data = path.read_bytes()
    try:
        document = json.loads(data)
    except ValueError as error:
        raise ConfigurationError(f"not valid JSON: {error}", step="read") from error
    return decode_objects(json.dumps([document]).encode() if isinstance(document, dict) else data)
