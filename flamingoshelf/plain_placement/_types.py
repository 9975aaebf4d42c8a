"""Types of the placement of plain calls."""

import math
from enum import StrEnum
from typing import Protocol

import attrs

from flamingoshelf.plain_placement._costs import CallKind

__all__ = ["CallId", "Outcome", "PlacedServer", "Placement", "PlacementRequest"]


@attrs.frozen(kw_only=True, cache_hash=True)
class CallId:
    """Identity of one attempt of a call.

    Parameters
    ----------
    owner : str
        Node that sends the call.
    number : int
        Number that the owner has given it.
    """

    owner: str
    number: int


class Outcome(StrEnum):
    """How a call to a server ended."""

    ANSWERED = "answered"
    FAILED = "failed"  # answered with a server failure, or lost
    REJECTED = "rejected"  # not run, as the server takes no more
    NOT_SENT = "not sent"
    WITHDRAWN = "withdrawn"  # the node no longer wants its answer


class PlacedServer(Protocol):
    """Properties of a server that the placement uses."""

    @property
    def key(self) -> str:
        """Identity of the server."""

    @property
    def data_centre(self) -> str:
        """Data centre of the server."""

    @property
    def slots(self) -> int:
        """Calls that the server runs at the same time."""

    @property
    def started_ms(self) -> int:
        """Start of its run, in Unix milliseconds."""


@attrs.frozen(kw_only=True)
class PlacementRequest:
    """A call that wants a server.

    Parameters
    ----------
    call : CallId
        Identity of the call.
    kind : CallKind
        What its cost depends on.
    data_centre : str
        Data centre of its node.
    excluded : frozenset of str
        Servers that it can't be sent to.
    priority : int
        Priority; 0 is the most urgent.
    goal_s, deadline_s : float
        Times of its latency goal, and until which its caller waits.
    """

    call: CallId
    kind: CallKind
    data_centre: str = ""
    excluded: frozenset[str] = frozenset()
    priority: int = 0
    goal_s: float = math.inf
    deadline_s: float = math.inf


@attrs.frozen(kw_only=True)
class Placement:
    """Decision about a call: a server, a refusal, or neither if no server is known for it.

    Parameters
    ----------
    server : str or None
        Server that the call is granted.
    retry_after_s : float or None
        Seconds after which there is room for a refused call; None if it isn't refused.
    expected_s : float
        Expected seconds at the server.
    running, waiting : int
        Calls at the server before this one, and those that wait for any.
    """

    server: str | None = None
    retry_after_s: float | None = None
    expected_s: float = 0.0
    running: int = 0
    waiting: int = 0
