"""Routing data of the gateway: its configuration and the instances of backend servers."""

from flamingoshelf.routing._configuration import (
    CallKind,
    EngineProfile,
    GatewayConfiguration,
    Route,
    RouteTarget,
    ServiceProfile,
    Workspace,
)
from flamingoshelf.routing._configuration_checks import Finding, Severity, check_configuration
from flamingoshelf.routing._configuration_differences import (
    ChangeKind,
    Difference,
    compare_configurations,
)
from flamingoshelf.routing._directory import InstanceDirectory
from flamingoshelf.routing._evacuations import EvacuatedDataCentres
from flamingoshelf.routing._instances import (
    BackendInstance,
    EngineRole,
    InstanceState,
    ServerRun,
)
from flamingoshelf.routing._notices import ServerNotices
from flamingoshelf.routing._route_table import RouteTable
from flamingoshelf.routing._server_selector import EjectionRule, ServerSelector

__all__ = [
    "BackendInstance",
    "CallKind",
    "ChangeKind",
    "Difference",
    "EjectionRule",
    "EngineProfile",
    "EngineRole",
    "EvacuatedDataCentres",
    "Finding",
    "GatewayConfiguration",
    "InstanceDirectory",
    "InstanceState",
    "Route",
    "RouteTable",
    "RouteTarget",
    "ServerNotices",
    "ServerRun",
    "ServerSelector",
    "ServiceProfile",
    "Severity",
    "Workspace",
    "check_configuration",
    "compare_configurations",
]
