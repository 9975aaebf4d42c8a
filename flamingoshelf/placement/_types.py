"""Placement requests, the turns granted for them, and the `Placer` interface."""

from enum import StrEnum
from typing import Protocol

import attrs

from flamingoshelf.placement._health import FailureKind
from flamingoshelf.refusals import Refusal

__all__ = [
    "DecodeRun",
    "PlacementRequest",
    "Placer",
    "RunOutcome",
    "Turn",
    "new_turn_id",
    "request_id_of",
]


def new_turn_id(request_id: str, number: int) -> str:
    """Return the identifier of one turn of a request.

    Each turn of a request has its own identifier, so that a late message about one turn doesn't
    affect another.

    Examples
    --------
    >>> request_id_of(new_turn_id("9c41", 2))
    '9c41'
    """
    return f"{request_id}#{number}"


def request_id_of(turn_id: str) -> str:
    """Return the identifier of the request that a turn belongs to."""
    return turn_id.rpartition("#")[0] or turn_id


@attrs.frozen(kw_only=True)
class PlacementRequest:
    """A request for a turn: time at a prefill engine and memory at a decode engine.

    Times are relative to the present, since the clocks of two nodes are not comparable.

    Parameters
    ----------
    turn_id : str
        Identifier of the turn, unique among the turns of all requests.
    service : str
        Service whose engines may run the request.
    workspace : str
        Workspace that the request is charged to, or an empty string.
    priority : int
        Priority; 0 is the most urgent.
    prompt_tokens, expected_tokens : int
        Tokens of the prompt, and the caller's estimate of the tokens of the answer.
    resumed_events : int
        Events of the answer that the caller has received; their tokens belong to the prompt now.
    charge_tokens : float
        Tokens that are charged to the rate limit of the workspace.
    goal_left_s : float
        Seconds left for the first event to meet its latency goal; negative if the goal is missed.
    wait_left_s : float
        Seconds until the caller gives up if there is no first event.
    deadline_left_s : float
        Seconds until the whole answer must be complete.
    avoid : tuple of str
        Engines to avoid: they failed this request, or are excluded.
    exclude : tuple of str
        Engines of `avoid` that can't run this request now. The others may be used again if no other
        engine is left.
    repeat_cost : int
        Engine calls of this turn that repeat earlier calls of the request; 0 for a first attempt.
    is_resumed : bool
        Whether the caller already received a part of the answer.
    content : str
        Digest of the request's content; it identifies a refused request that is sent again.
    version : str
        Software version that alone can continue the stream, or an empty string.
    """

    turn_id: str
    service: str
    workspace: str = ""
    priority: int = 0
    prompt_tokens: int
    expected_tokens: int
    resumed_events: int = 0
    charge_tokens: float = 0.0
    goal_left_s: float
    wait_left_s: float
    deadline_left_s: float
    avoid: tuple[str, ...] = ()
    exclude: tuple[str, ...] = ()
    repeat_cost: int = 0
    is_resumed: bool = False
    content: str = ""
    version: str = ""


@attrs.frozen(kw_only=True)
class Turn:
    """A turn at a prefill engine, with memory reserved at a decode engine.

    Parameters
    ----------
    turn_id, service : str
        Identifier of the turn, and the service whose engines it uses.
    prefill_id : str or None
        Prefill engine; None if the decode engine processes the prompt itself.
    decode_id : str
        Decode engine that is expected to have room; the final choice is made after the prefill.
    is_late : bool
        Whether the latency goal of the first event can no longer be met.
    prefill_s : float
        Expected seconds until the prefill is done, including the work queued before it; 0 if the
        speed of the engine isn't measured yet.
    """

    turn_id: str
    service: str
    prefill_id: str | None
    decode_id: str
    is_late: bool = False
    prefill_s: float = 0.0


@attrs.frozen(kw_only=True)
class DecodeRun:
    """A request that runs or is about to run at a decode engine.

    Parameters
    ----------
    turn_id : str
        Turn of the request.
    decode_id : str
        Decode engine.
    prompt_tokens, expected_tokens : int
        Tokens of the prompt, and the estimated tokens of the answer.
    resumed_events : int
        Events of the answer that came from earlier runs; their tokens belong to the prompt.
    age_s : float
        Seconds since the first event; negative if there was none yet.
    """

    turn_id: str
    decode_id: str
    prompt_tokens: int
    expected_tokens: int
    resumed_events: int = 0
    age_s: float = -1.0


class RunOutcome(StrEnum):
    """How a turn ended at its decode engine."""

    COMPLETE = "complete"  # the engine ran the request to its end
    ENDED = "ended"  # it didn't finish the request and holds no memory for it
    LOST = "lost"  # it may still run the request, but the answer was lost


class Placer(Protocol):
    """Places requests on engines."""

    async def acquire(self, request: PlacementRequest) -> Turn | Refusal:
        """Return a granted turn or a refusal, once the dispatcher has decided."""

    async def confirm(self, turn: Turn) -> str | None:
        """Return the decode engine for a processed prompt, or None if none has room in time."""

    def record_prefill(self, turn: Turn, *, seconds: float) -> None:
        """Report that the prefill is done; it took `seconds`."""

    def record_slow_prefill(self, turn: Turn, *, seconds: float) -> None:
        """Report that the prefill wasn't done after `seconds`."""

    def record_start(self, turn: Turn) -> None:
        """Report the first event of the answer."""

    def release(self, turn: Turn, *, events: int, seconds: float, outcome: RunOutcome) -> None:
        """Release the turn; `events` came, the last of them `seconds` after the first."""

    def record_failure(
        self, service: str, engine_id: str, kind: FailureKind, *, detail: str
    ) -> None:
        """Report that an engine failed a call."""

    def record_rejection(self, service: str, engine_id: str) -> None:
        """Report that an engine refused work for lack of room."""
