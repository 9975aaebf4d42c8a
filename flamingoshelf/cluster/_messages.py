"""Heartbeat messages, by which nodes determine the coordinator."""

import attrs

from flamingoshelf.cluster._members import Member
from flamingoshelf.nodes import message

__all__ = ["LeavingRun", "MemberHeartbeat", "MemberHeartbeatReply", "NodeNews"]


@attrs.frozen(kw_only=True)
class LeavingRun:
    """A run of a backend server that has stated that it leaves."""

    server: str
    started_ms: int


@attrs.frozen(kw_only=True)
class NodeNews:
    """What nodes tell one another with heartbeats, for other parts of the node.

    Parameters
    ----------
    configuration_version : int
        Version of the configuration in force, 0 if there is none.
    leaving : tuple of LeavingRun
        Backend servers that leave and are listed as ready.
    crashes : int
        Digest of the crashes that the node knows, 0 if it knows none.
    limits : int or None
        Digest of the limits of backend servers that the node knows, 0 if it knows none; None if it
        is of a version that doesn't share them.
    """

    configuration_version: int = 0
    leaving: tuple[LeavingRun, ...] = ()
    crashes: int = 0
    limits: int | None = None


@message
@attrs.frozen(kw_only=True)
class MemberHeartbeat:
    """Heartbeat to the coordinator, or to a member that may be the coordinator.

    Parameters
    ----------
    member : Member
        Entry of the sender.
    digest : int
        Digest of the sender's member list.
    revisions : dict
        For each kind of object, the store revision of the last change that the sender knows.
    news : NodeNews
        What the sender tells besides.
    is_leaving : bool
        Whether the sender is about to stop.
    """

    member: Member
    digest: int
    revisions: dict[str, int] = attrs.field(factory=dict)
    news: NodeNews = NodeNews()
    is_leaving: bool = False


@message
@attrs.frozen(kw_only=True)
class MemberHeartbeatReply:
    """Reply to a heartbeat.

    Parameters
    ----------
    member : Member
        Entry of the replying node.
    coordinator : str
        Name of the coordinator as the replying node knows it, empty if it knows none.
    members : tuple of Member
        Member list of the replying node, empty if its digest equals that of the heartbeat.
    revisions : dict
        For each kind of object, the store revision of the last change that the replying node knows.
    news : NodeNews
        What the replying node tells besides.
    is_leaving : bool
        Whether the replying node is about to stop, so that another node has to coordinate.
    """

    member: Member
    coordinator: str
    members: tuple[Member, ...] = ()
    revisions: dict[str, int] = attrs.field(factory=dict)
    news: NodeNews = NodeNews()
    is_leaving: bool = False
