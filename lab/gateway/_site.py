"""A complete site: store and backend servers of this process, and gateway nodes as processes."""

import asyncio
import random
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from lab.gateway._caller import Caller
from lab.gateway._records import RunLog
from lab.gateway._servers import EngineStandIn, PlainStandIn
from lab.gateway._store import StoreStandIn
from lab.processes import AddressPool, Process, wait_until_listening
from lab.proxy import FaultProxy

__all__ = ["GatewaySite"]

HOST = "desk.example"
KEY = "key-of-the-desk"
WORKSPACE = "desk"
NOTES, BOOKINGS, STOCK, RESUMABLE = "/notes/", "/bookings/", "/stock/", "/drafts/"
_ZONES = ("zone-a", "zone-b")


class GatewaySite:
    """Small site of gateway nodes, with its store and backend servers.

    Parameters
    ----------
    folder : Path
        Folder of settings and logs.
    node_count, prefill_count, decode_count, plain_count : int
        Number of nodes, of engines by initial role, and of servers of the plain service.
    seed : int
        Seed of the stand-ins' faults.
    node_flags : sequence of str
        Further arguments of the nodes' program.
    """

    def __init__(
        self,
        *,
        folder: Path,
        node_count: int = 2,
        prefill_count: int = 1,
        decode_count: int = 2,
        plain_count: int = 2,
        seed: int = 1,
        node_flags: Sequence[str] = (),
    ) -> None:
        self._folder = folder
        self._node_flags = node_flags
        self._addresses = AddressPool()
        self._random = random.Random(seed)
        self.store_address = self._addresses.reserve()[0]
        self.store = StoreStandIn(address=self.store_address)
        self.log = RunLog()
        self.engines = [self._engine("prefill") for _ in range(prefill_count)]
        self.engines += [self._engine("decode") for _ in range(decode_count)]
        self.plain = [self._plain() for _ in range(plain_count)]
        self.version = 0
        self.node_addresses: list[str] = []
        self.ready_addresses: list[str] = []
        self.metrics_addresses: list[str] = []
        self.nodes: list[Process] = []
        self.store_proxies: list[FaultProxy] = []
        self.peer_proxies: list[FaultProxy] = []
        for number in range(node_count):
            self._add_node(number)

    @property
    def servers(self) -> list[EngineStandIn | PlainStandIn]:
        """All backend servers."""
        return [*self.engines, *self.plain]

    @property
    def caller(self) -> Caller:
        """A caller with the site's key."""
        return Caller(host=HOST, key=KEY)

    async def start(self) -> None:
        """Start everything and wait until all nodes are ready."""
        await self.store.start()
        for proxy in self._proxies:
            await proxy.start()
        for server in self.servers:
            await server.start()
            self.register(server)
        self.configure()
        for node in self.nodes:
            node.start()
        for address in self.ready_addresses:
            await self.wait_until_ready(address)

    async def stop(self) -> None:
        """Kill the nodes and stop everything else."""
        for node in self.nodes:
            node.kill()
        for server in self.servers:
            await server.stop()
        for proxy in self._proxies:
            await proxy.stop()
        await self.store.stop()

    def register(self, server: EngineStandIn | PlainStandIn) -> None:
        """Write a server's registration to the store."""
        self.store.put("servers", server.instance_id, server.entry())

    async def replace_crashed(self, server: EngineStandIn | PlainStandIn, outage_s: float) -> None:
        """Stop a server as in a crash; a new one starts at its address after a time."""
        await server.stop()
        await asyncio.sleep(outage_s)
        self.store.remove("servers", server.instance_id)
        server.renew()
        await server.start()
        self.register(server)

    async def replace_by_version(self, engine: EngineStandIn, version: str, drain_s: float) -> None:
        """Let an engine drain; then a new one of another version starts at its address."""
        engine.state = "draining"
        self.register(engine)
        await asyncio.sleep(drain_s)
        await engine.stop()
        self.store.remove("servers", engine.instance_id)
        engine.renew()
        engine.state, engine.version = "ready", version
        await engine.start()
        self.register(engine)

    def configure(self, **changes: Any) -> None:
        """Write the next version of the configuration; `changes` replace top-level fields."""
        self.version += 3
        self.store.put("config", "main", {**self.configuration(), **changes})

    def configuration(self) -> dict[str, Any]:
        """Return the configuration as it is without changes."""
        return _configuration(self.version)

    async def wait_until_ready(self, address: str) -> None:
        """Wait until the node with the readiness address `address` reports ready."""
        await wait_until_listening(address)
        async with asyncio.timeout(10):
            while (await self.caller.call(address, "/ready", method="GET")).status != 200:
                await asyncio.sleep(0.02)

    def engine_at(self, address: str) -> EngineStandIn | None:
        """Return the engine at an address, or None."""
        return next((engine for engine in self.engines if engine.address == address), None)

    @property
    def _proxies(self) -> list[FaultProxy]:
        return [*self.store_proxies, *self.peer_proxies]

    def _add_node(self, number: int) -> None:
        front, ready, control, listen, metrics = self._addresses.reserve(5)
        proxy = FaultProxy(
            listen_address=self._addresses.reserve()[0], target_address=self.store_address
        )
        self.store_proxies.append(proxy)
        self.peer_proxies.append(FaultProxy(listen_address=control, target_address=listen))
        path = self._folder / f"node-{number}.conf"
        lines = {
            "nodeName": f"front-{number}",
            "zone": _ZONES[number % len(_ZONES)],
            "bind.front": front,
            "bind.ready": ready,
            "bind.control": control,
            "platform.address": proxy.address,
            "bootstrap": "true",
            "bounds.graceS": "4",
            "bounds.retrySlack": "100",
        }
        path.write_text("".join(f"{name}={value}\n" for name, value in lines.items()))
        port = metrics.rpartition(":")[2]
        arguments = ["--settings", str(path), "--metrics-port", port, "--peer-listen", listen]
        arguments += self._node_flags
        self.nodes.append(
            Process(
                name=f"node-{number}",
                arguments=[*self._node_program(front), *arguments],
                log_folder=self._folder,
            )
        )
        self.node_addresses.append(front)
        self.ready_addresses.append(ready)
        self.metrics_addresses.append(metrics)

    def _node_program(self, address: str) -> list[str]:
        """Return the module that runs the node at an address, with its first arguments."""
        return ["flamingoshelf.platform"]

    def _engine(self, role: str) -> EngineStandIn:
        engine = EngineStandIn(
            role=role,
            peers=self.engine_at,
            address=self._addresses.reserve()[0],
            service="writers",
            zone=_ZONES[0],
            log=self.log,
            random_source=self._random,
        )
        engine.on_role_change = self.register
        return engine

    def _plain(self) -> PlainStandIn:
        return PlainStandIn(
            address=self._addresses.reserve()[0],
            service="desk-app",
            zone=_ZONES[0],
            log=self.log,
            random_source=self._random,
        )


def _configuration(version: int) -> dict[str, Any]:
    def route(name: str, prefix: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": prefix,
            "kind": kind,
            "service": service,
            "timeoutMs": 5000,
            "latencyGoalMs": 900 if kind == "streaming" else 200,
            "priority": 1,
            "maxAttempts": 2,
            "public": False,
            "canResume": False,
            **fields,
        }

    engine = {
        "slots": 8,
        "kvCapacity": EngineStandIn.kv_capacity_tokens,
        "kvTokenBytes": 18432,
        "linkMbps": 1000.0,
        "handleTtlS": EngineStandIn.handle_lifetime_s,
        "reconfigS": EngineStandIn.role_change_s,
    }
    return {
        "version": version,
        "routes": [
            route("notes", NOTES, "streaming", "writers", gapAimMs=300, maxAttempts=1),
            route("drafts", RESUMABLE, "streaming", "writers", gapAimMs=300, canResume=True),
            route("bookings", BOOKINGS, "unsafe", "desk-app", maxAttempts=1),
            route("stock", STOCK, "safe", "desk-app"),
        ],
        "services": [
            {"name": "writers", "healthPath": "/health", "maxConns": 200, "engine": engine},
            {"name": "desk-app", "healthPath": "/health", "maxConns": 400},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": WORKSPACE,
                "apiKeys": [KEY],
                "priority": 1,
                "unit": "generate",
                "plainTokens": 200,
                "ratePerS": 0,
                "burst": 0,
            }
        ],
    }
