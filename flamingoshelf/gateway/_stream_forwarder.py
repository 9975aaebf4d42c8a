"""Forwards streams from separate prefill and decode engines."""

import asyncio

import attrs
from loguru import logger

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.gateway._admission import AdmittedRequest
from flamingoshelf.gateway._backend_client import BackendClient, NotRunError, WrongInstanceError
from flamingoshelf.gateway._crash_watch import CrashWatch
from flamingoshelf.gateway._prefill_limit import prefill_limit_s
from flamingoshelf.gateway._stream_relay import RelayResult, StreamRelay
from flamingoshelf.gateway._target_choice import TargetChoice
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
from flamingoshelf.refusals import Refusal, RefusalReason, RetryReason
from flamingoshelf.routing import BackendInstance, InstanceDirectory
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import now_s

__all__ = ["StreamForwarder"]

_MAX_PLACEMENTS = 4  # turns that one request may use up
_FULL_RETRY_S = 0.4  # a decode engine ends a run about this often
_DEFAULT_PROMPT_TOKENS = 1000  # where a caller states nothing; a third of the usual
_DEFAULT_OUTPUT_TOKENS = 500  # about the mean answer (590)


class StreamForwarder:
    """Has the prompt processed at one engine and the answer streamed from another.

    Parameters
    ----------
    client : BackendClient
        Sends calls.
    targets : TargetChoice
        Chooses the service of a route.
    directory : InstanceDirectory
        Engines by identity.
    placer : Placer
        Grants turns.
    crashes : CrashWatch
        Refuses requests that crash engines.
    metrics : Metrics
        Counters and histograms.
    """

    def __init__(
        self,
        *,
        client: BackendClient,
        targets: TargetChoice,
        directory: InstanceDirectory,
        placer: Placer,
        crashes: CrashWatch,
        metrics: Metrics,
    ) -> None:
        self._crashes = crashes
        self._client = client
        self._targets = targets
        self._directory = directory
        self._placer = placer
        self._metrics = metrics

    async def forward(self, exchange: Exchange, request: AdmittedRequest) -> Refusal | None:
        """Answer a request, or return why it is refused."""
        refusal = self._crashes.check(request)
        if refusal is not None:
            return refusal
        service = self._targets.choose_service(request.route)
        relay = StreamRelay(exchange=exchange, request=request, metrics=self._metrics)
        run = _Run(request=request, service=service, relay=relay)
        for _ in range(_MAX_PLACEMENTS):
            turn = await self._placer.acquire(self._placement_request(run))
            if isinstance(turn, Refusal):
                return self._refuse(run, turn)
            run.is_charged = True
            if self._give_back_unlisted(run, turn):
                continue
            if await self._serve_turn(run, turn):
                return None
            if not self._may_go_on(run):
                break
        return self._refuse(run, self._last_refusal(run))

    def _give_back_unlisted(self, run: "_Run", turn: Turn) -> bool:
        """Give a turn back whose engines this node can't call, before a prompt is processed.

        The dispatcher's node may know less than this one, or more, while the store does not answer
        all nodes.
        """
        engines = {turn.prefill_id, turn.decode_id} - {None}
        unlisted = {name for name in engines if name and self._directory.get(name) is None}
        if not unlisted:
            return False
        run.avoid |= unlisted
        run.turns += 1
        logger.bind(
            request_id=run.request.request_id, step="place", peer=min(unlisted), turn=run.turns
        ).info("given back, the engine is not listed here")
        self._placer.release(turn, tokens=0, seconds=0.0, outcome=RunOutcome.ENDED)
        return True

    def _placement_request(self, run: "_Run") -> PlacementRequest:
        request, caller = run.request, run.request.caller
        now = now_s()
        prompt = caller.prompt_tokens or _DEFAULT_PROMPT_TOKENS
        longest = caller.max_output_tokens or _DEFAULT_OUTPUT_TOKENS
        expected = min(caller.expected_output_tokens or longest, longest)
        return PlacementRequest(
            turn_id=new_turn_id(request.request_id, run.turns),
            service=run.service,
            workspace=request.workspace_name or "",
            priority=request.priority,
            prompt_tokens=prompt + run.relay.tokens,
            expected_tokens=max(1, expected - run.relay.tokens),
            charge_tokens=0.0 if run.is_charged else self._charge(request),
            goal_left_s=request.goal_s - now,
            wait_left_s=(request.deadline_s if run.relay.is_started else request.leaves_s) - now,
            deadline_left_s=request.deadline_s - now,
            avoid=tuple(run.avoid),
            repeat_cost=run.repeat_cost,
            is_resumed=run.relay.is_started,
            content=request.content,
        )

    def _charge(self, request: AdmittedRequest) -> float:
        """Return the tokens that a request counts as against its workspace's limit."""
        caller, workspace = request.caller, request.workspace
        if caller.prompt_tokens is not None and caller.max_output_tokens is not None:
            return float(caller.prompt_tokens + caller.max_output_tokens)
        return 0.0 if workspace is None else workspace.plain_call_tokens

    async def _serve_turn(self, run: "_Run", turn: Turn) -> bool:
        """Use a turn; return whether the request is answered."""
        run.turns += 1
        run.is_answer_lost = False
        started_s: float | None = None
        tokens_before = run.relay.tokens
        handle: KvHandle | None = None
        result: RelayResult | None = None
        try:
            if turn.prefill_id is not None:
                handle = await self._prefill(run, turn, turn.prefill_id)
                if handle is None:
                    return False
            decode = await self._choose_decode(run, turn, handle)
            if decode is None:
                return False
            result = await self._decode(run, turn, decode, handle)
            started_s = run.relay.first_event_s
            if result is not RelayResult.NOT_RUN:
                handle = None  # taken, or the engine that should take it is lost
            if result is RelayResult.COMPLETE:
                self._crashes.note_success(run.request)
            return result is RelayResult.COMPLETE
        finally:
            if handle is not None:
                self._drop(run, handle)
            tokens = run.relay.tokens - tokens_before
            seconds = 0.0 if started_s is None else now_s() - started_s
            self._placer.release(
                turn,
                tokens=tokens,
                seconds=seconds,
                outcome=_outcome(run, result),
            )

    async def _prefill(self, run: "_Run", turn: Turn, engine_id: str) -> KvHandle | None:
        engine = self._directory.get(engine_id)
        bound = logger.bind(
            request_id=run.request.request_id, step="prefill", peer=engine_id, turn=run.turns
        )
        if engine is None:
            run.avoid.add(engine_id)
            bound.info("the engine is not listed here")
            return None
        began_s = now_s()
        run.has_called_prefill = True
        try:
            limit_s = prefill_limit_s(turn.prefill_s, run.request.goal_s - began_s)
            async with asyncio.timeout(min(limit_s, self._remaining_s(run))):
                handle = await self._client.prefill(
                    run.request, self._call(run, engine, is_prefill=True)
                )
        except WrongInstanceError as error:
            bound.info("not run: {}", error.message)
            self._note_failure(run, engine_id, FailureKind.REPLACED, error.message)
        except NotRunError as error:
            bound.info("not run: {}", error.message)
            self._note_rejection(run, engine_id)
        except PeerUnreachableError as error:
            bound.warning("not sent: {}", error.message)
            self._note_failure(run, engine_id, FailureKind.UNREACHABLE, error.message)
        except OutcomeUnknownError as error:
            bound.warning("failed: {}", error.message)
            self._crashes.note_lost_run(run.request, engine)
            self._note_failure(run, engine_id, FailureKind.BROKE_OFF, error.message)
        except TimeoutError:
            bound.bind(expected_s=round(turn.prefill_s, 3)).warning(
                "no answer after {:.3f} s", now_s() - began_s
            )
            self._note_failure(run, engine_id, FailureKind.BROKE_OFF, "no answer to a prefill")
        else:
            seconds = now_s() - began_s
            bound.debug("done in {:.3f} s", seconds)
            run.prefill_engine = engine
            self._placer.note_prefill(turn, seconds=seconds)
            return handle
        return None

    async def _choose_decode(
        self, run: "_Run", turn: Turn, handle: KvHandle | None
    ) -> BackendInstance | None:
        decode_id = await self._placer.confirm(turn)
        bound = logger.bind(request_id=run.request.request_id, step="place", peer=decode_id)
        if decode_id is None:
            self._note_waste(handle)
            bound.warning("no decode engine has room for a processed prompt")
            return None
        engine = self._directory.get(decode_id)
        if engine is None:
            run.avoid.add(decode_id)
            self._note_waste(handle)
            bound.warning("the engine is not listed here")
        return engine

    async def _decode(
        self, run: "_Run", turn: Turn, engine: BackendInstance, handle: KvHandle | None
    ) -> RelayResult:
        bound = logger.bind(
            request_id=run.request.request_id, step="decode", peer=engine.key, turn=run.turns
        )
        call = self._call(run, engine, kv_handle=handle)
        run.relay.source = engine.key
        run.has_called_decode = True
        run.relay.begin_run(
            on_first_event=lambda: self._placer.note_start(turn),
            on_silence=lambda: self._placer.note_failure(
                run.service, engine.key, FailureKind.SILENT, detail="no event for a time"
            ),
        )
        try:
            async with self._client.send(run.request, call) as response:
                return await run.relay.relay(response)
        except WrongInstanceError as error:
            bound.info("not run: {}", error.message)
            self._note_failure(run, engine.key, FailureKind.REPLACED, error.message)
            return RelayResult.NOT_RUN
        except NotRunError as error:
            bound.info("not run: {}", error.message)
            self._note_rejection(run, engine.key)
            self._note_waste(handle)
            return RelayResult.NOT_RUN
        except PeerUnreachableError as error:
            bound.warning("not sent: {}", error.message)
            self._note_failure(run, engine.key, FailureKind.UNREACHABLE, error.message)
            return RelayResult.NOT_RUN
        except OutcomeUnknownError as error:
            run.sent += 1
            bound.warning("broke off after event {}: {}", run.relay.last_event_id, error.message)
            run.is_answer_lost = run.relay.first_event_s is None
            self._crashes.note_lost_run(run.request, engine)
            self._note_failure(run, engine.key, FailureKind.BROKE_OFF, error.message)
            return RelayResult.BROKEN
        except TimeoutError:
            run.sent += 1
            bound.warning("stalled after event {}", run.relay.last_event_id)
            self._note_failure(run, engine.key, FailureKind.BROKE_OFF, "stalled")
            return RelayResult.BROKEN

    def _call(
        self,
        run: "_Run",
        engine: BackendInstance,
        *,
        is_prefill: bool = False,
        kv_handle: KvHandle | None = None,
    ) -> BackendCall:
        return BackendCall(
            instance=engine,
            workspace=run.request.workspace_name,
            remaining_s=self._remaining_s(run),
            is_prefill=is_prefill,
            kv_handle=kv_handle,
            resume_after=run.relay.last_event_id,
        )

    def _may_go_on(self, run: "_Run") -> bool:
        """Return whether the request may use another turn."""
        if run.sent and not run.request.route.may_repeat:
            return False
        if run.sent >= run.request.route.max_attempts or self._remaining_s(run) <= 0:
            return False
        self._metrics.count_retry(
            RetryReason.STREAM_BROKEN if run.sent else RetryReason.ENGINE_REFUSED
        )
        return True

    def _refuse(self, run: "_Run", refusal: Refusal) -> Refusal | None:
        """Return the refusal; a stream that has begun is broken off instead."""
        if run.relay.is_started:
            self._metrics.count_event("streams_broken_off")
            run.relay.abort()
            return None
        if run.sent:
            return attrs.evolve(refusal, status=502, not_run=False, retry_after_s=None)
        return refusal

    def _note_waste(self, handle: KvHandle | None) -> None:
        if handle is not None:
            self._metrics.count_event("prefills_wasted")

    def _last_refusal(self, run: "_Run") -> Refusal:
        if self._remaining_s(run) <= 0:
            detail, reason, status = "No time is left.", RefusalReason.DEADLINE_UNREACHABLE, 504
        elif run.sent:
            detail, reason, status = "The engine gave no answer.", RefusalReason.BACKEND_FAILED, 502
        else:
            detail, reason, status = "The engines are full.", RefusalReason.QUEUE_FULL, 503
        return Refusal(
            reason=reason,
            status=status,
            detail=detail,
            not_run=run.sent == 0,
            retry_after_s=_FULL_RETRY_S,
            step="decode",
        )

    def _drop(self, run: "_Run", handle: KvHandle) -> None:
        if run.prefill_engine is not None:
            self._client.free_handle(handle, run.prefill_engine)

    def _note_failure(self, run: "_Run", engine_id: str, kind: FailureKind, detail: str) -> None:
        run.avoid.add(engine_id)
        self._placer.note_failure(run.service, engine_id, kind, detail=detail)

    def _note_rejection(self, run: "_Run", engine_id: str) -> None:
        run.avoid.add(engine_id)
        self._placer.note_rejection(run.service, engine_id)

    def _remaining_s(self, run: "_Run") -> float:
        return run.request.deadline_s - now_s()


@attrs.define(kw_only=True)
class _Run:
    """What became of a request so far.

    Attributes
    ----------
    turns : int
        Turns that it used.
    sent : int
        Decode engines that may have run it.
    avoid : set of str
        Engines that failed it.
    has_called_prefill, has_called_decode : bool
        Whether an engine of that role was called for it.
    is_answer_lost : bool
        Whether the present turn's engine may run it although its answer broke off before it began.
    """

    request: AdmittedRequest
    service: str
    relay: StreamRelay
    turns: int = 0
    sent: int = 0
    avoid: set[str] = attrs.field(factory=set)
    is_charged: bool = False
    prefill_engine: BackendInstance | None = None
    is_answer_lost: bool = False
    has_called_prefill: bool = False
    has_called_decode: bool = False

    @property
    def repeat_cost(self) -> int:
        """Calls of the next turn that are not the first of their kind."""
        return int(self.has_called_prefill) + int(self.has_called_decode)


def _outcome(run: _Run, result: RelayResult | None) -> RunOutcome:
    if result is RelayResult.COMPLETE:
        return RunOutcome.COMPLETE
    return RunOutcome.LOST if run.is_answer_lost else RunOutcome.ENDED
