"""Removal of the entries of lost nodes."""

import asyncio
from collections.abc import Callable

from loguru import logger

from flamingoshelf.cluster import Coordination, Registration

__all__ = ["remove_lost_nodes"]

_INTERVAL_S = 3.0  # each entry of a lost node costs a connection attempt


async def remove_lost_nodes(
    coordination: Callable[[], Coordination | None], registration: Registration
) -> None:
    """Delete the entries of lost nodes while this node is the coordinator; never returns."""
    while True:
        await asyncio.sleep(_INTERVAL_S)
        current = coordination()
        if current is None or not current.is_coordinator:
            continue
        for name in await current.find_dead_members():
            if current.reachable_count > 1:  # otherwise this node itself is disconnected
                logger.bind(step="members", peer=name).info("node lost; removing its entry")
                registration.remove_node(name)
