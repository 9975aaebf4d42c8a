"""Limits that backend servers state, and their observance by all nodes together.

A server may state how many requests per second it accepts from all nodes, or be cold and accept
few for some time. `StatedLimits` holds what servers state, `ColdServers` which ones are cold,
`LimitKeeper` counts the requests at the coordinator, and `LimitService` gives each node permits
from there.
"""

from flamingoshelf.server_limits._cold import ColdBound, ColdServers, ColdWindow
from flamingoshelf.server_limits._keeper import LimitKeeper, PermitForecast
from flamingoshelf.server_limits._queue import Permit, PermitQueue
from flamingoshelf.server_limits._service import LimitService
from flamingoshelf.server_limits._stated import LimitStatement, StatedLimits

__all__ = [
    "ColdBound",
    "ColdServers",
    "ColdWindow",
    "LimitKeeper",
    "LimitService",
    "LimitStatement",
    "Permit",
    "PermitForecast",
    "PermitQueue",
    "StatedLimits",
]
