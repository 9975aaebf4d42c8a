"""Choice of slot holders: balanced, spread over data centres, with few moves."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs

from flamingoshelf.membership._slots import PARTS, SlotTable
from flamingoshelf.utils import stable_hash

__all__ = ["Assignment", "Member"]


@attrs.frozen(kw_only=True)
class Member:
    """A node that may receive slots."""

    name: str
    data_centre: str
    incarnation: str


class Assignment:
    """Plan the slot holders for one version of the table.

    The class keeps its own copy of the holders, which each plan updates; the table is not changed.

    Parameters
    ----------
    table : SlotTable
        The table to plan changes for.
    members : sequence of Member
        Nodes that may receive slots.
    data_centres : mapping of str to str
        Data centre of every listed VM, including VMs that may not receive slots.
    """

    def __init__(
        self, *, table: SlotTable, members: Sequence[Member], data_centres: Mapping[str, str]
    ) -> None:
        self._holders = [slot.holder for slot in table.slots]
        self._members = {member.name: member for member in members}
        self._data_centres = data_centres
        self._loads = Counter(self._holders)
        self._part_loads = Counter((i % PARTS, name) for i, name in enumerate(self._holders))
        self._tie_breakers = {
            member.name: stable_hash("slot_load", member.name) for member in members
        }
        self._names_by_data_centre: dict[str, list[str]] = {}
        for member in members:
            self._names_by_data_centre.setdefault(member.data_centre, []).append(member.name)

    def reassign(self, indexes: Iterable[int]) -> dict[int, tuple[str, str]]:
        """Return a new (name, incarnation) by index for slots that need another holder.

        These are free slots and slots whose holder was removed or is leaving. The result is empty
        if there are no members.
        """
        pending = list(indexes)
        for index in pending:
            self._set_holder(index, "")
        changes = {}
        for index in pending:
            member = self._best_member(index)
            if member is not None:
                self._set_holder(index, member.name)
                changes[index] = (member.name, member.incarnation)
        return changes

    def rebalance(self, *, max_moves: int) -> dict[int, tuple[str, str]]:
        """Return moves that separate the parts of columns or, if there are none, balance the load.

        Separating moves put the parts of a column on different nodes and in different data centres.
        Only slots held by members are moved. A balancing move goes from one node to another that
        holds at least two slots fewer, so rebalancing terminates.
        """
        separating_moves = self._plan_moves(max_moves, needs_move=self._is_colocated)
        return separating_moves or self._plan_moves(
            max_moves, needs_move=self._is_on_overloaded_node
        )

    def _plan_moves(
        self, max_moves: int, *, needs_move: Callable[[int], bool]
    ) -> dict[int, tuple[str, str]]:
        changes: dict[int, tuple[str, str]] = {}
        for index in self._held_by_load():
            if len(changes) >= max_moves:
                break
            if not needs_move(index):
                continue
            holder = self._holders[index]
            self._set_holder(index, "")
            member = self._best_member(index)
            if member is None or not self._is_better(index, holder, member):
                self._set_holder(index, holder)
                continue
            self._set_holder(index, member.name)
            changes[index] = (member.name, member.incarnation)
        return changes

    def _is_colocated(self, index: int) -> bool:
        """Return whether another part of the column has the same node or data centre."""
        holder = self._holders[index]
        data_centre = self._data_centres.get(holder, "")
        return self._holds_other_part(index, holder) or (
            data_centre in self._other_data_centres(index)
        )

    def _is_on_overloaded_node(self, index: int) -> bool:
        """Return whether some member holds at least two slots fewer than the slot's holder."""
        lowest_load = min(self._loads[name] for name in self._members)
        return self._loads[self._holders[index]] >= lowest_load + 2

    def _held_by_load(self) -> list[int]:
        """Return the slots held by members, those of the most loaded holders first."""
        held = [index for index, holder in enumerate(self._holders) if holder in self._members]
        return sorted(held, key=lambda index: (-self._loads[self._holders[index]], index))

    def _is_better(self, index: int, holder: str, member: Member) -> bool:
        """Return whether `member` is a better holder of the slot than its old `holder`.

        The slot must be free at this point, so that the load of `holder` does not include it.
        """
        other_data_centres = self._other_data_centres(index)
        old_overlap = other_data_centres.count(self._data_centres.get(holder, ""))
        new_overlap = other_data_centres.count(member.data_centre)
        if new_overlap != old_overlap:
            return new_overlap < old_overlap
        if self._holds_other_part(index, holder) and not self._holds_other_part(index, member.name):
            return True
        return self._loads[member.name] + 1 <= self._loads[holder]

    def _best_member(self, index: int) -> Member | None:
        """Return the least loaded member, preferring data centres not used in the column."""
        other_holders = set(self._other_holders(index))
        other_data_centres = self._other_data_centres(index)
        ranked = [
            (
                other_data_centres.count(data_centre),
                *self._least_loaded(names, other_holders, index % PARTS),
            )
            for data_centre, names in self._names_by_data_centre.items()
        ]
        return self._members[min(ranked)[-1]] if ranked else None

    def _least_loaded(
        self, names: list[str], other_holders: set[str], part: int
    ) -> tuple[bool, int, int, int, str]:
        """Return the sort key of the best of `names`; its last item is the name."""
        return min(
            (
                name in other_holders,
                self._loads[name],
                self._part_loads[part, name],
                self._tie_breakers[name],
                name,
            )
            for name in names
        )

    def _set_holder(self, index: int, holder: str) -> None:
        part = index % PARTS
        self._loads[self._holders[index]] -= 1
        self._part_loads[part, self._holders[index]] -= 1
        self._loads[holder] += 1
        self._part_loads[part, holder] += 1
        self._holders[index] = holder

    def _other_holders(self, index: int) -> list[str]:
        """Return the holders of the other parts of the slot's column."""
        first = index - index % PARTS
        column = range(first, first + PARTS)
        return [self._holders[other] for other in column if other != index]

    def _holds_other_part(self, index: int, name: str) -> bool:
        return name in self._other_holders(index)

    def _other_data_centres(self, index: int) -> list[str]:
        return [self._data_centres.get(name, "") for name in self._other_holders(index) if name]
