"""Read the list of tests that are known to fail because of an open fault."""

from pathlib import Path

import attrs

__all__ = ["KnownFailure", "read_known_failures"]


@attrs.frozen(kw_only=True)
class KnownFailure:
    """One entry of the list.

    Parameters
    ----------
    test : str
        Identifier of the test, as pytest prints it.
    command, seen, issue : str
        Command that reproduces the failure, observed failure, and issue that tracks it.
    """

    test: str
    command: str
    seen: str
    issue: str


def read_known_failures(path: Path) -> list[KnownFailure]:
    """Return the entries of a file with one entry per line and fields separated by ``|``.

    Raises
    ------
    ValueError
        If a line does not have four fields, or one of them is empty.
    """
    entries = []
    for number, line in enumerate(path.read_text().splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 4 or not all(fields):
            raise ValueError(f"{path.name}:{number}: expected test | command | seen | issue")
        test, command, seen, issue = fields
        entries.append(KnownFailure(test=test, command=command, seen=seen, issue=issue))
    return entries
