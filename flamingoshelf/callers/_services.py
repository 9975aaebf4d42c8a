"""Endpoint for plain services."""

import random

from result import Err
from starlette.requests import Request
from starlette.responses import Response

from flamingoshelf.backends import PlainCall, PlainReply, PlainServiceClient
from flamingoshelf.callers._admission import Admission
from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.objects import BackendState, Kind, Route, ServiceSpec
from flamingoshelf.refusals import Refusal, RefusalReason, RetryReason
from flamingoshelf.telemetry import Metrics

__all__ = ["ServiceEndpoint"]

_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_REPLY_HEADERS = frozenset(
    {"cache-control", "content-encoding", "content-type", "etag", "last-modified", "location"}
)
_MAX_ATTEMPTS = 3


class ServiceEndpoint:
    """Passes requests on to the plain services that routes name.

    Parameters
    ----------
    admission : Admission
        Checks that all endpoints share.
    client : PlainServiceClient
        Client of the services.
    metrics : Metrics
        Counters of retries.
    random_source : random.Random
        Source of the choice among servers.
    """

    def __init__(
        self,
        *,
        admission: Admission,
        client: PlainServiceClient,
        metrics: Metrics,
        random_source: random.Random,
    ) -> None:
        self._admission = admission
        self._client = client
        self._metrics = metrics
        self._random = random_source

    async def call(self, request: Request) -> Response:
        """Answer a request whose path a route covers."""
        found = self._admission.catalog.route_for(request.url.path)
        if found is None:
            return self._admission.refuse(_no_route(request.url.path))
        route = found[1]
        if not route.open:
            admitted = self._admission.authenticate(request)
            if isinstance(admitted, Err):
                return self._admission.refuse(admitted.err_value)
        body = await self._admission.read_body(request)
        if isinstance(body, Err):
            return self._admission.refuse(body.err_value)
        outcome = await self._send(route, self._plain_call(request, body.ok_value))
        if isinstance(outcome, Refusal):
            return self._admission.refuse(outcome)
        return _to_response(outcome)

    def _plain_call(self, request: Request, body: bytes) -> PlainCall:
        key_filter = self._admission.key_filter
        query = key_filter.query(request.url.query)
        return PlainCall(
            method=request.method,
            target=request.url.path + (f"?{query}" if query else ""),
            headers=key_filter.headers(request.headers.items()),
            body=body,
        )

    async def _send(self, route: Route, call: PlainCall) -> PlainReply | Refusal:
        catalog = self._admission.catalog
        service = catalog.get(Kind.SERVICE, route.service)
        assert isinstance(service, ServiceSpec)
        addresses = [
            server.address
            for _, server in catalog.servers((service.pool,))
            if server.state is BackendState.LIVE
        ]
        self._random.shuffle(addresses)
        may_repeat = service.idempotent or call.method in _SAFE_METHODS
        for address in addresses[:_MAX_ATTEMPTS]:
            try:
                return await self._client.call(address, call, timeout_s=service.timeout_s)
            except PeerUnreachableError:
                self._metrics.count_retry(RetryReason.SERVICE_FAILED)
            except OutcomeUnknownError as error:
                if not may_repeat:
                    return _unknown_outcome(error)
                self._metrics.count_retry(RetryReason.SERVICE_FAILED)
        return _no_backend(route, not_run=not may_repeat or not addresses)


def _to_response(reply: PlainReply) -> Response:
    headers = {
        name: value for name, value in reply.headers.items() if name.lower() in _REPLY_HEADERS
    }
    return Response(reply.body, status_code=reply.status, headers=headers)


def _no_route(path: str) -> Refusal:
    return Refusal(
        reason=RefusalReason.NO_ROUTE,
        status=404,
        detail=f"No route covers {path!r}.",
        not_run=True,
        step="route",
    )


def _unknown_outcome(error: OutcomeUnknownError) -> Refusal:
    return Refusal(
        reason=RefusalReason.BACKEND_FAILED,
        status=502,
        detail="The service did not answer; the call may have been carried out.",
        not_run=False,
        step=error.step,
        peer=error.peer,
    )


def _no_backend(route: Route, *, not_run: bool) -> Refusal:
    return Refusal(
        reason=RefusalReason.NO_BACKEND,
        status=503,
        detail=f"No server of service {route.service!r} could be reached.",
        not_run=not_run,
        retry_after_s=1.0,
        step="call",
    )
