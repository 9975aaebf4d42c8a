"""A small deployment for the cases: nodes as the deploy file starts them, and stand-ins."""

import os
import signal
import subprocess
import tomllib
from collections.abc import Mapping
from pathlib import Path

from lab.gateway import GatewaySite

__all__ = ["DeployedNode", "ReviewSite", "with_trouble"]

_ROOT = Path(__file__).resolve().parent.parent
_LIBRARIES = _ROOT / "target" / "deps"
_PASSED_VARIABLES = ("PATH", "HOME", "LANG")

# A small deployment's settings, as the platform's pages show them.
_SETTINGS = {
    "role": "gateway",
    "machineClass": "front",
    "serves": "front,control",
    "region": "bagmati",
    "bootstrap": "true",
    "lossCounts": "false",
    "limits.cpuShare": "0.537",
    "limits.cores": "2",
    "limits.memoryMb": "150",
    "limits.maxFds": "4100",
    "limits.linkMbps": "1000.0",
    "limits.diskMb": "0",
    "discovery": "platform",
    "entry": "vip",
    "heartbeatMs": "1200",
    "bounds.contactMs": "3000",
    "bounds.drainMs": "2000",
    "bounds.graceS": "8",
    "bounds.lossSlackMs": "200",
    "bounds.configApplyMs": "2000",
    "bounds.retryRatio": "0.2",
    "bounds.retryWindowS": "10",
    "bounds.retrySlack": "58",
    "bounds.requireFence": "true",
    "bounds.leaseMs": "3000",
    "bounds.thawMs": "300",
    "platform.form": "objects",
    "platform.writesPerS": "400",
    "platform.readsPerS": "2000",
    "platform.historyS": "20",
    "platform.valueBytes": "1048576",
}


def with_trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


class DeployedNode:
    """One node, started with the command of the deploy file.

    Parameters
    ----------
    name : str
        Name of the node and of its log file.
    settings : Path
        Its settings file.
    folder : Path
        Folder of the log file.
    """

    def __init__(self, *, name: str, settings: Path, folder: Path) -> None:
        self._settings = settings
        self._log_path = folder / f"{name}.log"
        self._popen: subprocess.Popen[bytes] | None = None
        self.name = name

    @property
    def log(self) -> str:
        """Contents of the log file."""
        return self._log_path.read_text(errors="replace") if self._log_path.exists() else ""

    @property
    def pid(self) -> int:
        """Process id of the latest run."""
        assert self._popen is not None
        return self._popen.pid

    @property
    def exit_status(self) -> int | None:
        """Exit status of the latest run, None while it runs."""
        return None if self._popen is None else self._popen.poll()

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def memory_bytes(self) -> int:
        """Memory of the process in use without shared pages, 0 if it has ended."""
        if not self.is_running or self._popen is None:
            return 0
        try:
            _, resident, shared, *_ = Path(f"/proc/{self._popen.pid}/statm").read_text().split()
        except (OSError, ValueError):
            return 0
        return (int(resident) - int(shared)) * os.sysconf("SC_PAGE_SIZE")

    def start(self) -> None:
        """Start the process; a second start begins a new run with the same log file."""
        if self._popen is not None:  # the whole system starts for the first time only once
            text = self._settings.read_text()
            self._settings.write_text(text.replace("bootstrap=true", "bootstrap=false"))
        deploy = tomllib.loads((_ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        variables = {name: os.environ[name] for name in _PASSED_VARIABLES if name in os.environ}
        variables["PYTHONPATH"] = str(_LIBRARIES)
        variables["FLAMINGOSHELF_CONFIG"] = str(self._settings)
        with self._log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                command, cwd=_ROOT, env=variables, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        if self._popen is not None:
            self._popen.wait()


class ReviewSite(GatewaySite):
    """The project's own stand-ins, and nodes that are started as the deploy file says."""

    def _add_node(self, number: int) -> None:
        front, ready, control = self._addresses.reserve(3)
        settings = {
            "nodeName": f"front-{number}",
            "zone": self.zone_of(number),
            "ip": front.rpartition(":")[0],
            "bind.front": front,
            "bind.ready": ready,
            "bind.control": control,
            "platform.address": self.store_address,
            **_SETTINGS,
            **self.extra_settings(),
        }
        path = self._folder / f"node-{number}.conf"
        path.write_text("".join(f"{name}={value}\n" for name, value in settings.items()))
        node = DeployedNode(name=f"node-{number}", settings=path, folder=self._folder)
        self.nodes.append(node)  # type: ignore[arg-type]
        self.node_addresses.append(front)
        self.ready_addresses.append(ready)

    def zone_of(self, number: int) -> str:
        """Return the zone of a node."""
        return ("zone-a", "zone-b", "zone-c")[number % 3]

    def extra_settings(self) -> Mapping[str, str]:
        """Return settings that replace those of the small deployment."""
        return {}
