"""What an attempt to serve a stream reports about its engines, and logs."""

from typing import TYPE_CHECKING

from loguru import logger

from flamingoshelf.gateway._backend_response import NotRunError, ServerPausedError
from flamingoshelf.gateway._stream_state import AttemptTools, StreamState, expected_output_tokens
from flamingoshelf.placement import FailureKind, Turn
from flamingoshelf.routing import BackendInstance
from flamingoshelf.utils import now_s

if TYPE_CHECKING:
    from loguru import Logger

__all__ = ["AttemptReports"]


class AttemptReports:
    """Reports of one attempt; an engine that it reports is avoided by the attempts that follow.

    Parameters
    ----------
    state : StreamState
        Progress of the request.
    turn : Turn
        Turn that the attempt uses.
    tools : AttemptTools
        Where to report.
    """

    def __init__(self, *, state: StreamState, turn: Turn, tools: AttemptTools) -> None:
        self._state = state
        self._turn = turn
        self._tools = tools
        self._number = state.turns

    def report_failure(self, engine: BackendInstance, kind: FailureKind, detail: str) -> None:
        """Report a failed call."""
        self._state.avoid.add(engine.key)
        self._tools.failures.report(engine, kind, detail=detail)

    def report_rejection(self, engine: BackendInstance, error: NotRunError) -> None:
        """Report that an engine has refused the request."""
        self._state.avoid.add(engine.key)
        if not isinstance(error, ServerPausedError):  # it has room, but not for this node
            self._tools.placer.record_rejection(self._state.service, engine.key)

    def report_silence(self, engine: BackendInstance, detail: str, *, silent_s: float) -> None:
        """Report that an engine makes no progress."""
        self._tools.failures.report_silence(engine, since_s=now_s() - silent_s, detail=detail)

    def report_slow_prefill(self, engine: BackendInstance, *, seconds: float) -> None:
        """Report a prefill that is given up after some seconds."""
        self.log("prefill", engine.key).bind(expected_s=round(self._turn.prefill_s, 3)).warning(
            "prefill timed out after {:.3f} s", seconds
        )
        self._tools.failures.report_slow_prefill(engine, self._turn, seconds=seconds)
        self.report_failure(engine, FailureKind.BROKE_OFF, "no answer to a prefill")

    def record_duration(self, *, first_event_s: float, seconds: float) -> None:
        """Record how long a complete stream took, as in `StreamDurations.record`."""
        request = self._state.request
        self._tools.durations.record(
            request.route.name,
            first_event_s=first_event_s,
            seconds=seconds,
            tokens=expected_output_tokens(request.caller),
        )

    def log(self, step: str, peer: str | None) -> "Logger":
        """Return a logger with the fields of the attempt."""
        request_id = self._state.request.request_id
        return logger.bind(request_id=request_id, step=step, peer=peer, turn=self._number)
