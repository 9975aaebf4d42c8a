"""Acquires and hands over the slots of this node."""

import asyncio
import random
from collections.abc import Callable, Mapping

from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.exceptions import (
    ConflictError,
    FlamingoshelfError,
    ObjectServiceError,
    OutcomeUnknownError,
)
from flamingoshelf.membership._assignment import Assignment, Member
from flamingoshelf.membership._members import MemberBook
from flamingoshelf.membership._messages import MemberState, MoveRequest
from flamingoshelf.membership._ownership import SlotTableOwnership
from flamingoshelf.membership._slots import SlotTable
from flamingoshelf.membership._table_view import TableView
from flamingoshelf.membership._view import VmView
from flamingoshelf.utils import TaskGroup

__all__ = ["SlotKeeper", "eligible_members"]

_RETRY_MIN_S = 0.1
_RETRY_MAX_S = 2.0

Changes = Mapping[int, tuple[str, str]]


def eligible_members(vms: VmView, members: MemberBook) -> list[Member]:
    """Return the nodes that may receive slots: listed, not to leave, answering, announced."""
    eligible = []
    for name in vms.live_names:
        vm = vms.find(name)
        entry = members.get(name)
        if vm is not None and entry is not None and entry.state is MemberState.ALIVE:
            eligible.append(
                Member(name=name, data_centre=vm.data_centre, incarnation=entry.incarnation)
            )
    return eligible


class SlotKeeper:
    """Changes the table for slots that this node's VM holds.

    Nobody else changes these while the VM is listed.

    Parameters
    ----------
    link : NodeLink
        Messages to peers.
    ownership : SlotTableOwnership
        Is told what is released.
    tables : TableView
        The slot table.
    vms : VmView
        The VM list.
    members : MemberBook
        What is believed of every node.
    random_source : random.Random
        Spreads retries.
    """

    def __init__(
        self,
        *,
        link: NodeLink,
        ownership: SlotTableOwnership,
        tables: TableView,
        vms: VmView,
        members: MemberBook,
        random_source: random.Random,
    ) -> None:
        self._link = link
        self._ownership = ownership
        self._tables = tables
        self._vms = vms
        self._members = members
        self._random = random_source
        self._is_acquiring = False
        self._tasks = TaskGroup(owner="slot_keeper")

    async def start(self) -> None:
        """Start to answer requests for slots and to acquire what an earlier run held."""
        self._link.register(MoveRequest, self._on_move_request)
        self._tables.on_change(self._on_table_change)

    async def stop(self) -> None:
        """End all tasks."""
        await self._tasks.stop()

    async def hand_over_all(self) -> None:
        """Stop exercising all slots and give them to other nodes; returns when that is written."""
        while self._tables.table.held_by(self._link.node_name):
            if not self._targets():
                logger.warning("no node can take over the slots")
                return
            await self._change(self._plan_leave)

    def _targets(self) -> list[Member]:
        eligible = eligible_members(self._vms, self._members)
        return [member for member in eligible if member.name != self._link.node_name]

    def _plan_leave(self, table: SlotTable) -> Changes:
        held = table.held_by(self._link.node_name)
        assignment = Assignment(
            table=table, members=self._targets(), data_centres=self._vms.data_centres
        )
        return assignment.reassign(held)

    def _on_table_change(self) -> None:
        if self._stale_indexes(self._tables.table) and not self._is_acquiring:
            self._is_acquiring = True
            self._tasks.start(self._acquire(), name="acquire")

    async def _acquire(self) -> None:
        """Write this run's incarnation into slots that an earlier run on this VM held."""
        try:
            while self._stale_indexes(self._tables.table):
                await self._change(self._plan_acquire)
        finally:
            self._is_acquiring = False

    def _plan_acquire(self, table: SlotTable) -> Changes:
        own = (self._link.node_name, self._link.incarnation)
        return dict.fromkeys(self._stale_indexes(table), own)

    def _stale_indexes(self, table: SlotTable) -> list[int]:
        held = table.held_by(self._link.node_name)
        return [i for i in held if table.slots[i].incarnation != self._link.incarnation]

    async def _on_move_request(self, peer: str, request: MoveRequest) -> None:
        moves = {move.index: (move.holder, move.incarnation) for move in request.moves}
        logger.bind(peer=peer).info("hands over {} slots on request", len(moves))
        self._tasks.start(self._hand_over(moves), name="hand_over")

    async def _hand_over(self, moves: Changes) -> None:
        def plan(table: SlotTable) -> Changes:
            held = set(table.held_by(self._link.node_name))
            targets = {(member.name, member.incarnation) for member in self._targets()}
            return {i: to for i, to in moves.items() if i in held and to in targets}

        await self._change(plan)

    async def _change(self, plan: Callable[[SlotTable], Changes]) -> None:
        """Release what `plan` gives away, then write it; try again until the outcome is known.

        A release is cancelled only if no write before can still take effect.
        """
        pending: list[Changes] = []
        is_unresolved = False

        def write(table: SlotTable) -> SlotTable | None:
            changes = plan(table)
            if not changes:
                return None
            self._ownership.release(changes, base_version=table.version)
            pending.append(changes)
            return table.with_holders(changes, list_version=0)

        retry_s = _RETRY_MIN_S
        while True:
            try:
                await self._tables.change(write)
                return
            except OutcomeUnknownError as error:
                is_unresolved = True
                logger.bind(step=error.step).info("slots perhaps handed over: {}", error)
            except ConflictError as error:
                logger.bind(step=error.step).info("slots not handed over yet: {}", error)
            except ObjectServiceError as error:
                for changes in () if is_unresolved else pending:
                    self._ownership.cancel_release(changes)
                logger.bind(step=error.step).warning("slots not handed over: {}", error)
            except FlamingoshelfError as error:
                logger.bind(step=error.step).warning("slots not handed over: {}", error)
            await asyncio.sleep(retry_s * self._random.uniform(0.5, 1.0))
            retry_s = min(2 * retry_s, _RETRY_MAX_S)
