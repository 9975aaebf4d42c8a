"""Messages by which nodes find their coordinator."""

import attrs

from flamingoshelf.cluster._members import Member
from flamingoshelf.nodes import message

__all__ = ["MemberHeartbeat", "MemberHeartbeatReply"]


@message
@attrs.frozen(kw_only=True)
class MemberHeartbeat:
    """A sign of life to the coordinator, or a question who coordinates.

    Parameters
    ----------
    member : Member
        The sender.
    digest : int
        Digest of the members that the sender knows.
    revisions : dict
        Revisions of the store up to which the sender knows each kind of object.
    is_leaving : bool
        Whether the sender is about to stop.
    """

    member: Member
    digest: int
    revisions: dict[str, int] = attrs.field(factory=dict)
    is_leaving: bool = False


@message
@attrs.frozen(kw_only=True)
class MemberHeartbeatReply:
    """Answer to a heartbeat.

    Parameters
    ----------
    member : Member
        The node that answers.
    coordinator : str
        Node that it takes for the coordinator.
    members : tuple of Member
        Members that it knows, if their digest is not the sender's.
    revisions : dict
        Revisions up to which it knows each kind of object.
    is_leaving : bool
        Whether it is about to stop, so that another node has to coordinate.
    """

    member: Member
    coordinator: str
    members: tuple[Member, ...] = ()
    revisions: dict[str, int] = attrs.field(factory=dict)
    is_leaving: bool = False
