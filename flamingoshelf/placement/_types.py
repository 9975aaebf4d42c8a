"""What is asked of a dispatcher, and what it grants."""

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
    "request_of",
]


def new_turn_id(request_id: str, number: int) -> str:
    """Return the identifier of a request's turn, so that late messages on one touch no other.

    Examples
    --------
    >>> request_of(new_turn_id("9c41", 2))
    '9c41'
    """
    return f"{request_id}#{number}"


def request_of(turn_id: str) -> str:
    """Return the identifier of the request that a turn is for."""
    return turn_id.rpartition("#")[0] or turn_id


@attrs.frozen(kw_only=True)
class PlacementRequest:
    """A request for a turn at a prefill engine and memory at a decode engine.

    Times are relative, since the clocks of two nodes have nothing in common.

    Parameters
    ----------
    turn_id : str
        Identifier of what is asked for, unique among the turns of all requests.
    service : str
        Service whose engines may run it.
    workspace : str
        Workspace that it runs for, or an empty text.
    priority : int
        Rank; 0 is the most urgent.
    prompt_tokens, expected_tokens : int
        Tokens of the prompt, and of the answer by the caller's estimate.
    charge_tokens : float
        Tokens that it counts as against its workspace's limit.
    goal_left_s : float
        Seconds until its first event is late; negative if it is late already.
    wait_left_s : float
        Seconds until its caller leaves if there is no first event.
    deadline_left_s : float
        Seconds until the whole answer has to be there.
    avoid : tuple of str
        Engines that failed it before.
    repeat_cost : int
        Calls to engines that this turn takes beyond the first ones of the request.
    is_resumed : bool
        Whether its caller has a part of the answer.
    content : str
        Digest of what is asked, by which a caller that comes back is recognised.
    """

    turn_id: str
    service: str
    workspace: str = ""
    priority: int = 0
    prompt_tokens: int
    expected_tokens: int
    charge_tokens: float = 0.0
    goal_left_s: float
    wait_left_s: float
    deadline_left_s: float
    avoid: tuple[str, ...] = ()
    repeat_cost: int = 0
    is_resumed: bool = False
    content: str = ""


@attrs.frozen(kw_only=True)
class Turn:
    """A turn at a prefill engine, with memory reserved at a decode engine.

    Parameters
    ----------
    turn_id, service : str
        Its identifier, and the service that it is for.
    prefill_id : str or None
        Prefill engine; None if the decode engine processes the prompt itself.
    decode_id : str
        Decode engine that is expected to have room; the choice is made after the prefill.
    is_late : bool
        Whether the goal can't be met any more.
    prefill_s : float
        Seconds that the prefill is expected to take, with what the engine has to do before it.
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
        Its turn.
    decode_id : str
        Engine.
    prompt_tokens, expected_tokens : int
        Its size.
    age_s : float
        Seconds since its first event, or negative if there was none yet.
    """

    turn_id: str
    decode_id: str
    prompt_tokens: int
    expected_tokens: int
    age_s: float = -1.0


class RunOutcome(StrEnum):
    """What became of a turn at its decode engine."""

    COMPLETE = "complete"  # the engine ran the request to its end
    ENDED = "ended"  # it did not run it, or not to its end, and holds nothing for it
    LOST = "lost"  # it may run it to its end, though nobody gets the answer


class Placer(Protocol):
    """Places requests on engines."""

    async def acquire(self, request: PlacementRequest) -> Turn | Refusal:
        """Wait for a turn."""

    async def confirm(self, turn: Turn) -> str | None:
        """Return the decode engine after the prefill, or None if none will have room in time."""

    def note_prefill(self, turn: Turn, *, seconds: float) -> None:
        """Report that the prefill engine is done."""

    def note_start(self, turn: Turn) -> None:
        """Report the first event."""

    def release(self, turn: Turn, *, tokens: int, seconds: float, outcome: RunOutcome) -> None:
        """Give the turn back; `tokens` were generated in `seconds` after the first event."""

    def note_failure(self, service: str, engine_id: str, kind: FailureKind, *, detail: str) -> None:
        """Report an engine that failed a call."""

    def note_rejection(self, service: str, engine_id: str) -> None:
        """Report an engine that refused work for lack of room."""
