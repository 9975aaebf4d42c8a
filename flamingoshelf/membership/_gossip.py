"""Heartbeats with a few peers; they spread tables, lists and suspicions through the fleet."""

from collections.abc import Awaitable, Callable, Sequence

from loguru import logger

from flamingoshelf.base import NodeLink, VirtualMachine, VmListSnapshot, VmState
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.membership._members import MemberBook
from flamingoshelf.membership._messages import (
    Heartbeat,
    MemberEntry,
    Members,
    TableReply,
    TableRequest,
    VmEntry,
    VmListReply,
    VmListRequest,
)
from flamingoshelf.membership._rings import ring_successors
from flamingoshelf.membership._slots import SlotTable
from flamingoshelf.membership._table_view import TableView
from flamingoshelf.membership._view import VmView
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["Gossip"]

_PULL_TIMEOUT_S = 3.0


class Gossip:
    """Compares versions with peers and fetches what is newer there.

    A node that learns something new tells its successors at once; each of them passes it on once.
    What was lost on the way shows in the versions of the next heartbeat.

    Parameters
    ----------
    link : NodeLink
        Messages to peers.
    vms : VmView
        The VM list.
    tables : TableView
        The slot table.
    members : MemberBook
        What is believed of every node.
    """

    def __init__(
        self, *, link: NodeLink, vms: VmView, tables: TableView, members: MemberBook
    ) -> None:
        self._link = link
        self._vms = vms
        self._tables = tables
        self._members = members
        self._successors: tuple[str, ...] = ()
        self._mismatches: dict[str, int] = {}
        self._pulling: set[tuple[str, str]] = set()
        self._tasks = TaskGroup(owner="gossip")

    @property
    def successors(self) -> Sequence[str]:
        """Peers that this node sends heartbeats to."""
        return self._successors

    async def start(self) -> None:
        """Answer peers and tell them what is new."""
        self._link.register(Heartbeat, self._on_heartbeat)
        self._link.register(Members, self._on_members)
        self._link.register(TableRequest, self._on_table_request)
        self._link.register(VmListRequest, self._on_list_request)
        self._vms.on_change(self._on_list_change)
        self._tables.on_change(self._announce)

    async def stop(self) -> None:
        """End all tasks."""
        await self._tasks.stop()

    async def beat(self, peer: str, *, timeout_s: float) -> None:
        """Exchange one heartbeat; errors as in `NodeLink.request`."""
        reply: Heartbeat = await self._link.request(peer, self._heartbeat(), timeout_s=timeout_s)
        self._compare(peer, reply)

    async def join(self, peer: str) -> None:
        """Exchange all entries with a peer; errors as in `NodeLink.request`."""
        message = Members(entries=self._members.entries)
        reply: Members = await self._link.request(peer, message, timeout_s=_PULL_TIMEOUT_S)
        self._members.merge(reply.entries)

    async def pull(self, peer: str) -> bool:
        """Fetch table and list of a peer; errors as in `NodeLink.request`.

        Returns whether both are at least as new as this node's.
        """
        has_table = await self._pull_table(peer)
        has_list = await self._pull_list(peer)
        return has_table and has_list

    def announce_members(self, entries: tuple[MemberEntry, ...]) -> None:
        """Pass entries on that are new to this node."""
        for peer in self._successors:
            self._link.notify(peer, Members(entries=entries))

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            table_version=self._tables.table.version,
            list_version=self._vms.snapshot.version,
            table_age_s=self._tables.age_s,
            list_age_s=self._vms.age_s,
            members_digest=self._members.digest,
        )

    def _announce(self) -> None:
        for peer in self._successors:
            self._link.notify(peer, self._heartbeat())

    def _on_list_change(self) -> None:
        names = [vm.name for vm in self._vms.snapshot.vms]
        self._successors = ring_successors(names, self._link.node_name)
        self._members.set_listed(names)
        self._announce()

    async def _on_heartbeat(self, peer: str, beat: Heartbeat) -> Heartbeat:
        self._compare(peer, beat)
        return self._heartbeat()

    async def _on_members(self, peer: str, update: Members) -> Members:
        newer = self._members.merge(update.entries)
        if newer:
            self.announce_members(newer)
        return Members(entries=self._members.entries)

    async def _on_table_request(self, peer: str, request: TableRequest) -> TableReply:
        return TableReply(table=self._tables.table.encode())

    async def _on_list_request(self, peer: str, request: VmListRequest) -> VmListReply:
        snapshot = self._vms.snapshot
        return VmListReply(version=snapshot.version, vms=tuple(map(_to_entry, snapshot.vms)))

    def _compare(self, peer: str, beat: Heartbeat) -> None:
        now = now_s()
        self._tables.confirm(beat.table_version, confirmed_s=now - beat.table_age_s)
        self._vms.confirm(beat.list_version, confirmed_s=now - beat.list_age_s)
        if beat.table_version > self._tables.table.version:
            self._start_pull("table", peer)
        if beat.list_version > self._vms.snapshot.version:
            self._start_pull("list", peer)
        self._compare_members(peer, beat.members_digest)

    def _compare_members(self, peer: str, digest: int) -> None:
        """Exchange all entries when two heartbeats in a row show other ones."""
        if digest == self._members.digest:
            self._mismatches.pop(peer, None)
            return
        self._mismatches[peer] = self._mismatches.get(peer, 0) + 1
        if self._mismatches[peer] >= 2:
            del self._mismatches[peer]
            self._start_pull("members", peer)

    def _start_pull(self, what: str, peer: str) -> None:
        if (what, peer) not in self._pulling:
            self._pulling.add((what, peer))
            self._tasks.start(self._run_pull(what, peer), name=f"pull.{what}")

    async def _run_pull(self, what: str, peer: str) -> None:
        pulls: dict[str, Callable[[str], Awaitable[object]]] = {
            "table": self._pull_table,
            "list": self._pull_list,
            "members": self.join,
        }
        try:
            await pulls[what](peer)
        except FlamingoshelfError as error:
            logger.bind(step=error.step, peer=peer).debug("{} not pulled: {}", what, error)
        finally:
            self._pulling.discard((what, peer))

    async def _pull_table(self, peer: str) -> bool:
        request = TableRequest(known_version=self._tables.table.version)
        reply: TableReply = await self._link.request(peer, request, timeout_s=_PULL_TIMEOUT_S)
        table = SlotTable.decode(reply.table)
        self._tables.adopt(table)
        return table.version >= self._tables.table.version

    async def _pull_list(self, peer: str) -> bool:
        reply: VmListReply = await self._link.request(
            peer, VmListRequest(), timeout_s=_PULL_TIMEOUT_S
        )
        snapshot = VmListSnapshot(version=reply.version, vms=tuple(map(_to_vm, reply.vms)))
        self._vms.adopt(snapshot, confirmed_s=float("-inf"))
        return snapshot.version >= self._vms.snapshot.version


def _to_entry(vm: VirtualMachine) -> VmEntry:
    return VmEntry(
        name=vm.name, address=vm.address, data_centre=vm.data_centre, state=vm.state.value
    )


def _to_vm(entry: VmEntry) -> VirtualMachine:
    return VirtualMachine(
        name=entry.name,
        address=entry.address,
        data_centre=entry.data_centre,
        state=VmState(entry.state),
    )
