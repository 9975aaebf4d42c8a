"""Choice of a route's service, and lookup of its servers."""

import random

from flamingoshelf.gateway._active_configuration import ActiveConfiguration
from flamingoshelf.routing import (
    BackendInstance,
    EngineRole,
    InstanceDirectory,
    Route,
    ServerNotices,
)

__all__ = ["TargetSelector"]


class TargetSelector:
    """Chooses a service of a route by weight, and lists the servers of a service.

    Parameters
    ----------
    configuration : ActiveConfiguration
        The configuration in force.
    directory : InstanceDirectory
        Registered backend servers.
    random_source : random.Random
        Source of randomness for the weighted choice.
    notices : ServerNotices
        Pauses that servers ask this node for.
    """

    def __init__(
        self,
        *,
        configuration: ActiveConfiguration,
        directory: InstanceDirectory,
        random_source: random.Random,
        notices: ServerNotices,
    ) -> None:
        self._notices = notices
        self._configuration = configuration
        self._directory = directory
        self._random = random_source

    def choose_service(self, route: Route) -> str:
        """Return a service of the route by weight; one without servers only if no other has any."""
        available = [target for target in route.targets if self._directory.ready(target.service)]
        targets = [t for t in available if t.weight > 0] or available or list(route.targets)
        weights = [max(target.weight, 1e-9) for target in targets]
        return self._random.choices(targets, weights=weights)[0].service

    def instances(self, service: str, *, role: EngineRole | None = None) -> list[BackendInstance]:
        """Return the servers of a service that accept new work."""
        return self._directory.ready(service, role=role)

    def are_all_evacuated(self, service: str) -> bool:
        """Return whether evacuations alone leave a service without servers for new work."""
        return bool(self._directory.evacuated(service)) and not self._directory.ready(service)

    def pauses(self, service: str) -> dict[str, float]:
        """Return the servers that want nothing from this node, each with the seconds left."""
        return {
            instance.key: pause_s
            for instance in self._directory.ready(service)
            if (pause_s := self._notices.pause_s(instance)) > 0
        }

    def mark_replaced(self, instance: BackendInstance) -> None:
        """Stop using a server whose address now belongs to another server."""
        self._directory.mark_replaced(instance.key)
