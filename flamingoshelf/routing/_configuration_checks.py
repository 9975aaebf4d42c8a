"""Checks of a gateway configuration before it is published.

An error is what nodes can't follow. A warning is what they follow although it is hardly meant:
entries that nothing can use, and limits that contradict each other. No finding holds an API key.
"""

from collections import Counter
from collections.abc import Iterable
from enum import StrEnum

import attrs

from flamingoshelf.routing._configuration import (
    CallKind,
    EngineProfile,
    GatewayConfiguration,
    Route,
    ServiceProfile,
    Workspace,
)

__all__ = ["Finding", "Severity", "check_configuration"]


class Severity(StrEnum):
    """Severity of a finding."""

    ERROR = "error"
    WARNING = "warning"


@attrs.frozen(kw_only=True)
class Finding:
    """One fault of a configuration.

    Parameters
    ----------
    object : str
        Kind and name of the object, such as ``route/chat``.
    field : str
        Field of the object.
    reason : str
        What is wrong with the field, and what follows from it.
    severity : Severity
        Whether the configuration must not be published.
    """

    object: str
    field: str
    reason: str
    severity: Severity = Severity.ERROR


def check_configuration(configuration: GatewayConfiguration) -> list[Finding]:
    """Return all findings in a configuration, each with its object, field and reason.

    Examples
    --------
    >>> idle = ServiceProfile(name="s", health_path="/health", max_connections=0)
    >>> configuration = GatewayConfiguration(
    ...     version=1, routes=(), services={"s": idle}, workspaces={}
    ... )
    >>> [f"{f.severity}: {f.object}: {f.reason}" for f in check_configuration(configuration)]
    ['warning: service/s: no route forwards to it']
    """
    findings = []
    if configuration.version < 1:
        findings.append(_error("configuration", "version", "must be 1 or more to be adopted"))
    findings += _check_unique_routes(configuration.routes)
    findings += _check_unique_keys(configuration.workspaces.values())
    for route in configuration.routes:
        findings += _check_route(route)
        findings += _check_targets(route, configuration)
    used = {target.service for route in configuration.routes for target in route.targets}
    for service in configuration.services.values():
        if service.name not in used:
            findings.append(_warning(f"service/{service.name}", "name", "no route forwards to it"))
        findings += _check_service(service)
    for workspace in configuration.workspaces.values():
        findings += _check_workspace(workspace)
    return findings + _check_limits(configuration)


def _error(object_name: str, field: str, reason: str) -> Finding:
    return Finding(object=object_name, field=field, reason=reason)


def _warning(object_name: str, field: str, reason: str) -> Finding:
    return Finding(object=object_name, field=field, reason=reason, severity=Severity.WARNING)


def _check_unique_routes(routes: Iterable[Route]) -> list[Finding]:
    findings = []
    names: set[str] = set()
    first_routes: dict[tuple[str, str], str] = {}
    for route in routes:
        if route.name in names:
            findings.append(_error(f"route/{route.name}", "name", "another route has this name"))
        names.add(route.name)
        pair = (route.host.lower(), route.path_prefix)
        if pair in first_routes:
            reason = f"route/{first_routes[pair]} has the same host and prefix; this never matches"
            findings.append(_error(f"route/{route.name}", "path_prefix", reason))
        first_routes.setdefault(pair, route.name)
    return findings


def _check_unique_keys(workspaces: Iterable[Workspace]) -> list[Finding]:
    holders: dict[str, str] = {}
    shared: Counter[tuple[str, str]] = Counter()
    for workspace in workspaces:
        for key in workspace.keys:
            first = holders.setdefault(key, workspace.name)
            if first != workspace.name:
                shared[workspace.name, first] += 1
    return [
        _error(f"workspace/{name}", "keys", f"workspace/{first} holds {count} of these keys too")
        for (name, first), count in shared.items()
    ]


def _check_route(route: Route) -> list[Finding]:
    name = f"route/{route.name}"
    findings = []
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        findings.append(_error(name, "path_prefix", "must begin and end with a slash"))
    if any(character in "?#" or character.isspace() for character in prefix):
        reason = "never matches: a path holds no space, question mark or hash"
        findings.append(_warning(name, "path_prefix", reason))
    if route.host.rpartition(":")[2].isdigit():
        findings.append(_warning(name, "host", "never matches: hosts are compared without port"))
    for field in ("timeout_s", "latency_goal_s"):
        if getattr(route, field) <= 0:
            findings.append(_error(name, field, "must be above 0"))
    if route.latency_goal_s > route.timeout_s > 0:
        reason = f"{route.latency_goal_s:g} s is above the time limit of {route.timeout_s:g} s"
        findings.append(_warning(name, "latency_goal_s", reason))
    return findings + _check_attempts(route) + _check_stream_fields(route)


def _check_attempts(route: Route) -> list[Finding]:
    name = f"route/{route.name}"
    if route.max_attempts < 1:
        return [_error(name, "max_attempts", "must be 1 or more")]
    if route.may_repeat and route.max_attempts == 1:
        reason = "requests may be repeated, but a single attempt leaves no repeat"
        return [_warning(name, "max_attempts", reason)]
    if not route.may_repeat and route.max_attempts > 1:
        reason = f"{route.max_attempts} has no effect: requests must not run again"
        return [_warning(name, "max_attempts", reason)]
    return []


def _check_stream_fields(route: Route) -> list[Finding]:
    name = f"route/{route.name}"
    findings = []
    if route.event_gap_goal_s < 0:
        findings.append(_error(name, "event_gap_goal_s", "must not be negative"))
    if route.event_gap_goal_s > route.timeout_s > 0:
        reason = f"{route.event_gap_goal_s:g} s is above the time limit of {route.timeout_s:g} s"
        findings.append(_warning(name, "event_gap_goal_s", reason))
    if route.kind is CallKind.STREAM:
        return findings
    if route.event_gap_goal_s:
        reason = "has no effect: the answers are not streams"
        findings.append(_warning(name, "event_gap_goal_s", reason))
    if route.may_resume:
        reason = "has no effect: the answers are not streams"
        findings.append(_warning(name, "may_resume", reason))
    return findings


def _check_targets(route: Route, configuration: GatewayConfiguration) -> list[Finding]:
    name = f"route/{route.name}"
    findings = []
    counts = Counter(target.service for target in route.targets)
    for service, count in counts.items():
        profile = configuration.services.get(service)
        if profile is None:
            findings.append(_error(name, "targets", f"service/{service} is not defined"))
        elif route.kind is CallKind.STREAM and profile.engine is None:
            reason = f"service/{service} has no model engines to serve streams"
            findings.append(_error(name, "targets", reason))
        if count > 1:
            findings.append(_warning(name, "targets", f"service/{service} is named {count} times"))
    if any(target.weight < 0 for target in route.targets):
        findings.append(_error(name, "targets", "a weight is negative"))
    elif not any(target.weight for target in route.targets):
        findings.append(_error(name, "targets", "all weights are 0"))
    else:
        findings += [
            _warning(name, "targets", f"service/{target.service} has weight 0; it gets nothing")
            for target in route.targets
            if not target.weight
        ]
    return findings


def _check_service(service: ServiceProfile) -> list[Finding]:
    name = f"service/{service.name}"
    findings = []
    if service.max_connections < 0:
        findings.append(_error(name, "max_connections", "must not be negative"))
    if service.cold_per_s and not service.cold_start_s:
        reason = "has no effect: no time is set for which a server is cold"
        findings.append(_warning(name, "cold_per_s", reason))
    if service.cold_start_s and not service.cold_per_s:
        reason = "has no effect: no rate is set that a cold server accepts"
        findings.append(_warning(name, "cold_start_s", reason))
    if service.engine is not None:
        findings += _check_engine(name, service.engine)
        if 0 < service.max_connections < service.engine.slots:
            reason = (
                f"{service.max_connections} connections are fewer than the "
                f"{service.engine.slots} requests that an engine runs"
            )
            findings.append(_warning(name, "max_connections", reason))
    return findings


def _check_engine(name: str, engine: EngineProfile) -> list[Finding]:
    positive = ("slots", "kv_tokens", "kv_bytes_per_token", "link_bytes_per_s", "handle_lifetime_s")
    findings = [
        _error(name, f"engine.{field}", "must be above 0")
        for field in positive
        if getattr(engine, field) <= 0
    ]
    if engine.role_change_s < 0:
        findings.append(_error(name, "engine.role_change_s", "must not be negative"))
    elif engine.handle_lifetime_s > engine.role_change_s > 0:
        reason = (
            f"{engine.handle_lifetime_s:g} s outlast a role change of {engine.role_change_s:g} s"
        )
        findings.append(_warning(name, "engine.handle_lifetime_s", reason))
    return findings


def _check_workspace(workspace: Workspace) -> list[Finding]:
    name = f"workspace/{workspace.name}"
    findings = []
    if not workspace.keys:
        findings.append(_warning(name, "keys", "no request can belong to it: it has no keys"))
    for field in ("rate_tokens_s", "burst_tokens", "default_call_tokens"):
        if getattr(workspace, field) < 0:
            findings.append(_error(name, field, "must not be negative"))
    if workspace.burst_tokens > 0 and not workspace.rate_tokens_s:
        reason = "has no effect: a rate of 0 means no limit"
        findings.append(_warning(name, "burst_tokens", reason))
    if workspace.rate_tokens_s and 0 <= workspace.burst_tokens < workspace.default_call_tokens:
        reason = (
            f"{workspace.burst_tokens:g} is below the {workspace.default_call_tokens:g} tokens "
            "of one call that states none"
        )
        findings.append(_warning(name, "burst_tokens", reason))
    return findings


def _check_limits(configuration: GatewayConfiguration) -> list[Finding]:
    limits = configuration.limits
    findings = [
        _error("limits", field.name, "must be above 0")
        for field in attrs.fields(type(limits))
        if getattr(limits, field.name) <= 0
    ]
    if limits.max_header_bytes > limits.max_body_bytes > 0:
        reason = f"{limits.max_header_bytes} is above the body's limit of {limits.max_body_bytes}"
        findings.append(_warning("limits", "max_header_bytes", reason))
    if 0 < limits.idle_timeout_s < limits.header_timeout_s:
        reason = (
            f"{limits.idle_timeout_s:g} s is below the {limits.header_timeout_s:g} s in which a "
            "head may arrive"
        )
        findings.append(_warning("limits", "idle_timeout_s", reason))
    return findings
