"""The newest VM list known to this node."""

from collections.abc import Callable

from loguru import logger

from flamingoshelf.base import VirtualMachine, VmList, VmListSnapshot, VmState
from flamingoshelf.utils import now_s

__all__ = ["VmView"]


class VmView:
    """Hold the newest VM list received from the platform or a peer.

    The version of the held list never decreases.

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
        """Newest VM list; version 0 if none was received yet."""
        return self._snapshot

    @property
    def age_s(self) -> float:
        """Seconds since a node last read this version from the platform."""
        return now_s() - self._confirmed_s

    @property
    def read_s(self) -> float:
        """When this node sent its last successful read, in seconds of the loop's clock."""
        return self._read_s

    @property
    def live_names(self) -> list[str]:
        """Names of the listed VMs that are not leaving."""
        return [vm.name for vm in self._snapshot.vms if vm.state is VmState.LIVE]

    @property
    def data_centres(self) -> dict[str, str]:
        """Data centre of every listed VM."""
        return {vm.name: vm.data_centre for vm in self._snapshot.vms}

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` each time a newer list is adopted."""
        self._listeners.append(listener)

    def address_of(self, node_name: str) -> str | None:
        """Return the address of a VM, or None if it is not listed."""
        vm = self.find(node_name)
        return None if vm is None else vm.address

    def find(self, node_name: str) -> VirtualMachine | None:
        """Return a VM by name, or None if it is not listed."""
        return self._by_name.get(node_name)

    async def refresh(self) -> bool:
        """Read the list from the platform; raise the errors of `VmList.snapshot`.

        Return False if the platform returned an older list than the known one, which is ignored.
        """
        requested_s = now_s()
        snapshot = await self._vm_list.snapshot()
        if snapshot.version < self._snapshot.version:
            logger.bind(step="vm_list").warning("old VM list ignored: version {}", snapshot.version)
            return False
        self._read_s = requested_s
        self.adopt(snapshot, confirmed_s=requested_s)
        return True

    def adopt(self, snapshot: VmListSnapshot, *, confirmed_s: float) -> None:
        """Replace the held list if `snapshot` is newer, and record when it was read."""
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
        """Record that `version` was the newest at `confirmed_s`, in seconds of the loop's clock."""
        if version == self._snapshot.version:
            self._confirmed_s = max(self._confirmed_s, confirmed_s)
