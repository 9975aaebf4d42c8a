"""Admission of requests: finds route, workspace and deadline, or refuses the request."""

import hashlib
from functools import cached_property

import attrs
from result import Err, Ok, Result

from flamingoshelf.gateway._active_configuration import ActiveConfiguration
from flamingoshelf.gateway._answer_limit import AnswerLimit
from flamingoshelf.gateway._refusals import NO_CONFIGURATION
from flamingoshelf.gateway._wire import CallerRequest, WireFormat
from flamingoshelf.http1 import RequestHead
from flamingoshelf.quarantine import part_keys
from flamingoshelf.refusals import Refusal, RefusalReason
from flamingoshelf.routing import Route, Workspace

__all__ = ["Admission", "AdmittedRequest"]

_MAX_WORKSPACE_PRIORITY = 9  # less urgent ones rank equal
_USUAL_ENGINE_URGENCY = 5  # of requests that state none


@attrs.frozen(kw_only=True)
class AdmittedRequest:
    """A request that passed admission, with its route and workspace.

    Parameters
    ----------
    head : RequestHead
        Request head as the caller sent it.
    caller : CallerRequest
        What the caller states in the head.
    route : Route
        Matching route.
    workspace : Workspace or None
        Workspace of the API key; None if the route or the configuration requires no key.
    configuration_version : int
        Version of the configuration in force at admission. The configuration itself is not kept: a
        long stream would hold one that may have been replaced many times since.
    ranks_below : int or None
        As `GatewayConfiguration.ranks_below` returns for the route.
    deadline_s : float
        Time until which the caller waits for an answer, by the event loop's clock.
    arrived_s : float
        Time at which the head was read, by the same clock.
    body : bytes
        Complete request body.
    answer_limit : AnswerLimit
        Time by which this node must have answered, if it stops.
    """

    head: RequestHead
    caller: CallerRequest
    route: Route
    workspace: Workspace | None
    configuration_version: int
    ranks_below: int | None = None
    deadline_s: float
    arrived_s: float
    body: bytes = b""
    answer_limit: AnswerLimit = attrs.field(factory=AnswerLimit, eq=False)

    @property
    def answer_by_s(self) -> float:
        """Time by which the caller must have an answer; sooner if this node stops."""
        return min(self.deadline_s, self.answer_limit.at_s)

    @property
    def request_id(self) -> str:
        """Identifier of this attempt, chosen by the caller."""
        return self.caller.request_id

    @property
    def workspace_name(self) -> str | None:
        """Name of the workspace, or None."""
        return None if self.workspace is None else self.workspace.name

    @property
    def goal_s(self) -> float:
        """Time after which an answer, or the first event of a stream, misses the latency goal."""
        return self.arrived_s + self.route.latency_goal_s

    @property
    def abandoned_s(self) -> float:
        """Time at which the caller disconnects if it has received nothing."""
        abandon_after_s = self.route.abandon_after_s
        return (
            self.answer_by_s
            if abandon_after_s is None
            else min(self.answer_by_s, self.arrived_s + abandon_after_s)
        )

    @property
    def is_take_up(self) -> bool:
        """Whether the caller takes a broken stream up again."""
        return self.caller.resumes is not None or self.caller.last_event_id is not None

    @property
    def events_before(self) -> int:
        """Number of events that the caller has received of the stream that it takes up."""
        return self.caller.last_event_id or 0

    @property
    def patience_s(self) -> float:
        """Seconds from its arrival for which the caller may take its stream up again."""
        return self.route.timeout_s if self.caller.wait_s is None else self.caller.wait_s

    def release_body(self) -> None:
        """Drop the body once the request has ended.

        What served the request refers to it in cycles, which would keep the body until a full
        garbage collection.
        """
        object.__setattr__(self, "body", b"")

    @cached_property
    def content(self) -> str:
        """Digest of the request's content; a repeated request has the same one."""
        digest = hashlib.blake2b(digest_size=12)
        for part in (
            self.head.method,
            self.head.target,
            self.workspace_name or "",
            self.caller.prompt,
        ):
            digest.update(part.encode() + b"\0")
        digest.update(self.body)
        return digest.hexdigest()

    @cached_property
    def content_keys(self) -> tuple[str, ...]:
        """Keys of the whole content, and of each part of the prompt."""
        return (self.content, *part_keys(self.caller.model, self.caller.prompt_parts))

    @property
    def priority(self) -> int:
        """Rank among other requests, 0 most urgent; the workspace's overrides the route's.

        Where streams of one service have several priorities, the operator has ranked kinds of
        streams: the route's priority comes first, and the workspace's ranks equal streams.
        """
        workspace = None if self.workspace is None else self.workspace.priority
        if self.ranks_below is not None:
            rank = min(max(0, workspace or 0), _MAX_WORKSPACE_PRIORITY)
            return self.route.priority * (_MAX_WORKSPACE_PRIORITY + 1) + rank
        return self.route.priority if workspace is None else workspace

    @property
    def engine_urgency(self) -> int | None:
        """Priority in the queues of model engines, 0 most urgent; None for the usual one."""
        below = self.ranks_below
        return None if not below else max(0, _USUAL_ENGINE_URGENCY - below)


class Admission:
    """Finds the route and the workspace of a request.

    Parameters
    ----------
    configuration : ActiveConfiguration
        The configuration in force.
    wire : WireFormat
        Reads request heads.
    answer_limit : AnswerLimit
        Time by which this node must have answered all requests, if it stops.
    """

    def __init__(
        self,
        *,
        configuration: ActiveConfiguration,
        wire: WireFormat,
        answer_limit: AnswerLimit,
    ) -> None:
        self._configuration = configuration
        self._wire = wire
        self._answer_limit = answer_limit

    def admit(self, head: RequestHead, *, arrived_s: float) -> Result[AdmittedRequest, Refusal]:
        """Return the request with its route and workspace, or its refusal."""
        if not self._configuration.is_known:
            return Err(NO_CONFIGURATION)
        try:
            caller = self._wire.decode_request(head)
        except ValueError as error:
            return Err(_not_run_refusal(RefusalReason.MALFORMED_REQUEST, 400, str(error)))
        route = self._configuration.match(_requested_host(head), head.path)
        if route is None:
            return Err(_not_run_refusal(RefusalReason.NO_ROUTE, 404, "No route covers the path."))
        workspace = self._authenticate(caller, route)
        if isinstance(workspace, Err):
            return workspace
        wait_s = route.timeout_s if caller.wait_s is None else caller.wait_s
        return Ok(
            AdmittedRequest(
                head=head,
                caller=caller,
                route=route,
                workspace=workspace.ok_value,
                configuration_version=self._configuration.version,
                ranks_below=self._configuration.current.ranks_below(route),
                deadline_s=arrived_s + min(wait_s, route.timeout_s),
                arrived_s=arrived_s,
                answer_limit=self._answer_limit,
            )
        )

    def request_id_of(self, head: RequestHead) -> str | None:
        """Return the identifier that the caller chose, or None if the head is malformed."""
        try:
            return self._wire.decode_request(head).request_id
        except ValueError:
            return None  # the refusal logged with it says what is wrong with the head

    def _authenticate(
        self, caller: CallerRequest, route: Route
    ) -> Result[Workspace | None, Refusal]:
        """Return the workspace of the caller's key, or None if no key is required."""
        configuration = self._configuration.current
        if route.is_open or not configuration.workspaces:
            return Ok(None)
        if caller.key is None:
            return Err(_not_run_refusal(RefusalReason.MISSING_KEY, 401, "The request has no key."))
        workspace = configuration.workspace_of(caller.key)
        if workspace is None:
            return Err(_not_run_refusal(RefusalReason.UNKNOWN_KEY, 401, "The key is not known."))
        return Ok(workspace)


def _requested_host(head: RequestHead) -> str:
    """Return the requested host without its port."""
    host = head.headers.get("Host") or ""
    return host.rpartition(":")[0] if host.rpartition(":")[2].isdigit() else host


def _not_run_refusal(reason: RefusalReason, status: int, detail: str) -> Refusal:
    return Refusal(reason=reason, status=status, detail=detail, not_run=True)
