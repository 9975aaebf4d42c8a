"""Assignment of slots that have no usable holder, and load balancing between holders."""

import asyncio
import itertools
from collections.abc import Callable

from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.membership._absence import AbsenceTracker
from flamingoshelf.membership._assignment import Assignment, Member
from flamingoshelf.membership._local_slots import eligible_members
from flamingoshelf.membership._members import MemberRegistry
from flamingoshelf.membership._messages import MoveRequest, SlotMove
from flamingoshelf.membership._slots import SlotTable
from flamingoshelf.membership._table_view import TableView
from flamingoshelf.membership._view import VmView
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["SlotAssigner"]

_CHECK_INTERVAL_S = 1.0
_REBALANCE_INTERVAL_S = 3.0
_MAX_MOVES = 128


class SlotAssigner:
    """Assign free slots and slots of removed VMs, and request moves that balance the load.

    Any node may do so at any time, because the table is written by compare-and-swap. To limit the
    load on the object service, only the node that considers itself responsible does.

    Parameters
    ----------
    link : NodeLink
        Sends messages to peers.
    tables : TableView
        The slot table.
    vms : VmView
        The VM list.
    members : MemberRegistry
        State of every node.
    absence : AbsenceTracker
        VMs that the platform removed.
    is_responsible : callable
        Returns whether this node should assign slots now.
    """

    def __init__(
        self,
        *,
        link: NodeLink,
        tables: TableView,
        vms: VmView,
        members: MemberRegistry,
        absence: AbsenceTracker,
        is_responsible: Callable[[], bool],
    ) -> None:
        self._link = link
        self._tables = tables
        self._vms = vms
        self._members = members
        self._absence = absence
        self._is_responsible = is_responsible
        self._rebalanced_s = float("-inf")
        self._balanced_basis: tuple[int, tuple[Member, ...]] | None = None
        self._tasks = TaskGroup(owner="slot_assigner")

    async def start(self) -> None:
        """Start assigning and balancing slots."""
        self._tasks.start(self._run(), name="run")

    async def stop(self) -> None:
        """Stop assigning and balancing slots."""
        await self._tasks.stop()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            if not self._is_responsible():
                continue
            try:
                await self._change_once()
            except FlamingoshelfError as error:
                logger.bind(step=error.step, peer=error.peer).info(
                    "slot assignment failed; retrying: {}", error
                )

    async def _change_once(self) -> None:
        if self._slots_to_assign(self._tables.table):
            await self._tables.change(self._plan_assignment)
        elif now_s() - self._rebalanced_s >= _REBALANCE_INTERVAL_S:
            self._rebalanced_s = now_s()
            self._request_moves()

    def _plan_assignment(self, table: SlotTable) -> SlotTable | None:
        list_version = self._vms.snapshot.version
        indexes = self._slots_to_assign(table)
        if not indexes or list_version < table.list_version:
            return None
        changes = self._assignment(table).reassign(indexes)
        if not changes:
            return None
        logger.info("assigning {} slots", len(changes))
        return table.with_holders(changes, list_version=list_version)

    def _slots_to_assign(self, table: SlotTable) -> list[int]:
        """Return the slots that are free or whose holder's VM was removed."""
        removed_vms = self._absence.removed_vms()
        slots = enumerate(table.slots)
        return [index for index, slot in slots if not slot.holder or slot.holder in removed_vms]

    def _assignment(self, table: SlotTable) -> Assignment:
        return Assignment(
            table=table,
            members=eligible_members(self._vms, self._members),
            data_centres=self._vms.data_centres,
        )

    def _request_moves(self) -> None:
        """Ask holders to hand over slots so that the load becomes balanced.

        Do nothing if no move was needed before and neither the table nor the members changed since.
        """
        table = self._tables.table
        basis = (table.version, tuple(eligible_members(self._vms, self._members)))
        if basis == self._balanced_basis:
            return
        changes = self._assignment(table).rebalance(max_moves=_MAX_MOVES)
        if not changes:
            self._balanced_basis = basis
        moves = [
            SlotMove(index=index, holder=holder, incarnation=incarnation)
            for index, (holder, incarnation) in changes.items()
        ]
        by_holder = sorted(moves, key=lambda move: table.slots[move.index].holder)
        for holder, group in itertools.groupby(by_holder, lambda m: table.slots[m.index].holder):
            self._link.notify(holder, MoveRequest(moves=tuple(group)))
