"""Small deployments of real nodes on loopback addresses, for the cases of the third review."""

import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

from flamingoshelf.http1 import Exchange, Headers, HttpServer, ResponseHead
from flamingoshelf.utils import TaskGroup, now_s
from lab.gateway._caller import Caller
from lab.gateway._records import RunLog
from lab.gateway._servers import EngineStandIn
from lab.gateway._store import StoreStandIn
from lab.processes import AddressPool

__all__ = [
    "BROKEN",
    "FAILED",
    "HELD",
    "HOST",
    "KEY",
    "TENANT",
    "Deployment",
    "Node",
    "PlainServer",
    "Record",
    "engine_service",
    "has_trouble",
    "new_engines",
    "plain_service",
    "route",
    "run_case",
]

HELD, BROKEN, FAILED = 0, 1, 2  # exit statuses of a case

HOST = "ficu95.example"
KEY = "3d3zji9n73hh2b9wu3fe"
TENANT = "huka270"
_ROOT = Path(__file__).resolve().parents[2]
_ZONES = ("bagmati-a", "bagmati-b", "bagmati-c")
_START_TIMEOUT_S = 20.0
_CASE_TIMEOUT_S = 110.0
_PASSED_VARIABLES = ("PATH", "HOME", "LANG")
# The page's example of a settings file, but for names, addresses and what the case replaces.
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
    "contracts": "base,drain,config,cost,retry,recover,split,stream,engine,tenants,quota,platform",
    "bounds.seedLagS": "3",
    "bounds.reuseAfterS": "2",
    "bounds.contactMs": "3000",
    "bounds.ackMs": "4000",
    "bounds.syncS": "4",
    "bounds.drainMs": "2000",
    "bounds.graceS": "8",
    "bounds.lossSlackMs": "200",
    "bounds.configApplyMs": "2000",
    "bounds.rollbackSlackMs": "250",
    "bounds.maxSkewMs": "5000",
    "bounds.strictRevoke": "false",
    "bounds.revokeMs": "5000",
    "bounds.retryRatio": "0.2",
    "bounds.retryWindowS": "10",
    "bounds.retrySlack": "58",
    "bounds.quotaWindowS": "8",
    "bounds.quotaExcess": "0.1",
    "bounds.quotaSlack": "190000",
    "bounds.recoverS": "12",
    "bounds.transitMs": "120",
    "bounds.requireFence": "true",
    "bounds.leaseMs": "3000",
    "bounds.thawMs": "300",
    "platform.form": "objects",
    "platform.writesPerS": "400",
    "platform.readsPerS": "2000",
    "platform.historyS": "20",
    "platform.valueBytes": "1048576",
    "platform.ttlMinMs": "1000",
}


def has_trouble() -> bool:
    """Return whether the case is run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with the seconds since the start.

    Parameters
    ----------
    path : Path
        File to write at the end.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lines: list[str] = []
        self._began_s = now_s()

    def add(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{now_s() - self._began_s:8.3f} s  {text}")

    def write(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


class Node:
    """One process of the system, started with the command of the deploy file.

    Parameters
    ----------
    name, zone : str
        Name of the machine and its zone.
    folder : Path
        Folder of its settings and its log.
    front, ready, control : str
        ``ip:port`` of what it serves.
    store_address : str
        ``ip:port`` of the platform's store.
    settings : mapping
        Settings that differ from the example.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        folder: Path,
        front: str,
        ready: str,
        control: str,
        store_address: str,
        settings: dict[str, str],
    ) -> None:
        self.name = name
        self.zone = zone
        self.front = front
        self.ready = ready
        self._folder = folder
        self._popen: subprocess.Popen[bytes] | None = None
        self._settings = {
            **_SETTINGS,
            "nodeName": name,
            "zone": zone,
            "ip": front.rpartition(":")[0],
            "bind.front": front,
            "bind.ready": ready,
            "bind.control": control,
            "seeds": control,
            "platform.address": store_address,
            **settings,
        }

    @property
    def pid(self) -> int:
        """Process id of the latest run."""
        assert self._popen is not None
        return self._popen.pid

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def log(self) -> list[dict[str, Any]]:
        """Lines that the process has logged."""
        path = self._folder / f"{self.name}.log"
        lines = path.read_text(errors="replace").splitlines() if path.exists() else []
        return [json.loads(line) for line in lines if line.startswith("{")]

    def start(self) -> None:
        """Start the process, with the settings in effect now."""
        path = self._folder / f"{self.name}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in self._settings.items()))
        deploy = tomllib.loads((_ROOT / "deploy" / "system.toml").read_text())
        environment = {name: os.environ[name] for name in _PASSED_VARIABLES if name in os.environ}
        environment["PYTHONPATH"] = str(_ROOT / "target" / "deps")
        environment["FLAMINGOSHELF_CONFIG"] = str(path)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._popen = subprocess.Popen(
                deploy["roles"]["gateway"]["run"].split(),
                cwd=_ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def restart_settings(self, **changes: str) -> None:
        """Change settings that the next start takes."""
        self._settings.update(changes)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._popen is not None:
            self._popen.wait()

    async def wait_for_end(self, timeout_s: float) -> int | None:
        """Return the exit status, None if the process still runs after the time."""
        until_s = now_s() + timeout_s
        while self.is_running and now_s() < until_s:
            await asyncio.sleep(0.02)
        return None if self._popen is None else self._popen.poll()


class Deployment:
    """Store and nodes of one case; the case adds its servers.

    Parameters
    ----------
    folder : Path
        Temporary folder of settings and logs.
    node_count : int
        Number of nodes, spread over three zones.
    settings : mapping, optional
        Settings of all nodes that differ from the example.
    """

    def __init__(
        self, *, folder: Path, node_count: int, settings: dict[str, str] | None = None
    ) -> None:
        self._addresses = AddressPool()
        self.store = StoreStandIn(address=self.address())
        self.caller = Caller(host=HOST, key=KEY)
        self.version = 0
        self.nodes: list[Node] = []
        self._store_address = self.store._server._address
        for number in range(node_count):
            front, ready, control = self._addresses.reserve(3)
            zone = _ZONES[number % len(_ZONES)]
            self.nodes.append(
                Node(
                    name=f"front-{zone}-{1 + number // len(_ZONES)}",
                    zone=zone,
                    folder=folder,
                    front=front,
                    ready=ready,
                    control=control,
                    store_address=self._store_address,
                    settings=settings or {},
                )
            )

    def address(self) -> str:
        """Return a free loopback address."""
        return self._addresses.reserve()[0]

    def configure(
        self,
        *,
        routes: Sequence[dict[str, Any]],
        services: Sequence[dict[str, Any]],
        tenant: dict[str, Any] | None = None,
    ) -> int:
        """Write a version of the configuration; return its number."""
        self.version += 3
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        owner = {
            "name": TENANT,
            "apiKeys": [KEY],
            "priority": 1,
            "unit": "generate",
            "plainTokens": 200,
            "ratePerS": 0,
            "burst": 0,
            **(tenant or {}),
        }
        document = {
            "version": self.version,
            "routes": list(routes),
            "services": list(services),
            "limits": limits,
            "tenants": [owner],
        }
        self.store.put("config", "main", document)
        return self.version

    async def start(self) -> None:
        """Start the store and all nodes, and wait until they are ready and know one another."""
        await self.store.start()
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await self.wait_until_ready(node)
        await asyncio.sleep(1.0)

    async def wait_until_ready(self, node: Node) -> None:
        """Wait until a node counts as ready."""
        async with asyncio.timeout(_START_TIMEOUT_S):
            while True:
                answer = await self.caller.call(node.ready, "/ready", method="GET")
                if answer.status == 200:
                    return
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Kill all nodes and stop the store."""
        for node in self.nodes:
            node.kill()
        await self.store.stop()


class PlainServer:
    """Replica of a plain service with slots and a queue, as the pages describe one.

    Parameters
    ----------
    instance_id, service, zone, address : str
        As the replica registers itself.
    store : StoreStandIn
        Store that it registers in.
    record : Record
        Where it notes what reaches it.
    slots, queue : int
        Requests that it works on at once, and those that wait.
    work_s : float
        Seconds that a request takes.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        service: str,
        zone: str,
        address: str,
        store: StoreStandIn,
        record: Record,
        slots: int = 6,
        queue: int = 24,
        work_s: float = 0.0225,
    ) -> None:
        self.instance_id = instance_id
        self.service = service
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[tuple[float, str]] = []
        self.is_leaving = False
        self._zone = zone
        self._address = address
        self._store = store
        self._record = record
        self._slots = asyncio.Semaphore(slots)
        self._places = slots + queue
        self._present = 0
        self._work_s = work_s
        self._state = "ready"
        self._tasks = TaskGroup(owner=instance_id)
        self._server = HttpServer(address=address, handle=self._handle)

    async def start(self) -> None:
        """Listen and register."""
        await self._server.start()
        self.register()

    def register(self) -> None:
        """Write the replica's entry."""
        entry = {
            "service": self.service,
            "address": self._address,
            "zone": self._zone,
            "version": "v1",
            "slots": 6,
            "state": self._state,
            "coldLeftMs": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }
        self._store.put("servers", self.instance_id, entry)

    def leave(self) -> None:
        """Report that the replica leaves; it says so in all its answers, too."""
        self._state, self.is_leaving = "draining", True
        self.register()
        self._server.drain()  # Connection: close in its answers

    async def end(self) -> None:
        """End as a process does: connections break, the entry is removed."""
        await self._server.stop()
        await self._tasks.stop()
        self._store.remove("servers", self.instance_id)

    async def stop(self) -> None:
        """Stop listening."""
        await self._server.stop()

    async def _handle(self, exchange: Exchange) -> None:
        body = await exchange.read_body(limit=8 * 1024 * 1024)
        expected = exchange.head.headers.get("Expect-Instance")
        if expected is not None and expected != self.instance_id:
            self._answer(exchange, 421, b"", ("Instance-Id", self.instance_id))
            return
        request_id = exchange.head.headers.get("Request-Id") or ""
        if request_id:
            self.arrivals.append((now_s(), request_id))
            self._record.add(f"{request_id} reaches {self.instance_id} of {self.service}")
        if self._present >= self._places:
            self._answer(exchange, 503, b"", ("Not-Run", "1"))
            return
        self._present += 1
        try:
            async with self._slots:
                if not request_id:  # a health check
                    status = 503 if self.is_leaving else 200
                    self._answer(exchange, status, b"", ("Instance-Id", self.instance_id))
                    return
                self.runs.append((now_s(), request_id))
                self._record.add(f"{request_id} runs at {self.instance_id}")
                await asyncio.sleep(self._work_s)
                content = f"{self.instance_id} {request_id} ".encode() + body[:16]
                self._answer(exchange, 200, content, ("Server-Seal", f"seal.{request_id}"))
        finally:
            self._present -= 1

    def _answer(
        self, exchange: Exchange, status: int, body: bytes, *items: tuple[str, str]
    ) -> None:
        headers = list(items)
        request_id = exchange.head.headers.get("Request-Id")
        if request_id:
            headers.append(("Request-Id", request_id))
        if self.is_leaving:
            headers.append(("Server-Leaving", "1"))
        exchange.respond(ResponseHead(status=status, headers=Headers(headers)), body)


def new_engines(
    site: Deployment, *, service: str, prefills: int, decodes: int, kv_tokens: int, log: RunLog
) -> list[EngineStandIn]:
    """Return the project's stand-ins for model replicas, which aren't started yet."""
    engines: list[EngineStandIn] = []

    def engine_at(address: str) -> EngineStandIn | None:
        return next((engine for engine in engines if engine.address == address), None)

    def register(engine: EngineStandIn) -> None:
        site.store.put("servers", engine.instance_id, engine.entry())

    for number in range(prefills + decodes):
        engine = EngineStandIn(
            role="prefill" if number < prefills else "decode",
            peers=engine_at,
            address=site.address(),
            service=service,
            zone=_ZONES[number % len(_ZONES)],
            log=log,
            random_source=random.Random(number),
        )
        engine.kv_capacity_tokens = kv_tokens
        engine.on_role_change = register
        engines.append(engine)
    return engines


def route(name: str, prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 14000 if kind == "streaming" else 800,
        "latencyGoalMs": 900 if kind == "streaming" else 150,
        "priority": 1,
        "maxAttempts": 1,
        "public": False,
        "sticky": kind == "streaming",
        "canResume": False,
        **({"gapAimMs": 300} if kind == "streaming" else {}),
        **fields,
    }


def plain_service(name: str, *, connections: int = 110) -> dict[str, Any]:
    """Return a plain service of the configuration."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConns": connections,
        "protocol": "h1",
        "tls": False,
    }


def engine_service(name: str, *, kv_tokens: int, connections: int = 310) -> dict[str, Any]:
    """Return a service of model replicas of the configuration."""
    engine = {
        "slots": 48,
        "kvCapacity": kv_tokens,
        "kvTokenBytes": 18432,
        "linkMbps": 180000.0,
        "handleTtlS": 0.5,
        "reconfigS": 6.0,
        "pinMs": 4000.0,
        "holdMs": 2000.0,
        "models": [{"name": "m"}],
    }
    return {**plain_service(name, connections=connections), "engine": engine}


def run_case(case: Callable[[Path, Record], Awaitable[int]], *, folder: Path) -> None:
    """Run a case and end with its status; its record is written to its folder."""
    sys.exit(asyncio.run(_run_case(case, folder)))


async def _run_case(case: Callable[[Path, Record], Awaitable[int]], folder: Path) -> int:
    record = Record(folder / "record.txt")
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    random.seed(1)
    status = FAILED
    try:
        async with asyncio.timeout(_CASE_TIMEOUT_S):
            status = await case(temporary, record)
    except Exception as error:
        record.add(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
    finally:
        verdicts = {HELD: "the rule held", BROKEN: "the rule was broken", FAILED: "no verdict"}
        record.add(f"exit status {status}: {verdicts[status]}")
        record.write()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {temporary}")
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    return status
