"""Lookup of the route of a request."""

from collections.abc import Iterable

from flamingoshelf.routing._configuration import Route

__all__ = ["RouteTable"]


class RouteTable:
    """Routes by host and longest path prefix.

    Parameters
    ----------
    routes : iterable of Route
        Routes of one configuration.

    Examples
    --------
    >>> from flamingoshelf.routing import CallKind, RouteTarget
    >>> def route(name, prefix):
    ...     return Route(name=name, host="h", path_prefix=prefix, kind=CallKind.IDEMPOTENT,
    ...                  targets=(RouteTarget(service="s"),), timeout_s=1, latency_goal_s=1)
    >>> table = RouteTable([route("short", "/a/"), route("long", "/a/b/")])
    >>> table.match("h", "/a/b/c").name, table.match("h", "/a/c").name, table.match("h", "/b/")
    ('long', 'short', None)
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        routes = self._by_host.get(host.lower(), ())
        return next((route for route in routes if path.startswith(route.path_prefix)), None)
