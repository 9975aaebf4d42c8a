"""Child processes of a site and their addresses."""

import asyncio
import itertools
import os
import signal
import subprocess
import sys
from pathlib import Path

__all__ = ["AddressPool", "Process", "wait_until_listening"]

_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 15.0
_FIRST_PORT = 7000


class AddressPool:
    """Allocator of loopback addresses that no other site on this machine uses.

    The second and third octet are derived from the id of the process that owns the site.
    """

    def __init__(self) -> None:
        pid = os.getpid()
        self._prefix = f"127.{10 + (pid >> 8) % 200}.{pid & 255}"
        self._host_numbers = _HOST_NUMBERS

    def reserve(self, count: int = 1) -> list[str]:
        """Return `count` addresses with the same IP address and different ports."""
        host = next(self._host_numbers)
        ip = f"{self._prefix}.{1 + host % 250}"
        base = _FIRST_PORT + 10 * (host // 250)
        return [f"{ip}:{base + offset}" for offset in range(count)]


_HOST_NUMBERS = itertools.count()


class Process:
    """One child process that runs a Python module.

    Parameters
    ----------
    name : str
        Name of the process and of its log file.
    arguments : list of str
        Arguments after ``python -m``.
    log_folder : Path
        Folder of the log file.
    """

    def __init__(self, *, name: str, arguments: list[str], log_folder: Path) -> None:
        self._name = name
        self._arguments = arguments
        self._log_path = log_folder / f"{name}.log"
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def name(self) -> str:
        """Name of the process."""
        return self._name

    @property
    def log(self) -> str:
        """Contents of the log file."""
        return self._log_path.read_text(errors="replace")

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def pid(self) -> int:
        """Process id of the latest run."""
        assert self._popen is not None
        return self._popen.pid

    def start(self) -> None:
        """Start the process; a second start begins a new run with the same log file."""
        with self._log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *self._arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        if self._popen is not None:
            self._popen.wait()

    async def stop(self, timeout_s: float = _STOP_TIMEOUT_S) -> int | None:
        """Send SIGTERM; return the exit status, or None if the process had to be killed."""
        self.send(signal.SIGTERM)
        deadline = asyncio.get_running_loop().time() + timeout_s
        while self.is_running and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.05)
        if self.is_running:
            self.kill()
            return None
        return None if self._popen is None else self._popen.returncode


async def wait_until_listening(address: str, timeout_s: float = _START_TIMEOUT_S) -> None:
    """Wait until a TCP connection to `address` succeeds."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        while True:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return
