"""Duties of the listed VMs, by rendezvous hashing."""

from collections.abc import Sequence

from flamingoshelf.base import Duty, VmState
from flamingoshelf.membership._view import VmView
from flamingoshelf.utils import rendezvous_rank

__all__ = ["ListedOwnership"]


class ListedOwnership:
    """Gives each duty to the live VMs of the list that rank first for it.

    Two nodes that see different lists may both hold a duty, so this serves advisory duties only.

    Parameters
    ----------
    vms : VmView
        Newest VM list that this node has seen.
    node_name : str
        VM name of this node.
    """

    def __init__(self, *, vms: VmView, node_name: str) -> None:
        self._vms = vms
        self._node_name = node_name

    def holders(self, duty: Duty, key: str, *, count: int = 1) -> Sequence[str]:
        """Return the `count` nodes that rank first."""
        return self.candidates(duty, key)[:count]

    def holds(self, duty: Duty, key: str) -> bool:
        """Return whether this node ranks first."""
        return self._node_name in self.holders(duty, key)

    def candidates(self, duty: Duty, key: str) -> Sequence[str]:
        """Return the live VMs, best first."""
        live = [vm.name for vm in self._vms.snapshot.vms if vm.state is VmState.LIVE]
        return rendezvous_rank(f"{duty.value}/{key}", live)

    def fencing_number(self, duty: Duty, key: str) -> int:
        """Return the version of the list."""
        return self._vms.snapshot.version
