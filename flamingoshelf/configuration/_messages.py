"""Messages between nodes about the configuration."""

import attrs

from flamingoshelf.nodes import message

__all__ = ["OutageReport", "Page", "PageRequest", "StateReply", "StateRequest"]


@attrs.frozen(kw_only=True)
class OutageReport:
    """A node's statement that it could not reach the object service.

    Parameters
    ----------
    node, data_centre : str
        Who states it and where.
    age_s : float
        Seconds since the failed call was made.
    reached : int
        Nodes of the data centre, itself included, that follow the configuration through it.
    """

    node: str
    data_centre: str
    age_s: float
    reached: int


@message
@attrs.frozen(kw_only=True)
class StateRequest:
    """Asks for a newer revision and for a statement of how fresh it is.

    Parameters
    ----------
    manifest : str
        Key of the manifest of the asker's revision.
    revision : int
        The asker's revision.
    wait_s : float
        Longest time that the reply may be held back until there is something new.
    follower_count : int
        Nodes that follow through the asker, itself included; 0 if it asks for once only.
    """

    manifest: str
    revision: int
    wait_s: float
    follower_count: int


@message
@attrs.frozen(kw_only=True)
class StateReply:
    """A node's revision and how fresh it is.

    Parameters
    ----------
    revision : int
        The node's revision.
    manifest, digest : str
        Key of its manifest and digest of all its objects.
    age_s : float
        Seconds from its last confirmation to the reply.
    held_s : float
        Seconds that the reply was held back.
    outages : tuple of OutageReport
        Recent statements about the object service.
    steps : bytes
        Compressed steps from the asker's revision to this one; empty if there is no short way.
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
    """Asks for objects of a revision, from the one with number `offset` on."""

    manifest: str
    offset: int


@message
@attrs.frozen(kw_only=True)
class Page:
    """Some objects of a revision, as compressed JSON; `next_offset` is 0 after the last ones."""

    objects: bytes
    next_offset: int
