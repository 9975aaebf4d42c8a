"""Acquisition and handover of the slots assigned to this node's VM."""

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
from flamingoshelf.membership._members import MemberRegistry
from flamingoshelf.membership._messages import MemberState, MoveRequest
from flamingoshelf.membership._ownership import SlotTableOwnership
from flamingoshelf.membership._slots import SlotTable
from flamingoshelf.membership._table_view import TableView
from flamingoshelf.membership._view import VmView
from flamingoshelf.utils import TaskGroup

__all__ = ["LocalSlotManager", "eligible_members"]

_RETRY_MIN_S = 0.1
_RETRY_MAX_S = 2.0

Changes = Mapping[int, tuple[str, str]]  # slot index to (holder, incarnation)


def eligible_members(vms: VmView, members: MemberRegistry) -> list[Member]:
    """Return the nodes that may receive slots: listed, not leaving, not suspected, announced."""
    eligible = []
    for name in vms.live_names:
        vm = vms.find(name)
        entry = members.get(name)
        if vm is not None and entry is not None and entry.state is MemberState.ALIVE:
            eligible.append(
                Member(name=name, data_centre=vm.data_centre, incarnation=entry.incarnation)
            )
    return eligible


class LocalSlotManager:
    """Change the table for the slots that this node's VM holds.

    No other node changes these slots while the VM is listed.

    Parameters
    ----------
    link : NodeLink
        Sends messages to peers.
    ownership : SlotTableOwnership
        Records the released slots.
    tables : TableView
        The slot table.
    vms : VmView
        The VM list.
    members : MemberRegistry
        State of every node.
    random_source : random.Random
        Jitters the retry delay.
    """

    def __init__(
        self,
        *,
        link: NodeLink,
        ownership: SlotTableOwnership,
        tables: TableView,
        vms: VmView,
        members: MemberRegistry,
        random_source: random.Random,
    ) -> None:
        self._link = link
        self._ownership = ownership
        self._tables = tables
        self._vms = vms
        self._members = members
        self._random = random_source
        self._is_acquiring = False
        self._tasks = TaskGroup(owner="local_slots")

    async def start(self) -> None:
        """Start answering move requests and acquiring slots held by an earlier run."""
        self._link.register(MoveRequest, self._on_move_request)
        self._tables.on_change(self._on_table_change)

    async def stop(self) -> None:
        """Stop all tasks."""
        await self._tasks.stop()

    async def hand_over_all(self) -> None:
        """Stop exercising all slots and write the table that assigns them to other nodes.

        Return without a handover if no other node may receive slots.
        """
        while self._tables.table.held_by(self._link.node_name):
            if not self._handover_targets():
                logger.warning("slot handover skipped: no eligible node")
                return
            await self._change_table(self._plan_handover)

    def _handover_targets(self) -> list[Member]:
        """Return the other nodes that may receive slots."""
        eligible = eligible_members(self._vms, self._members)
        return [member for member in eligible if member.name != self._link.node_name]

    def _plan_handover(self, table: SlotTable) -> Changes:
        held = table.held_by(self._link.node_name)
        assignment = Assignment(
            table=table, members=self._handover_targets(), data_centres=self._vms.data_centres
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
                await self._change_table(self._plan_acquire)
        finally:
            self._is_acquiring = False

    def _plan_acquire(self, table: SlotTable) -> Changes:
        own = (self._link.node_name, self._link.incarnation)
        return dict.fromkeys(self._stale_indexes(table), own)

    def _stale_indexes(self, table: SlotTable) -> list[int]:
        """Return the slots of this VM that are still assigned to an earlier run."""
        held = table.held_by(self._link.node_name)
        return [i for i in held if table.slots[i].incarnation != self._link.incarnation]

    async def _on_move_request(self, peer: str, request: MoveRequest) -> None:
        moves = {move.index: (move.holder, move.incarnation) for move in request.moves}
        logger.bind(peer=peer).info("move request received; handing over {} slots", len(moves))
        self._tasks.start(self._hand_over(moves), name="hand_over")

    async def _hand_over(self, moves: Changes) -> None:
        def plan(table: SlotTable) -> Changes:
            held = set(table.held_by(self._link.node_name))
            targets = {(member.name, member.incarnation) for member in self._handover_targets()}
            return {i: target for i, target in moves.items() if i in held and target in targets}

        await self._change_table(plan)

    async def _change_table(self, plan: Callable[[SlotTable], Changes]) -> None:
        """Release the slots that `plan` reassigns and write the table with these changes.

        Retry until the table is written or `plan` has nothing left to change. A release is
        cancelled only if no earlier write can still take effect.
        """
        pending: list[Changes] = []
        has_unknown_outcome = False

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
                has_unknown_outcome = True
                logger.bind(step=error.step).info(
                    "outcome of slot table change unknown; retrying: {}", error
                )
            except ConflictError as error:
                logger.bind(step=error.step).info(
                    "slot table changed concurrently; retrying: {}", error
                )
            except ObjectServiceError as error:
                for changes in () if has_unknown_outcome else pending:
                    self._ownership.cancel_release(changes)
                logger.bind(step=error.step).warning(
                    "slot table change failed; retrying: {}", error
                )
            except FlamingoshelfError as error:
                logger.bind(step=error.step).warning(
                    "slot table change failed; retrying: {}", error
                )
            await asyncio.sleep(retry_s * self._random.uniform(0.5, 1.0))
            retry_s = min(2 * retry_s, _RETRY_MAX_S)
