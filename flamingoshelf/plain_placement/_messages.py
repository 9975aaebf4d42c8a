"""Messages by which nodes have plain calls placed by the coordinator."""

import math

import attrs

from flamingoshelf.nodes import message
from flamingoshelf.plain_placement._costs import CallKind
from flamingoshelf.plain_placement._types import CallId, Outcome, PlacementRequest

__all__ = [
    "HOLD_S",
    "MAX_HOLD_S",
    "EndedCall",
    "PlacePlainCall",
    "PlainCallPlaced",
    "PlainCallsEnded",
    "RunningPlainCall",
]

HOLD_S = 0.05  # for which a request is held; its node asks again after that
MAX_HOLD_S = 0.5
_MAX_TIME_S = 3600.0
_MAX_BODY_BYTES = 1 << 40


@message
@attrs.frozen(kw_only=True)
class PlacePlainCall:
    """Request for a server, also repeated while the call waits.

    Parameters
    ----------
    call : int
        Number of the call at its node.
    service, route, method, workspace : str
        What its cost depends on, with `body_bytes`.
    body_bytes : int
        Size of the request's body.
    data_centre : str
        Data centre of the node.
    excluded : tuple of str
        Servers that the call can't be sent to.
    priority : int
        Priority; 0 is the most urgent.
    goal_left_s, left_s : float
        Seconds until its latency goal and until its caller leaves.
    hold_s : float
        Seconds after which the reply may say that the call waits.
    """

    call: int
    service: str
    route: str = ""
    method: str = ""
    workspace: str = ""
    body_bytes: int = 0
    data_centre: str = ""
    excluded: tuple[str, ...] = ()
    priority: int = 0
    goal_left_s: float = 0.0
    left_s: float = 0.0
    hold_s: float = HOLD_S

    @property
    def sound_hold_s(self) -> float:
        """The hold, or the usual one if it isn't one that a node asks for."""
        return self.hold_s if 0 <= self.hold_s <= MAX_HOLD_S else HOLD_S

    def to_request(self, owner: str, now: float) -> PlacementRequest:
        """Return the request by this node's clock.

        Raises
        ------
        ValueError
            A value isn't one that a node can mean.
        """
        if not (abs(self.goal_left_s) <= _MAX_TIME_S and abs(self.left_s) <= _MAX_TIME_S):
            raise ValueError("time out of range")
        if not 0 <= self.body_bytes <= _MAX_BODY_BYTES:
            raise ValueError("size out of range")
        return PlacementRequest(
            call=CallId(owner=owner, number=self.call),
            kind=CallKind(
                service=self.service,
                route=self.route,
                method=self.method,
                workspace=self.workspace,
                body_bytes=self.body_bytes,
            ),
            data_centre=self.data_centre,
            excluded=frozenset(self.excluded),
            priority=self.priority,
            goal_s=now + self.goal_left_s,
            deadline_s=now + self.left_s,
        )


@message
@attrs.frozen(kw_only=True)
class PlainCallPlaced:
    """Reply: a server, a refusal, that the call waits, or none of these if no server is known.

    Parameters
    ----------
    server : str
        Server that the call is granted, empty if there is none.
    retry_after_s : float or None
        Seconds after which there is room for a refused call.
    waits : bool
        Whether the call waits; its node asks again at once.
    expected_s : float
        Expected seconds at the server.
    running, waiting : int
        Calls at the server before this one, and those that wait.
    has_moved : bool
        Whether another node coordinates; it isn't known here which one.
    is_declined : bool
        Whether the coordinator places no plain calls.
    """

    server: str = ""
    retry_after_s: float | None = None
    waits: bool = False
    expected_s: float = 0.0
    running: int = 0
    waiting: int = 0
    has_moved: bool = False
    is_declined: bool = False


@attrs.frozen(kw_only=True)
class EndedCall:
    """End of a call.

    Parameters
    ----------
    call : int
        Number of the call at its node.
    service, outcome : str
        Its service, and how it ended.
    duration_s : float or None
        Seconds until the answer, None if none was received.
    pause_s : float
        Seconds for which the server wants no calls.
    """

    call: int
    service: str
    outcome: str
    duration_s: float | None = None
    pause_s: float = 0.0

    @property
    def known_outcome(self) -> Outcome | None:
        """The outcome, or None if this version doesn't know it."""
        return Outcome(self.outcome) if self.outcome in set(Outcome) else None

    @property
    def sound_duration_s(self) -> float | None:
        """The duration, or None if it isn't one that a call can have."""
        duration_s = self.duration_s
        if duration_s is None or not 0 <= duration_s <= _MAX_TIME_S:
            return None
        return duration_s if math.isfinite(duration_s) else None

    @property
    def sound_pause_s(self) -> float:
        """The pause, or 0 if it isn't one that a server can ask for."""
        return self.pause_s if 0 <= self.pause_s <= _MAX_TIME_S else 0.0


@attrs.frozen(kw_only=True)
class RunningPlainCall:
    """A call that runs at a server, told to a new coordinator."""

    call: int
    service: str
    server: str
    route: str = ""
    age_s: float = 0.0
    left_s: float = 0.0


@message
@attrs.frozen(kw_only=True)
class PlainCallsEnded:
    """Calls of a node that have ended, and those that run.

    Parameters
    ----------
    ended : tuple of EndedCall
        Calls that have ended.
    running : tuple of RunningPlainCall
        Calls that run.
    is_complete : bool
        Whether no other call of the node runs.
    """

    ended: tuple[EndedCall, ...] = ()
    running: tuple[RunningPlainCall, ...] = ()
    is_complete: bool = False
