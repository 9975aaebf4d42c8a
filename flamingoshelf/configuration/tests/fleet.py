"""A fleet of configuration followers in memory."""

import asyncio

from flamingoshelf.base import VirtualMachine
from flamingoshelf.configuration import ConfigurationFollower, Repository
from flamingoshelf.exceptions import ObjectServiceError
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import rendezvous_rank
from lab.memory_link import MemoryNetwork
from lab.memory_store import MemoryObjectService


class RankedOwnership:
    """Ranks all listed VMs for an advisory duty."""

    def __init__(self, fleet):
        self._fleet = fleet

    def holders(self, duty, key, *, count=1):
        return ()

    def holds(self, duty, key):
        return False

    def fencing_number(self, duty, key):
        return 0

    def candidates(self, duty, key):
        return rendezvous_rank(f"{duty.value}/{key}", [vm.name for vm in self._fleet.vms])


class NodeStore:
    """One node's access to the object service, with faults that a test sets."""

    def __init__(self, store):
        self._store = store
        self.is_cut = False
        self.hangs = False
        self.stale_head = None  # if set, every watch returns this head

    async def get(self, key):
        await self._check()
        return await self._store.get(key)

    async def watch(self, key, *, after_version, timeout_s):
        await self._check()
        if self.hangs:
            await asyncio.sleep(3600)
        if self.stale_head is not None:
            await asyncio.sleep(0.01)
            return self.stale_head
        found = await self._store.watch(key, after_version=after_version, timeout_s=timeout_s)
        await self._check()
        return found

    async def put(self, key, value, *, expected_version):
        raise AssertionError("nodes write nothing")

    async def delete(self, key, *, expected_version):
        raise AssertionError("nodes write nothing")

    async def keys(self, prefix):
        raise AssertionError("nodes list nothing")

    async def _check(self):
        if self.is_cut:
            await asyncio.sleep(0.01)
            raise ObjectServiceError("cut off", step="get")


class Fleet:
    """Nodes in one or more data centres that share an object service."""

    def __init__(self, *, per_data_centre, data_centres=("a", "b", "c")):
        self.store = MemoryObjectService()
        self.repository = Repository(store=self.store)
        self.network = MemoryNetwork()
        self.vms = [
            VirtualMachine(name=f"{dc}{number}", address="127.0.0.1:1", data_centre=dc)
            for dc in data_centres
            for number in range(per_data_centre)
        ]
        self.nodes = {}
        self.stores = {}
        self.runs = 0

    async def start_all(self):
        for vm in self.vms:
            await self.start(vm.name)

    async def start(self, name):
        self.runs += 1
        vm = next(vm for vm in self.vms if vm.name == name)
        self.stores[name] = NodeStore(self.store)
        self.nodes[name] = ConfigurationFollower(
            store=self.stores[name],
            link=self.network.link(name, f"run-{self.runs}"),
            ownership=RankedOwnership(self),
            vms=lambda: self.vms,
            data_centre=vm.data_centre,
            metrics=Metrics(node_name=name),
        )
        await self.nodes[name].start()

    async def stop(self, name):
        self.network.remove(name)
        await self.nodes.pop(name).stop()

    async def stop_all(self):
        for name in list(self.nodes):
            await self.stop(name)

    def a_watcher(self):
        return next(name for name, node in self.nodes.items() if node.is_watcher)

    def cut_store(self, names, *, is_cut=True):
        for name in names:
            self.stores[name].is_cut = is_cut

    def revisions(self):
        return {name: node.catalog.revision for name, node in self.nodes.items()}

    async def wait_for(self, revision, *, timeout_s=16.0):
        async with asyncio.timeout(timeout_s):
            while set(self.revisions().values()) != {revision}:
                await asyncio.sleep(0.05)
