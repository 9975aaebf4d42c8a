"""Assigns slots whose holders are gone and levels the loads."""

import asyncio
import itertools
from collections.abc import Callable

from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.membership._absence import AbsenceRecord
from flamingoshelf.membership._assignment import Assignment, Member
from flamingoshelf.membership._keeper import eligible_members
from flamingoshelf.membership._members import MemberBook
from flamingoshelf.membership._messages import MoveRequest, SlotMove
from flamingoshelf.membership._slots import SlotTable
from flamingoshelf.membership._table_view import TableView
from flamingoshelf.membership._view import VmView
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["SlotChanger"]

_INTERVAL_S = 1.0
_REBALANCE_S = 3.0
_MAX_MOVES = 128


class SlotChanger:
    """Changes the table for slots that nobody can exercise.

    Any node may do this at any time, since the table is written by compare-and-swap; to spare the
    object service only one node at a time does, as far as heartbeats tell.

    Parameters
    ----------
    link : NodeLink
        Messages to peers.
    tables : TableView
        The slot table.
    vms : VmView
        The VM list.
    members : MemberBook
        What is believed of every node.
    absence : AbsenceRecord
        Which VMs are gone.
    is_first : callable
        Returns whether this node is the one that should change the table now.
    """

    def __init__(
        self,
        *,
        link: NodeLink,
        tables: TableView,
        vms: VmView,
        members: MemberBook,
        absence: AbsenceRecord,
        is_first: Callable[[], bool],
    ) -> None:
        self._link = link
        self._tables = tables
        self._vms = vms
        self._members = members
        self._absence = absence
        self._is_first = is_first
        self._rebalanced_s = float("-inf")
        self._level_basis: tuple[int, tuple[Member, ...]] | None = None
        self._tasks = TaskGroup(owner="slot_changer")

    async def start(self) -> None:
        """Start to change the table."""
        self._tasks.start(self._run(), name="run")

    async def stop(self) -> None:
        """Stop to change the table."""
        await self._tasks.stop()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_INTERVAL_S)
            if not self._is_first():
                continue
            try:
                await self._change_once()
            except FlamingoshelfError as error:
                logger.bind(step=error.step, peer=error.peer).info("slots not changed: {}", error)

    async def _change_once(self) -> None:
        if self._unheld(self._tables.table):
            await self._tables.change(self._plan)
        elif now_s() - self._rebalanced_s >= _REBALANCE_S:
            self._rebalanced_s = now_s()
            self._request_moves()

    def _plan(self, table: SlotTable) -> SlotTable | None:
        list_version = self._vms.snapshot.version
        indexes = self._unheld(table)
        if not indexes or list_version < table.list_version:
            return None
        changes = self._assignment(table).reassign(indexes)
        if not changes:
            return None
        logger.info("assigns {} slots", len(changes))
        return table.with_holders(changes, list_version=list_version)

    def _unheld(self, table: SlotTable) -> list[int]:
        """Return the slots that are free or whose holder's VM is gone."""
        gone = self._absence.gone()
        slots = enumerate(table.slots)
        return [index for index, slot in slots if not slot.holder or slot.holder in gone]

    def _assignment(self, table: SlotTable) -> Assignment:
        return Assignment(
            table=table,
            members=eligible_members(self._vms, self._members),
            data_centres=self._vms.data_centres,
        )

    def _request_moves(self) -> None:
        """Ask holders to hand over slots, so that the loads become level."""
        table = self._tables.table
        basis = (table.version, tuple(eligible_members(self._vms, self._members)))
        if basis == self._level_basis:
            return
        changes = self._assignment(table).rebalance(max_moves=_MAX_MOVES)
        if not changes:
            self._level_basis = basis
        moves = [
            SlotMove(index=index, holder=holder, incarnation=incarnation)
            for index, (holder, incarnation) in changes.items()
        ]
        by_holder = sorted(moves, key=lambda move: table.slots[move.index].holder)
        for holder, group in itertools.groupby(by_holder, lambda m: table.slots[m.index].holder):
            self._link.notify(holder, MoveRequest(moves=tuple(group)))
