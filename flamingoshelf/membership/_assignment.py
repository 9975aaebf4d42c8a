"""Chooses holders for slots: balanced, spread over data centres, with few moves."""

import heapq
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
        self._queues: dict[str, list[tuple[int, int, str]]] = {}
        for member in members:
            queue = self._queues.setdefault(member.data_centre, [])
            heapq.heappush(queue, self._entry(member.name))

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
        return separating or self._moves(max_moves, is_due=lambda index: True)

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
        others = self._other_data_centres(index)
        ranked = []
        for data_centre in self._queues:
            name = self._least_loaded(data_centre, index)
            entry = self._entry(name)
            shared = self._is_shared(index, name)
            ranked.append((others.count(data_centre), shared, entry[0], entry[1], name))
        return self._members[min(ranked)[-1]] if ranked else None

    def _least_loaded(self, data_centre: str, index: int) -> str:
        queue = self._queues[data_centre]
        while queue[0] != self._entry(queue[0][2]):
            stale = heapq.heappop(queue)
            heapq.heappush(queue, self._entry(stale[2]))
        first = queue[0][2]
        if not self._is_shared(index, first):
            return first
        return next(
            (name for _, _, name in sorted(queue) if not self._is_shared(index, name)), first
        )

    def _entry(self, name: str) -> tuple[int, int, str]:
        return self._loads[name], stable_hash("slot_load", name), name

    def _set_holder(self, index: int, holder: str) -> None:
        self._loads[self._holders[index]] -= 1
        self._loads[holder] += 1
        for name in (self._holders[index], holder):
            member = self._members.get(name)
            if member is not None:
                heapq.heappush(self._queues[member.data_centre], self._entry(name))
        self._holders[index] = holder

    def _siblings(self, index: int) -> list[str]:
        first = index - index % PARTS
        column = range(first, first + PARTS)
        return [self._holders[other] for other in column if other != index]

    def _is_shared(self, index: int, name: str) -> bool:
        return name in self._siblings(index)

    def _other_data_centres(self, index: int) -> list[str]:
        return [self._data_centres.get(name, "") for name in self._siblings(index) if name]
