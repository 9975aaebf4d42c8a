"""Runs a case: a time limit, the record, and the exit status."""

import asyncio
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from loguru import logger

from review.site import with_trouble

__all__ = ["BROKEN", "HELD", "NOT_RUN", "CaseError", "Record", "run_case"]

HELD, BROKEN, NOT_RUN = 0, 1, 2
_MAX_SECONDS = 110.0


class Record:
    """Lines about what was sent, answered and run.

    Parameters
    ----------
    path : Path
        File that the lines are written to.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_s = time.monotonic()
        self.add(f"with the disruption: {'yes' if with_trouble() else 'no'}")

    def add(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class CaseError(Exception):
    """The case couldn't run as intended, so it says nothing about the rule."""


def run_case(folder: Path, play: Callable[[Path, Record], Awaitable[bool]]) -> None:
    """Play a case and exit.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    play : callable
        ``await play(temporary_folder, record)`` returns whether the rule held; it ends all that it
        started, also when it is cancelled.
    """
    logger.remove()
    record = Record(folder / "record.txt")
    status = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as name:
            holds = asyncio.run(_limited(play(Path(name), record)))
        status = HELD if holds else BROKEN
    except BaseException as error:  # every other end means that the case couldn't run
        record.add(f"the case couldn't run: {error!r}")
        traceback.print_exc()
    record.add(f"exit status {status}")
    record.close()
    print(f"exit status {status}")
    sys.exit(status)


async def _limited(playing: Awaitable[bool]) -> bool:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(_MAX_SECONDS):
        return await playing
