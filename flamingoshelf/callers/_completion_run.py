"""One completion request from its place to its last token."""

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
from flamingoshelf.callers._retry_policy import classify, given_up, is_same_engine_worth_trying
from flamingoshelf.dispatch import Grant, PlacementRequest, Placer
from flamingoshelf.exceptions import EngineError, FlamingoshelfError, ProtocolError
from flamingoshelf.limits import Charge, Limiter
from flamingoshelf.objects import Workspace
from flamingoshelf.refusals import Refusal, RetryReason
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["CompletionRun", "CompletionRunner", "RefusedError"]

ValueT = TypeVar("ValueT")

_MAX_ATTEMPTS = 4
_MAX_RECONNECTS = 2
_PREFILL_TIMEOUT_S = 15.0
_TRANSFER_TIMEOUT_S = 3.0
_STALL_TIMEOUT_S = 5.0
_SHORTEST_RESUME_WAIT_S = 10.0


class RefusedError(FlamingoshelfError):
    """The request ends with a refusal.

    Parameters
    ----------
    refusal : Refusal
        The answer to the caller.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail, step=refusal.step, peer=refusal.peer)
        self.refusal = refusal


@attrs.frozen(kw_only=True)
class CompletionRunner:
    """What the runs of one node share."""

    engines: EngineClient
    placer: Placer
    limiter: Limiter
    metrics: Metrics
    background: TaskGroup


class CompletionRun:
    """One completion request.

    Parameters
    ----------
    runner : CompletionRunner
        What the runs of one node share.
    request : CompletionRequest
        The checked request.
    workspace_name : str
        Workspace that the request runs for.
    workspace : Workspace
        Its specification.
    request_id : str
        Identifier of the request; attempts append their number.
    """

    def __init__(
        self,
        *,
        runner: CompletionRunner,
        request: CompletionRequest,
        workspace_name: str,
        workspace: Workspace,
        request_id: str,
    ) -> None:
        self._runner = runner
        self._request = request
        self._workspace_name = workspace_name
        self._workspace = workspace
        self._request_id = request_id
        self._lifecycle = RequestLifecycle()
        self._answer = AnswerTokens()
        self._prompt_tokens = request.prompt_tokens
        self._prefix_hashes = prefix_hashes(request.prompt)
        self._avoid: tuple[str, ...] = ()
        self._charge: Charge | None = None
        self._was_sent = False
        self._arrived_s = now_s()

    @property
    def request(self) -> CompletionRequest:
        """The checked request."""
        return self._request

    @property
    def request_id(self) -> str:
        """Identifier of the request."""
        return self._request_id

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the prompt: an upper bound, and once prefilled the engine's count."""
        return self._prompt_tokens

    async def tokens(self) -> AsyncGenerator[DecodedToken | DecodeEnd, None]:
        """Yield every token of the answer once and in order, and then its end.

        Raises
        ------
        RefusedError
            The request was refused or given up.
        """
        try:
            for attempt in range(_MAX_ATTEMPTS):
                grant = await self._acquire(attempt)
                try:
                    async with aclosing(self._attempt(grant)) as events:
                        async for event in events:
                            yield event
                    self._lifecycle.trigger("finish")
                    return
                except (EngineError, ProtocolError) as error:
                    self._prepare_retry(error, grant)
            raise RefusedError(given_up(step=self._lifecycle.state, was_sent=self._was_sent))
        finally:
            self._settle()
            self._lifecycle.close()

    async def _attempt(self, grant: Grant) -> AsyncGenerator[DecodedToken | DecodeEnd, None]:
        was_sent = False
        try:
            self._lifecycle.trigger("grant")
            await self._take_tokens()
            self._lifecycle.trigger("charged")
            was_sent = self._was_sent = True
            await self._prefill(grant)
            await self._transfer(grant)
            async with aclosing(self._decode(grant)) as events:
                async for event in events:
                    yield event
        except BaseException:
            self._free(grant, was_sent=was_sent)
            raise
        self._runner.placer.release(grant)

    def _free(self, grant: Grant, *, was_sent: bool) -> None:
        """Give the place back, once the engines hold nothing for the attempt."""
        runner = self._runner
        if not was_sent:
            runner.placer.release(grant)
            return
        cleanup = GrantCleanup(engines=runner.engines, placer=runner.placer, metrics=runner.metrics)
        runner.background.start(cleanup.run(grant), name="free")

    async def _acquire(self, attempt: int) -> Grant:
        waited_s = now_s() - self._arrived_s
        max_wait_s = self._workspace.max_wait_s - waited_s
        if self._was_sent:
            max_wait_s = max(max_wait_s, _SHORTEST_RESUME_WAIT_S)
        request = PlacementRequest(
            request_id=f"{self._request_id}.{attempt}",
            workspace=self._workspace_name,
            model=self._request.model,
            prompt_tokens=self._request.prompt_tokens + len(self._answer),
            max_tokens=self._request.max_tokens - len(self._answer),
            prefix_hashes=self._prefix_hashes,
            max_wait_s=max_wait_s,
            avoid=self._avoid,
            waited_s=waited_s,
            is_resumed=self._was_sent,
        )
        return self._unwrap(await self._runner.placer.acquire(request))

    async def _take_tokens(self) -> None:
        """Charge the whole request, once for all of its attempts."""
        if self._charge is not None:
            return
        charged = await self._runner.limiter.charge(
            request_id=self._request_id,
            workspace=self._workspace_name,
            tokens=self._request.prompt_tokens + self._request.max_tokens,
        )
        self._charge = self._unwrap(charged)

    async def _prefill(self, grant: Grant) -> None:
        task = PrefillTask(
            request_id=grant.request_id,
            model=self._request.model,
            prompt=self._request.prompt,
            generated=self._answer.texts,
            priority=self._workspace.priority,
        )
        try:
            result = await self._runner.engines.prefill(
                grant.prefill_address, task, timeout_s=_PREFILL_TIMEOUT_S
            )
        finally:
            self._runner.placer.release_prefill(grant)
        self._prompt_tokens = result.prompt_tokens
        self._report_use()
        self._lifecycle.trigger("prefilled")

    async def _transfer(self, grant: Grant) -> None:
        await self._runner.engines.import_kv(
            grant.decode_address,
            request_id=grant.request_id,
            source=grant.prefill_address,
            prompt_tokens=self._prompt_tokens,
            max_tokens=self._request.max_tokens,
            timeout_s=_TRANSFER_TIMEOUT_S,
        )
        self._lifecycle.trigger("transferred")

    async def _decode(self, grant: Grant) -> AsyncGenerator[DecodedToken | DecodeEnd, None]:
        """Yield events; a cut stream is taken up again at the same engine."""
        for reconnects_left in range(_MAX_RECONNECTS, -1, -1):
            try:
                async with aclosing(self._read_stream(grant)) as events:
                    async for event in events:
                        yield event
                return
            except EngineError as error:
                if reconnects_left == 0 or not is_same_engine_worth_trying(error):
                    raise
                self._runner.metrics.count_retry(RetryReason.STREAM_BROKEN)

    async def _read_stream(self, grant: Grant) -> AsyncGenerator[DecodedToken | DecodeEnd, None]:
        stream = self._runner.engines.decode(
            grant.decode_address,
            request_id=grant.request_id,
            from_index=len(self._answer),
            stall_timeout_s=_STALL_TIMEOUT_S,
        )
        async with aclosing(stream):
            async for event in stream:
                if isinstance(event, DecodeEnd):
                    self._answer.check_end(event, server=grant.decode_server)
                    yield event
                    return
                self._accept(event, grant)
                yield event
        message = "stream ended early"
        raise EngineError(message, step="decode", peer=grant.decode_server, crashed=True)

    def _accept(self, token: DecodedToken, grant: Grant) -> None:
        self._answer.accept(token, server=grant.decode_server)
        if len(self._answer) == 1:
            self._runner.metrics.record_first_token(now_s() - self._arrived_s)

    def _prepare_retry(self, error: EngineError | ProtocolError, grant: Grant) -> None:
        fault = classify(error, grant)
        logger.bind(request_id=self._request_id, step=error.step, peer=error.peer).info(
            "retry for {}: {}", fault.reason.value, error.message
        )
        metrics = self._runner.metrics
        metrics.count_retry(fault.reason)
        if fault.wastes_prefill:
            metrics.count_event(f"prefill_wasted_{fault.reason.value}")
        if fault.has_failed:
            self._runner.placer.report_failure(fault.server)
        self._avoid = (fault.server,)
        self._lifecycle.trigger("retry")

    def _report_use(self) -> None:
        """Give back what the estimate of the prompt was too high."""
        if self._charge is not None:
            self._runner.limiter.update(
                self._charge,
                used_tokens=self._prompt_tokens + len(self._answer),
                reserved_tokens=self._request.max_tokens - len(self._answer),
            )

    def _settle(self) -> None:
        if self._charge is None:
            return
        used_tokens = self._prompt_tokens + len(self._answer) if self._was_sent else 0
        self._runner.limiter.settle(self._charge, used_tokens=used_tokens)

    def _unwrap(self, outcome: Result[ValueT, Refusal]) -> ValueT:
        """Return the value; a refusal is not run only if no attempt was sent."""
        if isinstance(outcome, Err):
            refusal = outcome.err_value
            raise RefusedError(attrs.evolve(refusal, not_run=not self._was_sent))
        return outcome.ok_value
