"""Forwards streams that are served by separate prefill and decode engines."""

import asyncio
from collections.abc import Sequence

import attrs
from loguru import logger

from flamingoshelf.gateway._admission import AdmittedRequest
from flamingoshelf.gateway._answer_limit import AnswerLimitError
from flamingoshelf.gateway._backend_client import BackendClient
from flamingoshelf.gateway._crash_detector import CrashDetector
from flamingoshelf.gateway._durations import StreamDurations
from flamingoshelf.gateway._engine_failures import EngineFailures
from flamingoshelf.gateway._engine_runs import EngineRuns
from flamingoshelf.gateway._refusals import SHUTTING_DOWN, evacuated_refusal
from flamingoshelf.gateway._stream_attempt import StreamAttempt
from flamingoshelf.gateway._stream_relay import StreamRelay
from flamingoshelf.gateway._stream_state import (
    AttemptTools,
    StreamState,
    expected_output_tokens,
    final_refusal,
    pause_refusal,
    unknown_origin_refusal,
)
from flamingoshelf.gateway._target_selector import TargetSelector
from flamingoshelf.http1 import Exchange
from flamingoshelf.placement import (
    PlacementRequest,
    Placer,
    RunOutcome,
    Turn,
    new_turn_id,
    version_gone_refusal,
)
from flamingoshelf.refusals import Refusal, RetryReason
from flamingoshelf.routing import BackendInstance, EngineRole, InstanceDirectory
from flamingoshelf.stream_origins import StreamOrigin, StreamOrigins, stream_key
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import Pacer, now_s

__all__ = ["StreamForwarder"]

_MAX_TURNS = 4  # per request
_MIN_WAIT_S = 0.001  # the event loop may call a timer a little early
_ASK_AGAIN_INTERVAL_S = 0.4  # between two requests for a turn in place of a silent attempt
_DEFAULT_PROMPT_TOKENS = 1000  # if the caller states no size; a third of the usual size


class StreamForwarder:
    """Runs the prefill at one engine, and streams the answer from another.

    The placer grants turns: a place at a prefill engine and memory reserved at a decode engine. A
    request may use several turns, and its stream resumes where it stopped if the route allows it.

    Parameters
    ----------
    client : BackendClient
        Sends calls.
    targets : TargetSelector
        Chooses the service of a route.
    directory : InstanceDirectory
        Registered engines by key.
    placer : Placer
        Grants turns.
    origins : StreamOrigins
        Knows which software version began a stream.
    runs : EngineRuns
        Confirms that engines are the listed ones.
    crash_detector : CrashDetector
        Detects and refuses requests that crash engines.
    failures : EngineFailures
        Reports failed calls.
    metrics : Metrics
        Counters and latency histograms.
    pacer : Pacer
        Shares the event loop among all streams whose events come faster than they are passed on.
    """

    def __init__(
        self,
        *,
        client: BackendClient,
        targets: TargetSelector,
        directory: InstanceDirectory,
        placer: Placer,
        origins: StreamOrigins,
        runs: EngineRuns,
        crash_detector: CrashDetector,
        failures: EngineFailures,
        metrics: Metrics,
        pacer: Pacer,
    ) -> None:
        self._targets = targets
        self._directory = directory
        self._placer = placer
        self._origins = origins
        self._crash_detector = crash_detector
        self._metrics = metrics
        self._tools = AttemptTools(
            client=client,
            directory=directory,
            placer=placer,
            origins=origins,
            runs=runs,
            crash_detector=crash_detector,
            failures=failures,
            metrics=metrics,
            pacer=pacer,
            durations=StreamDurations(),
        )

    async def forward(self, exchange: Exchange, request: AdmittedRequest) -> Refusal | None:
        """Answer a request, or return its refusal."""
        refusal = self._crash_detector.check(request)
        if refusal is not None:
            return refusal
        if now_s() > self._begin_by_s(request):
            return SHUTTING_DOWN
        origin: StreamOrigin | None = None
        if request.is_take_up:
            origin = await self._find_origin(request)
            if origin is None:
                return unknown_origin_refusal(request)
            if origin.service not in {target.service for target in request.route.targets}:
                return version_gone_refusal(origin.service, origin.version)
        relay = StreamRelay(exchange=exchange, request=request, metrics=self._metrics)
        state = StreamState(
            request=request,
            service=origin.service if origin else self._targets.choose_service(request.route),
            relay=relay,
            origin=origin,
        )
        try:
            with self._crash_detector.watch(request, state.refuse):
                async with request.answer_limit.enforce():
                    refusal = await self._serve(state)
        except AnswerLimitError:
            for attempt in state.attempts:
                await attempt.stop()
            refusal = final_refusal(state, remaining_s=0.0)
        finally:
            for attempt in state.attempts:
                await attempt.stop()
        return None if refusal is None else self._refuse_or_abort(state, refusal)

    async def _find_origin(self, request: AdmittedRequest) -> StreamOrigin | None:
        """Return what began the stream that a caller takes up, or None if it isn't known."""
        began_s = now_s()
        resumes = request.caller.resumes
        key = stream_key(request.workspace_name or "", resumes or "")
        origin = None if resumes is None else await self._origins.find(key)
        logger.bind(
            request_id=request.request_id,
            step="origin",
            resumes=resumes,
            after_event=request.caller.last_event_id,
            version=None if origin is None else origin.version,
            waited_s=round(now_s() - began_s, 4),
        ).info("stream taken up" if origin else "stream of unknown origin not taken up")
        return origin

    async def _serve(self, state: StreamState) -> Refusal | None:
        """Use turns until the caller is answered; return a refusal if no further one is tried."""
        beginning: asyncio.Task[Refusal | None] | None = None
        refusal: Refusal | None = None
        ask_again_s = 0.0
        try:
            while True:
                state.changed.clear()
                if any(attempt.is_answered for attempt in state.attempts):
                    return None
                if state.refusal is not None:
                    return state.refusal
                attempts = state.open_attempts
                if beginning is not None and beginning.done():
                    refusal = None if attempts else beginning.result()
                    beginning = None
                    ask_again_s = now_s() + _ASK_AGAIN_INTERVAL_S
                active = next((a for a in attempts if not a.is_silent), None)
                if active is not None:
                    if beginning is not None:
                        beginning.cancel()
                        beginning = None
                    for later in attempts[attempts.index(active) + 1 :]:
                        await later.stop()
                    await state.changed.wait()
                    continue
                may_use_turn = self._may_use_turn(state)
                if not attempts and (refusal is not None or not may_use_turn):
                    return refusal or final_refusal(state, remaining_s=self._remaining_s(state))
                wait_s = None if attempts else self._remaining_s(state)
                if beginning is None and may_use_turn:
                    if attempts and now_s() < ask_again_s:
                        wait_s = ask_again_s - now_s()
                    else:
                        if state.attempts:
                            self._count_retry(state)
                        beginning = asyncio.create_task(self._begin_attempt(state, silent=attempts))
                        beginning.add_done_callback(lambda task: state.changed.set())
                await self._wait_for_change(state, wait_s)
        finally:
            if beginning is not None:
                beginning.cancel()

    async def _wait_for_change(self, state: StreamState, timeout_s: float | None) -> None:
        if timeout_s is not None:
            timeout_s = max(timeout_s, _MIN_WAIT_S)
        try:
            async with asyncio.timeout(timeout_s):
                await state.changed.wait()
        except TimeoutError:
            return  # a turn may be asked for again

    async def _begin_attempt(
        self, state: StreamState, *, silent: Sequence[StreamAttempt]
    ) -> Refusal | None:
        """Begin an attempt with the next turn, or return a refusal if there is no turn."""
        while state.turns < _MAX_TURNS:
            if now_s() > self._begin_by_s(state.request):
                return SHUTTING_DOWN
            pause_s = self._pause_s(state)
            if pause_s is not None:
                return pause_refusal(state.service, pause_s)
            if self._targets.are_all_evacuated(state.service):
                return evacuated_refusal(state.service, step="place")
            if state.origin is not None and not self._has_engine(state):
                return version_gone_refusal(state.service, state.origin.version)
            turn = await self._placer.acquire(self._placement_request(state, silent))
            if isinstance(turn, Refusal):
                has_waited_less = self._begin_by_s(state.request) < state.request.deadline_s
                return SHUTTING_DOWN if has_waited_less and not state.sent else turn
            state.is_charged = True
            state.turns += 1
            if self._release_if_unlisted(state, turn):
                continue
            attempt = StreamAttempt(state=state, turn=turn, tools=self._tools, silent=silent)
            state.attempts.append(attempt)
            return None
        return final_refusal(state, remaining_s=self._remaining_s(state))

    def _has_engine(self, state: StreamState) -> bool:
        """Return whether an engine could continue the stream, after a change of its role or not."""
        engines = [*self._targets.instances(state.service), *self._directory.leaving(state.service)]
        return any(state.may_run_at(engine) for engine in engines)

    def _decode_engines(self, state: StreamState) -> list[BackendInstance]:
        """Return the decode engines in use, and leaving ones that may continue streams."""
        listed = self._targets.instances(state.service, role=EngineRole.DECODE)
        return [*listed, *self._directory.leaving(state.service)]

    def _pause_s(self, state: StreamState) -> float | None:
        """Avoid engines that want nothing from this node.

        Return the seconds until a turn is possible again if no engine of a role is left, else None.
        """
        pauses = self._targets.pauses(state.service)
        state.paused = set(pauses)
        if not pauses:
            return None
        engines = self._targets.instances(state.service)
        waits = []
        for role in {engine.role for engine in engines}:
            keys = {engine.key for engine in engines if engine.role is role}
            if keys <= pauses.keys():
                waits.append(min(pauses[key] for key in keys))
        return max(waits, default=None)

    def _release_if_unlisted(self, state: StreamState, turn: Turn) -> bool:
        """Release a turn if this node can't use its engines; return whether it was released.

        While the store does not answer all nodes, the dispatcher may know other engines than this
        node, or another software version of an engine. An engine may also have asked this node for
        a pause, or state that it leaves. The check precedes the prefill, so that no prompt is
        processed in vain.
        """
        engines = {turn.prefill_id, turn.decode_id} - {None}
        continues = state.origin is not None
        pauses = self._targets.pauses(state.service)
        unlisted = {
            name
            for name in engines
            if name and (name in pauses or self._directory.get(name, continues=continues) is None)
        }
        decode = self._directory.get(turn.decode_id, continues=continues)
        if decode is not None and not state.may_run_at(decode):
            unlisted.add(turn.decode_id)
        if not unlisted:
            return False
        # The dispatcher may not know of an evacuation yet, and grant one such engine after another.
        state.unlisted |= unlisted | {e.key for e in self._directory.evacuated(state.service)}
        logger.bind(
            request_id=state.request.request_id, step="place", peer=min(unlisted), turn=state.turns
        ).info("turn released; engine not usable from this node")
        self._placer.release(turn, events=0, seconds=0.0, outcome=RunOutcome.ENDED)
        return True

    def _placement_request(
        self, state: StreamState, silent: Sequence[StreamAttempt]
    ) -> PlacementRequest:
        exclude = state.paused | state.unlisted | {attempt.engine_id for attempt in silent}
        exclude |= {e.key for e in self._decode_engines(state) if not state.may_run_at(e)}
        state.placements += 1
        request, caller = state.request, state.request.caller
        now = now_s()
        prompt = caller.prompt_tokens or _DEFAULT_PROMPT_TOKENS
        expected_output = expected_output_tokens(caller)
        deadline_s = request.answer_by_s if state.relay.is_started else request.abandoned_s
        wait_until_s = min(deadline_s, self._begin_by_s(request))
        return PlacementRequest(
            turn_id=new_turn_id(request.request_id, state.placements),
            service=state.service,
            workspace=request.workspace_name or "",
            priority=request.priority,
            prompt_tokens=prompt,
            expected_tokens=max(1, expected_output),
            resumed_events=state.relay.event_count + min(expected_output, request.events_before),
            charge_tokens=0.0 if state.is_charged else self._charged_tokens(request),
            goal_left_s=request.goal_s - now,
            wait_left_s=wait_until_s - now,
            deadline_left_s=request.answer_by_s - now,
            avoid=tuple(state.avoid | exclude),
            exclude=tuple(exclude),
            repeat_cost=state.repeat_cost,
            is_resumed=state.relay.is_started or request.is_take_up,
            content=request.content,
            version="" if state.origin is None else state.origin.version,
        )

    def _charged_tokens(self, request: AdmittedRequest) -> float:
        """Return the tokens to charge to the workspace's limit."""
        caller, workspace = request.caller, request.workspace
        if caller.prompt_tokens is not None and caller.max_output_tokens is not None:
            return float(caller.prompt_tokens + caller.max_output_tokens)
        return 0.0 if workspace is None else workspace.default_call_tokens

    def _may_use_turn(self, state: StreamState) -> bool:
        """Return whether the request may use another turn."""
        return state.may_run and state.turns < _MAX_TURNS and self._remaining_s(state) > 0

    def _count_retry(self, state: StreamState) -> None:
        self._metrics.count_retry(
            RetryReason.STREAM_BROKEN if state.sent else RetryReason.ENGINE_REFUSED
        )

    def _refuse_or_abort(self, state: StreamState, refusal: Refusal) -> Refusal | None:
        """Return the refusal, as a 502 if the request may have run; or abort a started stream."""
        if state.relay.is_started:
            logger.bind(
                request_id=state.request.request_id,
                step="place",
                peer=refusal.peer or state.relay.backend_server or None,
                reason=refusal.reason.value,
                detail=refusal.detail,
                turns=state.turns,
                sent=state.sent,
                last_event=state.relay.last_event_id,
                idle_s=round(now_s() - state.relay.last_event_s, 3),
            ).warning("stream not continued")
            self._metrics.count_event("streams_broken_off")
            state.relay.abort()
            return None
        if state.sent:
            return attrs.evolve(refusal, status=502, not_run=False, retry_after_s=None)
        return refusal

    def _remaining_s(self, state: StreamState) -> float:
        return state.request.answer_by_s - now_s()

    def _begin_by_s(self, request: AdmittedRequest) -> float:
        """Return the time by which a stream must begin to end before this node stops."""
        tokens = expected_output_tokens(request.caller)
        expected_s = self._tools.durations.expected_s(request.route.name, tokens=tokens)
        return request.answer_limit.at_s - expected_s
