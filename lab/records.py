"""Event records that stand-ins write to files, so that they survive a killed process."""

import json
import time
from collections.abc import Iterator
from pathlib import Path
from typing import TextIO

import attrs

__all__ = ["Record", "Recorder", "read_records", "workspace_of"]


@attrs.frozen(kw_only=True)
class Record:
    """One event at a stand-in.

    Parameters
    ----------
    time_s : float
        Time on the machine's monotonic clock, which all processes share.
    server : str
        Name of the stand-in.
    event : str
        What happened: ``prefill``, ``import``, ``tokens``, ``execution`` or ``attempt``.
    subject : str
        Request id, booking or attempt; empty for ``tokens``, which count a whole workspace.
    workspace : str
        Workspace, or an empty string if it is unknown.
    amount : int
        Tokens or executions.
    """

    time_s: float
    server: str
    event: str
    subject: str
    workspace: str = ""
    amount: int = 1


class Recorder:
    """Writer that appends records to a file, or drops them without one.

    Parameters
    ----------
    path : Path or None
        File; its name without the suffix is the name of the stand-in.
    """

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._file: TextIO | None = None

    def write(self, event: str, subject: str, *, workspace: str = "", amount: int = 1) -> None:
        """Append one record and flush it to the file."""
        if self._path is None:
            return
        if self._file is None:
            self._file = self._path.open("a", buffering=1)
        entry = [time.monotonic(), event, subject, workspace, amount]
        self._file.write(json.dumps(entry) + "\n")


def read_records(folder: Path) -> Iterator[Record]:
    """Yield the records of all stand-ins in `folder`."""
    for path in sorted(folder.glob("*.records")):
        for line in path.read_text().splitlines():
            time_s, event, subject, workspace, amount = json.loads(line)
            yield Record(
                time_s=time_s,
                server=path.stem,
                event=event,
                subject=subject,
                workspace=workspace,
                amount=amount,
            )


def workspace_of(prompt: str) -> str:
    """Return the workspace that the load generator writes at the start of each prompt.

    Examples
    --------
    >>> workspace_of("[workspace=desk] Value this van.")
    'desk'
    >>> workspace_of("Value this van.")
    ''
    """
    head, mark, _ = prompt.partition("] ")
    prefix = "[workspace="
    return head[len(prefix) :] if mark and head.startswith(prefix) else ""
