"""Forwards streams that are served by separate prefill and decode engines."""

import asyncio
from contextlib import AsyncExitStack

import attrs
from loguru import logger

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.gateway._admission import AdmittedRequest
from flamingoshelf.gateway._backend_client import (
    BackendClient,
    NotRunError,
    ServerPausedError,
    WrongInstanceError,
)
from flamingoshelf.gateway._crash_detector import CrashDetector
from flamingoshelf.gateway._prefill_timeout import prefill_timeout_s
from flamingoshelf.gateway._stream_relay import RelayResult, StreamRelay
from flamingoshelf.gateway._stream_state import (
    StreamState,
    final_refusal,
    pause_refusal,
    run_outcome,
)
from flamingoshelf.gateway._target_selector import TargetSelector
from flamingoshelf.gateway._wire import BackendCall, KvHandle
from flamingoshelf.http1 import Exchange
from flamingoshelf.placement import (
    FailureKind,
    PlacementRequest,
    Placer,
    RunOutcome,
    Turn,
    new_turn_id,
)
from flamingoshelf.refusals import Refusal, RetryReason
from flamingoshelf.routing import BackendInstance, InstanceDirectory
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import now_s

__all__ = ["StreamForwarder"]

_SERVER_ERROR_STATUS = 500  # from here on, the status blames the server
_MAX_TURNS = 4  # per request
_DEFAULT_PROMPT_TOKENS = 1000  # if the caller states no size; a third of the usual size
_DEFAULT_OUTPUT_TOKENS = 500  # if the caller states no size; about the mean size of an answer (590)


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
    crash_detector : CrashDetector
        Detects and refuses requests that crash engines.
    metrics : Metrics
        Counters and latency histograms.
    """

    def __init__(
        self,
        *,
        client: BackendClient,
        targets: TargetSelector,
        directory: InstanceDirectory,
        placer: Placer,
        crash_detector: CrashDetector,
        metrics: Metrics,
    ) -> None:
        self._crash_detector = crash_detector
        self._client = client
        self._targets = targets
        self._directory = directory
        self._placer = placer
        self._metrics = metrics

    async def forward(self, exchange: Exchange, request: AdmittedRequest) -> Refusal | None:
        """Answer a request, or return its refusal."""
        refusal = self._crash_detector.check(request)
        if refusal is not None:
            return refusal
        service = self._targets.choose_service(request.route)
        relay = StreamRelay(exchange=exchange, request=request, metrics=self._metrics)
        state = StreamState(request=request, service=service, relay=relay)
        for _ in range(_MAX_TURNS):
            pause_s = self._pause_s(state)
            if pause_s is not None:
                return self._refuse_or_abort(state, pause_refusal(service, pause_s))
            turn = await self._placer.acquire(self._placement_request(state))
            if isinstance(turn, Refusal):
                return self._refuse_or_abort(state, turn)
            state.is_charged = True
            if self._release_if_unlisted(state, turn):
                continue
            if await self._use_turn(state, turn):
                return None
            if not self._may_retry(state):
                break
        return self._refuse_or_abort(
            state, final_refusal(state, remaining_s=self._remaining_s(state))
        )

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
        node. An engine may also have asked this node for a pause, or state that it leaves. The
        check precedes the prefill, so that no prompt is processed in vain.
        """
        engines = {turn.prefill_id, turn.decode_id} - {None}
        pauses = self._targets.pauses(state.service)
        unlisted = {
            name
            for name in engines
            if name and (name in pauses or self._directory.get(name) is None)
        }
        if not unlisted:
            return False
        state.avoid |= unlisted
        state.turns += 1
        logger.bind(
            request_id=state.request.request_id, step="place", peer=min(unlisted), turn=state.turns
        ).info("turn released; engine not usable from this node")
        self._placer.release(turn, events=0, seconds=0.0, outcome=RunOutcome.ENDED)
        return True

    def _placement_request(self, state: StreamState) -> PlacementRequest:
        request, caller = state.request, state.request.caller
        now = now_s()
        prompt = caller.prompt_tokens or _DEFAULT_PROMPT_TOKENS
        max_output = caller.max_output_tokens or _DEFAULT_OUTPUT_TOKENS
        expected_output = min(caller.expected_output_tokens or max_output, max_output)
        return PlacementRequest(
            turn_id=new_turn_id(request.request_id, state.turns),
            service=state.service,
            workspace=request.workspace_name or "",
            priority=request.priority,
            prompt_tokens=prompt,
            expected_tokens=max(1, expected_output),
            resumed_events=state.relay.event_count,
            charge_tokens=0.0 if state.is_charged else self._charged_tokens(request),
            goal_left_s=request.goal_s - now,
            wait_left_s=(request.deadline_s if state.relay.is_started else request.abandoned_s)
            - now,
            deadline_left_s=request.deadline_s - now,
            avoid=tuple(state.avoid | state.paused),
            repeat_cost=state.repeat_cost,
            is_resumed=state.relay.is_started,
            content=request.content,
        )

    def _charged_tokens(self, request: AdmittedRequest) -> float:
        """Return the tokens to charge to the workspace's limit."""
        caller, workspace = request.caller, request.workspace
        if caller.prompt_tokens is not None and caller.max_output_tokens is not None:
            return float(caller.prompt_tokens + caller.max_output_tokens)
        return 0.0 if workspace is None else workspace.default_call_tokens

    async def _use_turn(self, state: StreamState, turn: Turn) -> bool:
        """Run prefill and decode of a turn; return whether the caller was answered."""
        state.turns += 1
        state.is_answer_lost = False
        started_s: float | None = None
        events_before = state.relay.event_count
        handle: KvHandle | None = None
        result: RelayResult | None = None
        try:
            if turn.prefill_id is not None:
                handle = await self._prefill(state, turn, turn.prefill_id)
                if handle is None:
                    return False
            decode = await self._choose_decode(state, turn, handle)
            if decode is None:
                return False
            result = await self._decode(state, turn, decode, handle)
            started_s = state.relay.first_event_s
            if result is not RelayResult.NOT_RUN:
                handle = None  # fetched by the decode engine, or lost with that engine
            if result is RelayResult.COMPLETE:
                self._crash_detector.record_success(state.request)
            return result in (RelayResult.COMPLETE, RelayResult.FAILED)
        finally:
            if handle is not None:
                self._release_handle(state, handle)
            events = state.relay.event_count - events_before
            seconds = 0.0 if started_s is None else state.relay.last_event_s - started_s
            self._placer.release(
                turn,
                events=events,
                seconds=seconds,
                outcome=run_outcome(state, result),
            )

    async def _prefill(self, state: StreamState, turn: Turn, engine_id: str) -> KvHandle | None:
        """Return the KV cache handle of the processed prompt, or None if the prefill failed."""
        engine = self._directory.get(engine_id)
        log = logger.bind(
            request_id=state.request.request_id, step="prefill", peer=engine_id, turn=state.turns
        )
        if engine is None:
            state.avoid.add(engine_id)
            log.info("prefill engine not listed at this node")
            return None
        began_s = now_s()
        state.has_called_prefill = True
        try:
            timeout_s = prefill_timeout_s(turn.prefill_s, state.request.goal_s - began_s)
            async with asyncio.timeout(min(timeout_s, self._remaining_s(state))):
                handle = await self._client.prefill(
                    state.request, self._call(state, engine, is_prefill=True)
                )
        except WrongInstanceError as error:
            log.info("prefill not run: {}", error.message)
            self._record_failure(state, engine_id, FailureKind.REPLACED, error.message)
        except NotRunError as error:
            log.info("prefill not run: {}", error.message)
            self._record_rejection(state, engine_id, error)
        except PeerUnreachableError as error:
            log.warning("prefill not sent: {}", error.message)
            self._record_failure(state, engine_id, FailureKind.UNREACHABLE, error.message)
        except OutcomeUnknownError as error:
            log.warning("prefill failed: {}", error.message)
            self._crash_detector.record_lost_run(state.request, engine)
            self._record_failure(state, engine_id, FailureKind.BROKE_OFF, error.message)
        except TimeoutError:
            log.bind(expected_s=round(turn.prefill_s, 3)).warning(
                "prefill timed out after {:.3f} s", now_s() - began_s
            )
            self._placer.record_slow_prefill(turn, seconds=now_s() - began_s)
            self._record_failure(state, engine_id, FailureKind.BROKE_OFF, "no answer to a prefill")
        else:
            seconds = now_s() - began_s
            log.debug("prefill done in {:.3f} s", seconds)
            state.prefill_engine = engine
            self._placer.record_prefill(turn, seconds=seconds)
            return handle
        return None

    async def _choose_decode(
        self, state: StreamState, turn: Turn, handle: KvHandle | None
    ) -> BackendInstance | None:
        decode_id = await self._placer.confirm(turn)
        log = logger.bind(request_id=state.request.request_id, step="place", peer=decode_id)
        if decode_id is None:
            self._count_wasted_prefill(handle)
            log.warning("no decode engine has room for the processed prompt")
            return None
        engine = self._directory.get(decode_id)
        if engine is None:
            state.avoid.add(decode_id)
            self._count_wasted_prefill(handle)
            log.warning("decode engine not listed at this node")
        return engine

    async def _decode(
        self, state: StreamState, turn: Turn, engine: BackendInstance, handle: KvHandle | None
    ) -> RelayResult:
        log = logger.bind(
            request_id=state.request.request_id, step="decode", peer=engine.key, turn=state.turns
        )
        call = self._call(state, engine, kv_handle=handle)
        state.relay.backend_server = engine.key
        state.has_called_decode = True
        state.relay.start_run(
            on_first_event=lambda: self._placer.record_start(turn),
            on_silence=lambda: self._placer.record_failure(
                state.service, engine.key, FailureKind.SILENT, detail="no event for a time"
            ),
        )
        try:
            async with AsyncExitStack() as stack:
                sending = stack.enter_async_context(self._client.send(state.request, call))
                response = await state.relay.wait(sending)
                result = await state.relay.relay(response)
                if result is RelayResult.FAILED and response.head.status >= _SERVER_ERROR_STATUS:
                    detail = f"status {response.head.status}"
                    self._record_failure(state, engine.key, FailureKind.BROKE_OFF, detail)
                return result
        except WrongInstanceError as error:
            log.info("decode not run: {}", error.message)
            self._record_failure(state, engine.key, FailureKind.REPLACED, error.message)
            return RelayResult.NOT_RUN
        except NotRunError as error:
            log.info("decode not run: {}", error.message)
            self._record_rejection(state, engine.key, error)
            self._count_wasted_prefill(handle)
            return RelayResult.NOT_RUN
        except PeerUnreachableError as error:
            log.warning("decode not sent: {}", error.message)
            self._record_failure(state, engine.key, FailureKind.UNREACHABLE, error.message)
            return RelayResult.NOT_RUN
        except OutcomeUnknownError as error:
            state.sent += 1
            log.warning("broke off after event {}: {}", state.relay.last_event_id, error.message)
            state.is_answer_lost = state.relay.first_event_s is None
            self._crash_detector.record_lost_run(state.request, engine)
            self._record_failure(state, engine.key, FailureKind.BROKE_OFF, error.message)
            return RelayResult.BROKEN
        except TimeoutError:
            state.sent += 1
            state.is_answer_lost = state.relay.first_event_s is None
            log.warning("stalled after event {}", state.relay.last_event_id)
            self._record_failure(state, engine.key, FailureKind.BROKE_OFF, "stalled")
            return RelayResult.BROKEN

    def _call(
        self,
        state: StreamState,
        engine: BackendInstance,
        *,
        is_prefill: bool = False,
        kv_handle: KvHandle | None = None,
    ) -> BackendCall:
        return BackendCall(
            instance=engine,
            workspace=state.request.workspace_name,
            remaining_s=self._remaining_s(state),
            is_prefill=is_prefill,
            kv_handle=kv_handle,
            resume_after=state.relay.last_event_id,
        )

    def _may_retry(self, state: StreamState) -> bool:
        """Return whether the request may use another turn, and count the retry if so."""
        if state.sent and not state.request.route.may_repeat:
            return False
        if state.sent >= state.request.route.max_attempts or self._remaining_s(state) <= 0:
            return False
        self._metrics.count_retry(
            RetryReason.STREAM_BROKEN if state.sent else RetryReason.ENGINE_REFUSED
        )
        return True

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

    def _count_wasted_prefill(self, handle: KvHandle | None) -> None:
        if handle is not None:
            self._metrics.count_event("prefills_wasted")

    def _release_handle(self, state: StreamState, handle: KvHandle) -> None:
        if state.prefill_engine is not None:
            self._client.release_handle(handle, state.prefill_engine)

    def _record_failure(
        self, state: StreamState, engine_id: str, kind: FailureKind, detail: str
    ) -> None:
        state.avoid.add(engine_id)
        self._placer.record_failure(state.service, engine_id, kind, detail=detail)

    def _record_rejection(self, state: StreamState, engine_id: str, error: NotRunError) -> None:
        state.avoid.add(engine_id)
        if not isinstance(error, ServerPausedError):  # it has room, but not for this node
            self._placer.record_rejection(state.service, engine_id)

    def _remaining_s(self, state: StreamState) -> float:
        return state.request.deadline_s - now_s()
