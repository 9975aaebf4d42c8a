"""Composition of the membership and ownership services of one node."""

import asyncio
import random
from typing import Any

from loguru import logger

from flamingoshelf.base import NodeLink, ObjectService, VmState
from flamingoshelf.membership._absence import AbsenceTracker
from flamingoshelf.membership._failure_detector import FailureDetector
from flamingoshelf.membership._gossip import Gossip
from flamingoshelf.membership._local_slots import LocalSlotManager
from flamingoshelf.membership._members import MemberRegistry
from flamingoshelf.membership._messages import MemberEntry, MemberState
from flamingoshelf.membership._ownership import SlotTableOwnership
from flamingoshelf.membership._pause_detector import PauseDetector
from flamingoshelf.membership._reader import PlatformReader
from flamingoshelf.membership._slot_assigner import SlotAssigner
from flamingoshelf.membership._table_store import TableStore
from flamingoshelf.membership._table_view import TableView
from flamingoshelf.membership._view import VmView
from flamingoshelf.utils import TaskGroup, finite_or_none, rendezvous_rank

__all__ = ["Membership"]

_LEAVE_TIMEOUT_S = 10.0
_LEAVE_CHECK_INTERVAL_S = 0.5
_MAX_LOOP_GAP_S = 2.0


class Membership:
    """Run heartbeats, the slot table and slot ownership of one node.

    Parameters
    ----------
    link : NodeLink
        Sends messages to peers.
    vms : VmView
        The VM list; `link` resolves the addresses of peers in it.
    store : ObjectService
        The platform's object service.
    vm_list_lag_s : float
        Longest time in seconds by which the VM list may lag behind, as stated by the platform.
    """

    def __init__(
        self, *, link: NodeLink, vms: VmView, store: ObjectService, vm_list_lag_s: float
    ) -> None:
        self._link = link
        self._vms = vms
        random_source = random.Random(link.incarnation)
        self._has_left = False
        self._tables = TableView(store=TableStore(store=store))
        self._pause_detector = PauseDetector(max_gap_s=min(_MAX_LOOP_GAP_S, vm_list_lag_s / 2))
        self._members = MemberRegistry(
            node_name=link.node_name, incarnation=link.incarnation, on_change=self._announce_entries
        )
        self._gossip = Gossip(link=link, vms=vms, tables=self._tables, members=self._members)
        self._failure_detector = FailureDetector(
            link=link,
            gossip=self._gossip,
            members=self._members,
            pause_detector=self._pause_detector,
            random_source=random_source,
        )
        self._ownership = SlotTableOwnership(
            node_name=link.node_name,
            incarnation=link.incarnation,
            vms=vms,
            tables=self._tables,
            members=self._members,
            pause_detector=self._pause_detector,
        )
        self._local_slots = LocalSlotManager(
            link=link,
            ownership=self._ownership,
            tables=self._tables,
            vms=vms,
            members=self._members,
            random_source=random_source,
        )
        absence = AbsenceTracker(lag_s=vm_list_lag_s)
        self._reader = PlatformReader(
            vms=vms,
            tables=self._tables,
            gossip=self._gossip,
            pause_detector=self._pause_detector,
            absence=absence,
            rank=self._reader_rank,
            random_source=random_source,
        )
        self._slot_assigner = SlotAssigner(
            link=link,
            tables=self._tables,
            vms=vms,
            members=self._members,
            absence=absence,
            is_responsible=lambda: self._reader_rank() == 0 and self._ownership.may_exercise,
        )
        self._services = (
            self._gossip,
            self._local_slots,
            self._pause_detector,
            self._reader,
            self._failure_detector,
            self._slot_assigner,
        )
        self._tasks = TaskGroup(owner="membership")

    @property
    def ownership(self) -> SlotTableOwnership:
        """Ownership of duties by nodes."""
        return self._ownership

    @property
    def is_ready(self) -> bool:
        """Whether this node knows the holders of the exclusive duties."""
        return self._tables.table.version > 0

    async def start(self) -> None:
        """Start all services, and leave once the platform lists this VM as leaving."""
        for service in self._services:
            await service.start()
        self._tasks.start(self._leave_when_listed_as_leaving(), name="leave")

    async def stop(self) -> None:
        """Hand over all slots and stop all tasks."""
        await self.leave()
        await self._tasks.stop()
        for service in reversed(self._services):
            await service.stop()

    async def leave(self) -> None:
        """Mark this node as leaving, so that it gets no new work, and hand over all slots.

        Return after `_LEAVE_TIMEOUT_S` at the latest. Further calls do nothing.
        """
        if self._has_left:
            return
        self._has_left = True
        self._members.set_leaving()
        try:
            async with asyncio.timeout(_LEAVE_TIMEOUT_S):
                await self._local_slots.hand_over_all()
        except TimeoutError:
            logger.bind(step="leave").warning("slot handover timed out")

    def status(self) -> dict[str, Any]:
        """Return the state of the slot table and of all nodes for the status page."""
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
            "suspected": self._names_in_state(MemberState.SUSPECTED),
            "leaving": self._names_in_state(MemberState.LEAVING),
            "heartbeats_to": list(self._gossip.successors),
        }

    def _names_in_state(self, state: MemberState) -> list[str]:
        return sorted(entry.name for entry in self._members.entries if entry.state is state)

    def _announce_entries(self, entries: tuple[MemberEntry, ...]) -> None:
        self._gossip.announce_members(entries)

    def _reader_rank(self) -> int:
        """Return this node's rank among the nodes that read from the platform; 0 is the first."""
        ranked = rendezvous_rank("platform_reader", self._ownership.reachable_names())
        name = self._link.node_name
        return ranked.index(name) if name in ranked else len(ranked)

    async def _leave_when_listed_as_leaving(self) -> None:
        """Hand over all slots when the platform lists this VM as leaving."""
        while True:
            vm = self._vms.find(self._link.node_name)
            if vm is not None and vm.state is VmState.LEAVING:
                logger.info("VM listed as leaving; handing over all slots")
                await self.leave()
                return
            await asyncio.sleep(_LEAVE_CHECK_INTERVAL_S)
