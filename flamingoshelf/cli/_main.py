"""Entry point of the command-line tool."""

import asyncio
import json
import sys
from collections.abc import Sequence

from loguru import logger

from flamingoshelf.cli._commands import run_command
from flamingoshelf.cli._local_commands import LOCAL_COMMANDS, run_local_command
from flamingoshelf.cli._parser import build_parser, check_options
from flamingoshelf.cli._results import CommandResult, ExitStatus
from flamingoshelf.exceptions import (
    ConfigurationError,
    ConflictError,
    FlamingoshelfError,
    ObjectServiceError,
    OutcomeUnknownError,
    UnreadableFileError,
)

__all__ = ["main"]

_EXIT_STATUSES: tuple[tuple[type[FlamingoshelfError], ExitStatus], ...] = (
    (UnreadableFileError, ExitStatus.UNREADABLE),  # before its base class
    (ConfigurationError, ExitStatus.INVALID),
    (ConflictError, ExitStatus.CONFLICT),
    (ObjectServiceError, ExitStatus.UNAVAILABLE),
    (OutcomeUnknownError, ExitStatus.UNKNOWN),
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit status, see `ExitStatus`."""
    parser = build_parser()
    options = parser.parse_args(arguments)
    check_options(parser, options)
    logger.remove()
    try:
        if options.command in LOCAL_COMMANDS:
            result = run_local_command(options)
        else:
            result = asyncio.run(run_command(options))
    except FlamingoshelfError as error:
        result = _describe_failure(error)
        if not options.json:
            print("\n".join(result.lines), file=sys.stderr)
            return result.status
    print(json.dumps(result.document, indent=2) if options.json else "\n".join(result.lines))
    return result.status


def _describe_failure(error: FlamingoshelfError) -> CommandResult:
    status = next(
        (status for error_class, status in _EXIT_STATUSES if isinstance(error, error_class)),
        ExitStatus.UNAVAILABLE,
    )
    where = f"{error.step} with {error.peer}" if error.peer else error.step
    lines = [f"error: {where}: {line}" for line in error.message.splitlines()]
    return CommandResult(
        lines=[*lines, status.meaning],
        document={"errors": error.message.splitlines(), "step": error.step, "peer": error.peer},
        status=status,
    )
