"""Limits of one node, derived from the settings and the configuration in force."""

import math
from collections.abc import Callable
from functools import lru_cache

from flamingoshelf.gateway._active_configuration import ActiveConfiguration
from flamingoshelf.gateway._settings import GatewaySettings
from flamingoshelf.placement import WorkspaceLimit
from flamingoshelf.retries import RetryBounds
from flamingoshelf.routing import BackendInstance, EngineProfile
from flamingoshelf.server_limits import ColdBound

__all__ = ["NodeLimits"]

# Shares of the fleet's retry bound per window that are used. They leave a margin, because the saved
# reserve and the retries earned without requests may fall into the same window, and nodes may
# disagree on the number of nodes.
_RETRY_RATIO_SHARE = 0.75
_RETRY_RESERVE_SHARE = 0.5
_RETRY_FLOOR_SHARE = 0.35
# Retries that a node may save in a fleet so large that its share is less than one.
_MIN_RETRY_RESERVE = 1.0
# Share of the tolerated excess tokens that is used; the rest is left for a second coordinator.
_LIMIT_SLACK_SHARE = 0.7
_UNKNOWN_SERVER_CONNECTIONS = 8  # until the configuration gives the limit of a server
_UNLIMITED_CONNECTIONS = 64  # for a server without a limit; far more than a node opens at once
_MIN_CONNECTIONS = 2  # a call that waits for a slow answer must not block all others


class NodeLimits:
    """This node's share of limits that apply to the whole fleet.

    Parameters
    ----------
    settings : callable
        Returns the settings in force.
    configuration : ActiveConfiguration
        The configuration in force.
    node_count : callable
        Returns the number of nodes in the fleet.
    """

    def __init__(
        self,
        *,
        settings: Callable[[], GatewaySettings],
        configuration: ActiveConfiguration,
        node_count: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        self._node_count = node_count

    def retries(self) -> RetryBounds:
        """Return retry bounds that keep the fleet within the allowed retries in any window."""
        settings = self._settings()
        floor_per_s = settings.retry_reserve / settings.retry_window_s
        return RetryBounds(
            ratio=_RETRY_RATIO_SHARE * settings.retry_ratio,
            fleet_reserve=max(_MIN_RETRY_RESERVE, _RETRY_RESERVE_SHARE * settings.retry_reserve),
            fleet_floor_per_s=_RETRY_FLOOR_SHARE * floor_per_s,
            min_node_reserve=_MIN_RETRY_RESERVE,
        )

    def workspace_limit(self, name: str) -> WorkspaceLimit | None:
        """Return a workspace's limit including the tolerated excess, or None if it is unknown."""
        if not self._configuration.is_known:
            return None
        workspace = self._configuration.current.workspaces.get(name)
        if workspace is None:
            return None
        factor = 1 + self._settings().limit_excess
        slack_tokens = _LIMIT_SLACK_SHARE * self._settings().limit_slack_tokens
        return WorkspaceLimit(
            rate_tokens_s=factor * workspace.rate_tokens_s,
            burst_tokens=factor * workspace.burst_tokens + slack_tokens,
            initial_tokens=workspace.burst_tokens,
        )

    def engine_profile(self, service: str) -> EngineProfile | None:
        """Return the capacity of a service's engines, or None if it has no engines."""
        if not self._configuration.is_known:
            return None
        profile = self._configuration.current.services.get(service)
        return None if profile is None else profile.engine

    def cold_bound(self, service: str) -> ColdBound | None:
        """Return what cold servers of a service accept, or None if they are never cold."""
        settings = self._settings()
        if settings.cold_excess is None or settings.cold_slack is None:
            return None
        if not self._configuration.is_known:
            return ColdBound(start_s=0.0, per_s=math.inf)
        profile = self._configuration.current.services.get(service)
        if profile is None or not profile.cold_start_s or not profile.cold_per_s:
            return None
        return _new_cold_bound(
            profile.cold_start_s, profile.cold_per_s, settings.cold_excess, settings.cold_slack
        )

    def connections(self, instance: BackendInstance | None) -> int:
        """Return the number of connections that this node may open to a server."""
        if instance is None or not self._configuration.is_known:
            return _UNKNOWN_SERVER_CONNECTIONS
        profile = self._configuration.current.services.get(instance.service)
        limit = 0 if profile is None else profile.max_connections
        if not limit:
            return _UNLIMITED_CONNECTIONS
        return max(_MIN_CONNECTIONS, limit // self._node_count())


@lru_cache(maxsize=64)  # asked for with each choice of an engine
def _new_cold_bound(start_s: float, per_s: float, excess: float, slack: float) -> ColdBound:
    return ColdBound(start_s=start_s, per_s=per_s, excess=excess, slack=slack)
