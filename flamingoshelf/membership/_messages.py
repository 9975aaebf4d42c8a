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
    """What the fleet believes of a node; of two entries with one counter the higher state wins."""

    ALIVE = 0
    SUSPECTED = 1
    LEAVING = 2


@attrs.frozen(kw_only=True)
class MemberEntry:
    """What the fleet believes of one node.

    Parameters
    ----------
    name : str
        VM name.
    incarnation : str
        Newest run of its process that is known.
    counter : int
        Raised by the node itself to override what others believe.
    state : MemberState
        What is believed.
    """

    name: str
    incarnation: str
    counter: int = 0
    state: MemberState = MemberState.ALIVE


@message
@attrs.frozen(kw_only=True)
class Members:
    """Entries for the receiver to merge; as a request it asks for all entries in return."""

    entries: tuple[MemberEntry, ...]


@message
@attrs.frozen(kw_only=True)
class Heartbeat:
    """A sign of life with the versions that the sender has; the reply is one as well.

    Parameters
    ----------
    table_version, list_version : int
        Versions of the slot table and of the VM list.
    table_age_s, list_age_s : float
        Seconds since somebody read these versions at the platform.
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
    """Asks for the slot table."""

    known_version: int


@message
@attrs.frozen(kw_only=True)
class TableReply:
    """The slot table."""

    table: bytes


@message
@attrs.frozen(kw_only=True)
class VmListRequest:
    """Asks for the VM list."""


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
    """Asks whether the receiver reaches `target`."""

    target: str


@message
@attrs.frozen(kw_only=True)
class ProbeReply:
    """Whether the target answered."""

    reachable: bool


@attrs.frozen(kw_only=True)
class SlotMove:
    """A slot and the node that should hold it."""

    index: int
    holder: str
    incarnation: str


@message
@attrs.frozen(kw_only=True)
class MoveRequest:
    """Asks the holder of slots to hand them over."""

    moves: tuple[SlotMove, ...]
