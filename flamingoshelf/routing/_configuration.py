"""One version of the gateway's configuration."""

from collections.abc import Mapping
from enum import StrEnum

import attrs

from flamingoshelf.http1 import ConnectionLimits

__all__ = [
    "CallKind",
    "EngineProfile",
    "GatewayConfiguration",
    "Route",
    "RouteTarget",
    "ServiceProfile",
    "Workspace",
]


class CallKind(StrEnum):
    """Kind of a route's calls: how they are answered, and whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class RouteTarget:
    """A service that a route forwards to, with its weight among the route's services."""

    service: str
    weight: float = 1.0


@attrs.frozen(kw_only=True)
class Route:
    """A host and path prefix with the services that answer its requests.

    Parameters
    ----------
    name : str
        Name of the route.
    host, path_prefix : str
        Host and path prefix of the requests that the route matches.
    kind : CallKind
        Kind of the route's calls.
    targets : tuple of RouteTarget
        Services that may answer.
    timeout_s : float
        Longest time in seconds that a caller is kept waiting.
    latency_goal_s : float
        Latency target in seconds within which an answer, or the first event of a stream, is worth
        most.
    max_attempts : int
        Largest number of backend servers that may run one request.
    priority : int
        Priority among routes; 0 is the most urgent.
    is_open : bool
        Whether requests without a key are served.
    may_resume : bool
        Whether a broken stream may be resumed on another server.
    event_gap_goal_s : float
        Target for the longest pause between two events of a stream in seconds; 0 if not set.
    abandon_after_s : float or None
        Pause in seconds after which callers abandon a stream, also before its first event.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    targets: tuple[RouteTarget, ...]
    timeout_s: float
    latency_goal_s: float
    max_attempts: int = 1
    priority: int = 0
    is_open: bool = False
    may_resume: bool = False
    event_gap_goal_s: float = 0.0
    abandon_after_s: float | None = None

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is CallKind.IDEMPOTENT or (
            self.kind is CallKind.STREAM and self.may_resume
        )


@attrs.frozen(kw_only=True)
class EngineProfile:
    """Capacity of the model engines of a service.

    Parameters
    ----------
    slots : int
        Requests that an engine runs concurrently.
    kv_tokens : int
        Capacity of an engine's KV cache in tokens.
    kv_bytes_per_token : float
        Size of the KV cache of one token in bytes.
    link_bytes_per_s : float
        Rate of an engine's link for KV cache transfers in bytes per second.
    handle_lifetime_s : float
        Time in seconds for which a prefill engine keeps the KV cache of a processed prompt.
    role_change_s : float
        Time in seconds for which an engine is unavailable when its role changes.
    """

    slots: int
    kv_tokens: int
    kv_bytes_per_token: float
    link_bytes_per_s: float
    handle_lifetime_s: float
    role_change_s: float


@attrs.frozen(kw_only=True)
class ServiceProfile:
    """A service that routes forward to.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health check.
    max_connections : int
        Connections that one server accepts from all clients together.
    engine : EngineProfile or None
        Capacity of the servers if they are model engines.
    cold_start_s : float
        Seconds for which a server is cold after its start; 0 if its servers are never cold.
    cold_per_s : float
        Requests per second that a cold server accepts from all clients together; 0 if its servers
        are never cold.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@attrs.frozen(kw_only=True)
class Workspace:
    """A tenant with its API keys and its rate limit over the whole fleet.

    Parameters
    ----------
    name : str
        Name of the workspace.
    keys : frozenset of str
        API keys of its callers.
    priority : int or None
        Priority that overrides the route's, if given.
    rate_tokens_s, burst_tokens : float
        Rate in tokens per second and burst in tokens; a rate of 0 means no limit.
    default_call_tokens : float
        Tokens that are charged for a call that states no number of tokens.
    """

    name: str
    keys: frozenset[str] = attrs.field(repr=False)
    priority: int | None = None
    rate_tokens_s: float = 0.0
    burst_tokens: float = 0.0
    default_call_tokens: float = 1.0


@attrs.frozen(kw_only=True)
class GatewayConfiguration:
    """One version of routes, services, workspaces and connection limits.

    Parameters
    ----------
    version : int
        Increases with each configuration; a lower version is never adopted after a higher one.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceProfile]
    workspaces: Mapping[str, Workspace]
    limits: ConnectionLimits = ConnectionLimits()
    _keys: Mapping[str, str] = attrs.field(init=False, repr=False, eq=False)
    _stream_priorities: Mapping[str, frozenset[int]] = attrs.field(init=False, repr=False, eq=False)
    _ranks_streams: bool = attrs.field(init=False, repr=False, eq=False)

    @_keys.default
    def _index_keys(self) -> Mapping[str, str]:
        return {key: w.name for w in self.workspaces.values() for key in w.keys}

    @_stream_priorities.default
    def _index_stream_priorities(self) -> Mapping[str, frozenset[int]]:
        priorities: dict[str, set[int]] = {}
        for route in self.routes:
            if route.kind is CallKind.STREAM:
                for target in route.targets:
                    priorities.setdefault(target.service, set()).add(route.priority)
        return {service: frozenset(values) for service, values in priorities.items()}

    @_ranks_streams.default
    def _has_ranked_streams(self) -> bool:
        return any(len(priorities) > 1 for priorities in self._stream_priorities.values())

    def ranks_below(self, route: Route) -> int | None:
        """Return how many less urgent priorities the other streams of a route's services have.

        Return None for a route that isn't of streams, and if no service has streams of several
        priorities.

        Examples
        --------
        >>> def stream(name, priority):
        ...     target = RouteTarget(service="s")
        ...     return Route(
        ...         name=name, host="h", path_prefix=f"/{name}/", kind=CallKind.STREAM,
        ...         targets=(target,), timeout_s=14, latency_goal_s=1, priority=priority,
        ...     )
        >>> urgent, usual = stream("a", 0), stream("b", 2)
        >>> configuration = GatewayConfiguration(
        ...     version=1, routes=(urgent, usual), services={}, workspaces={}
        ... )
        >>> configuration.ranks_below(urgent), configuration.ranks_below(usual)
        (1, 0)
        """
        if route.kind is not CallKind.STREAM or not self._ranks_streams:
            return None
        priorities: set[int] = set()
        for target in route.targets:
            priorities.update(self._stream_priorities.get(target.service, ()))
        return sum(priority > route.priority for priority in priorities)

    def workspace_of(self, key: str) -> Workspace | None:
        """Return the workspace that an API key belongs to, or None."""
        name = self._keys.get(key)
        return None if name is None else self.workspaces[name]
