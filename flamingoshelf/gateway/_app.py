"""Entry point for callers' requests."""

import asyncio

import attrs
from loguru import logger
from result import Err

from flamingoshelf.gateway._active_configuration import ActiveConfiguration
from flamingoshelf.gateway._admission import Admission, AdmittedRequest
from flamingoshelf.gateway._answer_limit import AnswerLimitError
from flamingoshelf.gateway._plain_forwarder import PlainForwarder
from flamingoshelf.gateway._refusals import SHUTTING_DOWN, refusal_response
from flamingoshelf.gateway._stream_forwarder import StreamForwarder
from flamingoshelf.http1 import BodyTooLargeError, Exchange
from flamingoshelf.refusals import Refusal, RefusalReason
from flamingoshelf.routing import CallKind
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import now_s

__all__ = ["Gateway"]


class Gateway:
    """Admits requests, and forwards them as plain calls or as streams.

    Parameters
    ----------
    configuration : ActiveConfiguration
        The configuration in force.
    admission : Admission
        Determines route and workspace.
    plain : PlainForwarder
        Forwards calls to plain services.
    streams : StreamForwarder
        Forwards streams from model engines.
    metrics : Metrics
        Counters and latency histograms.
    """

    def __init__(
        self,
        *,
        configuration: ActiveConfiguration,
        admission: Admission,
        plain: PlainForwarder,
        streams: StreamForwarder,
        metrics: Metrics,
    ) -> None:
        self._configuration = configuration
        self._admission = admission
        self._plain = plain
        self._streams = streams
        self._metrics = metrics

    async def handle(self, exchange: Exchange) -> None:
        """Answer a request, and log its outcome."""
        admitted = self._admission.admit(exchange.head, arrived_s=exchange.arrived_s)
        if isinstance(admitted, Err):
            self._refuse(exchange, admitted.err_value)
            return
        request = admitted.ok_value
        exchange.request_id = request.request_id
        try:
            async with request.answer_limit.enforce():
                body = await exchange.read_body(limit=self._configuration.limits.max_body_bytes)
        except BodyTooLargeError as error:
            self._refuse(exchange, _body_too_large_refusal(str(error)), request)
            return
        except AnswerLimitError:
            self._refuse(exchange, SHUTTING_DOWN, request)
            return
        request = attrs.evolve(request, body=body)
        del body
        is_stream = request.route.kind is CallKind.STREAM
        forwarder = self._streams if is_stream else self._plain
        try:
            refusal = await forwarder.forward(exchange, request)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():  # otherwise only what was awaited ended
                self._log_disconnect(exchange, request)
            raise
        finally:
            request.release_body()
        if refusal is not None:
            self._refuse(exchange, refusal, request)
            return
        self._log_answer(exchange, request)

    def _refuse(
        self, exchange: Exchange, refusal: Refusal, request: AdmittedRequest | None = None
    ) -> None:
        self._metrics.count_refusal(refusal.reason)
        if request is None:
            request_id = self._admission.request_id_of(exchange.head)
        else:
            request_id = request.request_id
        logger.bind(
            request_id=request_id,
            route=None if request is None else request.route.name,
            workspace=None if request is None else request.workspace_name,
            path=exchange.head.path,
            step=refusal.step,
            reason=refusal.reason.value,
            detail=refusal.detail,
            peer=refusal.peer or exchange.backend_server or None,
            status=refusal.status,
            not_run=refusal.not_run,
            retry_after_s=(
                None if refusal.retry_after_s is None else round(refusal.retry_after_s, 3)
            ),
            version=self._configuration.version,
            after_s=round(now_s() - exchange.arrived_s, 4),
        ).info("refused")
        exchange.respond(*refusal_response(refusal))

    def _log_disconnect(self, exchange: Exchange, request: AdmittedRequest) -> None:
        """Count and log a caller that disconnected before the end of its answer."""
        self._metrics.count_event("callers_left")
        logger.bind(
            request_id=request.request_id,
            route=request.route.name,
            workspace=request.workspace_name,
            step="answer",
            peer=exchange.backend_server or None,
            status=exchange.status,
            after_s=round(now_s() - exchange.arrived_s, 4),
        ).info("the caller left, or its connection broke")

    def _log_answer(self, exchange: Exchange, request: AdmittedRequest) -> None:
        self._metrics.record_answer(now_s() - exchange.arrived_s, kind=request.route.kind.value)
        logger.bind(
            request_id=request.request_id,
            route=request.route.name,
            workspace=request.workspace_name,
            step="answer",
            peer=exchange.backend_server or None,
            status=exchange.status,
            version=request.configuration_version,
            after_s=round(now_s() - exchange.arrived_s, 4),
            goal_s=request.route.latency_goal_s,
        ).info("broken off" if exchange.is_aborted else "answered")


def _body_too_large_refusal(detail: str) -> Refusal:
    return Refusal(reason=RefusalReason.BODY_TOO_LARGE, status=413, detail=detail, not_run=True)
