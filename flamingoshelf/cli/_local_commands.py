"""Commands that read local files and contact no other process."""

import argparse
import sys
from collections.abc import Iterator, Sequence
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import attrs

from flamingoshelf.cli._results import CommandResult, ExitStatus
from flamingoshelf.diagnosis import LogRecord, collect_trail, explain, read_records
from flamingoshelf.exceptions import ConfigurationError, UnreadableFileError
from flamingoshelf.platform import check_document, read_document
from flamingoshelf.platform import load_settings as load_platform_settings
from flamingoshelf.routing import ChangeKind, Difference, Severity
from flamingoshelf.settings import load_settings

__all__ = ["LOCAL_COMMANDS", "run_local_command"]

LOCAL_COMMANDS = ("check-gateway", "check-settings", "explain")

_MARKS = {ChangeKind.ADDED: "+", ChangeKind.REMOVED: "-", ChangeKind.CHANGED: "~"}


def run_local_command(options: argparse.Namespace) -> CommandResult:
    """Run the command selected by `options`.

    Raises
    ------
    ConfigurationError
        A file can't be read, or settings are not valid.
    """
    if options.command == "explain":
        return _explain(options.request, options.files)
    if options.command == "check-gateway":
        return _check_gateway(options.file, options.against)
    return _check_settings(options.file)


def _check_gateway(path: Path, against: Path | None) -> CommandResult:
    document = _read_document(path)
    in_force = None if against is None else _read_document(against)
    try:
        checked = check_document(document, in_force=in_force)
    except ConfigurationError as error:
        raise UnreadableFileError(error.message, step="read", peer=str(against)) from error
    lines = [f"{f.severity}: {f.object}: {f.field}: {f.reason}" for f in checked.findings]
    errors = sum(finding.severity is Severity.ERROR for finding in checked.findings)
    warnings = len(checked.findings) - errors
    result: dict[str, Any] = {
        "file": str(path),
        "errors": errors,
        "warnings": warnings,
        "findings": [attrs.asdict(finding) for finding in checked.findings],
    }
    if checked.differences is not None:
        result["differences"] = [attrs.asdict(difference) for difference in checked.differences]
        lines += [_format_difference(difference) for difference in checked.differences]
    elif in_force is not None:
        lines.append("not compared: the document can't be decoded")
    lines.append(f"{path}: {errors} errors, {warnings} warnings")
    status = ExitStatus.HAS_ERRORS if errors else ExitStatus.OK
    return CommandResult(lines=lines, document=result, status=status)


def _format_difference(difference: Difference) -> str:
    text = f"{_MARKS[difference.change]} {difference.object}"
    if difference.change is not ChangeKind.CHANGED:
        return text
    return f"{text}: {difference.field}: {difference.before} -> {difference.after}"


def _read_document(path: Path) -> Any:
    try:
        return read_document(path.read_bytes())
    except OSError as error:
        raise UnreadableFileError(f"{path}: {error.strerror}", step="read") from error
    except ValueError as error:
        raise UnreadableFileError(f"{path}: not valid JSON: {error}", step="read") from error


def _explain(request_id: str, files: Sequence[str]) -> CommandResult:
    trail = collect_trail(read_records(_read_lines(files)), request_id)
    if trail is None:
        return CommandResult(
            lines=[f"no line names request {request_id}"],
            document={"request_id": request_id, "records": []},
            status=ExitStatus.NOT_FOUND,
        )
    explanation = explain(trail)
    arrived_s = trail.arrived_s
    lines = [
        f"request {request_id}, arrived {_format_time(arrived_s)}",
        f"outcome: {explanation.outcome}",
        f"cause:   {explanation.cause}",
        "",
    ]
    for record in trail.records:
        mark = ">" if record is explanation.decisive else " "
        lines.append(f"{mark} {_format_record(record, arrived_s)}")
    if trail.context:
        lines += ["", "what these nodes learned meanwhile:"]
        lines += [f"  {_format_record(record, arrived_s)}" for record in trail.context]
    document = {
        "request_id": request_id,
        "arrived": _format_time(arrived_s),
        "outcome": explanation.outcome,
        "cause": explanation.cause,
        "decisive": attrs.asdict(explanation.decisive),
        "records": [attrs.asdict(record) for record in trail.records],
        "context": [attrs.asdict(record) for record in trail.context],
    }
    return CommandResult(lines=lines, document=document)


def _check_settings(path: Path) -> CommandResult:
    text = "".join(_read_lines([str(path)]))
    if text.lstrip().startswith("{"):
        document: dict[str, Any] = {"file": str(path), "format": "json"}
        load_settings(path)
    else:
        document = {"file": str(path), "format": "platform"}
        load_platform_settings(path)
    return CommandResult(lines=[f"{path}: the settings are valid"], document=document)


def _read_lines(files: Sequence[str]) -> Iterator[str]:
    for name in files:
        if name == "-":
            yield from sys.stdin
            continue
        try:
            with open(name, encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            message = f"{name} can't be read: {error.strerror}"
            raise ConfigurationError(message, step="read") from error


def _format_record(record: LogRecord, arrived_s: float) -> str:
    fields = " ".join(f"{name}={value}" for name, value in record.fields.items())
    where = f"{record.step} {record.peer}".strip()
    text = f"{record.time_s - arrived_s:+8.3f} s  {record.node}  {where}: {record.message}"
    return f"{text}  {fields}".rstrip()


def _format_time(time_s: float) -> str:
    return datetime.fromtimestamp(time_s, UTC).isoformat(timespec="milliseconds")
