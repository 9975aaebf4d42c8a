"""One completion request from its place to its last token."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import TypeVar

import attrs
from loguru import logger
from result import Err, Result

from flamingoshelf.backends import (
    DecodedToken,
    DecodeEnd,
    EngineClient,
    PrefillTask,
)
from flamingoshelf.callers._completion_request import CompletionRequest
from flamingoshelf.callers._lifecycle import RequestLifecycle
from flamingoshelf.dispatch import Grant, PlacementRequest, Placer
from flamingoshelf.exceptions import EngineError, FlamingoshelfError, ProtocolError
from flamingoshelf.limits import Charge, Limiter
from flamingoshelf.objects import Workspace
from flamingoshelf.refusals import Refusal, RefusalReason, RetryReason
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["CompletionRun", "CompletionRunner", "RefusedError"]

ValueT = TypeVar("ValueT")

_MAX_ATTEMPTS = 4
_PREFILL_TIMEOUT_S = 15.0
_TRANSFER_TIMEOUT_S = 5.0
_STALL_TIMEOUT_S = 5.0
_CANCEL_RETRY_S = 0.5
_MAX_CANCEL_ATTEMPTS = 20


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
        self._generated: list[str] = []
        self._prompt_tokens = request.prompt_tokens
        self._avoid: list[str] = []
        self._charge: Charge | None = None
        self._arrived_s = now_s()

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
                try:
                    async with aclosing(self._attempt(attempt)) as events:
                        async for event in events:
                            yield event
                    self._lifecycle.trigger("finish")
                    return
                except (EngineError, ProtocolError) as error:
                    self._prepare_retry(error)
            raise RefusedError(self._given_up())
        finally:
            self._settle()
            self._lifecycle.close()

    async def _attempt(self, attempt: int) -> AsyncGenerator[DecodedToken | DecodeEnd, None]:
        attempt_id = f"{self._request_id}.{attempt}"
        grant = await self._acquire(attempt_id)
        try:
            self._lifecycle.trigger("grant")
            await self._take_tokens()
            self._lifecycle.trigger("charged")
            await self._prefill_and_transfer(grant)
            async with aclosing(self._decode(grant)) as events:
                async for event in events:
                    yield event
        except BaseException:
            self._runner.background.start(self._free(grant), name="free")
            raise
        self._runner.placer.release(grant)

    async def _acquire(self, attempt_id: str) -> Grant:
        request = PlacementRequest(
            request_id=attempt_id,
            workspace=self._workspace_name,
            model=self._request.model,
            prompt_tokens=self._request.prompt_tokens + len(self._generated),
            max_tokens=self._request.max_tokens - len(self._generated),
            max_wait_s=self._workspace.max_wait_s,
            avoid=tuple(self._avoid),
        )
        return _unwrap(await self._runner.placer.acquire(request))

    async def _take_tokens(self) -> None:
        """Charge the whole request, once for all of its attempts."""
        if self._charge is not None:
            return
        charged = await self._runner.limiter.charge(
            request_id=self._request_id,
            workspace=self._workspace_name,
            tokens=self._request.prompt_tokens + self._request.max_tokens,
        )
        self._charge = _unwrap(charged)

    async def _prefill_and_transfer(self, grant: Grant) -> None:
        task = PrefillTask(
            request_id=grant.request_id,
            model=self._request.model,
            prompt=self._request.prompt,
            generated=tuple(self._generated),
            priority=self._workspace.priority,
        )
        engines = self._runner.engines
        try:
            result = await engines.prefill(
                grant.prefill_address, task, timeout_s=_PREFILL_TIMEOUT_S
            )
        finally:
            self._runner.placer.release_prefill(grant)
        self._prompt_tokens = result.prompt_tokens
        self._report_use()
        self._lifecycle.trigger("prefilled")
        await engines.import_kv(
            grant.decode_address,
            request_id=grant.request_id,
            source=grant.prefill_address,
            max_tokens=self._request.max_tokens,
            timeout_s=_TRANSFER_TIMEOUT_S,
        )
        self._lifecycle.trigger("transferred")

    async def _decode(self, grant: Grant) -> AsyncGenerator[DecodedToken | DecodeEnd, None]:
        stream = self._runner.engines.decode(
            grant.decode_address, request_id=grant.request_id, stall_timeout_s=_STALL_TIMEOUT_S
        )
        async for event in stream:
            if isinstance(event, DecodeEnd):
                self._check_end(event, grant)
                yield event
                return
            self._accept_token(event, grant)
            yield event
        message = "stream ended early"
        raise EngineError(message, step="decode", peer=grant.decode_server, crashed=True)

    def _accept_token(self, token: DecodedToken, grant: Grant) -> None:
        if token.index != len(self._generated):
            message = f"token {token.index} instead of {len(self._generated)}"
            raise ProtocolError(message, step="decode", peer=grant.decode_server)
        if not self._generated:
            self._runner.metrics.record_first_token(now_s() - self._arrived_s)
        self._generated.append(token.text)

    def _check_end(self, end: DecodeEnd, grant: Grant) -> None:
        if end.completion_tokens != len(self._generated):
            message = f"{len(self._generated)} tokens of {end.completion_tokens}"
            raise ProtocolError(message, step="decode", peer=grant.decode_server)

    def _prepare_retry(self, error: EngineError | ProtocolError) -> None:
        reason = _retry_reason(error)
        logger.bind(request_id=self._request_id, step=error.step, peer=error.peer).info(
            "retry for {}: {}", reason.value, error.message
        )
        self._runner.metrics.count_retry(reason)
        self._lifecycle.trigger("retry")

    async def _free(self, grant: Grant) -> None:
        """Cancel at both engines until each confirmed or is gone, then give the place back."""
        await asyncio.gather(
            self._cancel(grant.prefill_address, grant.request_id),
            self._cancel(grant.decode_address, grant.request_id),
        )
        self._runner.placer.release(grant)

    async def _cancel(self, address: str, request_id: str) -> None:
        for _ in range(_MAX_CANCEL_ATTEMPTS):
            try:
                await self._runner.engines.cancel(address, request_id)
                return
            except EngineError as error:
                logger.bind(request_id=request_id, step="cancel", peer=address).debug("{}", error)
                await asyncio.sleep(_CANCEL_RETRY_S)

    def _report_use(self) -> None:
        """Give back what the estimate of the prompt was too high."""
        if self._charge is not None:
            self._runner.limiter.update(
                self._charge,
                used_tokens=self._prompt_tokens + len(self._generated),
                reserved_tokens=self._request.max_tokens - len(self._generated),
            )

    def _settle(self) -> None:
        if self._charge is None:
            return
        used_tokens = self._prompt_tokens + len(self._generated)
        self._runner.limiter.settle(self._charge, used_tokens=used_tokens)

    def _given_up(self) -> Refusal:
        return Refusal(
            reason=RefusalReason.RETRIES_EXHAUSTED,
            status=502,
            detail="Every attempt failed at the engines.",
            not_run=False,
            retry_after_s=2.0,
            step=self._lifecycle.state,
        )


def _unwrap(outcome: Result[ValueT, Refusal]) -> ValueT:
    if isinstance(outcome, Err):
        raise RefusedError(outcome.err_value)
    return outcome.ok_value


def _retry_reason(error: EngineError | ProtocolError) -> RetryReason:
    if isinstance(error, ProtocolError):
        return RetryReason.STREAM_BROKEN
    if error.crashed:
        return RetryReason.ENGINE_CRASHED
    if error.step == "transfer":
        return RetryReason.TRANSFER_STALLED
    if error.step == "decode":
        return RetryReason.STREAM_STALLED
    return RetryReason.ENGINE_REFUSED
