"""Ownership of duties.

A node exercises a duty while it acts as its holder. Only the slot table makes a node the holder of
an exclusive duty; advisory duties are assigned by hashing over the reachable nodes.
"""

from collections.abc import Iterable, Sequence

from flamingoshelf.base import Duty
from flamingoshelf.membership._members import MemberRegistry
from flamingoshelf.membership._messages import MemberState
from flamingoshelf.membership._pause_detector import PauseDetector
from flamingoshelf.membership._slots import PARTS, Slot, SlotTable, column_of, slot_index
from flamingoshelf.membership._table_view import TableView
from flamingoshelf.membership._view import VmView
from flamingoshelf.utils import rendezvous_rank

__all__ = ["DUTY_PARTS", "SlotTableOwnership"]

# Number of parts of each duty; a duty that is not listed has one part.
DUTY_PARTS: dict[Duty, int] = {
    Duty.WORKSPACE_LIMIT: PARTS,
    Duty.BACKEND_ORDERS: 1,
    Duty.WEIGHT_STORE: 1,
}


class SlotTableOwnership:
    """Assign exclusive duties by the slot table and advisory duties by reachability.

    Implements `flamingoshelf.base.Ownership`.

    Parameters
    ----------
    node_name, incarnation : str
        Identity of this node.
    vms : VmView
        The VM list.
    tables : TableView
        The slot table.
    members : MemberRegistry
        State of every node.
    pause_detector : PauseDetector
        Detects pauses of this process.
    """

    def __init__(
        self,
        *,
        node_name: str,
        incarnation: str,
        vms: VmView,
        tables: TableView,
        members: MemberRegistry,
        pause_detector: PauseDetector,
    ) -> None:
        self._node_name = node_name
        self._incarnation = incarnation
        self._vms = vms
        self._tables = tables
        self._members = members
        self._pause_detector = pause_detector
        self._released: dict[int, int] = {}

    def holders(self, duty: Duty, key: str, *, count: int = 1) -> Sequence[str]:
        """Return the holders of the first `count` parts, in the order of the parts.

        The holders are in different data centres if there are enough data centres. A node that
        holds several parts, as in a fleet with fewer nodes than parts, is returned once.
        """
        table = self._tables.table
        indexes = self._slot_indexes(duty, key)[:count]
        names = [table.slots[index].holder for index in indexes]
        return list(dict.fromkeys(name for name in names if name))

    def holds(self, duty: Duty, key: str) -> bool:
        """Return whether this node may exercise a part of the duty for `key` now."""
        return bool(self.held_parts(duty, key))

    def held_parts(self, duty: Duty, key: str) -> Sequence[int]:
        """Return the parts of the duty that this node may exercise now."""
        if not self.may_exercise:
            return []
        indexes = self._slot_indexes(duty, key)
        return [part for part, index in enumerate(indexes) if self._is_held(index)]

    def part_holder(self, duty: Duty, key: str, part: int) -> str | None:
        """Return the holder of one part of the duty, or None if the part is free."""
        return self._tables.table.slots[self._slot_indexes(duty, key)[part]].holder or None

    def part_fencing_number(self, duty: Duty, key: str, part: int) -> int | None:
        """Return the table version that assigned this node's part, or None if not held now."""
        index = self._slot_indexes(duty, key)[part]
        if not self.may_exercise or not self._is_held(index):
            return None
        return self._tables.table.slots[index].version

    def fencing_number(self, duty: Duty, key: str) -> int:
        """Return the table version that assigned the part held by this node, or else part 0.

        The number grows each time the holder changes, also when the process restarts on its VM.
        """
        indexes = self._slot_indexes(duty, key)
        held = [index for index in indexes if self._is_held(index)]
        return self._tables.table.slots[(held or indexes)[0]].version

    def candidates(self, duty: Duty, key: str) -> Sequence[str]:
        """Return the nodes that are listed, not leaving and not suspected, best first."""
        return rendezvous_rank(f"{duty.value}/{key}", self.reachable_names())

    def is_suspected(self, node_name: str) -> bool:
        """Return whether a listed node is suspected of having failed."""
        entry = self._members.get(node_name)
        return entry is not None and entry.state is MemberState.SUSPECTED

    def is_reachable(self, node_name: str) -> bool:
        """Return whether a node is listed and not suspected."""
        is_listed = self._vms.find(node_name) is not None
        return is_listed and not self.is_suspected(node_name)

    def reachable_names(self) -> list[str]:
        """Return the nodes that are listed, not leaving and not suspected."""
        return [name for name in self._vms.live_names if self._is_alive(name)]

    @property
    def may_exercise(self) -> bool:
        """Whether this node may exercise exclusive duties.

        False while its VM is not listed, and after a pause until the slot table and the VM list
        were read again.
        """
        return self._pause_detector.is_confirmed and self._vms.find(self._node_name) is not None

    def held_indexes(self) -> list[int]:
        """Return the indexes of the slots that this node may exercise."""
        if not self.may_exercise:
            return []
        held = self._tables.table.held_by(self._node_name)
        return [index for index in held if self._is_held(index)]

    def release(self, indexes: Iterable[int], *, base_version: int) -> None:
        """Stop exercising slots; to be called before the release is written.

        The slots stay released until a table with a version above `base_version` is seen, because
        a write based on `base_version` may take effect until then.
        """
        for index in indexes:
            self._released[index] = base_version

    def cancel_release(self, indexes: Iterable[int]) -> None:
        """Resume exercising slots whose release was definitely not written."""
        for index in indexes:
            self._released.pop(index, None)

    def _is_alive(self, name: str) -> bool:
        entry = self._members.get(name)
        return entry is None or entry.state is MemberState.ALIVE

    def _is_held(self, index: int) -> bool:
        table = self._tables.table
        slot = table.slots[index]
        return self._is_own(slot) and not self._is_released(index, table)

    def _is_own(self, slot: Slot) -> bool:
        return slot.holder == self._node_name and slot.incarnation == self._incarnation

    def _is_released(self, index: int, table: SlotTable) -> bool:
        return table.version <= self._released.get(index, -1)

    def _slot_indexes(self, duty: Duty, key: str) -> list[int]:
        column = column_of(duty.value, key)
        return [slot_index(column, part) for part in range(DUTY_PARTS.get(duty, 1))]
