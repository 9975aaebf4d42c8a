"""Rate limits of workspaces, counted in tokens over the whole fleet."""

from flamingoshelf.limits._fleet import FleetLimiter
from flamingoshelf.limits._home import LimitHome
from flamingoshelf.limits._parts import PART_COUNT, DutyParts, PartOwnership, SlotParts
from flamingoshelf.limits._per_node import PerNodeLimiter
from flamingoshelf.limits._service import LimitService
from flamingoshelf.limits._types import Charge, ChargeShare, Limiter

__all__ = [
    "Charge",
    "ChargeShare",
    "DutyParts",
    "FleetLimiter",
    "LimitHome",
    "LimitService",
    "Limiter",
    "PART_COUNT",
    "PartOwnership",
    "PerNodeLimiter",
    "SlotParts",
]
