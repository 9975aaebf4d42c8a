"""Endpoint for plain services."""

import asyncio
import hashlib

import attrs
from result import Err, Ok, Result
from starlette.requests import Request
from starlette.responses import Response

from flamingoshelf.backends import PlainCall, PlainReply
from flamingoshelf.callers._admission import Admission
from flamingoshelf.claims import (
    ClaimOutcome,
    ClaimRequest,
    ClaimService,
    HeldClaim,
    parse_idempotency_key,
)
from flamingoshelf.objects import Kind, Route, ServiceSpec
from flamingoshelf.refusals import Refusal, RefusalReason
from flamingoshelf.services import ServiceRouter
from flamingoshelf.utils import TaskGroup

__all__ = ["ServiceEndpoint"]

_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_REPLY_HEADERS = frozenset(
    {"cache-control", "content-encoding", "content-type", "etag", "last-modified", "location"}
)
_KEY_HEADER = "idempotency-key"
_REPLAYED_HEADER = "Idempotency-Replayed"
_MAX_STORED_BODY_BYTES = 2048
_MAX_STORED_HEADER_CHARS = 256


@attrs.frozen(kw_only=True)
class _RoutedCall:
    """A call with its workspace, route, service and the caller's idempotency key, if any."""

    workspace: str
    route: Route
    service: ServiceSpec
    call: PlainCall
    key: str | None

    @property
    def may_repeat(self) -> bool:
        """Whether the call may be executed more than once."""
        is_idempotent = self.service.idempotent or self.call.method in _SAFE_METHODS
        return is_idempotent or (self.key is not None and self.service.honours_idempotency_keys)


class ServiceEndpoint:
    """Forwards requests to the plain services of the routes.

    Parameters
    ----------
    admission : Admission
        Checks shared by all endpoints.
    router : ServiceRouter
        Sends calls to servers.
    claims : ClaimService
        Claims on idempotency keys, for calls that may not be repeated.
    background : TaskGroup
        Runs the calls, so that they complete even if their caller disconnects.
    """

    def __init__(
        self,
        *,
        admission: Admission,
        router: ServiceRouter,
        claims: ClaimService,
        background: TaskGroup,
    ) -> None:
        self._admission = admission
        self._router = router
        self._claims = claims
        self._background = background

    async def call(self, request: Request) -> Response:
        """Answer a request for a plain service; refuse it if no route covers its path."""
        admitted = await self._admit(request)
        if isinstance(admitted, Err):
            return self._admission.refuse(admitted.err_value)
        task = self._background.start(self._serve(admitted.ok_value), name="service_call")
        return await asyncio.shield(task)

    async def _admit(self, request: Request) -> Result[_RoutedCall, Refusal]:
        found = self._admission.catalog.route_for(request.url.path)
        if found is None:
            return Err(_no_route(request.url.path))
        route = found[1]
        workspace = ""
        if not route.open:
            caller = self._admission.authenticate(request)
            if isinstance(caller, Err):
                return caller
            workspace = caller.ok_value.workspace
        body = await self._admission.read_body(request)
        if isinstance(body, Err):
            return body
        key = _read_key(request)
        if isinstance(key, Err):
            return Err(_malformed_key(key.err_value))
        service = self._admission.catalog.get(Kind.SERVICE, route.service)
        assert isinstance(service, ServiceSpec)
        call = self._build_call(request, body.ok_value, scope=(workspace, route, key.ok_value))
        return Ok(
            _RoutedCall(
                workspace=workspace, route=route, service=service, call=call, key=key.ok_value
            )
        )

    async def _serve(self, routed: _RoutedCall) -> Response:
        outcome = await self._send(routed)
        match outcome:
            case Refusal():
                return self._admission.refuse(outcome)
            case ClaimOutcome():
                headers = {**outcome.headers, _REPLAYED_HEADER: "true"}
                return Response(outcome.body, status_code=outcome.status, headers=headers)
            case PlainReply():
                return Response(
                    outcome.body, status_code=outcome.status, headers=_reply_headers(outcome)
                )

    async def _send(self, routed: _RoutedCall) -> PlainReply | ClaimOutcome | Refusal:
        if routed.key is None or routed.may_repeat:
            return await self._router.call(
                routed.service, routed.call, may_repeat=routed.may_repeat
            )
        claim_request = ClaimRequest(
            workspace=routed.workspace,
            route=routed.route.path_prefix,
            key=routed.key,
            method=routed.call.method,
            target=routed.call.target,
            body=routed.call.body,
        )
        held = await self._claims.claim(claim_request)
        if not isinstance(held, HeldClaim):
            return held
        return await self._send_claimed(routed, held)

    async def _send_claimed(self, routed: _RoutedCall, held: HeldClaim) -> PlainReply | Refusal:
        held.attempt.trigger("send")
        try:
            outcome = await self._router.call(routed.service, routed.call, may_repeat=False)
        except BaseException:
            self._claims.mark_outcome_unknown(held)
            raise
        if isinstance(outcome, PlainReply):
            self._claims.finish(held, _claim_outcome(outcome))
        elif outcome.not_run:
            held.attempt.trigger("prove_unsent")
            self._claims.release(held)
        else:
            self._claims.mark_outcome_unknown(held)
        return outcome

    def _build_call(
        self, request: Request, body: bytes, *, scope: tuple[str, Route, str | None]
    ) -> PlainCall:
        key_filter = self._admission.key_filter
        query = key_filter.query(request.url.query)
        headers = [
            (name, value)
            for name, value in key_filter.headers(request.headers.items())
            if name.lower() != _KEY_HEADER
        ]
        workspace, route, key = scope
        if key is not None:
            headers.append(("Idempotency-Key", _scoped_key(workspace, route, key)))
        return PlainCall(
            method=request.method,
            target=request.url.path + (f"?{query}" if query else ""),
            headers=headers,
            body=body,
        )


def _read_key(request: Request) -> Result[str | None, str]:
    values = request.headers.getlist(_KEY_HEADER)
    if not values or request.method in _SAFE_METHODS:
        return Ok(None)
    return parse_idempotency_key(values)


def _scoped_key(workspace: str, route: Route, key: str) -> str:
    """Return the idempotency key to forward.

    It is a hash of workspace, route and the caller's key, because the service can't tell workspaces
    apart and two workspaces may use the same key.
    """
    text = "\x00".join((workspace, route.path_prefix, key))
    return f'"{hashlib.sha256(text.encode()).hexdigest()}"'


def _reply_headers(reply: PlainReply) -> dict[str, str]:
    return {name: value for name, value in reply.headers.items() if name in _REPLY_HEADERS}


def _claim_outcome(reply: PlainReply) -> ClaimOutcome:
    headers = _reply_headers(reply)
    has_long_header = any(len(value) > _MAX_STORED_HEADER_CHARS for value in headers.values())
    outcome = ClaimOutcome(status=reply.status, headers=headers, body=reply.body)
    if has_long_header or len(reply.body) > _MAX_STORED_BODY_BYTES:
        return outcome.without_body()
    return outcome


def _no_route(path: str) -> Refusal:
    return Refusal(
        reason=RefusalReason.NO_ROUTE,
        status=404,
        detail=f"No route covers {path!r}.",
        not_run=True,
        step="route",
    )


def _malformed_key(detail: str) -> Refusal:
    return Refusal(
        reason=RefusalReason.MALFORMED_REQUEST,
        status=400,
        detail=detail,
        not_run=True,
        step="read",
    )
