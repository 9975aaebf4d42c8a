"""Bounds that follow from the settings and the configuration in force."""

from collections.abc import Callable

from flamingoshelf.gateway._active_configuration import ActiveConfiguration
from flamingoshelf.gateway._settings import GatewaySettings
from flamingoshelf.placement import WorkspaceLimit
from flamingoshelf.retries import RetryBounds
from flamingoshelf.routing import BackendInstance, EngineProfile

__all__ = ["Bounds"]

# Parts of the fleet's bound of repeats in a window that are used: what is saved up and what is
# earned without requests may fall into one window, and the nodes' counts of nodes may differ.
_RETRY_RATIO_SHARE = 0.75
_RETRY_RESERVE_SHARE = 0.5
_RETRY_FLOOR_SHARE = 0.35
# Repeats that a node may save up in a fleet so large that its part is less than one.
_LEAST_RETRY_RESERVE = 1.0
# Part of the tokens tolerated above a limit that is used; the rest is for a second coordinator.
_LIMIT_SLACK_SHARE = 0.7
_UNKNOWN_SERVER_CONNECTIONS = 8  # while the configuration does not say how many a server takes
_UNLIMITED_CONNECTIONS = 64  # to a server without a limit; far more than a node has open at once
_LEAST_CONNECTIONS = 2  # one that waits for a slow answer must not stop all others


class Bounds:
    """What this node may use of the bounds that hold for the fleet.

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
        """Return the bounds of repeats that keep within what is allowed in any window."""
        settings = self._settings()
        floor_per_s = settings.retry_reserve / settings.retry_window_s
        return RetryBounds(
            ratio=_RETRY_RATIO_SHARE * settings.retry_ratio,
            fleet_reserve=max(_LEAST_RETRY_RESERVE, _RETRY_RESERVE_SHARE * settings.retry_reserve),
            fleet_floor_per_s=_RETRY_FLOOR_SHARE * floor_per_s,
            least_reserve=_LEAST_RETRY_RESERVE,
        )

    def workspace_limit(self, name: str) -> WorkspaceLimit | None:
        """Return a workspace's limit with what is tolerated above it."""
        if not self._configuration.is_known:
            return None
        workspace = self._configuration.current.workspaces.get(name)
        if workspace is None:
            return None
        factor = 1 + self._settings().limit_excess
        slack = _LIMIT_SLACK_SHARE * self._settings().limit_slack_tokens
        return WorkspaceLimit(
            rate_tokens_s=factor * workspace.rate_tokens_s,
            burst_tokens=factor * workspace.burst_tokens + slack,
            initial_tokens=workspace.burst_tokens,
        )

    def engine_profile(self, service: str) -> EngineProfile | None:
        """Return what an engine of a service can hold, None if the service has no engines."""
        if not self._configuration.is_known:
            return None
        profile = self._configuration.current.services.get(service)
        return None if profile is None else profile.engine

    def connections(self, instance: BackendInstance | None) -> int:
        """Return how many connections to a server this node may hold."""
        if instance is None or not self._configuration.is_known:
            return _UNKNOWN_SERVER_CONNECTIONS
        profile = self._configuration.current.services.get(instance.service)
        limit = 0 if profile is None else profile.max_connections
        if not limit:
            return _UNLIMITED_CONNECTIONS
        return max(_LEAST_CONNECTIONS, limit // self._node_count())
