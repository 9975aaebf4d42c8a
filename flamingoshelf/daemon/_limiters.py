"""Builds the limiter selected by the settings."""

from collections.abc import Callable

import attrs

from flamingoshelf.base import NodeLink
from flamingoshelf.limits import (
    DutyParts,
    FleetLimiter,
    Limiter,
    LimitHome,
    LimitService,
    PerNodeLimiter,
    SlotParts,
)
from flamingoshelf.objects import Catalog
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup

__all__ = ["LimiterComponents", "build_limiter"]


@attrs.frozen(kw_only=True)
class LimiterComponents:
    """A limiter, and the service that handles token charges from other nodes."""

    limiter: Limiter
    service: LimitService


def build_limiter(
    name: str,
    *,
    link: NodeLink,
    ownership: DutyParts,
    catalog: Callable[[], Catalog],
    node_count: Callable[[], int],
    metrics: Metrics,
    background: TaskGroup,
) -> LimiterComponents:
    """Return the limiter called `name`, and the service for the limits assigned to this node."""
    parts = SlotParts(ownership=ownership)
    home = LimitHome(parts=parts, catalog=catalog)
    service = LimitService(home=home, parts=parts, link=link, catalog=catalog, metrics=metrics)
    limiter: Limiter
    if name == "per_node":
        limiter = PerNodeLimiter(catalog=catalog, node_count=node_count)
    else:
        limiter = FleetLimiter(
            link=link, parts=parts, catalog=catalog, metrics=metrics, background=background
        )
    return LimiterComponents(limiter=limiter, service=service)
