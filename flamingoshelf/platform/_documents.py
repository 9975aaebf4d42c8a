"""Parsing of JSON documents whose parts come from several writers.

A part that can't be read must not take those of other writers with it, so documents that can't be
parsed as a whole are split, and their parts are parsed one by one.
"""

import json
import re
from collections.abc import Iterable, Iterator, Sequence
from typing import Any

from loguru import logger

__all__ = ["parse_answer", "parse_document"]

_LIST_FIELDS = ("items", "events")

# Documents of the platform are nested about five levels deep. Others could not be passed on to
# other nodes or walked through.
_MAX_DEPTH = 32
_MAX_DIGITS = 64  # of a number; far more than any has
_LONG_NUMBER = re.compile(rb"\d{%d}" % (_MAX_DIGITS + 1))
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
# There may be many brackets and strings, so those that follow one another are found at once.
_BRACKETS = rb"[\[{]++|[\]}]++"
_OTHERS = rb'(?:[^\[\]{}"]++|%s)*+' % _STRING
_BALANCED = rb"(?:[\[{]%s[\]}]%s)++" % (_OTHERS, _OTHERS)
_TOKEN = re.compile(b"|".join([_STRING, _BRACKETS, b","]), re.DOTALL)
_NESTED_TOKEN = re.compile(b"|".join([_BALANCED, _STRING, _BRACKETS]), re.DOTALL)
_MEMBER = re.compile(b"(" + _STRING + rb")\s*:(.*)", re.DOTALL)
_CONTAINERS = (dict, list)


def parse_document(content: bytes) -> Any:
    """Return the value of a JSON document.

    Raises
    ------
    ValueError
        It is not JSON, is nested too deeply, or has a number that is too long.
    """
    try:
        value = json.loads(content)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    if _LONG_NUMBER.search(content):  # or a string with as many digits
        _check_numbers(value)
    _check_depth(value)
    return value


def parse_answer(content: bytes) -> Any:
    """Return the document in an answer of the store, None if it is empty.

    An object whose content can't be read has None in its place; one whose metadata can't be read
    is left out.

    Raises
    ------
    ValueError
        The answer itself is not readable.
    """
    if not content:
        return None
    try:
        return parse_document(content)
    except ValueError as error:
        logger.bind(step="store", reason=str(error)).debug("reading the answer part by part")
    document: dict[str, Any] = {}
    for name, value in _parse_members(content).items():
        if name in _LIST_FIELDS:
            items = (_parse_item(item) for item in _split(value, b"[", b"]"))
            document[name] = [item for item in items if item is not None]
        else:
            document[name] = parse_document(value)
    return document


def _parse_item(content: bytes) -> dict[str, Any] | None:
    """Return an object or an event of the store, None if it isn't known which one it is."""
    try:
        members = _parse_members(content)
        if "object" in members:
            item = _parse_item(members.pop("object"))
            others = {name: parse_document(value) for name, value in members.items()}
            return None if item is None else {**others, "object": item}
        metadata = parse_document(members["metadata"])
    except (ValueError, KeyError) as error:
        logger.bind(step="store").warning("object of the store left out; not readable: {}", error)
        return None
    return {"metadata": metadata, "spec": _parse_spec(metadata, members.get("spec", b"null"))}


def _parse_spec(metadata: Any, content: bytes) -> Any:
    """Return the content of an object, None if it isn't readable."""
    try:
        return parse_document(content)
    except ValueError as error:
        name = metadata.get("name") if isinstance(metadata, dict) else None
        logger.bind(step="store", peer=name).warning(
            "content of an object of the store not readable: {}", error
        )
        return None


def _parse_members(content: bytes) -> dict[str, bytes]:
    """Return the members of a JSON object by name, each as the bytes of its value."""
    members = {}
    for part in _split(content, b"{", b"}"):
        found = _MEMBER.match(part)
        if found is None:
            raise ValueError("a member has no name")
        members[str(parse_document(found.group(1)))] = found.group(2)
    return members


def _split(content: bytes, opening: bytes, closing: bytes) -> Iterator[bytes]:
    """Yield the parts of an object or array between its commas, however they are nested."""
    text = content.strip()
    if not text.startswith(opening) or not text.endswith(closing):
        raise ValueError(f"no {opening.decode()} at its begin or {closing.decode()} at its end")
    depth, begin, position = 0, 1, 0
    # Commas matter between the parts only; inside them there may be many.
    while token := (_NESTED_TOKEN if depth > 1 else _TOKEN).search(text, position):
        symbols, position = token.group(), token.end()
        if symbols == b",":
            yield text[begin : token.start()].strip()
            begin = position
        elif not symbols.strip(b"[{"):
            depth += len(symbols)
        elif not symbols.strip(b"]}"):
            depth -= len(symbols)
            if depth <= 0 and position < len(text):
                raise ValueError("something follows its end")
    if depth:
        raise ValueError("brackets don't match")
    last = text[begin:-1].strip()
    if last:
        yield last


def _check_numbers(value: Any) -> None:
    """Raise `ValueError` if a value has a number that is too long."""
    for level in _levels(value):
        if any(isinstance(item, int) and abs(item) >= 10**_MAX_DIGITS for item in level):
            raise ValueError("a number is too long")


def _check_depth(value: Any) -> None:
    """Raise `ValueError` if a value is nested too deeply."""
    for depth, _ in enumerate(_levels(value)):
        if depth >= _MAX_DEPTH:
            raise ValueError("nested too deeply")


def _levels(value: Any) -> Iterator[Sequence[Any]]:
    """Yield the value itself, then all values that are nested once, and so on."""
    level: Sequence[Any] = [value]
    while level:
        yield level
        containers = [item for item in level if isinstance(item, _CONTAINERS)]
        level = [part for item in containers for part in _parts(item)]


def _parts(value: dict[str, Any] | list[Any]) -> Iterable[Any]:
    return value.values() if isinstance(value, dict) else value
