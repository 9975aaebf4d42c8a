"""Chooses holders for slots: balanced, spread over data centres, with few moves."""

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
    """Choices for one version of the table.

    Parameters
    ----------
    table : SlotTable
        The table before the change.
    members : sequence of Member
        Nodes that may receive slots.
    data_centres : mapping of str to str
        Data centre of every listed VM, also of those that receive nothing.
    """

    def __init__(
        self, *, table: SlotTable, members: Sequence[Member], data_centres: Mapping[str, str]
    ) -> None:
        self._holders = [slot.holder for slot in table.slots]
        self._members = {member.name: member for member in members}
        self._data_centres = data_centres
        self._loads = Counter(self._holders)
        self._part_loads = Counter((i % PARTS, name) for i, name in enumerate(self._holders))
        self._order = {member.name: stable_hash("slot_load", member.name) for member in members}
        self._by_data_centre: dict[str, list[str]] = {}
        for member in members:
            self._by_data_centre.setdefault(member.data_centre, []).append(member.name)

    def reassign(self, indexes: Iterable[int]) -> dict[int, tuple[str, str]]:
        """Return new holders for slots whose holders are gone, leave, or never were."""
        pending = list(indexes)
        for index in pending:
            self._set_holder(index, "")
        changes = {}
        for index in pending:
            member = self._best(index)
            if member is not None:
                self._set_holder(index, member.name)
                changes[index] = (member.name, member.incarnation)
        return changes

    def rebalance(self, *, max_moves: int) -> dict[int, tuple[str, str]]:
        """Return moves that separate the parts of a column, or else level the loads.

        Only slots of members move. A move that levels leads from one node to another that holds at
        least two slots less, so that the moves end.
        """
        separating = self._moves(max_moves, is_due=self._clashes)
        return separating or self._moves(max_moves, is_due=self._is_loaded)

    def _moves(
        self, max_moves: int, *, is_due: Callable[[int], bool]
    ) -> dict[int, tuple[str, str]]:
        changes: dict[int, tuple[str, str]] = {}
        for index in self._by_load():
            if len(changes) >= max_moves:
                break
            if not is_due(index):
                continue
            holder = self._holders[index]
            self._set_holder(index, "")
            member = self._best(index)
            if member is None or not self._is_better(index, holder, member):
                self._set_holder(index, holder)
                continue
            self._set_holder(index, member.name)
            changes[index] = (member.name, member.incarnation)
        return changes

    def _clashes(self, index: int) -> bool:
        """Return whether another part of the column is on the same node or in its data centre."""
        holder = self._holders[index]
        data_centre = self._data_centres.get(holder, "")
        return self._is_shared(index, holder) or data_centre in self._other_data_centres(index)

    def _is_loaded(self, index: int) -> bool:
        """Return whether some member holds at least two slots less than the slot's holder."""
        least = min(self._loads[name] for name in self._members)
        return self._loads[self._holders[index]] >= least + 2

    def _by_load(self) -> list[int]:
        held = [index for index, holder in enumerate(self._holders) if holder in self._members]
        return sorted(held, key=lambda index: (-self._loads[self._holders[index]], index))

    def _is_better(self, index: int, holder: str, member: Member) -> bool:
        """Return whether `member` should hold a slot that was taken from `holder`."""
        others = self._other_data_centres(index)
        old_clash = others.count(self._data_centres.get(holder, ""))
        new_clash = others.count(member.data_centre)
        if new_clash != old_clash:
            return new_clash < old_clash
        if self._is_shared(index, holder) and not self._is_shared(index, member.name):
            return True
        return self._loads[member.name] + 1 <= self._loads[holder]

    def _best(self, index: int) -> Member | None:
        """Return the least loaded member, first of data centres that the column lacks."""
        siblings = set(self._siblings(index))
        others = self._other_data_centres(index)
        ranked = [
            (others.count(data_centre), *self._least_loaded(names, siblings, index % PARTS))
            for data_centre, names in self._by_data_centre.items()
        ]
        return self._members[min(ranked)[-1]] if ranked else None

    def _least_loaded(
        self, names: list[str], siblings: set[str], part: int
    ) -> tuple[bool, int, int, int, str]:
        return min(
            (
                name in siblings,
                self._loads[name],
                self._part_loads[part, name],
                self._order[name],
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

    def _siblings(self, index: int) -> list[str]:
        first = index - index % PARTS
        column = range(first, first + PARTS)
        return [self._holders[other] for other in column if other != index]

    def _is_shared(self, index: int, name: str) -> bool:
        return name in self._siblings(index)

    def _other_data_centres(self, index: int) -> list[str]:
        return [self._data_centres.get(name, "") for name in self._siblings(index) if name]
