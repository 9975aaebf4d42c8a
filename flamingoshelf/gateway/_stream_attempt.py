"""One attempt to serve a stream: a prefill at one engine, and a run at another."""

import asyncio
from collections.abc import Sequence

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.gateway._attempt_reports import AttemptReports
from flamingoshelf.gateway._backend_response import (
    BackendResponse,
    NotRunError,
    SendProgress,
    WrongInstanceError,
)
from flamingoshelf.gateway._crash_detector import BEGUN_EVENTS
from flamingoshelf.gateway._engine_runs import RunCheck
from flamingoshelf.gateway._prefill_timeout import prefill_timeout_s
from flamingoshelf.gateway._proxied_calls import ProxiedCall
from flamingoshelf.gateway._silence_watch import SilenceWatch
from flamingoshelf.gateway._stream_relay import RelayResult, RunRelay
from flamingoshelf.gateway._stream_state import (
    AttemptTools,
    StreamState,
    origin_of,
)
from flamingoshelf.gateway._wire import BackendCall, KvHandle
from flamingoshelf.http1 import BackendConnection, NoFreeConnectionError
from flamingoshelf.placement import FailureKind, RunOutcome, Turn
from flamingoshelf.routing import BackendInstance
from flamingoshelf.stream_origins import stream_key
from flamingoshelf.utils import now_s, release_frames

__all__ = ["StreamAttempt"]

_SERVER_ERROR_STATUS = 500  # from here on, the status blames the server
# Longest time for which a run that resumes a silent one is open beside it before its head arrives;
# engines are not to work on the same request for longer than 0.4 s.
_MAX_OVERLAP_S = 0.25
# Reports take a few milliseconds. An engine that gives none is silent, and so would the run be.
_ANSWER_TIMEOUT_S = 0.2
_OVERLAP_ANSWER_TIMEOUT_S = 0.1  # within the overlap that engines allow
# A sound engine may be silent for about a second; a prefill that takes longer is given up.
_MAX_PREFILL_SILENCE_S = 1.5
_ORIGIN_SLACK_S = 2.0  # for a caller whose clock or connection is slower than stated


class StreamAttempt:
    """Uses one turn: runs the prefill, then streams the answer to the caller.

    An attempt may be started while earlier ones are silent. They stay open until this one has taken
    over: those without a run when its prompt is processed, all when its run is accepted.

    Parameters
    ----------
    state : StreamState
        Progress of the request.
    turn : Turn
        Granted turn.
    tools : AttemptTools
        What it works with.
    silent : sequence of StreamAttempt
        Silent attempts that it is to replace.
    """

    def __init__(
        self,
        *,
        state: StreamState,
        turn: Turn,
        tools: AttemptTools,
        silent: "Sequence[StreamAttempt]" = (),
    ) -> None:
        self._state = state
        self._turn = turn
        self._tools = tools
        self._silent = tuple(silent)
        self._reports = AttemptReports(state=state, turn=turn, tools=tools)
        self._began_s = now_s()
        self._engine: BackendInstance | None = None
        self._has_run = False  # whether a decode engine may have run the request
        self._is_replaced = False
        self._handle: KvHandle | None = None
        self._prefill_engine: BackendInstance | None = None
        self._run: RunRelay | None = None
        self._run_check = RunCheck()
        self._overlap: asyncio.Task[None] | None = None
        self._watch = SilenceWatch(on_silence=self._on_silence, on_progress=self._on_progress)
        self._task = asyncio.create_task(self._use_turn(), name="stream.attempt")
        self._task.add_done_callback(lambda task: state.changed.set())

    @property
    def engine_id(self) -> str:
        """Engine that works on the request, empty before the first call."""
        return "" if self._engine is None else self._engine.key

    @property
    def has_run(self) -> bool:
        """Whether a decode engine may have run the request."""
        return self._has_run

    @property
    def is_silent(self) -> bool:
        """Whether its engine has been silent for so long that it is to be replaced."""
        return self._watch.is_silent

    @property
    def has_ended(self) -> bool:
        """Whether the attempt has ended."""
        return self._task.done()

    @property
    def is_answered(self) -> bool:
        """Whether the attempt has ended with the caller's answer; raises what it failed with."""
        if not self._task.done() or self._task.cancelled():
            return False
        return self._task.result() in (RelayResult.COMPLETE, RelayResult.FAILED)

    async def stop(self) -> None:
        """End the attempt, and wait until it has released what it holds."""
        self._task.cancel()
        await asyncio.wait({self._task})
        if self._task.cancelled():  # asyncio logs any other error that nobody asked for
            release_frames(self._task)

    def cancel(self) -> None:
        """End the attempt; it releases what it holds soon."""
        self._task.cancel()

    def replace(self) -> None:
        """End the attempt, as another one has taken over; nothing more reaches the caller."""
        self._is_replaced = True
        self._task.cancel()

    async def _use_turn(self) -> RelayResult:
        result: RelayResult | None = None
        try:
            async with asyncio.timeout(self._remaining_s):
                result = await self._process_and_run()
        except TimeoutError:
            result = self._on_deadline()
        finally:
            self._end(result)
        return result

    async def _process_and_run(self) -> RelayResult:
        if self._state.refusal is not None:  # since the turn was granted
            return RelayResult.NOT_RUN
        if self._turn.prefill_id is not None:
            self._handle = await self._prefill(self._turn.prefill_id)
            if self._handle is None:
                return RelayResult.NOT_RUN
        self._watch.start(lambda: None)
        self._take_over([attempt for attempt in self._silent if not attempt.has_run])
        engine = await self._choose_decode()
        if engine is None:
            return RelayResult.NOT_RUN
        result = await self._decode(engine)
        if result is not RelayResult.NOT_RUN:
            self._handle = None  # fetched by the decode engine, or lost with that engine
        return result

    def _end(self, result: RelayResult | None) -> None:
        """Release what the attempt holds, and report how its turn ended."""
        self._watch.stop()
        if self._overlap is not None:
            self._overlap.cancel()
        if self._is_replaced:
            self._report_replaced()
        run = self._run
        if run is not None:
            run.stop()
            if run.event_count >= BEGUN_EVENTS:
                self._tools.crash_detector.record_end(self._state.request)
        if self._handle is not None and self._prefill_engine is not None:
            self._tools.client.release_handle(self._handle, self._prefill_engine)
        is_lost = run is not None and not run.has_begun and self._has_run
        is_given_up = result is RelayResult.BROKEN or self._is_replaced
        outcome = RunOutcome.LOST if is_lost and is_given_up else RunOutcome.ENDED
        self._tools.placer.release(
            self._turn,
            events=0 if run is None else run.event_count,
            seconds=0.0 if run is None else run.seconds,
            outcome=RunOutcome.COMPLETE if result is RelayResult.COMPLETE else outcome,
        )

    async def _prefill(self, engine_id: str) -> KvHandle | None:
        """Return the KV cache handle of the processed prompt, or None if the prefill failed."""
        state = self._state
        engine = self._tools.directory.get(engine_id)
        log = self._reports.log("prefill", engine_id)
        if engine is None:
            state.avoid.add(engine_id)
            log.info("prefill engine not listed at this node")
            return None
        self._engine = engine
        began_s = now_s()
        state.has_called_prefill = True
        timeout_s = prefill_timeout_s(self._turn.prefill_s, state.request.goal_s - began_s)
        self._watch.start(lambda: timeout_s)
        try:
            async with asyncio.timeout(timeout_s + _MAX_PREFILL_SILENCE_S):
                handle = await self._tools.client.prefill(
                    state.request, self._call(engine, is_prefill=True)
                )
        except WrongInstanceError as error:
            log.info("prefill not run: {}", error.message)
            self._reports.report_failure(engine, FailureKind.REPLACED, error.message)
        except NotRunError as error:
            log.info("prefill not run: {}", error.message)
            self._reports.report_rejection(engine, error)
        except NoFreeConnectionError as error:  # says nothing about the engine's health
            log.info("prefill not sent: {}", error.message)
            state.avoid.add(engine_id)
        except PeerUnreachableError as error:
            log.warning("prefill not sent: {}", error.message)
            self._reports.report_failure(engine, FailureKind.UNREACHABLE, error.message)
        except OutcomeUnknownError as error:
            log.warning("prefill failed: {}", error.message)
            self._tools.crash_detector.record_lost_run(state.request, engine, sent_s=began_s)
            self._reports.report_failure(engine, FailureKind.BROKE_OFF, error.message)
        except TimeoutError:
            self._reports.report_slow_prefill(engine, seconds=now_s() - began_s)
        else:
            seconds = now_s() - began_s
            log.debug("prefill done in {:.3f} s", seconds)
            self._prefill_engine = engine
            self._tools.placer.record_prefill(self._turn, seconds=seconds)
            return handle
        return None

    async def _choose_decode(self) -> BackendInstance | None:
        decode_id = await self._tools.placer.confirm(self._turn)
        log = self._reports.log("place", decode_id)
        if decode_id is None:
            self._count_wasted_prefill()
            log.warning("no decode engine has room for the processed prompt")
            return None
        continues = self._state.origin is not None
        engine = self._tools.directory.get(decode_id, continues=continues)
        if engine is None:
            self._state.avoid.add(decode_id)
            self._count_wasted_prefill()
            log.warning("decode engine not listed at this node")
        elif not self._state.may_run_at(engine):
            self._state.unlisted.add(decode_id)
            self._count_wasted_prefill()
            log.bind(version=engine.software_version).warning(
                "decode engine runs another software version than the one that began the stream"
            )
            return None
        return engine

    async def _decode(self, engine: BackendInstance) -> RelayResult:
        """Run the request at a decode engine, and relay its events to the caller."""
        state = self._state
        log = self._reports.log("decode", engine.key)
        if not await self._has_answered(engine):
            return RelayResult.NOT_RUN
        if not state.may_run:  # the silent attempt has run meanwhile
            return RelayResult.NOT_RUN
        call = self._call(engine, kv_handle=self._handle)
        self._engine = engine
        self._run = RunRelay(
            relay=state.relay,
            request=state.request,
            engine=engine,
            on_first_event=lambda: self._record_first_event(engine),
            on_begin=lambda: self._tools.crash_detector.record_begin(state.request),
            on_suspicion=lambda silent_s: self._reports.report_silence(
                engine, "no event for a time", silent_s=silent_s
            ),
            watch=self._watch,
            pacer=self._tools.pacer,
        )
        sent_s = now_s()
        progress = SendProgress()
        self._set_has_run(True)
        state.has_called_decode = True
        if self._silent:
            self._overlap = asyncio.create_task(self._limit_overlap(engine), name="stream.overlap")
        try:
            async with self._tools.client.send(
                state.request,
                call,
                on_sent=lambda sent: self._check_run(engine, sent),
                progress=progress,
            ) as response:
                return await self._relay(self._run, engine, response, call)
        except asyncio.CancelledError:
            self._set_has_run(progress.may_have_arrived)
            raise
        except WrongInstanceError as error:
            log.info("decode not run: {}", error.message)
            self._reports.report_failure(engine, FailureKind.REPLACED, error.message)
        except NotRunError as error:
            log.info("decode not run: {}", error.message)
            self._reports.report_rejection(engine, error)
            self._count_wasted_prefill()
        except NoFreeConnectionError as error:
            log.info("decode not sent: {}", error.message)
            state.avoid.add(engine.key)
        except PeerUnreachableError as error:
            log.warning("decode not sent: {}", error.message)
            self._reports.report_failure(engine, FailureKind.UNREACHABLE, error.message)
        except OutcomeUnknownError as error:
            log.warning("broke off after event {}: {}", state.relay.last_event_id, error.message)
            self._tools.crash_detector.record_lost_run(
                state.request, engine, sent_s=sent_s, events=self._run.event_count
            )
            self._reports.report_failure(engine, FailureKind.BROKE_OFF, error.message)
            return RelayResult.BROKEN
        self._set_has_run(False)
        return RelayResult.NOT_RUN

    def _check_run(
        self, engine: BackendInstance, connection: BackendConnection | ProxiedCall
    ) -> None:
        if self._state.request.route.may_resume:
            self._run_check = self._tools.runs.check(engine, connection)

    def _record_first_event(self, engine: BackendInstance) -> None:
        """Report the first event of a run; the first one of all binds the stream to its version."""
        state, tools = self._state, self._tools
        tools.placer.record_start(self._turn)
        if state.origin is None:
            state.origin = origin_of(engine)
        if state.relay.event_count == 0 and state.request.route.may_resume:
            self._run_check.subscribe(self._record_origin)

    def _record_origin(self, is_confirmed: bool) -> None:
        """Record what began the stream, or that it isn't certain."""
        state = self._state
        state.is_origin_certain = is_confirmed
        key = stream_key(state.request.workspace_name or "", state.request.request_id)
        self._tools.origins.record(
            key,
            state.origin if is_confirmed else None,
            keep_s=state.request.patience_s + _ORIGIN_SLACK_S,
        )

    async def _relay(
        self, run: RunRelay, engine: BackendInstance, response: BackendResponse, call: BackendCall
    ) -> RelayResult:
        """Relay an accepted run, unless the silent run that it was to replace goes on."""
        if call.resume_after != self._state.relay.last_event_id:
            return RelayResult.BROKEN
        if not self._state.may_run_at(engine):  # another run has begun the stream meanwhile
            return RelayResult.BROKEN
        if self._state.origin is not None and not await self._run_check.is_confirmed():
            self._state.unlisted.add(engine.key)
            self._reports.log("decode", engine.key).warning(
                "engine may run another software version"
            )
            return RelayResult.BROKEN
        if not self._take_over(self._silent):
            return RelayResult.BROKEN
        self._state.relay.backend_server = engine.key
        result = await run.relay(response)
        if result is RelayResult.COMPLETE and call.resume_after is None:
            self._reports.record_duration(
                first_event_s=now_s() - self._began_s - run.seconds, seconds=run.seconds
            )
        if result is RelayResult.FAILED and response.head.status >= _SERVER_ERROR_STATUS:
            detail = f"status {response.head.status}"
            self._reports.report_failure(engine, FailureKind.BROKE_OFF, detail)
        return result

    def _take_over(self, attempts: "Sequence[StreamAttempt]") -> bool:
        """End silent attempts that this one replaces; return False if one goes on or answered."""
        if any(a.is_answered or not (a.is_silent or a.has_ended) for a in attempts):
            return False
        for attempt in attempts:
            if not attempt.has_ended:
                attempt.replace()
        return True

    async def _has_answered(self, engine: BackendInstance) -> bool:
        """Return whether an engine may get the request of a silent run that may yet go on.

        An engine without runs may be silent, too, without anybody having noticed.
        """
        if not any(attempt.has_run for attempt in self._silent):
            return True
        if await self._tools.runs.answers(engine, timeout_s=_ANSWER_TIMEOUT_S):
            return True
        self._reports.log("decode", engine.key).info(
            "decode not sent; the engine is silent like the one that it was to replace"
        )
        self._state.avoid.add(engine.key)
        self._count_wasted_prefill()
        return False

    async def _limit_overlap(self, engine: BackendInstance) -> None:
        """End the silent runs some time after this one was sent, or this one if it is silent, too.

        Of two silent runs, the earlier one is kept: its engine has accepted the request.
        """
        await asyncio.sleep(_MAX_OVERLAP_S)
        if await self._tools.runs.answers(engine, timeout_s=_OVERLAP_ANSWER_TIMEOUT_S):
            self._take_over(self._silent)
        elif any(attempt.has_run and not attempt.has_ended for attempt in self._silent):
            self._reports.log("decode", engine.key).info(
                "run ended; its engine is silent like the one that it was to replace"
            )
            self.cancel()

    def _on_deadline(self) -> RelayResult:
        if self._run is None:
            return RelayResult.NOT_RUN
        self._reports.log("decode", self.engine_id).warning(
            "no time left after event {}", self._state.relay.last_event_id
        )
        if self._run.is_suspect:
            self._reports.report_failure(self._run.engine, FailureKind.BROKE_OFF, "stalled")
        return RelayResult.BROKEN

    def _on_silence(self) -> None:
        self._state.changed.set()
        self._reports.log("silence", self.engine_id).info(
            "engine silent for {:.3f} s after event {}",
            self._watch.pause_s,
            self._state.relay.last_event_id,
        )
        if self._run is None and self._engine is not None:
            self._reports.report_silence(
                self._engine, "prefill overdue", silent_s=self._watch.pause_s
            )

    def _on_progress(self, silent_s: float) -> None:
        self._state.changed.set()
        self._reports.log("silence", self.engine_id).info("engine goes on after {:.3f} s", silent_s)

    def _report_replaced(self) -> None:
        if self._run is None:
            assert self._engine is not None
            self._reports.report_slow_prefill(self._engine, seconds=self._watch.pause_s)
            return
        self._reports.log("decode", self.engine_id).warning(
            "stalled after event {}; another run has taken over", self._state.relay.last_event_id
        )
        self._reports.report_failure(self._run.engine, FailureKind.BROKE_OFF, "stalled")

    def _call(
        self,
        engine: BackendInstance,
        *,
        is_prefill: bool = False,
        kv_handle: KvHandle | None = None,
    ) -> BackendCall:
        return BackendCall(
            instance=engine,
            workspace=self._state.request.workspace_name,
            remaining_s=self._remaining_s,
            is_prefill=is_prefill,
            kv_handle=kv_handle,
            resume_after=self._state.relay.last_event_id,
            urgency=self._state.request.engine_urgency,
        )

    @property
    def _remaining_s(self) -> float:
        return self._state.request.answer_by_s - now_s()

    def _set_has_run(self, has_run: bool) -> None:
        self._state.sent += int(has_run) - int(self._has_run)
        self._has_run = has_run

    def _count_wasted_prefill(self) -> None:
        if self._handle is not None:
            self._tools.metrics.count_event("prefills_wasted")
