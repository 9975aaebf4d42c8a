"""Messages between dispatchers and the nodes that own requests."""

import attrs

from flamingoshelf.dispatch._types import Grant, PlacementRequest
from flamingoshelf.nodes import message
from flamingoshelf.refusals import Refusal

__all__ = [
    "AcquirePlace",
    "HeldReply",
    "PlaceGranted",
    "PlaceRefused",
    "PlaceUpdate",
    "QueryHeld",
    "RegisterGrants",
    "RenewGrants",
    "RenewReply",
]


@message
@attrs.frozen(kw_only=True)
class AcquirePlace:
    """Request for a place; the dispatcher replies once it has decided."""

    request: PlacementRequest


@message
@attrs.frozen(kw_only=True)
class PlaceGranted:
    """Reply to `AcquirePlace`: the grant."""

    grant: Grant


@message
@attrs.frozen(kw_only=True)
class PlaceRefused:
    """Reply to `AcquirePlace`: the refusal."""

    refusal: Refusal


@message
@attrs.frozen(kw_only=True)
class PlaceUpdate:
    """Notification about ended work and failed servers; may be lost or repeated.

    Parameters
    ----------
    model : str
        Model whose dispatcher is notified.
    released : tuple of str
        Ids of released grants and of withdrawn requests.
    prefilled : tuple of str
        Ids whose prefill has ended.
    failed : tuple of str
        Backend servers at which a request failed.
    """

    model: str
    released: tuple[str, ...] = ()
    prefilled: tuple[str, ...] = ()
    failed: tuple[str, ...] = ()


@message
@attrs.frozen(kw_only=True)
class RenewGrants:
    """Renewal of all grants that the sender holds for a model."""

    model: str
    held: tuple[str, ...]


@message
@attrs.frozen(kw_only=True)
class RenewReply:
    """Reply to `RenewGrants`: the ids without an active grant at the dispatcher."""

    unknown: tuple[str, ...]


@message
@attrs.frozen(kw_only=True)
class RegisterGrants:
    """Registration of grants that the dispatcher does not have."""

    model: str
    grants: tuple[Grant, ...]


@message
@attrs.frozen(kw_only=True)
class QueryHeld:
    """Query which of these attempts a node holds, directly or through a relay.

    Parameters
    ----------
    ids : tuple of str
        Ids of attempts.
    ask : str
        VM name of the node to which the receiver relays the query; empty for the receiver itself.
    """

    ids: tuple[str, ...]
    ask: str = ""


@message
@attrs.frozen(kw_only=True)
class HeldReply:
    """Reply to `QueryHeld`: the held ids, and whether the queried node was reached."""

    held: tuple[str, ...]
    was_reached: bool = True
