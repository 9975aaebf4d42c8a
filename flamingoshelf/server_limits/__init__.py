"""Limits that backend servers state, and their observance by all nodes together.

A server may state how many requests per second it accepts from all nodes. `StatedLimits` holds what
servers state, `LimitKeeper` counts the requests at the coordinator, and `LimitService` gives each
node permits from there.
"""

from flamingoshelf.server_limits._keeper import LimitKeeper, PermitForecast
from flamingoshelf.server_limits._queue import Permit, PermitQueue
from flamingoshelf.server_limits._service import LimitService
from flamingoshelf.server_limits._stated import LimitStatement, StatedLimits

__all__ = [
    "LimitKeeper",
    "LimitService",
    "LimitStatement",
    "Permit",
    "PermitForecast",
    "PermitQueue",
    "StatedLimits",
]
