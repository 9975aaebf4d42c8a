"""Messages of the membership protocol."""

from enum import IntEnum

import attrs

from flamingoshelf.nodes import message

__all__ = [
    "Heartbeat",
    "MemberEntry",
    "MemberState",
    "Members",
    "MoveRequest",
    "ProbeReply",
    "ProbeRequest",
    "SlotMove",
    "TableReply",
    "TableRequest",
    "VmEntry",
    "VmListReply",
    "VmListRequest",
]


class MemberState(IntEnum):
    """State of a node; of two entries with the same counter the higher state wins."""

    ALIVE = 0
    SUSPECTED = 1
    LEAVING = 2


@attrs.frozen(kw_only=True)
class MemberEntry:
    """State of one node as known in the fleet.

    Parameters
    ----------
    name : str
        VM name.
    incarnation : str
        Newest known run of its process.
    counter : int
        Raised by the node itself to override entries from other nodes.
    state : MemberState
        State of the node.
    """

    name: str
    incarnation: str
    counter: int = 0
    state: MemberState = MemberState.ALIVE


@message
@attrs.frozen(kw_only=True)
class Members:
    """Entries for the receiver to merge; the reply holds all entries of the receiver."""

    entries: tuple[MemberEntry, ...]


@message
@attrs.frozen(kw_only=True)
class Heartbeat:
    """Versions held by the sender, as proof that it runs; the reply is a `Heartbeat` as well.

    Parameters
    ----------
    table_version, list_version : int
        Versions of the slot table and of the VM list.
    table_age_s, list_age_s : float
        Seconds since a node last read these versions from the platform.
    members_digest : int
        Digest of the entries of all listed VMs.
    """

    table_version: int
    list_version: int
    table_age_s: float
    list_age_s: float
    members_digest: int


@message
@attrs.frozen(kw_only=True)
class TableRequest:
    """Request for the slot table."""

    known_version: int


@message
@attrs.frozen(kw_only=True)
class TableReply:
    """The slot table."""

    table: bytes


@message
@attrs.frozen(kw_only=True)
class VmListRequest:
    """Request for the VM list."""


@attrs.frozen(kw_only=True)
class VmEntry:
    """One VM of the list."""

    name: str
    address: str
    data_centre: str
    state: str


@message
@attrs.frozen(kw_only=True)
class VmListReply:
    """The VM list."""

    version: int
    vms: tuple[VmEntry, ...]


@message
@attrs.frozen(kw_only=True)
class ProbeRequest:
    """Request to send a heartbeat to `target` and report whether it answers."""

    target: str


@message
@attrs.frozen(kw_only=True)
class ProbeReply:
    """Whether the target answered."""

    reachable: bool


@attrs.frozen(kw_only=True)
class SlotMove:
    """Move of one slot to another holder."""

    index: int
    holder: str
    incarnation: str


@message
@attrs.frozen(kw_only=True)
class MoveRequest:
    """Request to the holder of slots to hand them over."""

    moves: tuple[SlotMove, ...]
