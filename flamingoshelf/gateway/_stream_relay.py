"""Relays the events of a stream to its caller."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import TypeVar

from loguru import logger

from flamingoshelf.exceptions import OutcomeUnknownError
from flamingoshelf.gateway._admission import AdmittedRequest
from flamingoshelf.gateway._backend_client import BackendResponse
from flamingoshelf.gateway._events import EventSplitter, StreamEvent
from flamingoshelf.http1 import Exchange
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import now_s

__all__ = ["RelayResult", "StreamRelay"]

_ResultT = TypeVar("_ResultT")

_MAX_ERROR_BYTES = 64 * 1024  # an error document has some hundred bytes
# Part of the pause after which callers leave that a run which may be resumed can be silent. Another
# run must have begun before they leave.
_STALL_SHARE = 1 / 3
# A run is also left alone for this multiple of its longest pause so far: it may be slow but sound.
_STALL_PAUSES = 4.0
# The engine is reported as suspect after a pause of this multiple of the goal for pauses; without a
# goal, of this part of the stall timeout.
_SILENCE_GOALS = 4 / 3
_SILENCE_SHARE = 1 / 3
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
        self._first_event_s: float | None = None
        self._last_event_s = 0.0
        self._progress_s = 0.0  # time of the last event of the run, or of its start
        self._longest_pause_s = 0.0
        self._on_first_event: Callable[[], None] = lambda: None
        self._on_silence: Callable[[], None] = lambda: None

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
    def last_event_s(self) -> float:
        """Time of the last event that was received."""
        return self._last_event_s

    @property
    def first_event_s(self) -> float | None:
        """Time of the first event of the current run, or None before it."""
        return self._first_event_s

    def start_run(
        self, *, on_first_event: Callable[[], None], on_silence: Callable[[], None]
    ) -> None:
        """Prepare for a run at an engine.

        Parameters
        ----------
        on_first_event : callable
            Called when the first event arrives.
        on_silence : callable
            Called when the engine has sent nothing for longer than the route's goal for pauses; may
            be called more than once.
        """
        self._first_event_s = None
        self._longest_pause_s = 0.0
        self._progress_s = now_s()
        self._on_first_event = on_first_event
        self._on_silence = on_silence

    def abort(self) -> None:
        """Abort the connection, so that the stream does not look complete to the caller."""
        self._exchange.abort()

    async def relay(self, response: BackendResponse) -> RelayResult:
        """Relay the events of a run to the caller.

        Raises
        ------
        OutcomeUnknownError
            The run broke off, or its response is not valid.
        TimeoutError
            The run stalled, or the caller's deadline passed.
        """
        if not response.head.is_success:
            return await self._relay_error_response(response)
        if not response.is_signed:
            raise OutcomeUnknownError("no signature", step="decode")
        splitter = EventSplitter()
        while part := await self.wait(response.read()):
            for event in self._split_events(splitter, part):
                await self._forward_event(response, event)
        if splitter.partial_event:
            raise OutcomeUnknownError("the stream ends within an event", step="decode")
        if self._last_event_id is None and not self._event_count:
            raise OutcomeUnknownError("the stream ends without an event", step="decode")
        self._start_response(response)
        self._exchange.end()
        return RelayResult.COMPLETE

    async def wait(self, answer: Awaitable[_ResultT]) -> _ResultT:
        """Wait for a part of the answer; raise `TimeoutError` on a stall or at the deadline.

        Only events count as progress: a server may send bytes now and then that never make one.
        """
        end_s = self._request.deadline_s
        if self._request.route.may_resume:
            end_s = min(end_s, self._progress_s + self._stall_timeout_s)
        loop = asyncio.get_running_loop()
        silence_timer = loop.call_later(self._silence_threshold_s, self._on_silence)
        try:
            async with asyncio.timeout(end_s - now_s()):
                return await answer
        finally:
            silence_timer.cancel()

    @property
    def _stall_timeout_s(self) -> float:
        """Pause after which a run that may be resumed counts as stalled."""
        abandon_s = self._request.route.abandon_after_s or _UNKNOWN_ABANDON_S
        return max(_STALL_SHARE * abandon_s, _STALL_PAUSES * self._longest_pause_s)

    @property
    def _silence_threshold_s(self) -> float:
        """Pause after which the engine counts as suspect."""
        goal_s = self._request.route.event_gap_goal_s
        usual_s = _SILENCE_GOALS * goal_s if goal_s else _SILENCE_SHARE * self._stall_timeout_s
        return max(usual_s, _STALL_PAUSES / 2 * self._longest_pause_s)

    async def _relay_error_response(self, response: BackendResponse) -> RelayResult:
        """Pass on an error response of the engine."""
        async with asyncio.timeout(self._request.deadline_s - now_s()):
            body = await response.read_all(limit=_MAX_ERROR_BYTES)
        if body is None or self.is_started:
            raise OutcomeUnknownError(f"status {response.head.status}", step="decode")
        logger.bind(request_id=self._request.request_id, step="decode").info(
            "engine answered with status {}", response.head.status
        )
        self._exchange.respond(response.head, body)
        return RelayResult.FAILED

    def _split_events(self, splitter: EventSplitter, part: bytes) -> list[StreamEvent]:
        try:
            return splitter.feed(part)
        except ValueError as error:
            raise OutcomeUnknownError(str(error), step="decode") from error

    async def _forward_event(self, response: BackendResponse, event: StreamEvent) -> None:
        self._check_event_order(event)
        self._start_response(response)
        now = now_s()
        if self._first_event_s is None:
            self._first_event_s = now
            self._on_first_event()
            self._log_first_event()
            if self._event_count == 0:
                self._metrics.record_first_token(self._first_event_s - self._request.arrived_s)
        else:
            self._longest_pause_s = max(self._longest_pause_s, now - self._last_event_s)
        self._last_event_s = self._progress_s = now
        if event.event_id is not None:
            self._last_event_id = event.event_id
        self._event_count += 1
        await self._exchange.write(event.data)

    def _log_first_event(self) -> None:
        assert self._first_event_s is not None
        logger.bind(
            request_id=self._request.request_id,
            step="decode",
            peer=self.backend_server,
            after_s=round(self._first_event_s - self._request.arrived_s, 4),
            goal_s=self._request.route.latency_goal_s,
            resumed_after=self._last_event_id,
        ).info("first event")

    def _check_event_order(self, event: StreamEvent) -> None:
        """Raise `OutcomeUnknownError` if an event is missing or repeated."""
        last_id = self._last_event_id
        if event.event_id is None or last_id is None:
            return
        if event.event_id != last_id + 1:
            raise OutcomeUnknownError(
                f"event {event.event_id} follows event {last_id}", step="decode"
            )

    def _start_response(self, response: BackendResponse) -> None:
        if not self._exchange.is_started:
            self._exchange.start_response(response.head)
