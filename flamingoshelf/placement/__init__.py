"""Placement of requests on separate prefill and decode engines across the fleet."""

from flamingoshelf.placement._dispatcher import Dispatcher
from flamingoshelf.placement._fleet import FleetPlacer
from flamingoshelf.placement._health import FailureKind
from flamingoshelf.placement._plain_calls import PlainCallMeter
from flamingoshelf.placement._refusals import version_gone_refusal
from flamingoshelf.placement._role_plan import RoleChange, RolePlanner
from flamingoshelf.placement._service import DispatcherService
from flamingoshelf.placement._types import (
    DecodeRun,
    PlacementRequest,
    Placer,
    RunOutcome,
    Turn,
    new_turn_id,
)
from flamingoshelf.placement._workspace_limits import WorkspaceLimit, WorkspaceLimits

__all__ = [
    "DecodeRun",
    "Dispatcher",
    "DispatcherService",
    "FailureKind",
    "FleetPlacer",
    "PlacementRequest",
    "PlainCallMeter",
    "Placer",
    "RoleChange",
    "RolePlanner",
    "RunOutcome",
    "Turn",
    "WorkspaceLimit",
    "WorkspaceLimits",
    "new_turn_id",
    "version_gone_refusal",
]
