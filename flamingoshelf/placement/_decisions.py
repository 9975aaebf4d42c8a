"""Decisions of a dispatcher and its record of an active turn."""

import attrs

from flamingoshelf.placement._types import DecodeRun, PlacementRequest, Turn
from flamingoshelf.refusals import Refusal

__all__ = [
    "ActiveTurn",
    "DecodeChosen",
    "Decision",
    "TurnDecided",
    "registered_turn",
    "with_resumed_tokens",
]


@attrs.frozen(kw_only=True)
class TurnDecided:
    """A queued request was granted a turn or refused."""

    turn_id: str
    owner: str
    outcome: Turn | Refusal


@attrs.frozen(kw_only=True)
class DecodeChosen:
    """A processed prompt got a decode engine; `decode_id` is None if none has room in time."""

    turn_id: str
    owner: str
    decode_id: str | None


Decision = TurnDecided | DecodeChosen


@attrs.define(kw_only=True)
class ActiveTurn:
    """A turn that was granted and is not released yet."""

    turn: Turn
    request: PlacementRequest
    owner: str
    granted_s: float
    decode_id: str
    prefilled_s: float | None = None  # end of the prefill, until the first event
    confirm_by_s: float | None = None  # set while the processed prompt waits for room

    def ends_before(self, time_s: float) -> bool:
        """Return whether the caller waits no longer than until a time, as far as that is known."""
        left_s = self.request.deadline_left_s
        return 0 < left_s <= time_s - self.granted_s


def with_resumed_tokens(
    request: PlacementRequest, tokens_per_event: float | None
) -> PlacementRequest:
    """Count the tokens of events that the caller has received as prompt instead of answer."""
    tokens = round(request.resumed_events * (tokens_per_event or 0.0))
    if not tokens:
        return request
    return attrs.evolve(
        request,
        prompt_tokens=request.prompt_tokens + tokens,
        expected_tokens=max(1, request.expected_tokens - tokens),
    )


def registered_turn(
    run: DecodeRun, *, service: str, owner: str, now_s: float, tokens_per_event: float | None
) -> ActiveTurn:
    """Return the turn of a run that another dispatcher granted."""
    request = PlacementRequest(
        turn_id=run.turn_id,
        service=service,
        prompt_tokens=run.prompt_tokens,
        expected_tokens=run.expected_tokens,
        resumed_events=run.resumed_events,
        goal_left_s=0.0,
        wait_left_s=0.0,
        deadline_left_s=0.0,
    )
    return ActiveTurn(
        turn=Turn(turn_id=run.turn_id, service=service, prefill_id=None, decode_id=run.decode_id),
        request=with_resumed_tokens(request, tokens_per_event),
        owner=owner,
        granted_s=now_s,
        decode_id=run.decode_id,
    )
