"""Forwards calls to plain services."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.gateway._admission import AdmittedRequest
from flamingoshelf.gateway._answer_limit import AnswerLimitError
from flamingoshelf.gateway._backend_client import BackendClient
from flamingoshelf.gateway._backend_response import (
    NotRunError,
    ServerPausedError,
    WrongInstanceError,
)
from flamingoshelf.gateway._crash_detector import BEGUN_EVENTS, CrashDetector
from flamingoshelf.gateway._durations import CallDurations
from flamingoshelf.gateway._plain_attempt import PlainAttempt
from flamingoshelf.gateway._plain_call_placer import PlainCallPlacer
from flamingoshelf.gateway._plain_server_chooser import PlainServerChooser
from flamingoshelf.gateway._plain_state import PlainState, final_refusal
from flamingoshelf.gateway._refusals import SHUTTING_DOWN
from flamingoshelf.gateway._target_selector import TargetSelector
from flamingoshelf.gateway._wire import BackendCall
from flamingoshelf.http1 import Exchange, NoFreeConnectionError, SlowConnectionError
from flamingoshelf.paths import PathReports
from flamingoshelf.placement import PlainCallMeter
from flamingoshelf.plain_placement import PlacementService
from flamingoshelf.refusals import Refusal, RetryReason
from flamingoshelf.retries import RetryBudget
from flamingoshelf.routing import BackendInstance, ServerSelector
from flamingoshelf.server_limits import LimitService
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import now_s

if TYPE_CHECKING:
    from loguru import Logger

__all__ = ["PlainForwarder"]

_MIN_REMAINING_S = 0.005  # too short for a server to do any work
# A call without an answer after this share of its latency goal is overdue. Another server is called
# too: if the first one is lost, the call would miss its goal otherwise.
_OVERDUE_GOAL_SHARE = 0.9


class PlainForwarder:
    """Sends a call to one server of its service, and to others where that is safe.

    Another server is called if one gives no good answer, or if the call is overdue. An overdue call
    goes on beside the new one, since its server may be sound; the first good answer counts.

    Parameters
    ----------
    client : BackendClient
        Sends calls.
    targets : TargetSelector
        Chooses the service of a route and lists its servers.
    selector : ServerSelector
        Chooses a server by load and failures.
    limits : LimitService
        Gives permits for servers that state limits.
    budget : callable
        ``budget(service)`` returns the retry budget of a service.
    plain_calls : PlainCallMeter
        Charges calls to their workspaces' limits.
    crash_detector : CrashDetector
        Detects and refuses requests that crash servers.
    paths : PathReports
        Learns of silent servers.
    metrics : Metrics
        Counts retries.
    placement : PlacementService or None
        Has calls placed by the coordinator; None if each node chooses servers by itself.
    places_by_cost : callable
        Returns whether `placement` is used now.
    """

    def __init__(
        self,
        *,
        client: BackendClient,
        targets: TargetSelector,
        selector: ServerSelector,
        limits: LimitService,
        budget: Callable[[str], RetryBudget],
        plain_calls: PlainCallMeter,
        crash_detector: CrashDetector,
        paths: PathReports,
        metrics: Metrics,
        placement: PlacementService | None = None,
        places_by_cost: Callable[[], bool] = lambda: True,
    ) -> None:
        self._paths = paths
        self._crash_detector = crash_detector
        self._plain_calls = plain_calls
        self._client = client
        self._targets = targets
        self._selector = selector
        self._placer = (
            None
            if placement is None
            else PlainCallPlacer(placement=placement, is_used=places_by_cost)
        )
        self._servers = PlainServerChooser(
            targets=targets, selector=selector, limits=limits, placer=self._placer
        )
        self._durations = CallDurations()
        self._budget = budget
        self._metrics = metrics

    async def forward(self, exchange: Exchange, request: AdmittedRequest) -> Refusal | None:
        """Answer a request, or return its refusal."""
        refusal = self._crash_detector.check(request)
        if refusal is not None:
            return refusal
        if self._is_too_late(request):
            return SHUTTING_DOWN
        if request.workspace is not None:
            tokens = request.workspace.default_call_tokens
            refusal = self._plain_calls.charge(request.workspace.name, tokens)
            if refusal is not None:
                return refusal
        service = self._targets.choose_service(request.route)
        self._budget(service).record_request()
        state = PlainState(exchange=exchange, request=request, service=service)
        try:
            async with request.answer_limit.enforce():
                return await self._answer(state)
        except AnswerLimitError:
            return await self._answer_at_limit(state)
        finally:
            for attempt in state.running:  # the caller has left
                self._end(attempt, is_failure=None)
            for attempt in state.attempts:
                attempt.cancel()
            for attempt in state.attempts:
                await attempt.close()

    async def _answer(self, state: PlainState) -> Refusal | None:
        """Start calls and wait for them until one has a good answer or none is left."""
        await self._start_attempt(state)
        while running := state.running:
            until_s = state.request.answer_by_s
            pending = [a for a in running if not a.is_overdue and a.overdue_s < until_s]
            next_overdue = min(pending, key=lambda attempt: attempt.overdue_s, default=None)
            if next_overdue is not None:
                until_s = next_overdue.overdue_s
            done, _ = await asyncio.wait(
                [attempt.task for attempt in running],
                timeout=max(0.0, until_s - now_s()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            ended = [attempt for attempt in running if attempt.task in done]
            good = [attempt for attempt in ended if self._has_good_answer(state, attempt)]
            if good:
                await self._relay(state, good[0])
                return None
            if ended:
                await self._retry(state, ended)
            elif next_overdue is not None:
                await self._hedge(state, next_overdue)
            else:
                self._time_out(state)
        if state.failure is not None:
            await self._relay(state, state.failure)
            return None
        return final_refusal(state)

    def _is_too_late(self, request: AdmittedRequest) -> bool:
        """Return whether this node stops before a call that begins now would probably end."""
        return request.answer_limit.left_s < self._durations.expected_s(request.route.name)

    async def _answer_at_limit(self, state: PlainState) -> Refusal | None:
        """Answer a request as far as it is known, as this node ends."""
        state.is_out_of_time = True
        for attempt in state.running:
            self._end_unanswered(state, attempt)
        if state.exchange.is_started:
            state.exchange.abort()
            return None
        if state.failure is not None:
            await self._relay(state, state.failure)
            return None
        return final_refusal(state)

    async def _start_attempt(self, state: PlainState) -> str:
        """Call another server; return the reason if that is not possible, else an empty string."""
        route = state.request.route
        if state.may_have_run and not route.may_repeat:
            return "it may not be repeated"
        if state.may_have_run and state.may_have_run >= route.max_attempts:
            return "no attempt is left"
        if state.was_sent and self._crash_detector.check(state.request) is not None:
            return "its content is quarantined"
        if self._is_too_late(state.request):
            state.is_too_late = True
            return "this node stops before it would end"
        is_repeat = state.was_sent
        if is_repeat and not self._budget(state.service).try_spend():
            return "the retry budget is spent"
        instance = await self._choose(state)
        obstacle = self._find_obstacle(state, instance)
        if instance is None or obstacle:
            if self._placer is not None:
                self._placer.release(state)
            if is_repeat:
                self._budget(state.service).refund(1.0)
            return obstacle
        if is_repeat:
            self._metrics.count_retry(RetryReason.SERVICE_FAILED)
        call = BackendCall(
            instance=instance,
            workspace=state.request.workspace_name,
            remaining_s=state.remaining_s,
        )
        attempt = PlainAttempt(
            client=self._client,
            request=state.request,
            call=call,
            overdue_after_s=route.latency_goal_s * _OVERDUE_GOAL_SHARE,
            is_patient=state.is_patient,
        )
        if self._placer is not None:
            self._placer.begin(state, attempt)
        state.attempts.append(attempt)
        state.exchange.backend_server = attempt.key
        self._selector.start_call(attempt.key)
        return ""

    def _find_obstacle(self, state: PlainState, instance: BackendInstance | None) -> str:
        """Return why a server that was chosen isn't called, or an empty string.

        The request may have waited for the coordinator's decision for seconds.
        """
        if instance is None:
            return "no other server"
        if state.remaining_s < _MIN_REMAINING_S:
            state.is_out_of_time = True
            return "no time is left"
        if self._placer is None:
            return ""
        state.quarantine = self._crash_detector.check(state.request)
        if state.quarantine is not None:
            return "its content is quarantined"
        if self._is_too_late(state.request):
            state.is_too_late = True
            return "this node stops before it would end"
        return ""

    async def _choose(self, state: PlainState) -> BackendInstance | None:
        """Return a server to call, or None.

        Servers whose new connections are slow are called again if there is no other one.
        """
        instance = await self._servers.choose(state)
        is_slow = any(attempt.found_no_connection for attempt in state.attempts)
        if instance is None and is_slow and not state.is_patient:
            state.is_patient = True
            instance = await self._servers.choose(state)
        return instance

    def _has_good_answer(self, state: PlainState, attempt: PlainAttempt) -> bool:
        """Return whether a call has a good answer; record how it ended if not."""
        log = self._log(state, attempt)
        is_failure: bool | None = True
        try:
            answer = attempt.task.result()
            if answer.rest is None:
                self._crash_detector.record_success(state.request)
            if not answer.is_failure:
                self._durations.record(state.request.route.name, now_s() - attempt.started_s)
                return True
            state.sent += 1
            state.failure = attempt
        except WrongInstanceError as error:
            is_failure = None
            self._targets.mark_replaced(attempt.instance)
            state.last_error = error
            log.info("call not run: {}", error.message)
        except ServerPausedError as error:
            is_failure = None  # a pause says nothing about the server's health
            state.last_error = error
            state.rejections += 1
            log.info("call not run: {}", error.message)
        except NotRunError as error:
            state.last_error = error
            state.rejections += 1
            log.info("call not run: {}", error.message)
        except SlowConnectionError as error:
            is_failure = None  # others wait for connections, too
            attempt.found_no_connection = True
            state.last_error = error
            log.info("call not sent: {}", error.message)
        except NoFreeConnectionError as error:
            is_failure = None  # this node's limit says nothing about the server's health
            state.last_error = error
            log.info("call not sent: {}", error.message)
        except PeerUnreachableError as error:
            state.last_error = error
            log.info("call not sent: {}", error.message)
        except OutcomeUnknownError as error:
            state.sent += 1
            state.last_error = error
            log.warning("outcome unknown: {}", error.message)
            self._crash_detector.record_lost_run(
                state.request, attempt.instance, sent_s=attempt.started_s
            )
        self._end(attempt, is_failure=is_failure)
        return False

    async def _retry(self, state: PlainState, ended: list[PlainAttempt]) -> None:
        """Call another server after calls have ended without a good answer."""
        await self._start_attempt(state)
        if state.failure in ended and state.running:
            status = state.failure.task.result().head.status
            self._log(state, state.failure).info("status {}; another server is tried", status)

    async def _hedge(self, state: PlainState, attempt: PlainAttempt) -> None:
        """Call another server beside an overdue call."""
        attempt.is_overdue = True
        self._record_silence(attempt)
        obstacle = await self._start_attempt(state)
        log = self._log(state, attempt).bind(waited_s=round(now_s() - attempt.started_s, 3))
        if obstacle:
            log.info("call overdue; no other server is called: {}", obstacle)
        else:
            log.info("call overdue; another server is called too")

    def _time_out(self, state: PlainState) -> None:
        """End all calls at the deadline."""
        state.is_out_of_time = True
        for attempt in state.running:
            self._record_silence(attempt)
            self._end_unanswered(state, attempt)

    def _end_unanswered(self, state: PlainState, attempt: PlainAttempt) -> None:
        """Record that a call is given up; its server may have run it if it has received it."""
        self._log_timeout(state, attempt)
        state.sent += attempt.may_have_arrived
        self._end(attempt, is_failure=None)

    async def _relay(self, state: PlainState, attempt: PlainAttempt) -> None:
        """Pass an answer on to the caller, and cancel the other calls."""
        for other in state.running:
            if other is not attempt:
                self._log(state, other).bind(step="cancel", answered_by=attempt.key).info(
                    "call cancelled; another server has answered"
                )
                other.cancel()
                self._end(other, is_failure=None)
        for other in state.attempts:
            if other is not attempt:
                await other.close()
        state.exchange.backend_server = attempt.key
        is_failure: bool | None = None
        try:
            async with asyncio.timeout_at(state.request.answer_by_s):
                await attempt.relay(state.exchange)
            is_failure = False
        except OutcomeUnknownError as error:
            is_failure = True
            self._log(state, attempt).warning("outcome unknown: {}", error.message)
            self._crash_detector.record_lost_run(
                state.request,
                attempt.instance,
                sent_s=attempt.started_s,
                events=BEGUN_EVENTS,
            )
            state.exchange.abort()
        except TimeoutError:
            self._log_timeout(state, attempt)
            state.exchange.abort()
        finally:
            self._end(attempt, is_failure=is_failure)

    def _record_silence(self, attempt: PlainAttempt) -> None:
        self._selector.record_silence(attempt.key, since_s=attempt.started_s)
        self._paths.record_silence(attempt.instance, since_s=attempt.started_s)

    def _end(self, attempt: PlainAttempt, *, is_failure: bool | None) -> None:
        """Record the outcome of a call at the selector, unless that was done before."""
        if not attempt.is_ended:
            attempt.is_ended = True
            self._selector.end_call(attempt.key, is_failure=is_failure)

    def _log_timeout(self, state: PlainState, attempt: PlainAttempt) -> None:
        self._log(state, attempt).warning(
            "call timed out {:.3f} s after the request arrived",
            now_s() - state.request.arrived_s,
        )

    def _log(self, state: PlainState, attempt: PlainAttempt) -> "Logger":
        return logger.bind(
            request_id=state.request.request_id, step="forward", peer=attempt.key, sent=state.sent
        )
