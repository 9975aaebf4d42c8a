"""Messages between the nodes that own requests and dispatchers."""

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
    """Asks a dispatcher for a place; the reply comes when it is decided."""

    request: PlacementRequest


@message
@attrs.frozen(kw_only=True)
class PlaceGranted:
    """Reply: the place."""

    grant: Grant


@message
@attrs.frozen(kw_only=True)
class PlaceRefused:
    """Reply: why there is no place."""

    refusal: Refusal


@message
@attrs.frozen(kw_only=True)
class PlaceUpdate:
    """Notification of what an owner no longer needs; it may be lost or repeated.

    Parameters
    ----------
    released : tuple of str
        Ids of grants given back and of requests withdrawn.
    prefilled : tuple of str
        Ids whose turn at the prefill engine is over.
    failed : tuple of str
        Backend servers that failed a request.
    """

    model: str
    released: tuple[str, ...] = ()
    prefilled: tuple[str, ...] = ()
    failed: tuple[str, ...] = ()


@message
@attrs.frozen(kw_only=True)
class RenewGrants:
    """Renews all grants that the sender holds for a model."""

    model: str
    held: tuple[str, ...]


@message
@attrs.frozen(kw_only=True)
class RenewReply:
    """Reply: the ids that the dispatcher does not know."""

    unknown: tuple[str, ...]


@message
@attrs.frozen(kw_only=True)
class RegisterGrants:
    """Tells a dispatcher of grants that it does not know."""

    model: str
    grants: tuple[Grant, ...]


@message
@attrs.frozen(kw_only=True)
class QueryHeld:
    """Asks which of these attempts the receiver, or the peer it is to ask, holds.

    Parameters
    ----------
    ids : tuple of str
        Ids of attempts.
    ask : str
        VM name of the node to ask in turn; empty for the receiver itself.
    """

    ids: tuple[str, ...]
    ask: str = ""


@message
@attrs.frozen(kw_only=True)
class HeldReply:
    """Reply: the ids that are held, and whether the node in question was reached."""

    held: tuple[str, ...]
    was_reached: bool = True
