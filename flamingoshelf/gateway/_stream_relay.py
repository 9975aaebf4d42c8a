"""Relays the events of a stream to its caller."""

from collections.abc import Callable
from enum import StrEnum

from loguru import logger

from flamingoshelf.exceptions import OutcomeUnknownError
from flamingoshelf.gateway._admission import AdmittedRequest
from flamingoshelf.gateway._backend_response import BackendResponse
from flamingoshelf.gateway._crash_detector import BEGUN_EVENTS
from flamingoshelf.gateway._events import EventSplitter, StreamEvent
from flamingoshelf.gateway._silence_watch import SilenceWatch
from flamingoshelf.http1 import Exchange, ResponseHead
from flamingoshelf.routing import BackendInstance
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import Pacer, now_s

__all__ = ["RelayResult", "RunRelay", "StreamRelay"]

_MAX_ERROR_BYTES = 64 * 1024  # an error document has some hundred bytes
# Part of the pause after which callers leave that a run which may be resumed can be silent before
# another run is prepared.
_STALL_SHARE = 1 / 3
# A run is also left alone for this multiple of its longest pause so far: it may be slow but sound.
_STALL_PAUSES = 4.0
_MAX_STALL_SHARE = 2 / 3  # another run must begin before the callers leave
# The engine is reported as suspect after a pause of this multiple of the goal for pauses; without a
# goal, of this part of the stall limit.
_SILENCE_GOALS = 4 / 3
_SILENCE_SHARE = 1 / 3
_MAX_EVENTS_PER_TURN = 16  # each takes some 50 us
_UNKNOWN_ABANDON_S = 3.6  # if the route doesn't say when its callers leave


class RelayResult(StrEnum):
    """How a run at a decode engine ended."""

    COMPLETE = "complete"
    FAILED = "failed"  # the caller got the engine's own failure
    BROKEN = "broken"
    NOT_RUN = "not_run"


class StreamRelay:
    """One stream to a caller, fed by one run or by several that resume each other.

    Parameters
    ----------
    exchange : Exchange
        The caller's request.
    request : AdmittedRequest
        The same request after admission.
    metrics : Metrics
        Records the latency of the first event.
    """

    def __init__(self, *, exchange: Exchange, request: AdmittedRequest, metrics: Metrics) -> None:
        self._exchange = exchange
        self._request = request
        self._metrics = metrics
        self._last_event_id = request.caller.last_event_id
        self._event_count = 0
        self._last_event_s = 0.0

    @property
    def backend_server(self) -> str:
        """Identity of the engine that the stream comes from."""
        return self._exchange.backend_server

    @backend_server.setter
    def backend_server(self, engine_id: str) -> None:
        self._exchange.backend_server = engine_id

    @property
    def is_started(self) -> bool:
        """Whether the response head was sent to the caller."""
        return self._exchange.is_started

    @property
    def last_event_id(self) -> int | None:
        """Id of the last event sent to the caller, or None."""
        return self._last_event_id

    @property
    def event_count(self) -> int:
        """Number of events sent to the caller."""
        return self._event_count

    @property
    def may_be_continued(self) -> bool:
        """Whether another run can follow the events so far: only ids tell where it is to begin."""
        return not self._event_count or self._last_event_id is not None

    @property
    def last_event_s(self) -> float:
        """Time of the last event that was received."""
        return self._last_event_s

    def abort(self) -> None:
        """Abort the connection, so that the stream does not look complete to the caller."""
        self._exchange.abort()

    def check_order(self, event: StreamEvent) -> None:
        """Raise `OutcomeUnknownError` if an event is missing before this one, or it is repeated."""
        last_id = self._last_event_id
        if event.event_id is None or last_id is None:
            return
        if event.event_id != last_id + 1:
            raise OutcomeUnknownError(
                f"event {event.event_id} follows event {last_id}", step="decode"
            )

    async def send_event(self, response: BackendResponse, event: StreamEvent) -> None:
        """Send an event, and wait until the caller has taken it."""
        self._start_response(response)
        now = now_s()
        if self._event_count == 0:
            self._metrics.record_first_token(now - self._request.arrived_s)
        self._last_event_s = now
        if event.event_id is not None:
            self._last_event_id = event.event_id
        self._event_count += 1
        await self._exchange.write(event.data)

    def end(self, response: BackendResponse) -> None:
        """End the stream; raise `OutcomeUnknownError` if it had no event."""
        if self._last_event_id is None and not self._event_count:
            raise OutcomeUnknownError("the stream ends without an event", step="decode")
        self._start_response(response)
        self._exchange.end()

    def send_failure(self, response: BackendResponse, body: bytes) -> None:
        """Pass on an error response of the engine."""
        self._exchange.respond(response.head, body)

    def _start_response(self, response: BackendResponse) -> None:
        if not self._exchange.is_started:
            self._exchange.start_response(response.head)


class RunRelay:
    """Relays one run at an engine to the stream that it belongs to.

    Only events count as progress: a server may send bytes now and then that never make one.

    Parameters
    ----------
    relay : StreamRelay
        The stream to the caller.
    request : AdmittedRequest
        The caller's request.
    on_first_event : callable
        Called when the first event of the run arrives.
    on_begin : callable
        Called when the run has gone on after its first event.
    engine : BackendInstance
        Engine of the run.
    on_suspicion : callable
        ``on_suspicion(silent_s)`` is called each time the engine has sent nothing for longer than
        the route's goal for pauses.
    watch : SilenceWatch
        Watch of the run, started with its limit.
    pacer : Pacer
        Shares the event loop among all streams whose events come faster than they are passed on.
    """

    def __init__(
        self,
        *,
        relay: StreamRelay,
        request: AdmittedRequest,
        engine: BackendInstance,
        on_first_event: Callable[[], None],
        on_begin: Callable[[], None],
        on_suspicion: Callable[[float], None],
        watch: SilenceWatch,
        pacer: Pacer,
    ) -> None:
        self._pacer = pacer
        self._relay = relay
        self._request = request
        self._engine = engine
        self._on_first_event = on_first_event
        self._on_begin = on_begin
        self._continues = False  # whether it follows another run
        self._event_count = 0
        self._first_event_s: float | None = None
        self._last_event_s = 0.0
        self._longest_pause_s = 0.0
        self._suspicion = SilenceWatch(on_silence=lambda: on_suspicion(self._suspicion.pause_s))
        self._suspicion.start(self._suspicion_limit_s)
        self._watch = watch
        self._watch.start(self._stall_limit_s)

    @property
    def engine(self) -> BackendInstance:
        """Engine of the run."""
        return self._engine

    @property
    def event_count(self) -> int:
        """Number of events of this run that were sent to the caller."""
        return self._event_count

    @property
    def has_begun(self) -> bool:
        """Whether the first event of the run has arrived."""
        return self._first_event_s is not None

    @property
    def seconds(self) -> float:
        """Seconds from the first event of the run to its last."""
        return 0.0 if self._first_event_s is None else self._last_event_s - self._first_event_s

    @property
    def is_suspect(self) -> bool:
        """Whether the engine has sent nothing for longer than the route's goal for pauses."""
        return self._suspicion.is_silent

    def stop(self) -> None:
        """Stop to time the run, which has ended."""
        self._suspicion.stop()

    async def relay(self, response: BackendResponse) -> RelayResult:
        """Relay the events of the run to the caller.

        Raises
        ------
        OutcomeUnknownError
            The run broke off, or its response is not valid.
        """
        if not response.head.is_success:
            return await self._relay_failure(response)
        if not response.is_signed:
            raise OutcomeUnknownError("no signature", step="decode")
        self._continues = self._relay.last_event_id is not None
        if self._continues and not _is_event_stream(response.head):
            raise OutcomeUnknownError("not an event stream", step="decode")
        splitter = EventSplitter()
        sent = 0
        while part := await response.read():
            splitter.feed(part)
            while (event := self._next_event(splitter)) is not None:
                await self._send_event(response, event)
                sent += 1
                if sent % _MAX_EVENTS_PER_TURN == 0:
                    await self._pacer.turn()
        if splitter.partial_event:
            raise OutcomeUnknownError("the stream ends within an event", step="decode")
        self._relay.end(response)
        return RelayResult.COMPLETE

    async def _relay_failure(self, response: BackendResponse) -> RelayResult:
        body = await response.read_all(limit=_MAX_ERROR_BYTES)
        if body is None or self._relay.is_started:
            raise OutcomeUnknownError(f"status {response.head.status}", step="decode")
        logger.bind(request_id=self._request.request_id, step="decode").info(
            "engine answered with status {}", response.head.status
        )
        self._relay.send_failure(response, body)
        return RelayResult.FAILED

    def _next_event(self, splitter: EventSplitter) -> StreamEvent | None:
        try:
            return splitter.next_event()
        except ValueError as error:
            raise OutcomeUnknownError(str(error), step="decode") from error

    async def _send_event(self, response: BackendResponse, event: StreamEvent) -> None:
        if self._continues and event.event_id is None:
            raise OutcomeUnknownError("an event has no id", step="decode")
        self._relay.check_order(event)
        now = now_s()
        if self._first_event_s is None:
            self._first_event_s = now
            self._on_first_event()
            self._log_first_event()
        else:
            self._longest_pause_s = max(self._longest_pause_s, now - self._last_event_s)
        self._last_event_s = now
        self._event_count += 1
        if self._event_count == BEGUN_EVENTS:
            self._on_begin()
        for watch in (self._suspicion, self._watch):
            watch.record_progress()
            watch.hold()  # a caller that reads slowly is no silence of the engine
        await self._relay.send_event(response, event)
        for watch in (self._suspicion, self._watch):
            watch.record_progress()

    def _stall_limit_s(self) -> float | None:
        """Return the pause after which the run counts as silent; None if none may resume it."""
        if not self._request.route.may_resume:
            return None
        return self._stall_timeout_s

    @property
    def _stall_timeout_s(self) -> float:
        abandon_s = self._request.route.abandon_after_s or _UNKNOWN_ABANDON_S
        usual_s = max(_STALL_SHARE * abandon_s, _STALL_PAUSES * self._longest_pause_s)
        return min(usual_s, _MAX_STALL_SHARE * abandon_s)

    def _suspicion_limit_s(self) -> float:
        """Return the pause after which the engine counts as suspect."""
        goal_s = self._request.route.event_gap_goal_s
        usual_s = _SILENCE_GOALS * goal_s if goal_s else _SILENCE_SHARE * self._stall_timeout_s
        return max(usual_s, _STALL_PAUSES / 2 * self._longest_pause_s)

    def _log_first_event(self) -> None:
        assert self._first_event_s is not None
        logger.bind(
            request_id=self._request.request_id,
            step="decode",
            peer=self._engine.key,
            version=self._engine.software_version,
            after_s=round(self._first_event_s - self._request.arrived_s, 4),
            goal_s=self._request.route.latency_goal_s,
            resumed_after=self._relay.last_event_id,
        ).info("first event")


def _is_event_stream(head: ResponseHead) -> bool:
    media_type, _, _ = (head.headers.get("Content-Type") or "").partition(";")
    return media_type.strip().lower() == "text/event-stream"
