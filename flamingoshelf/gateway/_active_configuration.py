"""The configuration that is in force at this node."""

from typing import Any

from loguru import logger

from flamingoshelf.http1 import ConnectionLimits
from flamingoshelf.routing import GatewayConfiguration, Route, RouteTable

__all__ = ["ActiveConfiguration"]


class ActiveConfiguration:
    """Holds the adopted configuration; only a higher version replaces it."""

    def __init__(self) -> None:
        self._configuration: GatewayConfiguration | None = None
        self._document: Any = None
        self._route_table = RouteTable(())

    @property
    def is_known(self) -> bool:
        """Whether a configuration has been adopted."""
        return self._configuration is not None

    @property
    def version(self) -> int:
        """Version in force, or 0 if there is none."""
        return self.current.version if self.is_known else 0

    @property
    def current(self) -> GatewayConfiguration:
        """The configuration in force; requires `is_known`."""
        assert self._configuration is not None
        return self._configuration

    @property
    def document(self) -> Any:
        """The operators' document of the configuration in force, or None."""
        return self._document

    @property
    def limits(self) -> ConnectionLimits:
        """Limits of callers' connections; defaults until a configuration is known."""
        return self.current.limits if self.is_known else ConnectionLimits()

    def adopt(self, configuration: GatewayConfiguration, *, document: Any = None) -> bool:
        """Put a configuration in force if its version is higher; return whether it was.

        `document` is the operators' document that it was decoded from.
        """
        log = logger.bind(step="configuration", version=configuration.version)
        if configuration.version <= self.version:
            if configuration.version < self.version:
                log.info("configuration ignored; newer version {} is in force", self.version)
            return False
        self._configuration = configuration
        self._document = document
        self._route_table = RouteTable(configuration.routes)
        log.info(
            "configuration in force: {} routes, {} services, {} workspaces",
            len(configuration.routes),
            len(configuration.services),
            len(configuration.workspaces),
        )
        return True

    def match(self, host: str, path: str) -> Route | None:
        """Return the route for a request, or None if no route matches."""
        return self._route_table.match(host, path)
