"""Builds the limiter that the settings name."""

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

__all__ = ["LimiterParts", "build_limiter"]


@attrs.frozen(kw_only=True)
class LimiterParts:
    """A limiter, and the service that answers other nodes' charges."""

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
) -> LimiterParts:
    """Return the limiter called `name`; every node serves its parts of the limits."""
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
    return LimiterParts(limiter=limiter, service=service)
