"""Puts membership and ownership of one node together."""

import asyncio
import random
from typing import Any

from loguru import logger

from flamingoshelf.base import NodeLink, ObjectService, VmState
from flamingoshelf.membership._absence import AbsenceRecord
from flamingoshelf.membership._changer import SlotChanger
from flamingoshelf.membership._failure_detector import FailureDetector
from flamingoshelf.membership._gossip import Gossip
from flamingoshelf.membership._keeper import SlotKeeper
from flamingoshelf.membership._loop_guard import LoopGuard
from flamingoshelf.membership._members import MemberBook
from flamingoshelf.membership._messages import MemberEntry, MemberState
from flamingoshelf.membership._ownership import SlotTableOwnership
from flamingoshelf.membership._reader import PlatformReader
from flamingoshelf.membership._table_store import TableStore
from flamingoshelf.membership._table_view import TableView
from flamingoshelf.membership._view import VmView
from flamingoshelf.utils import TaskGroup, finite_or_none, rendezvous_rank

__all__ = ["Membership"]

_LEAVE_TIMEOUT_S = 10.0
_LEAVE_CHECK_S = 0.5
_MAX_GAP_S = 2.0


class Membership:
    """VM list, heartbeats, slot table and ownership of one node.

    Parameters
    ----------
    link : NodeLink
        Messages to peers.
    vms : VmView
        The VM list; the link finds addresses in it.
    store : ObjectService
        The platform's object service.
    vm_list_lag_s : float
        Lag of the VM list that the platform states.
    """

    def __init__(
        self, *, link: NodeLink, vms: VmView, store: ObjectService, vm_list_lag_s: float
    ) -> None:
        self._link = link
        self._vms = vms
        random_source = random.Random(link.incarnation)
        self._is_left = False
        self._tables = TableView(store=TableStore(store=store))
        self._guard = LoopGuard(max_gap_s=min(_MAX_GAP_S, vm_list_lag_s / 2))
        self._members = MemberBook(
            node_name=link.node_name, incarnation=link.incarnation, on_change=self._on_entries
        )
        self._gossip = Gossip(link=link, vms=vms, tables=self._tables, members=self._members)
        self._detector = FailureDetector(
            link=link,
            gossip=self._gossip,
            members=self._members,
            guard=self._guard,
            random_source=random_source,
        )
        self._ownership = SlotTableOwnership(
            node_name=link.node_name,
            incarnation=link.incarnation,
            vms=vms,
            tables=self._tables,
            members=self._members,
            guard=self._guard,
        )
        self._keeper = SlotKeeper(
            link=link,
            ownership=self._ownership,
            tables=self._tables,
            vms=vms,
            members=self._members,
            random_source=random_source,
        )
        absence = AbsenceRecord(lag_s=vm_list_lag_s)
        self._reader = PlatformReader(
            vms=vms,
            tables=self._tables,
            gossip=self._gossip,
            guard=self._guard,
            absence=absence,
            rank=self._reader_rank,
            random_source=random_source,
        )
        self._changer = SlotChanger(
            link=link,
            tables=self._tables,
            vms=vms,
            members=self._members,
            absence=absence,
            is_first=lambda: self._reader_rank() == 0 and self._ownership.may_exercise,
        )
        self._parts = (
            self._gossip,
            self._keeper,
            self._guard,
            self._reader,
            self._detector,
            self._changer,
        )
        self._tasks = TaskGroup(owner="membership")

    @property
    def ownership(self) -> SlotTableOwnership:
        """Which node has which duty."""
        return self._ownership

    @property
    def is_ready(self) -> bool:
        """Whether the exclusive duties have holders that this node knows."""
        return self._tables.table.version > 0

    async def start(self) -> None:
        """Read the list, join the peers and start all parts."""
        for part in self._parts:
            await part.start()
        self._tasks.start(self._leave_when_listed(), name="leave")

    async def stop(self) -> None:
        """Hand over all slots and end all tasks."""
        await self.leave()
        await self._tasks.stop()
        for part in reversed(self._parts):
            await part.stop()

    async def leave(self) -> None:
        """Hand over all slots; peers give this node no more work."""
        if self._is_left:
            return
        self._is_left = True
        self._members.set_leaving()
        try:
            async with asyncio.timeout(_LEAVE_TIMEOUT_S):
                await self._keeper.hand_over_all()
        except TimeoutError:
            logger.bind(step="leave").warning("slots were not handed over in time")

    def status(self) -> dict[str, Any]:
        """Return table, incarnations and suspicions for the status page."""
        table = self._tables.table
        return {
            "vm_list_version": self._vms.snapshot.version,
            "vm_list_age_s": finite_or_none(self._vms.age_s),
            "table_version": table.version,
            "table_age_s": finite_or_none(self._tables.age_s),
            "may_exercise": self._ownership.may_exercise,
            "held_slots": len(self._ownership.held_indexes()),
            "slots_by_holder": {name: len(table.held_by(name)) for name in table.holders()},
            "incarnations": {e.name: e.incarnation for e in self._members.entries},
            "suspected": self._names_in(MemberState.SUSPECTED),
            "leaving": self._names_in(MemberState.LEAVING),
            "heartbeats_to": list(self._gossip.successors),
        }

    def _names_in(self, state: MemberState) -> list[str]:
        return sorted(entry.name for entry in self._members.entries if entry.state is state)

    def _on_entries(self, entries: tuple[MemberEntry, ...]) -> None:
        self._gossip.announce_members(entries)

    def _reader_rank(self) -> int:
        """Return this node's place among those that read the platform for the others."""
        ranked = rendezvous_rank("platform_reader", self._ownership.reachable_names())
        name = self._link.node_name
        return ranked.index(name) if name in ranked else len(ranked)

    async def _leave_when_listed(self) -> None:
        """Hand over all slots when the platform lists this VM as leaving."""
        while True:
            vm = self._vms.find(self._link.node_name)
            if vm is not None and vm.state is VmState.LEAVING:
                logger.info("the VM is to leave")
                await self.leave()
                return
            await asyncio.sleep(_LEAVE_CHECK_S)
