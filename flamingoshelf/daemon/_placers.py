"""Builds the placer selected by the settings."""

import random
from collections.abc import Callable

import attrs

from flamingoshelf.backends import EngineClient
from flamingoshelf.base import NodeLink, Ownership, Service
from flamingoshelf.dispatch import (
    FleetPlacer,
    LocalPlacer,
    Placer,
    RoundRobinPlacer,
    TwoChoicePlacer,
)
from flamingoshelf.objects import Catalog
from flamingoshelf.telemetry import Metrics

__all__ = ["PlacerComponents", "build_placer"]

# Part of each decode engine's places that one node uses while it places without a dispatcher.
_FALLBACK_PLACE_SHARE = 0.25


@attrs.frozen(kw_only=True)
class PlacerComponents:
    """A placer and those of its components that own background tasks."""

    placer: Placer
    services: tuple[Service, ...] = ()


def build_placer(
    kind: str,
    *,
    link: NodeLink,
    ownership: Ownership,
    catalog: Callable[[], Catalog],
    engines: EngineClient,
    metrics: Metrics,
    random_source: random.Random,
) -> PlacerComponents:
    """Return the placer of the given kind, a value of the setting `placer`."""
    if kind == "local":
        return PlacerComponents(placer=LocalPlacer(catalog=catalog))
    if kind == "round_robin":
        return PlacerComponents(placer=RoundRobinPlacer(catalog=catalog))
    max_place_share = 1.0 if kind == "two_choice" else _FALLBACK_PLACE_SHARE
    two_choice = TwoChoicePlacer(
        catalog=catalog,
        engines=engines,
        random_source=random_source,
        max_place_share=max_place_share,
    )
    if kind == "two_choice":
        return PlacerComponents(placer=two_choice, services=(two_choice,))
    fleet = FleetPlacer(
        link=link, ownership=ownership, catalog=catalog, fallback=two_choice, metrics=metrics
    )
    return PlacerComponents(placer=fleet, services=(two_choice, fleet))
