"""Messages between the nodes that own requests and the coordinator that places them."""

import attrs

from flamingoshelf.nodes import message
from flamingoshelf.placement._engine_model import EngineModelState
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
    """Request for a turn; answered once the dispatcher has decided."""

    request: PlacementRequest


@message
@attrs.frozen(kw_only=True)
class TurnGranted:
    """Reply with the granted turn."""

    turn: Turn


@message
@attrs.frozen(kw_only=True)
class TurnRefused:
    """Reply with the reason for which no turn was granted."""

    refusal: Refusal


@message
@attrs.frozen(kw_only=True)
class ConfirmDecode:
    """Request for the decode engine of a processed prompt."""

    service: str
    turn_id: str


@message
@attrs.frozen(kw_only=True)
class DecodeConfirmed:
    """Reply with the decode engine of a processed prompt.

    Parameters
    ----------
    decode_id : str
        Decode engine, or an empty string if none has room in time.
    is_known : bool
        Whether the dispatcher knows the turn; a new coordinator may not know it yet.
    """

    decode_id: str = ""
    is_known: bool = True


@attrs.frozen(kw_only=True)
class PrefilledPrompt:
    """A processed prompt and the seconds that its prefill took."""

    turn_id: str
    seconds: float


@attrs.frozen(kw_only=True)
class EndedRun:
    """A released turn.

    Parameters
    ----------
    turn_id : str
        Identifier of the turn.
    tokens : int
        Number of generated tokens, for dispatchers of earlier versions: they don't measure it.
    events : int
        Number of events of the answer in this turn.
    seconds : float
        Seconds from the first event to the last.
    outcome : RunOutcome
        How the request ended at its decode engine.
    """

    turn_id: str
    tokens: int = 0
    events: int = 0
    seconds: float = 0.0
    outcome: RunOutcome = RunOutcome.ENDED


@attrs.frozen(kw_only=True)
class FailedEngine:
    """An engine that failed a call, with the kind of the failure."""

    engine_id: str
    kind: FailureKind
    detail: str


@message
@attrs.frozen(kw_only=True)
class TurnUpdates:
    """Progress of a node's turns and failures of engines, since the last update."""

    service: str
    prefilled: tuple[PrefilledPrompt, ...] = ()
    slow: tuple[PrefilledPrompt, ...] = ()  # prefills that timed out, with their timeouts
    started: tuple[str, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    failed: tuple[FailedEngine, ...] = ()
    rejected: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class HeldTurns:
    """The turns of one service that a node holds; corrects for lost updates."""

    service: str
    turn_ids: tuple[str, ...]


@message
@attrs.frozen(kw_only=True)
class OwnerReport:
    """Periodic report of a node to its coordinator.

    Parameters
    ----------
    held : tuple of HeldTurns
        Turns that the node holds, by service.
    spent : dict
        Tokens of plain calls that the node admitted since its last report, by workspace.
    models : tuple of EngineModelState
        Measurements of engines that the node remembers; sent to a new coordinator.
    known_measurements : dict
        Number of measurements that the node remembers, by service.
    """

    held: tuple[HeldTurns, ...] = ()
    spent: dict[str, int] = attrs.field(factory=dict)
    models: tuple[EngineModelState, ...] = ()
    known_measurements: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class HeldTurnsReply:
    """Reported turns of a service that its dispatcher doesn't know."""

    service: str
    unknown: tuple[str, ...] = ()


@message
@attrs.frozen(kw_only=True)
class OwnerReportReply:
    """Reply to an `OwnerReport`.

    Parameters
    ----------
    held : tuple of HeldTurnsReply
        Reported turns that the dispatchers don't know.
    exhausted : dict
        Workspaces that have used up their tokens, each with the seconds until it has some.
    models : tuple of EngineModelState
        Measurements of engines for the node to remember, if there are many new ones.
    """

    held: tuple[HeldTurnsReply, ...] = ()
    exhausted: dict[str, float] = attrs.field(factory=dict)
    models: tuple[EngineModelState, ...] = ()


@message
@attrs.frozen(kw_only=True)
class RegisterRuns:
    """Runs of a node that the dispatcher doesn't know, as after a change of coordinator."""

    service: str
    runs: tuple[DecodeRun, ...]
