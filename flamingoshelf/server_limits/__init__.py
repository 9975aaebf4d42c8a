"""Limits that backend servers state, and their observance by all nodes together."""

from flamingoshelf.server_limits._stated import LimitStatement, StatedLimits

__all__ = ["LimitStatement", "StatedLimits"]
