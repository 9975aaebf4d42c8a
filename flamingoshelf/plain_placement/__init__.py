"""Placement of plain calls by their expected cost and by the work that is left at each server.

The coordinator keeps one `ServiceLedger` a service; each node asks it through `PlacementService`.
"""

from flamingoshelf.plain_placement._call_reports import CallTerms, PlacedCall
from flamingoshelf.plain_placement._costs import CallKind, CostEstimate, CostModel
from flamingoshelf.plain_placement._ledger import ServiceLedger
from flamingoshelf.plain_placement._service import PlacementService, decline_placement
from flamingoshelf.plain_placement._types import (
    CallId,
    Outcome,
    PlacedServer,
    Placement,
    PlacementRequest,
)

__all__ = [
    "CallId",
    "CallKind",
    "CallTerms",
    "CostEstimate",
    "CostModel",
    "Outcome",
    "PlacedCall",
    "PlacedServer",
    "Placement",
    "PlacementRequest",
    "PlacementService",
    "ServiceLedger",
    "decline_placement",
]
