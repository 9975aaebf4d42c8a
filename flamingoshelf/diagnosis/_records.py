"""Parses the lines of a node's log."""

import json
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import attrs

__all__ = ["LogRecord", "parse_record", "read_records"]

_RECORD_FIELDS = frozenset({"time", "level", "message", "node", "request_id", "step", "peer"})


@attrs.frozen(kw_only=True)
class LogRecord:
    """One line of a node's log.

    Parameters
    ----------
    time_s : float
        Time by the node's clock, in seconds since 1970.
    node, level, message : str
        Node that wrote the line, its level and its text.
    request_id, step, peer : str
        Request, step and peer that the line concerns, empty if there is none.
    fields : mapping
        All other fields of the line.
    """

    time_s: float
    node: str
    level: str
    message: str
    request_id: str = ""
    step: str = ""
    peer: str = ""
    fields: Mapping[str, Any] = attrs.field(factory=dict)


def parse_record(line: str) -> LogRecord | None:
    """Return the record in a line, or None if the line holds none.

    Text before the first brace, such as the timestamp of a log collector, is skipped.

    Examples
    --------
    >>> line = '12:00 vm-1 {"time": 5.0, "node": "vm-1", "message": "placed", "request_id": "9c"}'
    >>> parse_record(line).request_id
    '9c'
    >>> parse_record("not a log line") is None
    True
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        document = json.loads(line[start:])
    except ValueError:
        return None
    if isinstance(document, dict) and isinstance(document.get("record"), dict):
        document = _flatten(document["record"])
    if not isinstance(document, dict) or not isinstance(document.get("time"), (int, float)):
        return None
    return LogRecord(
        time_s=float(document["time"]),
        node=_get_text(document, "node"),
        level=_get_text(document, "level"),
        message=_get_text(document, "message"),
        request_id=_get_text(document, "request_id"),
        step=_get_text(document, "step"),
        peer=_get_text(document, "peer"),
        fields={name: value for name, value in document.items() if name not in _RECORD_FIELDS},
    )


def read_records(lines: Iterable[str]) -> Iterator[LogRecord]:
    """Yield the records of the lines that hold one."""
    for line in lines:
        record = parse_record(line)
        if record is not None:
            yield record


def _flatten(record: Mapping[str, Any]) -> dict[str, Any]:
    """Return a record serialized by loguru in the flat form of a gateway's log line."""
    extra = record.get("extra")
    return {
        **(extra if isinstance(extra, dict) else {}),
        "time": (record.get("time") or {}).get("timestamp"),
        "level": (record.get("level") or {}).get("name"),
        "message": record.get("message"),
    }


def _get_text(document: Mapping[str, Any], name: str) -> str:
    value = document.get(name)
    return "" if value in (None, "-") else str(value)
