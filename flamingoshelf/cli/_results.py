"""Exit statuses and results of commands."""

from enum import IntEnum
from typing import Any

import attrs

__all__ = ["CommandResult", "ExitStatus"]


class ExitStatus(IntEnum):
    """Exit status of the tool. `check-gateway` has names of its own for two of them."""

    OK = 0
    DIFFERENT = 1
    HAS_ERRORS = 1
    USAGE = 2
    UNREADABLE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN = 6
    NOT_IN_FORCE = 7
    NOT_FOUND = 8

    @property
    def meaning(self) -> str:
        """Explanation that is shown to the operator."""
        return _MEANINGS[self]


_MEANINGS = {
    ExitStatus.OK: "done, or nothing to do",
    ExitStatus.DIFFERENT: "diff: the files and the newest revision differ; "
    "check-gateway: errors were found",
    ExitStatus.USAGE: "the command line is not valid; check-gateway: a file can't be read",
    ExitStatus.INVALID: "files or objects are not valid or not consistent; nothing was published",
    ExitStatus.CONFLICT: "another operator changed the same object; nothing was published",
    ExitStatus.UNAVAILABLE: "the object service can't be reached; nothing was published",
    ExitStatus.UNKNOWN: "it is not known whether the change was published; run the command again",
    ExitStatus.NOT_FOUND: "explain: no line names the request",
    ExitStatus.NOT_IN_FORCE: "some nodes are not reachable or do not have the newest revision",
}


@attrs.frozen(kw_only=True)
class CommandResult:
    """Output and exit status of a command.

    Parameters
    ----------
    lines : list of str
        Text output.
    document : dict
        Output with ``--json``.
    status : ExitStatus
        Exit status.
    """

    lines: list[str]
    document: dict[str, Any]
    status: ExitStatus = ExitStatus.OK
