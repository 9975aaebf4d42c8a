"""Progress of one streamed request, and the refusals that it may end with."""

import asyncio
from typing import TYPE_CHECKING

import attrs

from flamingoshelf.gateway._admission import AdmittedRequest
from flamingoshelf.gateway._backend_client import BackendClient
from flamingoshelf.gateway._crash_detector import BEGUN_EVENTS, CrashDetector
from flamingoshelf.gateway._durations import StreamDurations
from flamingoshelf.gateway._engine_failures import EngineFailures
from flamingoshelf.gateway._engine_runs import EngineRuns
from flamingoshelf.gateway._stream_relay import StreamRelay
from flamingoshelf.gateway._wire import CallerRequest
from flamingoshelf.placement import Placer
from flamingoshelf.refusals import Refusal, RefusalReason
from flamingoshelf.routing import BackendInstance, InstanceDirectory
from flamingoshelf.stream_origins import StreamOrigin, StreamOrigins
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import Pacer

if TYPE_CHECKING:
    from flamingoshelf.gateway._stream_attempt import StreamAttempt

__all__ = [
    "AttemptTools",
    "StreamState",
    "expected_output_tokens",
    "final_refusal",
    "origin_of",
    "pause_refusal",
    "unknown_origin_refusal",
]

_DEFAULT_OUTPUT_TOKENS = 500  # if the caller states no size; about the mean size of an answer (590)
_UNKNOWN_ORIGIN_RETRY_S = 1.0  # the store or the coordinator may answer again
_FULL_RETRY_AFTER_S = 0.4  # about the interval at which a decode engine finishes a run


@attrs.frozen(kw_only=True)
class AttemptTools:
    """What attempts use to call engines, and to report what they learn."""

    client: BackendClient
    directory: InstanceDirectory
    placer: Placer
    origins: StreamOrigins
    runs: EngineRuns
    crash_detector: CrashDetector
    failures: EngineFailures
    metrics: Metrics
    pacer: Pacer
    durations: StreamDurations


@attrs.define(kw_only=True)
class StreamState:
    """Progress of one request over all turns.

    Attributes
    ----------
    placements : int
        Number of times that a turn was asked for.
    turns : int
        Number of turns granted.
    sent : int
        Number of decode engines that may have run the request.
    avoid : set of str
        Keys of engines to avoid: they failed, or are not listed at this node.
    paused : set of str
        Keys of engines that have asked this node for a pause.
    unlisted : set of str
        Keys of engines that were granted and are not listed at this node.
    attempts : list of StreamAttempt
        All attempts so far.
    changed : asyncio.Event
        Set when an attempt falls silent, goes on or ends, or when the request is refused.
    origin : StreamOrigin or None
        What began the stream, None before its first event; only engines of the same service and
        software version can continue it.
    is_origin_certain : bool
        Whether the engine was the listed one when it began the stream.
    refusal : Refusal or None
        Set if the content was quarantined before an answer had begun.
    """

    request: AdmittedRequest
    service: str
    relay: StreamRelay
    placements: int = 0
    turns: int = 0
    sent: int = 0
    avoid: set[str] = attrs.field(factory=set)
    paused: set[str] = attrs.field(factory=set)
    unlisted: set[str] = attrs.field(factory=set)
    attempts: "list[StreamAttempt]" = attrs.field(factory=list)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    origin: StreamOrigin | None = None
    is_origin_certain: bool = True
    refusal: Refusal | None = None
    is_charged: bool = False
    has_called_prefill: bool = False
    has_called_decode: bool = False

    @property
    def open_attempts(self) -> "list[StreamAttempt]":
        """Attempts that have not ended, in the order in which they began."""
        return [attempt for attempt in self.attempts if not attempt.has_ended]

    @property
    def may_run(self) -> bool:
        """Whether another decode engine may run the request."""
        if self.refusal is not None or not self.relay.may_be_continued:
            return False
        if not self.is_origin_certain:
            return False
        if self.sent and not self.request.route.may_repeat:
            return False
        return self.sent < self.request.route.max_attempts

    def may_run_at(self, engine: BackendInstance) -> bool:
        """Return whether an engine can begin this stream, or continue what another one began."""
        return self.origin is None or self.origin == origin_of(engine)

    def refuse(self, refusal: Refusal) -> None:
        """Refuse the request, and end its attempts, unless an engine has begun to answer it."""
        if self.relay.event_count >= BEGUN_EVENTS:
            return
        self.refusal = refusal
        for attempt in self.open_attempts:
            attempt.cancel()
        self.changed.set()

    @property
    def repeat_cost(self) -> int:
        """Number of engine calls in the next turn that repeat an earlier call."""
        return int(self.has_called_prefill) + int(self.has_called_decode)


def expected_output_tokens(caller: CallerRequest) -> int:
    """Return the size of an answer in tokens, as its caller states or estimates it."""
    max_output = caller.max_output_tokens or _DEFAULT_OUTPUT_TOKENS
    return min(caller.expected_output_tokens or max_output, max_output)


def origin_of(engine: BackendInstance) -> StreamOrigin:
    """Return the origin of streams that an engine begins."""
    return StreamOrigin(service=engine.service, version=engine.software_version)


def final_refusal(state: StreamState, *, remaining_s: float) -> Refusal:
    """Return the refusal of a request for which no further turn is tried."""
    if remaining_s <= 0:
        detail, reason = "No time is left.", RefusalReason.DEADLINE_UNREACHABLE
        status = 504 if state.sent else 503
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


def unknown_origin_refusal(request: AdmittedRequest) -> Refusal:
    """Return the refusal of a request to resume a stream of unknown software version."""
    resumes = request.caller.resumes
    detail = (
        "The request doesn't name the attempt that began the stream."
        if resumes is None
        else f"What began the stream of attempt {resumes} isn't known."
    )
    return Refusal(
        reason=RefusalReason.ORIGIN_UNKNOWN,
        status=503,
        detail=detail,
        not_run=True,
        retry_after_s=_UNKNOWN_ORIGIN_RETRY_S,
        step="origin",
    )
