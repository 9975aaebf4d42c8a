"""Rate and burst of workspaces, counted in tokens."""

from flamingoshelf.limits._per_node import PerNodeLimiter
from flamingoshelf.limits._types import Charge, Limiter

__all__ = ["Charge", "Limiter", "PerNodeLimiter"]
