"""Reads the settings file again when it changes."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from loguru import logger

from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.gateway._settings import GatewaySettings
from flamingoshelf.utils import TaskGroup

__all__ = ["SettingsWatch"]

# The platform may change the file without a signal. A look is one system call, and a change has
# to be in force within two seconds.
_INTERVAL_S = 1.0

_FileState = tuple[int, int, int]


class SettingsWatch:
    """Looks for a changed settings file from time to time, and at once when it is told to.

    A file that is not valid changes nothing; the node goes on with the settings that it has.

    Parameters
    ----------
    path : Path
        Settings file.
    load : callable
        ``load(path)`` returns checked settings, or raises `ConfigurationError`.
    apply : callable
        ``apply(settings)`` takes them over.
    """

    def __init__(
        self,
        *,
        path: Path,
        load: Callable[[Path], GatewaySettings],
        apply: Callable[[GatewaySettings], None],
    ) -> None:
        self._path = path
        self._load = load
        self._apply = apply
        self._seen: _FileState | None = None
        self._tasks = TaskGroup(owner="settings")

    async def start(self) -> None:
        """Start to look for changes."""
        self._seen = self._state()
        self._tasks.start(self._run(), name="watch")

    async def stop(self) -> None:
        """End the looks."""
        await self._tasks.stop()

    def reload(self, *, reason: str) -> None:
        """Read the file now."""
        self._seen = self._state()
        bound = logger.bind(step="reload", file=str(self._path), reason=reason)
        try:
            settings = self._load(self._path)
        except ConfigurationError as error:
            bound.error("settings not valid, those in force stay: {}", error.message)
            return
        self._apply(settings)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_INTERVAL_S)
            state = self._state()
            if state == self._seen:
                continue
            if state is None:
                self._seen = None
                logger.bind(step="reload", file=str(self._path)).warning(
                    "the settings file can't be looked at, the settings in force stay"
                )
            else:
                self.reload(reason="the file changed")

    def _state(self) -> _FileState | None:
        """Return what differs between two contents of the file, None if it can't be looked at."""
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino
