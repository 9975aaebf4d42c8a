"""A small deployment for the scripts of the second review: nodes, stand-ins and a record.

Nodes run with the command of the deploy file. Store, engines, plain servers and callers are the
project's stand-ins from `lab`.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from lab.gateway._site import GatewaySite
from lab.proxy import FaultProxy

__all__ = ["BROKEN", "HELD", "NOT_RUN", "Deployment", "Node", "Record", "has_trouble", "run_case"]

HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a script
ROOT = Path(__file__).resolve().parent.parent
_MAX_S = 110.0  # a script may run for 120 s
_ZONES = ("bagmati-a", "bagmati-b", "bagmati-c")
_METRICS_PORT = 9464  # in the run line of the deploy file; each node has an IP address of its own


def has_trouble() -> bool:
    """Return whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines for ``record.txt``: what was sent, answered and run.

    Parameters
    ----------
    path : Path
        The file, which is written anew.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start_s = asyncio.get_running_loop().time()

    def add(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        seconds = asyncio.get_running_loop().time() - self._start_s
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Node:
    """One node, started with the run line of the deploy file.

    Parameters
    ----------
    name : str
        Name of the node.
    settings : Path
        Settings file.
    log : Path
        File for its output.
    """

    def __init__(self, *, name: str, settings: Path, log: Path) -> None:
        self.name = name
        self.settings = settings
        self.log_path = log
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def pid(self) -> int:
        """Process id of the latest run."""
        assert self._popen is not None
        return self._popen.pid

    @property
    def status(self) -> int | None:
        """Exit status of the latest run, None while it runs."""
        return None if self._popen is None else self._popen.poll()

    def start(self) -> None:
        """Start the process."""
        document = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = document["roles"]["gateway"]["run"].split()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "FLAMINGOSHELF_CONFIG": str(self.settings),
        }
        with self.log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
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

    def memory_mib(self) -> float:
        """Return the memory that the process has to itself, without mapped files, in MiB."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
        return 0.0


class Deployment(GatewaySite):
    """Nodes with settings like those of a small deployment, and the project's stand-ins."""

    def __init__(self, *, folder: Path, **sizes: Any) -> None:
        self.settings_changes: dict[str, str] = {}
        super().__init__(folder=folder, **sizes)

    def _add_node(self, number: int) -> None:
        front, ready, control = self._addresses.reserve(3)
        ip = front.rpartition(":")[0]
        proxy = FaultProxy(
            listen_address=self._addresses.reserve()[0], target_address=self.store_address
        )
        self.store_proxies.append(proxy)
        zone = _ZONES[number % len(_ZONES)]
        path = self._folder / f"node-{number}.conf"
        lines = {
            "nodeName": f"front-{zone}-{number}",
            "role": "gateway",
            "machineClass": "front",
            "serves": "front,control",
            "ip": ip,
            "zone": zone,
            "region": "bagmati",
            **{f"zones.{name}": "bagmati" for name in _ZONES},
            "bind.front": front,
            "bind.ready": ready,
            "bind.control": control,
            "portRange": "7500,7515",
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
            "contracts": "base,drain,config,cost,retry,recover,split,stream,engine,tenants,"
            "quota,platform",
            "faultTolerance.machines": "1",
            "bounds.contactMs": "3000",
            "bounds.drainMs": "2000",
            "bounds.graceS": "8",
            "bounds.lossSlackMs": "200",
            "bounds.configApplyMs": "2000",
            "bounds.retryRatio": "0.2",
            "bounds.retryWindowS": "10",
            "bounds.retrySlack": "58",
            "bounds.quotaWindowS": "8",
            "bounds.quotaExcess": "0.1",
            "bounds.quotaSlack": "190000",
            "bounds.requireFence": "true",
            "bounds.leaseMs": "3000",
            "bounds.thawMs": "300",
            "platform.address": proxy.address,
            "platform.form": "objects",
            "platform.writesPerS": "400",
            "platform.readsPerS": "2000",
            "platform.historyS": "20",
            "platform.valueBytes": "1048576",
        }
        path.write_text("".join(f"{name}={value}\n" for name, value in lines.items()))
        node = Node(name=f"node-{number}", settings=path, log=self._folder / f"node-{number}.log")
        self.nodes.append(node)  # type: ignore[arg-type]
        self.node_addresses.append(front)
        self.ready_addresses.append(ready)
        self.metrics_addresses.append(f"{ip}:{_METRICS_PORT}")


def check_free(addresses: list[str]) -> None:
    """Raise `OSError` if an address is in use."""
    for address in addresses:
        host, _, port = address.rpartition(":")
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((host, int(port)))


def run_case(
    folder: Path,
    case: Callable[[Any, Record], Awaitable[list[str]]],
    *,
    deployment_class: type[Deployment] = Deployment,
    **sizes: Any,
) -> None:
    """Run a case in a new deployment, and exit with its status.

    ``await case(deployment, record)`` returns a line for each broken rule.
    """

    async def run() -> int:
        record = Record(folder / "record.txt")
        record.add(f"trouble={has_trouble()}")
        with tempfile.TemporaryDirectory() as path:
            deployment = deployment_class(folder=Path(path), **sizes)
            try:
                check_free([*deployment.node_addresses, deployment.store_address])
                async with asyncio.timeout(_MAX_S):
                    await deployment.start()
                    record.add("all nodes are ready")
                    breaches = await case(deployment, record)
            except (OSError, TimeoutError, AssertionError) as error:
                record.add(f"the case could not run: {error!r}")
                for node in deployment.nodes:
                    log = Path(path) / f"{node.name}.log"
                    if log.exists():
                        record.add(log.read_text(errors="replace")[-2000:])
                return NOT_RUN
            finally:
                keep = os.environ.get("KEEP_LOGS")
                await deployment.stop()
                if keep:
                    for log in Path(path).glob("*.log"):
                        Path(keep, log.name).write_bytes(log.read_bytes())
        for breach in breaches:
            record.add(f"BROKEN {breach}")
            print(breach)
        record.add(json.dumps({"broken": bool(breaches)}))
        record.close()
        return BROKEN if breaches else HELD

    sys.exit(asyncio.run(run()))
