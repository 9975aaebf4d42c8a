"""Builds the placer that the settings name."""

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

__all__ = ["PlacerParts", "build_placer"]

_FALLBACK_SHARE = 0.25


@attrs.frozen(kw_only=True)
class PlacerParts:
    """A placer and what of it owns tasks."""

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
) -> PlacerParts:
    """Return the placer that the setting `kind` names."""
    if kind == "local":
        return PlacerParts(placer=LocalPlacer(catalog=catalog))
    if kind == "round_robin":
        return PlacerParts(placer=RoundRobinPlacer(catalog=catalog))
    share = 1.0 if kind == "two_choice" else _FALLBACK_SHARE
    two_choice = TwoChoicePlacer(
        catalog=catalog, engines=engines, random_source=random_source, share=share
    )
    if kind == "two_choice":
        return PlacerParts(placer=two_choice, services=(two_choice,))
    fleet = FleetPlacer(
        link=link, ownership=ownership, catalog=catalog, fallback=two_choice, metrics=metrics
    )
    return PlacerParts(placer=fleet, services=(two_choice, fleet))
