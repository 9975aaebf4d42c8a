"""Execution of one completion request: placement, prefill, transfer, decoding and retries."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import TypeVar

import attrs
from loguru import logger
from result import Err, Result

from flamingoshelf.backends import DecodedToken, DecodeEnd, EngineClient, PrefillTask
from flamingoshelf.callers._answer import AnswerTokens
from flamingoshelf.callers._cleanup import GrantCleanup
from flamingoshelf.callers._completion_request import CompletionRequest
from flamingoshelf.callers._lifecycle import RequestLifecycle
from flamingoshelf.callers._prefix_blocks import prefix_hashes
from flamingoshelf.callers._retry_policy import (
    classify,
    indicates_engine_crash,
    may_resume_at_same_engine,
    retries_exhausted_refusal,
)
from flamingoshelf.dispatch import Grant, PlacementRequest, Placer
from flamingoshelf.exceptions import EngineError, FlamingoshelfError, ProtocolError
from flamingoshelf.limits import Charge, Limiter
from flamingoshelf.objects import Workspace
from flamingoshelf.quarantine import ContentGuard, Suspect
from flamingoshelf.refusals import Refusal, RetryReason
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["CompletionRun", "CompletionDependencies", "RefusedError"]

ValueT = TypeVar("ValueT")

_MAX_ATTEMPTS = 4
_MAX_RECONNECTS = 2
_PREFILL_TIMEOUT_S = 15.0
_TRANSFER_TIMEOUT_S = 3.0
_STALL_TIMEOUT_S = 5.0
_MIN_RESUME_WAIT_S = 10.0
_BEGUN_TOKENS = 2  # an engine that goes on after its first token has begun without a crash


class RefusedError(FlamingoshelfError):
    """A request ends with a refusal.

    Parameters
    ----------
    refusal : Refusal
        Refusal that the caller gets.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail, step=refusal.step, peer=refusal.peer)
        self.refusal = refusal


@attrs.frozen(kw_only=True)
class CompletionDependencies:
    """Dependencies shared by all completion runs of a node."""

    engines: EngineClient
    placer: Placer
    limiter: Limiter
    quarantine: ContentGuard
    metrics: Metrics
    background: TaskGroup


class CompletionRun:
    """Execution of one completion request.

    Parameters
    ----------
    dependencies : CompletionDependencies
        Dependencies shared by all completion runs of a node.
    request : CompletionRequest
        The validated request.
    workspace_name : str
        Workspace that the request runs for.
    workspace : Workspace
        Specification of that workspace.
    request_id : str
        Identifier of the request; attempts append their number.
    """

    def __init__(
        self,
        *,
        dependencies: CompletionDependencies,
        request: CompletionRequest,
        workspace_name: str,
        workspace: Workspace,
        request_id: str,
    ) -> None:
        self._dependencies = dependencies
        self._request = request
        self._workspace_name = workspace_name
        self._workspace = workspace
        self._request_id = request_id
        self._lifecycle = RequestLifecycle()
        self._answer = AnswerTokens()
        self._prompt_tokens = request.prompt_tokens
        self._prefix_hashes = prefix_hashes(request.prompt)
        self._avoided_servers: tuple[str, ...] = ()
        self._charge: Charge | None = None
        self._content_keys = request.content_keys
        self._attempt_tokens = 0
        self._attempt_began_s = 0.0
        self._has_begun = False  # whether the engine of this attempt went on after a first token
        self._was_sent = False
        self._arrived_s = now_s()

    @property
    def request(self) -> CompletionRequest:
        """The validated request."""
        return self._request

    @property
    def request_id(self) -> str:
        """Identifier of the request."""
        return self._request_id

    @property
    def prompt_tokens(self) -> int:
        """Number of prompt tokens: an upper bound, replaced by the engine's count after prefill."""
        return self._prompt_tokens

    async def events(self) -> AsyncGenerator[DecodedToken | DecodeEnd, None]:
        """Yield every token of the answer once and in order, then the end event.

        Raises
        ------
        RefusedError
            The request was refused or its retries are exhausted.
        """
        try:
            for attempt in range(_MAX_ATTEMPTS):
                self._check_quarantine()
                grant = await self._acquire(attempt)
                try:
                    async with aclosing(self._run_attempt(grant)) as events:
                        async for event in events:
                            yield event
                    self._lifecycle.trigger("finish")
                    return
                except (EngineError, ProtocolError) as error:
                    self._prepare_retry(error, grant)
            raise RefusedError(
                retries_exhausted_refusal(step=self._lifecycle.state, was_sent=self._was_sent)
            )
        finally:
            self._settle_charge()
            self._lifecycle.close()

    def _check_quarantine(self) -> None:
        refusal = self._dependencies.quarantine.check(self._content_keys)
        if refusal is not None:
            self._value_or_raise(Err(refusal))

    async def _run_attempt(self, grant: Grant) -> AsyncGenerator[DecodedToken | DecodeEnd, None]:
        was_sent = False
        self._attempt_tokens = 0
        self._attempt_began_s = now_s()
        self._has_begun = False
        try:
            self._lifecycle.trigger("grant")
            await self._charge_tokens()
            self._lifecycle.trigger("charged")
            self._check_quarantine()
            was_sent = self._was_sent = True
            await self._prefill(grant)
            await self._transfer(grant)
            self._check_quarantine()
            async with aclosing(self._decode(grant)) as events:
                async for event in events:
                    yield event
        except BaseException:
            self._clean_up(grant, was_sent=was_sent)
            raise
        finally:
            if self._has_begun:
                self._dependencies.quarantine.record_end(self._content_keys)
        self._dependencies.placer.release(grant)

    def _clean_up(self, grant: Grant, *, was_sent: bool) -> None:
        """Release the place, after cancelling the attempt at the engines if it was sent."""
        dependencies = self._dependencies
        if not was_sent:
            dependencies.placer.release(grant)
            return
        cleanup = GrantCleanup(
            engines=dependencies.engines, placer=dependencies.placer, metrics=dependencies.metrics
        )
        dependencies.background.start(cleanup.run(grant), name="free")

    async def _acquire(self, attempt: int) -> Grant:
        waited_s = now_s() - self._arrived_s
        max_wait_s = self._workspace.max_wait_s - waited_s
        if self._was_sent:
            max_wait_s = max(max_wait_s, _MIN_RESUME_WAIT_S)
        request = PlacementRequest(
            request_id=f"{self._request_id}.{attempt}",
            workspace=self._workspace_name,
            model=self._request.model,
            prompt_tokens=self._request.prompt_tokens + len(self._answer),
            max_tokens=self._request.max_tokens - len(self._answer),
            prefix_hashes=self._prefix_hashes,
            max_wait_s=max_wait_s,
            avoid=self._avoided_servers,
            waited_s=waited_s,
            is_resumed=self._was_sent,
        )
        return self._value_or_raise(await self._dependencies.placer.acquire(request))

    async def _charge_tokens(self) -> None:
        """Charge the tokens of the whole request; later attempts are not charged again."""
        if self._charge is not None:
            return
        charged = await self._dependencies.limiter.charge(
            request_id=self._request_id,
            workspace=self._workspace_name,
            tokens=self._request.prompt_tokens + self._request.max_tokens,
        )
        self._charge = self._value_or_raise(charged)

    async def _prefill(self, grant: Grant) -> None:
        task = PrefillTask(
            request_id=grant.request_id,
            model=self._request.model,
            prompt=self._request.prompt,
            generated=self._answer.texts,
            priority=self._workspace.priority,
        )
        try:
            result = await self._dependencies.engines.prefill(
                grant.prefill_address, task, timeout_s=_PREFILL_TIMEOUT_S
            )
        finally:
            self._dependencies.placer.release_prefill(grant)
        self._prompt_tokens = result.prompt_tokens
        self._update_charge()
        self._lifecycle.trigger("prefilled")

    async def _transfer(self, grant: Grant) -> None:
        await self._dependencies.engines.import_kv(
            grant.decode_address,
            request_id=grant.request_id,
            source=grant.prefill_address,
            prompt_tokens=self._prompt_tokens,
            max_tokens=self._request.max_tokens,
            timeout_s=_TRANSFER_TIMEOUT_S,
        )
        self._lifecycle.trigger("transferred")

    async def _decode(self, grant: Grant) -> AsyncGenerator[DecodedToken | DecodeEnd, None]:
        """Yield events; resume a dropped stream at the same engine if possible."""
        for reconnects_left in range(_MAX_RECONNECTS, -1, -1):
            try:
                async with aclosing(self._read_stream(grant)) as events:
                    async for event in events:
                        yield event
                return
            except EngineError as error:
                if reconnects_left == 0 or not may_resume_at_same_engine(error):
                    raise
                self._dependencies.metrics.count_retry(RetryReason.STREAM_BROKEN)

    async def _read_stream(self, grant: Grant) -> AsyncGenerator[DecodedToken | DecodeEnd, None]:
        stream = self._dependencies.engines.decode(
            grant.decode_address,
            request_id=grant.request_id,
            from_index=len(self._answer),
            stall_timeout_s=_STALL_TIMEOUT_S,
        )
        async with aclosing(stream):
            async for event in stream:
                if isinstance(event, DecodeEnd):
                    self._answer.check_end(event, server=grant.decode_server)
                    self._record_begin()
                    yield event
                    return
                self._accept_token(event, grant)
                yield event
        message = "stream ended early"
        raise EngineError(message, step="decode", peer=grant.decode_server, crashed=True)

    def _accept_token(self, token: DecodedToken, grant: Grant) -> None:
        self._answer.accept(token, server=grant.decode_server)
        self._attempt_tokens += 1
        if self._attempt_tokens >= _BEGUN_TOKENS:
            self._record_begin()
        if len(self._answer) == 1:
            self._dependencies.metrics.record_first_token(now_s() - self._arrived_s)

    def _record_begin(self) -> None:
        if not self._has_begun:
            self._has_begun = True
            self._dependencies.quarantine.record_begin(self._content_keys)

    def _prepare_retry(self, error: EngineError | ProtocolError, grant: Grant) -> None:
        failure = classify(error, grant)
        logger.bind(request_id=self._request_id, step=error.step, peer=error.peer).info(
            "attempt failed ({}): {}", failure.reason.value, error.message
        )
        metrics = self._dependencies.metrics
        metrics.count_retry(failure.reason)
        if failure.wastes_prefill:
            metrics.count_event(f"prefill_wasted_{failure.reason.value}")
        if failure.is_server_failure:
            self._dependencies.placer.report_failure(failure.server)
        if indicates_engine_crash(error) and not self._has_begun:
            waited_s = now_s() - self._attempt_began_s
            suspect = Suspect(keys=self._content_keys, waited_s=waited_s)
            self._dependencies.quarantine.report_crash(failure.server, [suspect])
        self._avoided_servers = (failure.server,)
        self._lifecycle.trigger("retry")

    def _update_charge(self) -> None:
        """Return the overestimated part of the prompt tokens to the limiter."""
        if self._charge is not None:
            self._dependencies.limiter.update(
                self._charge,
                used_tokens=self._prompt_tokens + len(self._answer),
                reserved_tokens=self._request.max_tokens - len(self._answer),
            )

    def _settle_charge(self) -> None:
        if self._charge is None:
            return
        used_tokens = self._prompt_tokens + len(self._answer) if self._was_sent else 0
        self._dependencies.limiter.settle(self._charge, used_tokens=used_tokens)

    def _value_or_raise(self, outcome: Result[ValueT, Refusal]) -> ValueT:
        """Return the value or raise the refusal, with `not_run` set only if no attempt was sent."""
        if isinstance(outcome, Err):
            refusal = outcome.err_value
            raise RefusedError(attrs.evolve(refusal, not_run=not self._was_sent))
        return outcome.ok_value
