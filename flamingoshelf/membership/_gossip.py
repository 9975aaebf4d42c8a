"""Gossip with a few peers that spreads tables, VM lists and member entries in the fleet."""

from collections.abc import Awaitable, Callable, Sequence

from loguru import logger

from flamingoshelf.base import NodeLink, VirtualMachine, VmListSnapshot, VmState
from flamingoshelf.exceptions import FlamingoshelfError, ProtocolError
from flamingoshelf.membership._members import MemberRegistry
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
    """Compare versions with peers and pull newer state from them.

    A node announces new state to its successors at once, and each node forwards it once. Lost
    announcements are made up for by the versions in the next heartbeat.

    Parameters
    ----------
    link : NodeLink
        Sends messages to peers.
    vms : VmView
        The VM list.
    tables : TableView
        The slot table.
    members : MemberRegistry
        State of every node.
    """

    def __init__(
        self, *, link: NodeLink, vms: VmView, tables: TableView, members: MemberRegistry
    ) -> None:
        self._link = link
        self._vms = vms
        self._tables = tables
        self._members = members
        self._successors: tuple[str, ...] = ()
        self._digest_mismatches: dict[str, int] = {}
        self._active_pulls: set[tuple[str, str]] = set()
        self._tasks = TaskGroup(owner="gossip")

    @property
    def successors(self) -> Sequence[str]:
        """Peers to which this node sends heartbeats."""
        return self._successors

    async def start(self) -> None:
        """Answer peers and announce new state to them."""
        self._link.register(Heartbeat, self._on_heartbeat)
        self._link.register(Members, self._on_members)
        self._link.register(TableRequest, self._on_table_request)
        self._link.register(VmListRequest, self._on_list_request)
        self._vms.on_change(self._on_list_change)
        self._tables.on_change(self._announce_versions)

    async def stop(self) -> None:
        """Stop all tasks."""
        await self._tasks.stop()

    async def heartbeat(self, peer: str, *, timeout_s: float) -> None:
        """Exchange one heartbeat with a peer; raise the errors of `NodeLink.request`."""
        reply: Heartbeat = await self._link.request(
            peer, self._new_heartbeat(), timeout_s=timeout_s
        )
        self._compare_versions(peer, reply)

    async def join(self, peer: str) -> None:
        """Exchange all member entries with a peer; raise the errors of `NodeLink.request`."""
        message = Members(entries=self._members.entries)
        reply: Members = await self._link.request(peer, message, timeout_s=_PULL_TIMEOUT_S)
        self._members.merge(reply.entries)

    async def pull(self, peer: str) -> bool:
        """Fetch the slot table and VM list of a peer; raise the errors of `NodeLink.request`.

        Return whether both are at least as new as those of this node.
        """
        has_table = await self._pull_table(peer)
        has_list = await self._pull_list(peer)
        return has_table and has_list

    def announce_members(self, entries: tuple[MemberEntry, ...]) -> None:
        """Send entries that are new to this node to its successors."""
        for peer in self._successors:
            self._link.notify(peer, Members(entries=entries))

    def _new_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            table_version=self._tables.table.version,
            list_version=self._vms.snapshot.version,
            table_age_s=self._tables.age_s,
            list_age_s=self._vms.age_s,
            members_digest=self._members.digest,
        )

    def _announce_versions(self) -> None:
        for peer in self._successors:
            self._link.notify(peer, self._new_heartbeat())

    def _on_list_change(self) -> None:
        names = [vm.name for vm in self._vms.snapshot.vms]
        self._successors = ring_successors(names, self._link.node_name)
        self._members.set_listed(names)
        self._announce_versions()

    async def _on_heartbeat(self, peer: str, heartbeat: Heartbeat) -> Heartbeat:
        self._compare_versions(peer, heartbeat)
        return self._new_heartbeat()

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

    def _compare_versions(self, peer: str, heartbeat: Heartbeat) -> None:
        now = now_s()
        self._tables.confirm(heartbeat.table_version, confirmed_s=now - heartbeat.table_age_s)
        self._vms.confirm(heartbeat.list_version, confirmed_s=now - heartbeat.list_age_s)
        if heartbeat.table_version > self._tables.table.version:
            self._start_pull("table", peer)
        if heartbeat.list_version > self._vms.snapshot.version:
            self._start_pull("list", peer)
        self._compare_members(peer, heartbeat.members_digest)

    def _compare_members(self, peer: str, digest: int) -> None:
        """Exchange all entries if two heartbeats in a row have a digest other than this node's."""
        if digest == self._members.digest:
            self._digest_mismatches.pop(peer, None)
            return
        self._digest_mismatches[peer] = self._digest_mismatches.get(peer, 0) + 1
        if self._digest_mismatches[peer] >= 2:
            del self._digest_mismatches[peer]
            self._start_pull("members", peer)

    def _start_pull(self, kind: str, peer: str) -> None:
        if (kind, peer) not in self._active_pulls:
            self._active_pulls.add((kind, peer))
            self._tasks.start(self._run_pull(kind, peer), name=f"pull.{kind}")

    async def _run_pull(self, kind: str, peer: str) -> None:
        pulls: dict[str, Callable[[str], Awaitable[object]]] = {
            "table": self._pull_table,
            "list": self._pull_list,
            "members": self.join,
        }
        try:
            await pulls[kind](peer)
        except FlamingoshelfError as error:
            logger.bind(step=error.step, peer=peer).debug("pull of {} failed: {}", kind, error)
        finally:
            self._active_pulls.discard((kind, peer))

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
    """Return the VM of an entry; raise `ProtocolError` if its state is not known."""
    try:
        state = VmState(entry.state)
    except ValueError as error:
        raise ProtocolError(str(error), step="list", peer=entry.name) from error
    return VirtualMachine(
        name=entry.name, address=entry.address, data_centre=entry.data_centre, state=state
    )
