"""Progress of one plain call, and the refusals that it may end with."""

import attrs

from flamingoshelf.gateway._admission import AdmittedRequest
from flamingoshelf.gateway._backend_response import NotRunError, ServerPausedError
from flamingoshelf.gateway._plain_attempt import PlainAttempt
from flamingoshelf.gateway._refusals import SHUTTING_DOWN, evacuated_refusal
from flamingoshelf.http1 import Exchange, NoFreeConnectionError
from flamingoshelf.plain_placement import PlacedCall
from flamingoshelf.refusals import Refusal, RefusalReason
from flamingoshelf.utils import now_s

__all__ = ["PlainState", "final_refusal"]

_NO_SERVER_RETRY_AFTER_S = 0.3  # a restarted server is listed again after about 1 s
_REJECTED_RETRY_AFTER_S = 0.1  # a server's queue empties within a few calls of 20 ms


@attrs.define(kw_only=True)
class PlainState:
    """Progress of one request over all attempts.

    Attributes
    ----------
    attempts : list of PlainAttempt
        All calls so far, in the order in which they began.
    sent : int
        Number of ended calls whose servers may have run the request.
    rejections : int
        Number of servers that refused the request without running it.
    is_out_of_time : bool
        Whether too little time is left for another attempt.
    is_too_late : bool
        Whether this node stops before another attempt would probably end.
    is_patient : bool
        Whether further calls wait for connections, as new ones to all servers are slow.
    failure : PlainAttempt or None
        Call with a failure status, which the caller gets if no other server answers.
    last_error : Exception or None
        Last error of an attempt.
    pause_s : float or None
        Seconds until the first server takes requests again, if all have asked for a pause.
    limit_wait_s : float or None
        Seconds until a server accepts another request, if all that can be used are at their limits.
    is_evacuated : bool
        Whether evacuations left the service without servers when one was last chosen.
    room_wait_s : float or None
        Seconds until there is room for the request, if the coordinator has refused it.
    quarantine : Refusal or None
        Refusal of the request if its content was quarantined while it waited for a server.
    placed : PlacedCall or None
        Decision of the coordinator about the call that is about to begin.
    """

    exchange: Exchange
    request: AdmittedRequest
    service: str
    attempts: list[PlainAttempt] = attrs.field(factory=list)
    sent: int = 0
    rejections: int = 0
    is_out_of_time: bool = False
    is_too_late: bool = False
    is_patient: bool = False
    failure: PlainAttempt | None = None
    last_error: Exception | None = None
    pause_s: float | None = None
    limit_wait_s: float | None = None
    is_evacuated: bool = False
    room_wait_s: float | None = None
    quarantine: Refusal | None = None
    placed: PlacedCall | None = None

    @property
    def running(self) -> list[PlainAttempt]:
        """Calls without an outcome."""
        return [attempt for attempt in self.attempts if not attempt.is_ended]

    @property
    def tried(self) -> frozenset[str]:
        """Keys of the servers called so far, except those that a patient call may be sent to."""
        return frozenset(
            attempt.key
            for attempt in self.attempts
            if not (self.is_patient and attempt.found_no_connection)
        )

    @property
    def remaining_s(self) -> float:
        """Seconds until the caller must have an answer."""
        return self.request.answer_by_s - now_s()

    @property
    def may_have_run(self) -> int:
        """Number of servers that may have run the request, or may be running it."""
        return self.sent + len(self.running)

    @property
    def was_sent(self) -> bool:
        """Whether a server has received the request, so that the next call is a repeat of it."""
        error = self.last_error
        was_held_back = isinstance(error, ServerPausedError) and not error.was_sent
        return self.may_have_run > 0 or (isinstance(error, NotRunError) and not was_held_back)


def final_refusal(state: PlainState) -> Refusal:
    """Return the refusal of a request that no server answered."""
    if state.sent:
        return _no_answer_refusal(state)
    if state.quarantine is not None:
        return state.quarantine
    if state.is_too_late:
        return SHUTTING_DOWN
    if state.is_out_of_time:
        return _not_run_refusal(RefusalReason.DEADLINE_UNREACHABLE, "There is no time left.", None)
    if state.is_evacuated:
        return evacuated_refusal(state.service, step="forward")
    if state.pause_s is not None:
        detail = "All servers have asked for a pause."
        return _not_run_refusal(RefusalReason.QUEUE_FULL, detail, state.pause_s)
    if state.limit_wait_s is not None:
        detail = "All servers are at the limits that they state."
        return _not_run_refusal(RefusalReason.SERVERS_LIMITED, detail, state.limit_wait_s)
    if state.room_wait_s is not None:
        detail = "The servers are full."
        return _not_run_refusal(RefusalReason.QUEUE_FULL, detail, state.room_wait_s)
    if state.rejections:
        detail = "The servers are full."
        return _not_run_refusal(RefusalReason.QUEUE_FULL, detail, _REJECTED_RETRY_AFTER_S)
    if isinstance(state.last_error, NoFreeConnectionError):
        detail = "All connections of this node to the servers are in use."
        return _not_run_refusal(RefusalReason.QUEUE_FULL, detail, _NO_SERVER_RETRY_AFTER_S)
    detail = "No server of the service can be reached."
    return _not_run_refusal(RefusalReason.NO_BACKEND, detail, _NO_SERVER_RETRY_AFTER_S)


def _no_answer_refusal(state: PlainState) -> Refusal:
    is_late = state.is_out_of_time
    return Refusal(
        reason=RefusalReason.BACKEND_FAILED,
        status=504 if is_late else 502,
        detail="The service gave no answer in time." if is_late else "The service gave no answer.",
        not_run=False,
        step="forward",
    )


def _not_run_refusal(reason: RefusalReason, detail: str, retry_after_s: float | None) -> Refusal:
    return Refusal(
        reason=reason,
        status=503,
        detail=detail,
        not_run=True,
        retry_after_s=retry_after_s,
        step="forward",
    )
