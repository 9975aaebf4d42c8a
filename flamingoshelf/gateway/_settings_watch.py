"""Reloads the settings file when it changes."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from loguru import logger

from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.gateway._settings import GatewaySettings
from flamingoshelf.utils import TaskGroup

__all__ = ["SettingsWatch"]

# The platform may change the file without sending a signal, and a change has to be in force within
# two seconds. A check is a single system call.
_CHECK_INTERVAL_S = 1.0

_FileState = tuple[int, int, int]


class SettingsWatch:
    """Checks the settings file for changes periodically, and reloads it on request.

    An invalid file is logged and ignored; the settings in force stay.

    Parameters
    ----------
    path : Path
        Settings file.
    load : callable
        ``load(path)`` returns validated settings, or raises `ConfigurationError`.
    apply : callable
        ``apply(settings)`` puts them in force.
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
        self._last_state: _FileState | None = None
        self._tasks = TaskGroup(owner="settings")

    async def start(self) -> None:
        """Start checking for changes."""
        self._last_state = self._file_state()
        self._tasks.start(self._run(), name="watch")

    async def stop(self) -> None:
        """Stop checking."""
        await self._tasks.stop()

    def reload(self, *, reason: str) -> None:
        """Read the file now and apply it if it is valid; `reason` is logged."""
        self._last_state = self._file_state()
        log = logger.bind(step="reload", file=str(self._path), reason=reason)
        try:
            settings = self._load(self._path)
        except ConfigurationError as error:
            log.error("settings not valid, those in force stay: {}", error.message)
            return
        self._apply(settings)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            state = self._file_state()
            if state == self._last_state:
                continue
            if state is None:
                self._last_state = None
                logger.bind(step="reload", file=str(self._path)).warning(
                    "settings file not accessible; settings in force stay"
                )
            else:
                self.reload(reason="the file changed")

    def _file_state(self) -> _FileState | None:
        """Return modification time, size and inode of the file, or None if it is not accessible."""
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino
