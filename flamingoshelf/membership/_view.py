"""The VMs that the platform lists."""

from collections.abc import Callable

from loguru import logger

from flamingoshelf.base import VirtualMachine, VmList, VmListSnapshot, VmState
from flamingoshelf.utils import now_s

__all__ = ["VmView"]


class VmView:
    """Newest VM list that this node has seen, from the platform or from a peer.

    Parameters
    ----------
    vm_list : VmList
        Source of the list.
    """

    def __init__(self, *, vm_list: VmList) -> None:
        self._vm_list = vm_list
        self._snapshot = VmListSnapshot(version=0, vms=())
        self._by_name: dict[str, VirtualMachine] = {}
        self._confirmed_s = float("-inf")
        self._read_s = float("-inf")
        self._listeners: list[Callable[[], None]] = []

    @property
    def snapshot(self) -> VmListSnapshot:
        """Newest list."""
        return self._snapshot

    @property
    def age_s(self) -> float:
        """Seconds since somebody read this version at the platform."""
        return now_s() - self._confirmed_s

    @property
    def read_s(self) -> float:
        """When this node itself last asked the platform with success."""
        return self._read_s

    @property
    def live_names(self) -> list[str]:
        """Names of the VMs that are not to leave."""
        return [vm.name for vm in self._snapshot.vms if vm.state is VmState.LIVE]

    @property
    def data_centres(self) -> dict[str, str]:
        """Data centre of every listed VM."""
        return {vm.name: vm.data_centre for vm in self._snapshot.vms}

    def on_change(self, listener: Callable[[], None]) -> None:
        """Have `listener` called after each newer list."""
        self._listeners.append(listener)

    def address_of(self, node_name: str) -> str | None:
        """Return the address of a listed VM."""
        vm = self.find(node_name)
        return None if vm is None else vm.address

    def find(self, node_name: str) -> VirtualMachine | None:
        """Return a listed VM by name."""
        return self._by_name.get(node_name)

    async def refresh(self) -> bool:
        """Read the list at the platform; errors as in `VmList.snapshot`.

        Returns False if the platform returned an older list than one that was seen.
        """
        asked_s = now_s()
        snapshot = await self._vm_list.snapshot()
        if snapshot.version < self._snapshot.version:
            logger.bind(step="vm_list").warning("version {} is old", snapshot.version)
            return False
        self._read_s = asked_s
        self.adopt(snapshot, confirmed_s=asked_s)
        return True

    def adopt(self, snapshot: VmListSnapshot, *, confirmed_s: float) -> None:
        """Take over a list that is newer, and the time at which it was read."""
        if snapshot.version < self._snapshot.version:
            return
        self.confirm(snapshot.version, confirmed_s=confirmed_s)
        if snapshot.version == self._snapshot.version:
            return
        self._snapshot = snapshot
        self._confirmed_s = confirmed_s
        self._by_name = {vm.name: vm for vm in snapshot.vms}
        for listener in self._listeners:
            listener()

    def confirm(self, version: int, *, confirmed_s: float) -> None:
        """Record that somebody found `version` to be the newest at `confirmed_s`."""
        if version == self._snapshot.version:
            self._confirmed_s = max(self._confirmed_s, confirmed_s)
