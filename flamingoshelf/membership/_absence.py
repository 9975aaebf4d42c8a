"""Detection of VMs that the platform has removed from its list."""

from collections.abc import Iterable

from flamingoshelf.base import VmListSnapshot

__all__ = ["AbsenceTracker"]

_MAX_READ_GAP_S = 2.5  # allows for one failed read between two successful ones


class AbsenceTracker:
    """Track how long slot holders have been absent from the VM lists read by this node.

    A VM counts as removed once it has been absent from every list read for longer than the list's
    lag. Lists older than the one the slot table is based on are not evidence, because the VM may
    not have been listed yet, and reset the tracker. A gap of more than `_MAX_READ_GAP_S` between
    two reads also resets it, as the VM may have been listed meanwhile, unless both lists have the
    same version.

    Parameters
    ----------
    lag_s : float
        Longest time in seconds by which the VM list may lag behind, as stated by the platform.
    """

    def __init__(self, *, lag_s: float) -> None:
        self._lag_s = lag_s
        self._absent_since_s: dict[str, float] = {}
        self._last_read_s = float("-inf")
        self._last_version = 0

    def observe(
        self,
        holders: Iterable[str],
        *,
        snapshot: VmListSnapshot,
        read_s: float,
        now_s: float,
        base_list_version: int,
    ) -> None:
        """Record which holders are absent from one list that this node read.

        Parameters
        ----------
        holders : iterable of str
            VM names that hold slots.
        snapshot : VmListSnapshot
            The list.
        read_s, now_s : float
            When the list was requested and when it was received, in seconds of the loop's clock.
        base_list_version : int
            Version of the VM list that the slot table is based on.
        """
        if snapshot.version < base_list_version:
            self._absent_since_s.clear()
            return
        if read_s - self._last_read_s > _MAX_READ_GAP_S and snapshot.version != self._last_version:
            self._absent_since_s.clear()
        listed = {vm.name for vm in snapshot.vms}
        absent = set(holders) - listed
        self._absent_since_s = {
            name: self._absent_since_s.get(name, now_s) for name in sorted(absent)
        }
        self._last_read_s = read_s
        self._last_version = snapshot.version

    def removed_vms(self) -> set[str]:
        """Return the VMs that count as removed."""
        return {
            name
            for name, since_s in self._absent_since_s.items()
            if self._last_read_s - since_s > self._lag_s
        }
