"""Messages by which nodes exchange configuration revisions."""

import attrs

from flamingoshelf.nodes import message

__all__ = ["OutageReport", "Page", "PageRequest", "StateReply", "StateRequest"]


@attrs.frozen(kw_only=True)
class OutageReport:
    """Report of a node that the object service is unreachable for it.

    Parameters
    ----------
    node, data_centre : str
        The reporting node and its data centre.
    age_s : float
        Seconds since the failed call was made.
    reached : int
        Number of nodes of the data centre, itself included, that follow through this node.
    """

    node: str
    data_centre: str
    age_s: float
    reached: int


@message
@attrs.frozen(kw_only=True)
class StateRequest:
    """Request the peer's revision, how fresh it is, and the steps to it.

    Parameters
    ----------
    manifest : str
        Key of the manifest of the requester's revision.
    revision : int
        The requester's revision.
    wait_s : float
        Maximum time in seconds that the reply may be delayed until there is a newer revision.
    follower_count : int
        Number of nodes that follow through the requester, itself included; 0 if the requester
        does not follow the peer regularly.
    """

    manifest: str
    revision: int
    wait_s: float
    follower_count: int


@message
@attrs.frozen(kw_only=True)
class StateReply:
    """Revision of a node and how fresh it is.

    Parameters
    ----------
    revision : int
        Revision of the replying node.
    manifest, digest : str
        Key of the revision's manifest and digest of all its objects.
    age_s : float
        Seconds from the revision's last confirmation to the reply.
    held_s : float
        Seconds from receipt of the request to the reply.
    outages : tuple of OutageReport
        Recent outage reports about the object service.
    steps : bytes
        Compressed steps from the requester's revision to this one; empty if there are none or
        not all are kept.
    """

    revision: int
    manifest: str
    digest: str
    age_s: float
    held_s: float
    outages: tuple[OutageReport, ...] = ()
    steps: bytes = b""


@message
@attrs.frozen(kw_only=True)
class PageRequest:
    """Request a page of a revision's objects, starting at index `offset`."""

    manifest: str
    offset: int


@message
@attrs.frozen(kw_only=True)
class Page:
    """A page of objects as compressed JSON; `next_offset` is 0 on the last page."""

    objects: bytes
    next_offset: int
