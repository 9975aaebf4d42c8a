"""Placement of requests on prefill and decode engines.

A dispatcher counts the places and the KV cache memory in use at the engines of one model and grants
places to requests. A place is room for one request at a decode engine.
"""

from flamingoshelf.dispatch._dispatcher import Decision, Dispatcher
from flamingoshelf.dispatch._fleet import FleetPlacer
from flamingoshelf.dispatch._local import LocalPlacer
from flamingoshelf.dispatch._round_robin import RoundRobinPlacer
from flamingoshelf.dispatch._service import DispatcherService
from flamingoshelf.dispatch._two_choice import TwoChoicePlacer
from flamingoshelf.dispatch._types import Grant, PlacementRequest, Placer

__all__ = [
    "Decision",
    "Dispatcher",
    "DispatcherService",
    "FleetPlacer",
    "Grant",
    "LocalPlacer",
    "PlacementRequest",
    "Placer",
    "RoundRobinPlacer",
    "TwoChoicePlacer",
]
