"""The VMs that the platform lists."""

import asyncio

from loguru import logger

from flamingoshelf.base import VirtualMachine, VmList, VmListSnapshot
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.utils import TaskGroup

__all__ = ["VmView"]

_POLL_S = 1.0


class VmView:
    """Newest VM list that this node has seen.

    Parameters
    ----------
    vm_list : VmList
        Source of the list.
    """

    def __init__(self, *, vm_list: VmList) -> None:
        self._vm_list = vm_list
        self._snapshot = VmListSnapshot(version=0, vms=())
        self._tasks = TaskGroup(owner="membership")

    @property
    def snapshot(self) -> VmListSnapshot:
        """Newest list."""
        return self._snapshot

    async def start(self) -> None:
        """Start to poll the list."""
        self._tasks.start(self._poll(), name="poll")

    async def stop(self) -> None:
        """Stop to poll the list."""
        await self._tasks.stop()

    def address_of(self, node_name: str) -> str | None:
        """Return the address of a listed VM."""
        vm = self.find(node_name)
        return None if vm is None else vm.address

    def find(self, node_name: str) -> VirtualMachine | None:
        """Return a listed VM by name."""
        return next((vm for vm in self._snapshot.vms if vm.name == node_name), None)

    async def _poll(self) -> None:
        while True:
            try:
                self._adopt(await self._vm_list.snapshot())
            except FlamingoshelfError as error:
                logger.bind(step=error.step, peer=error.peer).warning("no VM list: {}", error)
            await asyncio.sleep(_POLL_S)

    def _adopt(self, snapshot: VmListSnapshot) -> None:
        if snapshot.version > self._snapshot.version:
            self._snapshot = snapshot
