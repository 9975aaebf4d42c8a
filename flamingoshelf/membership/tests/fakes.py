"""Fake fleet in one event loop, with a platform and a network that fail on demand."""

import asyncio
from collections import deque
from typing import cast

from flamingoshelf.base import (
    ObjectService,
    VersionedObject,
    VirtualMachine,
    VmListSnapshot,
    VmState,
)
from flamingoshelf.exceptions import (
    ConflictError,
    ObjectServiceError,
    OutcomeUnknownError,
    PeerUnreachableError,
)
from flamingoshelf.membership import Membership, VmView
from flamingoshelf.utils import now_s

LAG_S = 4.0  # of the VM list
_MESSAGE_DELAY_S = 0.002


class FakePlatform:
    """Fake object service and VM list, shared by all nodes.

    `write_fault` affects the next write: "lost" and "lost_and_cut" drop its response, the latter
    also cuts the node off, and "late" defers the write until `deliver_late_writes`.
    """

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.is_down = False
        self.write_fault = None
        self.late_writes = []
        self.list_version = 1
        self.vms = {}
        self.history: deque[tuple[float, VmListSnapshot]] = deque()

    def set_vms(self, vms):
        self.vms = vms
        self.list_version += 1
        snapshot = VmListSnapshot(version=self.list_version, vms=tuple(vms.values()))
        self.history.append((now_s(), snapshot))

    def lagged_snapshot(self, lag_s):
        visible = [entry for at_s, entry in self.history if at_s <= now_s() - lag_s]
        return visible[-1] if visible else self.history[0][1]

    def write(self, key, value, expected_version):
        found = self.objects.get(key)
        if expected_version != (found.version if found else 0):
            raise ConflictError("other version", step="put")
        self.version += 1
        self.objects[key] = VersionedObject(key=key, value=value, version=self.version)
        return self.version

    def deliver_late_writes(self):
        for write in self.late_writes:
            try:
                self.write(*write)
            except ConflictError:
                continue
        self.late_writes.clear()


class FakeStore:
    """Access of one node to the object service and the VM list."""

    def __init__(self, platform, node):
        self.platform = platform
        self.node = node
        self.list_lag_s = 0.0

    async def get(self, key):
        await self._call()
        return self.platform.objects.get(key)

    async def put(self, key: str, value: bytes, *, expected_version: int) -> int:
        await self._call()
        fault, self.platform.write_fault = self.platform.write_fault, None
        if fault == "late":
            self.platform.late_writes.append((key, value, expected_version))
            raise OutcomeUnknownError("late", step="put")
        version = self.platform.write(key, value, expected_version)
        if fault == "lost_and_cut":
            self.node.is_cut_from_store = True
            self.node.is_cut_from_peers = True
        if fault is not None:
            raise OutcomeUnknownError("lost", step="put")
        return version

    async def snapshot(self):
        await self._call()
        return self.platform.lagged_snapshot(self.list_lag_s)

    async def _call(self):
        await asyncio.sleep(_MESSAGE_DELAY_S)
        await self.node.running.wait()
        if self.platform.is_down or self.node.is_cut_from_store:
            raise ObjectServiceError("down", step="call")


class FakeLink:
    """Fake of `NodeLink` that delivers messages between nodes of one event loop."""

    def __init__(self, fleet, node, name, incarnation):
        self.fleet = fleet
        self.node = node
        self.node_name = name
        self.incarnation = incarnation
        self.handlers = {}
        self.tasks = set()

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    async def request(self, peer, message, *, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                return await self._deliver(peer, message)
        except TimeoutError as error:
            raise OutcomeUnknownError("no reply", step="request", peer=peer) from error

    def notify(self, peer, message):
        task = asyncio.create_task(self._notify(peer, message))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _notify(self, peer, message):
        try:
            await self.request(peer, message, timeout_s=2.0)
        except (OutcomeUnknownError, PeerUnreachableError):
            return

    async def _deliver(self, peer, message):
        await asyncio.sleep(_MESSAGE_DELAY_S)
        await self.node.running.wait()
        target = self.fleet.nodes.get(peer)
        if target is None or target.is_cut_from_peers or self.node.is_cut_from_peers:
            raise PeerUnreachableError("cut", step="dial", peer=peer)
        await target.running.wait()
        handler = target.link.handlers.get(type(message))
        reply = await handler(self.node_name, message)
        await self.node.running.wait()
        return reply


class FakeNode:
    """One run of a node's process."""

    def __init__(self, fleet, name, incarnation):
        self.running = asyncio.Event()
        self.running.set()
        self.is_cut_from_store = False
        self.is_cut_from_peers = False
        self.store = FakeStore(fleet.platform, self)
        self.link = FakeLink(fleet, self, name, incarnation)
        self.membership = Membership(
            link=self.link,
            vms=VmView(vm_list=self.store),
            store=cast(ObjectService, self.store),
            vm_list_lag_s=LAG_S,
        )
        self.membership._tables.on_change(fleet.notify_table_change)

    @property
    def held(self):
        return self.membership.ownership.held_indexes() if self.running.is_set() else []

    async def pause(self):
        """Stop the pause detector's ticks and all messages, as SIGSTOP does."""
        self.running.clear()
        await self.membership._pause_detector._tasks.stop()

    def resume(self):
        """Run again; the tick runs last, after all other ready callbacks."""
        pause_detector = self.membership._pause_detector
        pause_detector._tasks.start(pause_detector._tick(), name="tick")
        self.running.set()

    async def kill(self):
        """Stop without handing over slots or announcing it."""
        for service in (self.membership._tasks, *(p._tasks for p in self.membership._services)):
            await service.stop()
        for task in list(self.link.tasks):
            task.cancel()


class FakeFleet:
    """Fake platform and the running nodes."""

    def __init__(self):
        self.platform = FakePlatform()
        self.nodes = {}
        self.run_count = 0
        self.on_table = lambda: None

    def notify_table_change(self):
        """Call `on_table`, as a node has adopted a newer table."""
        self.on_table()

    async def add(self, name, data_centre):
        """List a new VM and start its process."""
        vm = VirtualMachine(name=name, address="127.0.0.1:1", data_centre=data_centre)
        self.platform.set_vms({**self.platform.vms, name: vm})
        await self.start(name)

    async def start(self, name):
        """Start a process on a VM."""
        self.run_count += 1
        self.nodes[name] = FakeNode(self, name, f"run-{self.run_count:04}")
        await self.nodes[name].membership.start()

    async def kill(self, name):
        """Kill a process; its VM stays."""
        await self.nodes.pop(name).kill()

    def delist(self, name):
        """Remove a VM from the list."""
        self.platform.set_vms({n: vm for n, vm in self.platform.vms.items() if n != name})

    async def delist_for(self, name, seconds):
        """Remove a running VM from the list for some seconds."""
        vm = self.platform.vms[name]
        self.delist(name)
        await asyncio.sleep(seconds)
        self.platform.set_vms({**self.platform.vms, name: vm})

    def list_leaving(self, name):
        """List a VM as leaving."""
        vm = self.platform.vms[name]
        leaving = VirtualMachine(
            name=name, address=vm.address, data_centre=vm.data_centre, state=VmState.LEAVING
        )
        self.platform.set_vms({**self.platform.vms, name: leaving})

    def holders_of(self):
        """Return the names of the nodes that exercise each slot, by slot index."""
        holders: dict[int, list[str]] = {}
        for name, node in self.nodes.items():
            for index in node.held:
                holders.setdefault(index, []).append(name)
        return holders

    async def stop(self):
        """Kill all processes."""
        for name in list(self.nodes):
            await self.kill(name)
