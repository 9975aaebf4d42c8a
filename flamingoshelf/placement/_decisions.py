"""Decisions of a dispatcher and its record of an active turn."""

import attrs

from flamingoshelf.placement._types import PlacementRequest, Turn
from flamingoshelf.refusals import Refusal

__all__ = ["ActiveTurn", "DecodeChosen", "Decision", "TurnDecided"]


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
