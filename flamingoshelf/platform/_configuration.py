"""Decoding of the operators' configuration document."""

from collections.abc import Callable, Mapping
from typing import Any

from loguru import logger

from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.http1 import ConnectionLimits
from flamingoshelf.routing import (
    CallKind,
    EngineProfile,
    GatewayConfiguration,
    Route,
    RouteTarget,
    ServiceProfile,
    Workspace,
)

__all__ = [
    "BYTES_S_PER_MBPS",
    "CALL_KINDS",
    "CONFIGURATION_KIND",
    "CONFIGURATION_NAME",
    "MAX_AMOUNT",
    "decode_configuration",
]

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"

CALL_KINDS = {
    "safe": CallKind.IDEMPOTENT,
    "unsafe": CallKind.NON_IDEMPOTENT,
    "streaming": CallKind.STREAM,
}
BYTES_S_PER_MBPS = 125_000  # 1 Mbit/s is a million bits per second, not 2**20
MAX_AMOUNT = 1e6  # requests per second, or seconds
# The platform states that its callers abandon a stream after a pause of the longest of these: a
# fixed minimum, a multiple of the latency goal and a multiple of the event gap goal.
_MIN_ABANDON_AFTER_S = 2.0
_ABANDON_AFTER_LATENCY_GOALS = 4.0
_ABANDON_AFTER_EVENT_GAP_GOALS = 8.0


def decode_configuration(document: Any) -> GatewayConfiguration:
    """Return the gateway configuration that `document` describes.

    Raises
    ------
    ConfigurationError
        A required field is missing, or a field has an invalid type or value.
    """
    try:
        return GatewayConfiguration(
            version=int(document["version"]),
            routes=tuple(_decode_route(route) for route in document["routes"]),
            services=_decode_by_name(document["services"], _decode_service),
            workspaces=_decode_by_name(document.get("tenants") or (), _decode_workspace),
            limits=_decode_limits(document.get("limits") or {}),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigurationError(repr(error), step="decode configuration") from error


def _decode_by_name(documents: Any, decode: Callable[[Any], Any]) -> Mapping[str, Any]:
    return {document["name"]: decode(document) for document in documents}


def _decode_route(document: Mapping[str, Any]) -> Route:
    split = document.get("backends")
    targets = (
        tuple(
            RouteTarget(service=backend["service"], weight=float(backend["weight"]))
            for backend in split
        )
        if split
        else (RouteTarget(service=document["service"]),)
    )
    kind = CALL_KINDS[document["kind"]]
    goal_s = document["latencyGoalMs"] / 1000
    gap_goal_s = (document.get("gapAimMs") or 0) / 1000
    return Route(
        name=document["name"],
        host=document["host"],
        path_prefix=document["pathPrefix"],
        kind=kind,
        targets=targets,
        timeout_s=document["timeoutMs"] / 1000,
        latency_goal_s=goal_s,
        max_attempts=int(document.get("maxAttempts") or 1),
        priority=int(document.get("priority") or 0),
        is_open=bool(document.get("public")),
        may_resume=bool(document.get("canResume")),
        event_gap_goal_s=gap_goal_s,
        abandon_after_s=_abandon_after_s(goal_s, gap_goal_s) if kind is CallKind.STREAM else None,
    )


def _abandon_after_s(goal_s: float, gap_goal_s: float) -> float:
    """Return the pause in seconds after which the platform's callers abandon a stream."""
    return max(
        _MIN_ABANDON_AFTER_S,
        _ABANDON_AFTER_LATENCY_GOALS * goal_s,
        _ABANDON_AFTER_EVENT_GAP_GOALS * gap_goal_s,
    )


def _decode_service(document: Mapping[str, Any]) -> ServiceProfile:
    engine = document.get("engine")
    return ServiceProfile(
        name=document["name"],
        health_path=document.get("healthPath") or "/health",
        max_connections=int(document.get("maxConns") or 0),
        engine=None if engine is None else _decode_engine(engine),
        cold_start_s=_optional_amount(document, "coldStartS"),
        cold_per_s=_optional_amount(document, "coldPerS"),
    )


def _optional_amount(document: Mapping[str, Any], field: str) -> float:
    """Return a number that is not negative, or 0 if there is none."""
    value = document.get(field) or 0.0
    if type(value) in (int, float) and 0 <= value <= MAX_AMOUNT:
        return float(value)
    logger.bind(
        step="configuration", service=str(document["name"]), field=field, value=f"{value!r:.40}"
    ).warning("odd value ignored")
    return 0.0


def _decode_engine(document: Mapping[str, Any]) -> EngineProfile:
    return EngineProfile(
        slots=int(document["slots"]),
        kv_tokens=int(document["kvCapacity"]),  # tokens, not bytes
        kv_bytes_per_token=float(document["kvTokenBytes"]),
        link_bytes_per_s=float(document["linkMbps"]) * BYTES_S_PER_MBPS,
        handle_lifetime_s=float(document["handleTtlS"]),
        role_change_s=float(document["reconfigS"]),
    )


def _decode_workspace(document: Mapping[str, Any]) -> Workspace:
    priority = document.get("priority")
    return Workspace(
        name=document["name"],
        keys=frozenset(document["apiKeys"]),
        priority=None if priority is None else int(priority),
        rate_tokens_s=float(document.get("ratePerS") or 0),
        burst_tokens=float(document.get("burst") or 0),
        default_call_tokens=float(document.get("plainTokens") or 1),
    )


def _decode_limits(document: Mapping[str, Any]) -> ConnectionLimits:
    defaults = ConnectionLimits()
    return ConnectionLimits(
        max_header_bytes=int(document.get("maxHeaderBytes") or defaults.max_header_bytes),
        max_body_bytes=int(document.get("maxBodyBytes") or defaults.max_body_bytes),
        header_timeout_s=(document.get("headerTimeoutMs") or 1000 * defaults.header_timeout_s)
        / 1000,
        idle_timeout_s=(document.get("idleTimeoutMs") or 1000 * defaults.idle_timeout_s) / 1000,
    )
