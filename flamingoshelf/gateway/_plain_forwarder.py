"""Forwards calls to plain services."""

import asyncio
from collections.abc import Callable

import attrs
from loguru import logger

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.gateway._admission import AdmittedRequest
from flamingoshelf.gateway._backend_client import (
    BackendClient,
    BackendResponse,
    NotRunError,
    ServerPausedError,
    WrongInstanceError,
)
from flamingoshelf.gateway._crash_detector import CrashDetector
from flamingoshelf.gateway._target_selector import TargetSelector
from flamingoshelf.gateway._wire import BackendCall
from flamingoshelf.http1 import Exchange, ResponseHead
from flamingoshelf.placement import PlainCallMeter
from flamingoshelf.refusals import Refusal, RefusalReason, RetryReason
from flamingoshelf.retries import RetryBudget
from flamingoshelf.routing import BackendInstance, CallKind, ServerSelector
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import now_s

__all__ = ["PlainForwarder"]

_MAX_BUFFERED_BYTES = 256 * 1024  # larger responses are streamed to the caller as they arrive
_NO_SERVER_RETRY_AFTER_S = 0.3  # a restarted server is listed again after about 1 s
_REJECTED_RETRY_AFTER_S = 0.1  # a server's queue empties within a few calls of 20 ms
_MIN_REMAINING_S = 0.005  # too short for a server to do any work
# An idempotent call without an answer after this share of its latency goal is sent to another
# server: if the first server is lost, the call would miss its goal otherwise.
_ATTEMPT_GOAL_SHARE = 0.9
_FAILURE_STATUSES = frozenset({500, 502, 503, 504})


@attrs.frozen(kw_only=True)
class _BufferedResponse:
    """A complete response of a server."""

    head: ResponseHead
    body: bytes

    @property
    def is_failure(self) -> bool:
        """Whether the status is a server failure that another server may not have."""
        return self.head.status in _FAILURE_STATUSES


class PlainForwarder:
    """Sends a call to one server of its service, and retries it at others where that is safe.

    Parameters
    ----------
    client : BackendClient
        Sends calls.
    targets : TargetSelector
        Chooses the service of a route and lists its servers.
    selector : ServerSelector
        Chooses a server by load and failures.
    budget : callable
        ``budget(service)`` returns the retry budget of a service.
    plain_calls : PlainCallMeter
        Charges calls to their workspaces' limits.
    crash_detector : CrashDetector
        Detects and refuses requests that crash servers.
    metrics : Metrics
        Counts retries.
    """

    def __init__(
        self,
        *,
        client: BackendClient,
        targets: TargetSelector,
        selector: ServerSelector,
        budget: Callable[[str], RetryBudget],
        plain_calls: PlainCallMeter,
        crash_detector: CrashDetector,
        metrics: Metrics,
    ) -> None:
        self._crash_detector = crash_detector
        self._plain_calls = plain_calls
        self._client = client
        self._targets = targets
        self._selector = selector
        self._budget = budget
        self._metrics = metrics

    async def forward(self, exchange: Exchange, request: AdmittedRequest) -> Refusal | None:
        """Answer a request, or return its refusal."""
        refusal = self._crash_detector.check(request)
        if refusal is not None:
            return refusal
        if request.workspace is not None:
            tokens = request.workspace.default_call_tokens
            refusal = self._plain_calls.charge(request.workspace.name, tokens)
            if refusal is not None:
                return refusal
        service = self._targets.choose_service(request.route)
        self._budget(service).record_request()
        state = _RequestState(request=request, service=service)
        while True:
            instance = self._choose_server(state)
            if instance is None:
                return self._finish(exchange, state)
            if await self._attempt(exchange, state, instance):
                return None
            if not self._may_retry(state):
                return self._finish(exchange, state)

    def _choose_server(self, state: "_RequestState") -> BackendInstance | None:
        servers = self._targets.instances(state.service)
        pauses = self._targets.pauses(state.service)
        if servers and len(pauses) == len(servers):
            state.pause_s = min(pauses.values())
        servers = [server for server in servers if server.key not in pauses]
        key = self._selector.choose(servers, tried=frozenset(state.tried))
        return next((server for server in servers if server.key == key), None)

    async def _attempt(
        self, exchange: Exchange, state: "_RequestState", instance: BackendInstance
    ) -> bool:
        """Send the call to one server; return whether the caller was answered."""
        state.tried.add(instance.key)
        remaining_s = state.request.deadline_s - now_s()
        if remaining_s < _MIN_REMAINING_S:
            state.is_out_of_time = True
            return False
        log = logger.bind(
            request_id=state.request.request_id, step="forward", peer=instance.key, sent=state.sent
        )
        started_s = now_s()
        self._selector.start_call(instance.key)
        exchange.backend_server = instance.key
        is_failure: bool | None = None
        try:
            answer = await self._call(exchange, state, instance, remaining_s)
            if answer is None:
                is_failure = False
                return True
            is_failure = answer.is_failure
            self._crash_detector.record_success(state.request)
            if answer.is_failure and self._may_retry_failure(state):
                state.failure, state.failed_server = answer, instance.key
                state.is_retry_charged = True
                log.info("status {}; another server is tried", answer.head.status)
                return False
            exchange.respond(answer.head, answer.body)
            return True
        except WrongInstanceError as error:
            is_failure = None
            self._targets.mark_replaced(instance)
            state.last_error = error
            log.info("call not run: {}", error.message)
        except ServerPausedError as error:
            is_failure = None  # a pause says nothing about the server's health
            state.last_error = error
            state.rejections += 1
            log.info("call not run: {}", error.message)
        except NotRunError as error:
            is_failure = True
            state.last_error = error
            state.rejections += 1
            log.info("call not run: {}", error.message)
        except PeerUnreachableError as error:
            is_failure = True
            state.last_error = error
            log.info("call not sent: {}", error.message)
        except OutcomeUnknownError as error:
            is_failure = True
            state.sent += 1
            state.last_error = error
            log.warning("outcome unknown: {}", error.message)
            self._crash_detector.record_lost_run(state.request, instance)
            if exchange.is_started:
                exchange.abort()
                return True
        except TimeoutError:
            state.sent += 1
            state.is_out_of_time = state.request.deadline_s - now_s() < _MIN_REMAINING_S
            log.warning(
                "call timed out {:.3f} s after the request arrived",
                now_s() - state.request.arrived_s,
            )
            if exchange.is_started:
                exchange.abort()
                return True
            self._selector.record_silence(instance.key, since_s=started_s)
        finally:
            self._selector.end_call(instance.key, is_failure=is_failure)
        return False

    async def _call(
        self,
        exchange: Exchange,
        state: "_RequestState",
        instance: BackendInstance,
        remaining_s: float,
    ) -> _BufferedResponse | None:
        """Return the buffered response, or None if it was streamed to the caller."""
        call = BackendCall(
            instance=instance,
            workspace=state.request.workspace_name,
            remaining_s=remaining_s,
        )
        async with asyncio.timeout(self._attempt_timeout_s(state, remaining_s)) as timeout:
            async with self._client.send(state.request, call) as response:
                if response.head.is_success and not response.is_signed:
                    raise OutcomeUnknownError("no signature", step="answer", peer=instance.key)
                return await self._read_body(exchange, state, response, timeout)

    async def _read_body(
        self,
        exchange: Exchange,
        state: "_RequestState",
        response: BackendResponse,
        timeout: asyncio.Timeout,
    ) -> _BufferedResponse | None:
        """Buffer the body; once it exceeds the buffer, stream it to the caller and return None."""
        parts: list[bytes] = []
        size = 0
        while part := await response.read():
            size += len(part)
            if exchange.is_started:
                await exchange.write(part)
                continue
            parts.append(part)
            if size > _MAX_BUFFERED_BYTES:
                timeout.reschedule(state.request.deadline_s)
                exchange.start_response(response.head)
                await exchange.write(b"".join(parts))
        if not exchange.is_started:
            return _BufferedResponse(head=response.head, body=b"".join(parts))
        exchange.end()
        return None

    def _attempt_timeout_s(self, state: "_RequestState", remaining_s: float) -> float:
        """Return the seconds to wait for one server."""
        route = state.request.route
        if route.kind is not CallKind.IDEMPOTENT or state.sent + 1 >= route.max_attempts:
            return remaining_s
        return min(remaining_s, route.latency_goal_s * _ATTEMPT_GOAL_SHARE)

    def _may_retry_failure(self, state: "_RequestState") -> bool:
        """Count a failure response; return whether to retry it at another server."""
        state.sent += 1
        return (
            state.request.route.may_repeat
            and state.sent < state.request.route.max_attempts
            and self._choose_server(state) is not None
            and self._spend_retry(state, RetryReason.SERVICE_FAILED)
        )

    def _may_retry(self, state: "_RequestState") -> bool:
        """Return whether to try another server; only sent attempts cost a retry of the budget."""
        if state.is_out_of_time:
            return False
        if state.is_retry_charged:
            state.is_retry_charged = False
            return True
        if state.sent and not state.request.route.may_repeat:
            return False
        if state.sent >= state.request.route.max_attempts:
            return False
        error = state.last_error
        was_held_back = isinstance(error, ServerPausedError) and not error.was_sent
        was_sent = state.sent > 0 or (isinstance(error, NotRunError) and not was_held_back)
        return not was_sent or self._spend_retry(state, RetryReason.SERVICE_FAILED)

    def _spend_retry(self, state: "_RequestState", reason: RetryReason) -> bool:
        if not self._budget(state.service).try_spend():
            return False
        self._metrics.count_retry(reason)
        return True

    def _finish(self, exchange: Exchange, state: "_RequestState") -> Refusal | None:
        """Answer with a server's failure response if there is one, else return a refusal."""
        if state.failure is not None:
            exchange.backend_server = state.failed_server
            exchange.respond(state.failure.head, state.failure.body)
            return None
        if state.sent:
            return _no_answer_refusal(state)
        if state.is_out_of_time:
            return _not_run_refusal(
                RefusalReason.DEADLINE_UNREACHABLE, "There is no time left.", None
            )
        if state.pause_s is not None:
            detail = "All servers have asked for a pause."
            return _not_run_refusal(RefusalReason.QUEUE_FULL, detail, state.pause_s)
        if state.rejections:
            detail = "The servers are full."
            return _not_run_refusal(RefusalReason.QUEUE_FULL, detail, _REJECTED_RETRY_AFTER_S)
        detail = "No server of the service can be reached."
        return _not_run_refusal(RefusalReason.NO_BACKEND, detail, _NO_SERVER_RETRY_AFTER_S)


@attrs.define(kw_only=True)
class _RequestState:
    """Progress of one request over all attempts.

    Attributes
    ----------
    tried : set of str
        Keys of the servers chosen so far.
    sent : int
        Number of servers that may have run the request.
    rejections : int
        Number of servers that refused the request without running it.
    is_out_of_time : bool
        Whether too little time is left for another attempt.
    failure : _BufferedResponse or None
        Failure response that the caller gets if no other server answers.
    failed_server : str
        Key of the server that sent the failure response.
    is_retry_charged : bool
        Whether the next attempt was charged to the budget already.
    last_error : Exception or None
        Last error of an attempt, timeouts excluded.
    pause_s : float or None
        Seconds until the first server takes requests again, if all have asked for a pause.
    """

    request: AdmittedRequest
    service: str
    tried: set[str] = attrs.field(factory=set)
    sent: int = 0
    rejections: int = 0
    is_out_of_time: bool = False
    failure: _BufferedResponse | None = None
    failed_server: str = ""
    is_retry_charged: bool = False
    last_error: Exception | None = None
    pause_s: float | None = None


def _no_answer_refusal(state: _RequestState) -> Refusal:
    is_late = state.is_out_of_time
    return Refusal(
        reason=RefusalReason.BACKEND_FAILED,
        status=504 if is_late else 502,
        detail="The service gave no answer in time." if is_late else "The service gave no answer.",
        not_run=False,
        step="forward",
    )


def _not_run_refusal(reason: RefusalReason, detail: str, retry_after_s: float | None) -> Refusal:
    return Refusal(
        reason=reason,
        status=503,
        detail=detail,
        not_run=True,
        retry_after_s=retry_after_s,
        step="forward",
    )
