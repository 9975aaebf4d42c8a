"""Placement of requests on prefill and decode engines."""

from flamingoshelf.dispatch._local import LocalPlacer
from flamingoshelf.dispatch._types import Grant, PlacementRequest, Placer

__all__ = ["Grant", "LocalPlacer", "PlacementRequest", "Placer"]
