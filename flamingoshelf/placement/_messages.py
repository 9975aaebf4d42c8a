"""Messages between the nodes that own requests and the one that places them."""

import attrs

from flamingoshelf.nodes import message
from flamingoshelf.placement._health import FailureKind
from flamingoshelf.placement._types import DecodeRun, PlacementRequest, RunOutcome, Turn
from flamingoshelf.refusals import Refusal

__all__ = [
    "AcquireTurn",
    "ConfirmDecode",
    "DecodeConfirmed",
    "EndedRun",
    "FailedEngine",
    "HeldTurns",
    "HeldTurnsReply",
    "OwnerReport",
    "OwnerReportReply",
    "PrefilledPrompt",
    "RegisterRuns",
    "TurnGranted",
    "TurnRefused",
    "TurnUpdates",
]


@message
@attrs.frozen(kw_only=True)
class AcquireTurn:
    """Asks for a turn; answered once there is a decision."""

    request: PlacementRequest


@message
@attrs.frozen(kw_only=True)
class TurnGranted:
    """The turn that was asked for."""

    turn: Turn


@message
@attrs.frozen(kw_only=True)
class TurnRefused:
    """Why there is no turn."""

    refusal: Refusal


@message
@attrs.frozen(kw_only=True)
class ConfirmDecode:
    """Asks for the decode engine of a processed prompt."""

    service: str
    turn_id: str


@message
@attrs.frozen(kw_only=True)
class DecodeConfirmed:
    """The decode engine of a processed prompt.

    Parameters
    ----------
    decode_id : str
        Engine, or an empty text if none has room in time.
    is_known : bool
        Whether the dispatcher knows the turn; a successor may not have heard of it yet.
    """

    decode_id: str = ""
    is_known: bool = True


@attrs.frozen(kw_only=True)
class PrefilledPrompt:
    """A prompt that was processed, and the time that it took."""

    turn_id: str
    seconds: float


@attrs.frozen(kw_only=True)
class EndedRun:
    """A turn that is given back.

    Parameters
    ----------
    turn_id : str
        The turn.
    tokens : int
        Tokens that were generated.
    seconds : float
        Time that they took.
    outcome : RunOutcome
        What became of the request at its decode engine.
    """

    turn_id: str
    tokens: int = 0
    seconds: float = 0.0
    outcome: RunOutcome = RunOutcome.ENDED


@attrs.frozen(kw_only=True)
class FailedEngine:
    """An engine that failed a request."""

    engine_id: str
    kind: FailureKind
    detail: str


@message
@attrs.frozen(kw_only=True)
class TurnUpdates:
    """What became of a node's turns."""

    service: str
    prefilled: tuple[PrefilledPrompt, ...] = ()
    started: tuple[str, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    failed: tuple[FailedEngine, ...] = ()
    rejected: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class HeldTurns:
    """The turns of one service that a node holds, so that lost updates do no lasting harm."""

    service: str
    turn_ids: tuple[str, ...]


@message
@attrs.frozen(kw_only=True)
class OwnerReport:
    """What a node tells its coordinator from time to time.

    Parameters
    ----------
    held : tuple of HeldTurns
        The turns that it holds, by service.
    spent : dict
        Tokens of plain calls that it let through since its last report, by workspace.
    """

    held: tuple[HeldTurns, ...] = ()
    spent: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class HeldTurnsReply:
    """The turns of a service that its dispatcher does not know."""

    service: str
    unknown: tuple[str, ...] = ()


@message
@attrs.frozen(kw_only=True)
class OwnerReportReply:
    """Answer to a report.

    Parameters
    ----------
    held : tuple of HeldTurnsReply
        Turns that the dispatchers do not know.
    exhausted : dict
        Workspaces without tokens, each with the seconds until it has some.
    """

    held: tuple[HeldTurnsReply, ...] = ()
    exhausted: dict[str, float] = attrs.field(factory=dict)


@message
@attrs.frozen(kw_only=True)
class RegisterRuns:
    """Runs that a dispatcher does not know of."""

    service: str
    runs: tuple[DecodeRun, ...]
