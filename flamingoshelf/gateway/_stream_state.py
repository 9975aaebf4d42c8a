"""Progress of one streamed request, and the refusals that it may end with."""

import attrs

from flamingoshelf.gateway._admission import AdmittedRequest
from flamingoshelf.gateway._stream_relay import RelayResult, StreamRelay
from flamingoshelf.placement import RunOutcome
from flamingoshelf.refusals import Refusal, RefusalReason
from flamingoshelf.routing import BackendInstance

__all__ = ["StreamState", "final_refusal", "pause_refusal", "run_outcome"]

_FULL_RETRY_AFTER_S = 0.4  # about the interval at which a decode engine finishes a run


@attrs.define(kw_only=True)
class StreamState:
    """Progress of one request over all turns.

    Attributes
    ----------
    turns : int
        Number of turns used.
    sent : int
        Number of decode engines that may have run the request.
    avoid : set of str
        Keys of engines to avoid: they failed, or are not listed at this node.
    paused : set of str
        Keys of engines that have asked this node for a pause.
    is_answer_lost : bool
        Whether the current decode engine may run on after its answer was lost before any event.
    """

    request: AdmittedRequest
    service: str
    relay: StreamRelay
    turns: int = 0
    sent: int = 0
    avoid: set[str] = attrs.field(factory=set)
    paused: set[str] = attrs.field(factory=set)
    is_charged: bool = False
    prefill_engine: BackendInstance | None = None
    is_answer_lost: bool = False
    has_called_prefill: bool = False
    has_called_decode: bool = False

    @property
    def repeat_cost(self) -> int:
        """Number of engine calls in the next turn that repeat an earlier call."""
        return int(self.has_called_prefill) + int(self.has_called_decode)


def final_refusal(state: StreamState, *, remaining_s: float) -> Refusal:
    """Return the refusal of a request for which no further turn is tried."""
    if remaining_s <= 0:
        detail, reason, status = "No time is left.", RefusalReason.DEADLINE_UNREACHABLE, 504
    elif state.sent:
        detail, reason, status = "The engine gave no answer.", RefusalReason.BACKEND_FAILED, 502
    else:
        detail, reason, status = "The engines are full.", RefusalReason.QUEUE_FULL, 503
    return Refusal(
        reason=reason,
        status=status,
        detail=detail,
        not_run=state.sent == 0,
        retry_after_s=_FULL_RETRY_AFTER_S,
        step="decode",
    )


def pause_refusal(service: str, pause_s: float) -> Refusal:
    """Return the refusal while all engines of a role want nothing from this node."""
    return Refusal(
        reason=RefusalReason.QUEUE_FULL,
        status=503,
        detail=f"The engines of {service} have asked for a pause.",
        not_run=True,
        retry_after_s=pause_s,
        step="place",
    )


def run_outcome(state: StreamState, result: RelayResult | None) -> RunOutcome:
    """Return how a turn ended at its decode engine."""
    if result is RelayResult.COMPLETE:
        return RunOutcome.COMPLETE
    return RunOutcome.LOST if state.is_answer_lost else RunOutcome.ENDED
