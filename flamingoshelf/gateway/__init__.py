"""The gateway: routes callers' requests to backend servers over any HTTP path."""

from flamingoshelf.gateway._active_configuration import ActiveConfiguration
from flamingoshelf.gateway._admission import Admission, AdmittedRequest
from flamingoshelf.gateway._app import Gateway
from flamingoshelf.gateway._backend_client import BackendClient
from flamingoshelf.gateway._engine_control import (
    EngineReport,
    EngineWire,
    OrderOutcome,
    ReportedRun,
    RoleOrder,
)
from flamingoshelf.gateway._node import GatewayNode
from flamingoshelf.gateway._plain_forwarder import PlainForwarder
from flamingoshelf.gateway._settings import GatewaySettings
from flamingoshelf.gateway._settings_watch import SettingsWatch
from flamingoshelf.gateway._store_listeners import StoreFormat
from flamingoshelf.gateway._stream_forwarder import StreamForwarder
from flamingoshelf.gateway._target_selector import TargetSelector
from flamingoshelf.gateway._wire import (
    BackendCall,
    BackendResponseHead,
    CallerRequest,
    KvHandle,
    WireFormat,
)

__all__ = [
    "ActiveConfiguration",
    "Admission",
    "AdmittedRequest",
    "BackendResponseHead",
    "BackendCall",
    "BackendClient",
    "CallerRequest",
    "EngineReport",
    "EngineWire",
    "Gateway",
    "GatewayNode",
    "GatewaySettings",
    "KvHandle",
    "OrderOutcome",
    "PlainForwarder",
    "ReportedRun",
    "RoleOrder",
    "SettingsWatch",
    "StoreFormat",
    "StreamForwarder",
    "TargetSelector",
    "WireFormat",
]
