"""Stand-ins for the users' platform: store, backend servers, callers and a complete site.

They implement as much of the published protocol as the gateway uses. Store and servers run in the
process of the test; the gateway's nodes are separate processes.
"""

from lab.gateway._caller import Answer, Caller
from lab.gateway._records import RunLog, ServerFaults
from lab.gateway._servers import EngineStandIn, PlainStandIn
from lab.gateway._site import GatewaySite
from lab.gateway._store import StoreFaults, StoreStandIn

__all__ = [
    "Answer",
    "Caller",
    "EngineStandIn",
    "GatewaySite",
    "PlainStandIn",
    "RunLog",
    "ServerFaults",
    "StoreFaults",
    "StoreStandIn",
]
