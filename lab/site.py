"""A complete site as real processes on loopback addresses."""

import asyncio
import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs

from flamingoshelf.configuration import Repository
from flamingoshelf.http_client import new_http_client
from flamingoshelf.object_service import HttpObjectService
from flamingoshelf.objects import parse_document
from lab.processes import AddressPool, Process, wait_until_listening
from lab.proxy import FaultProxy, ProxyMode
from lab.records import Record, read_records
from lab.scenarios import Scenario

__all__ = ["NodeProcess", "Site"]

_CLUSTER_SECRET = "lab-secret-of-32-characters-long"
_READY_TIMEOUT_S = 20.0


@attrs.define(kw_only=True)
class NodeProcess:
    """One node process with its addresses and proxies.

    Other nodes connect to the node through `peer_proxy`; it connects to the platform through
    `store_proxy`.
    """

    name: str
    data_centre: str
    caller_address: str
    peer_address: str
    operator_address: str
    process: Process
    peer_proxy: FaultProxy
    store_proxy: FaultProxy


class Site:
    """Platform, backend servers and nodes of one scenario.

    Parameters
    ----------
    scenario : Scenario
        Scenario that defines the site.
    folder : Path
        Folder for settings, logs and records.
    node_settings : dict, optional
        Additional settings of every node.
    proxies_engines : bool
        Whether nodes and engines reach backend servers through `engine_proxies`.

    Attributes
    ----------
    engines, engine_addresses, engine_proxies : dict
        Processes, addresses and proxies of the backend servers by name, plain ones included.
    nodes : dict of str to NodeProcess
        Nodes by name.
    """

    def __init__(
        self,
        *,
        scenario: Scenario,
        folder: Path,
        node_settings: dict[str, Any] | None = None,
        proxies_engines: bool = False,
    ) -> None:
        self._scenario = scenario
        self._folder = folder
        self._node_settings = node_settings or {}
        self._addresses = AddressPool()
        self._client = new_http_client()
        self.platform_address = self._addresses.reserve()[0]
        self.platform = self._process("platform", ["lab", "platform", self.platform_address])
        self.engines: dict[str, Process] = {}
        self.engine_addresses: dict[str, str] = {}
        self.engine_proxies: dict[str, FaultProxy] = {}
        self._proxies_engines = proxies_engines
        self.nodes: dict[str, NodeProcess] = {}
        for role, count in (
            ("prefill", scenario.prefill_count),
            ("decode", scenario.decode_count),
            ("plain", scenario.plain_count),
        ):
            for number in range(count):
                self._add_engine(role, number)
        for number in range(scenario.node_count):
            self._add_node(number)

    @property
    def scenario(self) -> Scenario:
        """Scenario that defines the site."""
        return self._scenario

    @property
    def node_addresses(self) -> list[str]:
        """Addresses at which callers reach the nodes."""
        return [node.caller_address for node in self.nodes.values()]

    @property
    def store(self) -> HttpObjectService:
        """A client of the object service."""
        return HttpObjectService(address=self.platform_address)

    def records(self) -> list[Record]:
        """Return the records of the stand-ins."""
        return list(read_records(self._folder))

    def documents(self) -> list[Any]:
        """Return the documents of all objects of the scenario."""
        return self._scenario.objects(
            self._addresses_of("prefill"), self._addresses_of("decode"), self._addresses_of("plain")
        )

    async def start(self) -> None:
        """Start everything, publish the objects and wait until all nodes are ready."""
        self._folder.mkdir(parents=True, exist_ok=True)
        (self._folder / "secret").write_text(_CLUSTER_SECRET)
        self.platform.start()
        for engine in self.engines.values():
            engine.start()
        for proxy in self._proxies():
            await proxy.start()
        await wait_until_listening(self.platform_address)
        await self.list_vms(list(self.nodes))
        await self.publish(self.documents())
        for node in self.nodes.values():
            self.start_node(node.name)
        await asyncio.gather(*map(wait_until_listening, self.engine_addresses.values()))
        await asyncio.gather(*(self.wait_until_ready(name) for name in self.nodes))

    async def stop(self) -> None:
        """Stop all processes and proxies."""
        await asyncio.gather(*(node.process.stop(5.0) for node in self.nodes.values()))
        await asyncio.gather(*(engine.stop(3.0) for engine in self.engines.values()))
        await self.platform.stop(3.0)
        for proxy in self._proxies():
            await proxy.stop()
        await self._client.connector.cleanup()

    def start_node(self, name: str) -> None:
        """Write a node's settings and start or restart it."""
        node = self.nodes[name]
        settings = {
            "node_name": node.name,
            "data_centre": node.data_centre,
            "caller_address": node.caller_address,
            "peer_address": node.peer_address,
            "operator_address": node.operator_address,
            "object_service_address": node.store_proxy.address,
            "vm_list_address": node.store_proxy.address,
            "cluster_secret_file": "secret",
            "readiness_notice_s": 1,
            **self._node_settings,
        }
        (self._folder / f"{name}.json").write_text(json.dumps(settings))
        node.process.start()

    async def publish(self, documents: Sequence[Any]) -> int:
        """Publish `documents` as the whole set; return the revision."""
        repository = Repository(store=self.store)
        base = await repository.newest()
        objects = [parse_document(document) for document in documents]
        return await repository.publish(objects, base=base)

    async def list_vms(self, names: Sequence[str], leaving: Sequence[str] = ()) -> None:
        """Set the platform's VM list to the VMs of these nodes."""
        vms = [
            {
                "name": name,
                "address": self.nodes[name].peer_proxy.address,
                "data_centre": self.nodes[name].data_centre,
                "state": "leaving" if name in leaving else "live",
            }
            for name in names
        ]
        await self.control(self.platform_address, {"vms": vms})

    async def control(self, address: str, order: dict[str, Any]) -> Any:
        """Send control options to the stand-in at `address`; return its reply."""
        response = await self._client.post(
            f"http://{address}/control", json=order, headers={"Connection": "close"}
        )
        return json.loads(await response.content())

    async def status(self, name: str) -> Any:
        """Return a node's status."""
        response = await self._client.get(f"http://{self.nodes[name].operator_address}/status")
        return json.loads(await response.content())

    def disconnect(self, name: str, *, from_store: bool, from_peers: bool) -> None:
        """Disconnect a node from the platform, from its peers or from both; False reconnects it."""
        node = self.nodes[name]
        node.store_proxy.mode = ProxyMode.REFUSE if from_store else ProxyMode.PASS
        node.store_proxy.reset_connections()
        node.peer_proxy.mode = ProxyMode.REFUSE if from_peers else ProxyMode.PASS
        own_ip = node.peer_address.rpartition(":")[0]
        for other in self.nodes.values():
            if from_peers:
                other.peer_proxy.refused_sources.add(own_ip)
            else:
                other.peer_proxy.refused_sources.discard(own_ip)
            other.peer_proxy.reset_connections()

    async def wait_until_ready(self, name: str) -> None:
        """Wait until a node serves callers."""
        node = self.nodes[name]
        async with asyncio.timeout(_READY_TIMEOUT_S):
            await wait_until_listening(node.operator_address)
            await wait_until_listening(node.caller_address)
            while not (await self.status(name))["ready"]:
                await asyncio.sleep(0.05)

    def _addresses_of(self, role: str) -> list[str]:
        return [
            self.engine_proxies[name].address if self._proxies_engines else address
            for name, address in self.engine_addresses.items()
            if name.startswith(f"{role}-")
        ]

    def _proxies(self) -> list[FaultProxy]:
        proxies = list(self.engine_proxies.values()) if self._proxies_engines else []
        for node in self.nodes.values():
            proxies += [node.peer_proxy, node.store_proxy]
        return proxies

    def _add_engine(self, role: str, number: int) -> None:
        name = f"{role}-{number}"
        address, listen = self._addresses.reserve(2)
        self.engine_proxies[name] = FaultProxy(listen_address=listen, target_address=address)
        program = "booking" if role == "plain" else "engine"
        arguments = ["lab", program, address] + ([] if role == "plain" else ["--role", role])
        arguments += ["--record", str(self._folder / f"{name}.records")]
        self.engine_addresses[name] = address
        self.engines[name] = self._process(name, arguments)

    def _add_node(self, number: int) -> None:
        name = f"node-{number}"
        caller, peer, operator, peer_listen, store_listen = self._addresses.reserve(5)
        settings = str(self._folder / f"{name}.json")
        self.nodes[name] = NodeProcess(
            name=name,
            data_centre=self._scenario.data_centres[number % len(self._scenario.data_centres)],
            caller_address=caller,
            peer_address=peer,
            operator_address=operator,
            process=self._process(name, ["flamingoshelf.daemon", "--settings", settings]),
            peer_proxy=FaultProxy(listen_address=peer_listen, target_address=peer),
            store_proxy=FaultProxy(
                listen_address=store_listen, target_address=self.platform_address
            ),
        )

    def _process(self, name: str, arguments: list[str]) -> Process:
        return Process(name=name, arguments=arguments, log_folder=self._folder)
