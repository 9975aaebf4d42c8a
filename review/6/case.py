"""Configurations come in quick succession: no node may die of those that aren't in force."""

import asyncio
from pathlib import Path
from typing import Any

from flamingoshelf.utils import now_s
from review.deployment_2 import Deployment, Record, has_trouble, run_case
from review.memory_2 import KeptConnections, MemoryLimit

_TENANTS = 4000  # 700 KB, two thirds of platform.valueBytes
_STORMS = 9
_CHANGES, _GAP_S = 12, 0.33  # of one storm, which lasts 4.0 s
_REST_S = 3.0  # between two storms
_SETTLE_S = 3.0


def _tenants(change: int) -> list[dict[str, Any]]:
    """Return tenants whose burst is another one after each change."""
    return [
        {
            "name": f"tenant{number:05d}",
            "apiKeys": [f"key-{number:05d}-{'k' * 12}", f"second-{number:05d}-{'k' * 9}"],
            "priority": 1,
            "unit": "generate",
            "plainTokens": 200,
            "ratePerS": 1000,
            "burst": 1000 + change,
        }
        for number in range(_TENANTS)
    ]


async def _change_configuration(deployment: Deployment, record: Record) -> None:
    own = deployment.configuration()["tenants"]
    deployment.configure(tenants=own + _tenants(0))
    await asyncio.sleep(_SETTLE_S)
    for storm in range(_STORMS if has_trouble() else 0):
        record.add(f"storm {storm + 1}: {_CHANGES} versions")
        for change in range(_CHANGES):
            deployment.configure(tenants=own + _tenants(1 + change + storm * _CHANGES))
            await asyncio.sleep(_GAP_S)
        await asyncio.sleep(_REST_S)


async def _case(deployment: Deployment, record: Record) -> list[str]:
    limit = MemoryLimit(deployment, record)
    callers = KeptConnections(deployment, record)
    span_s = _SETTLE_S + _STORMS * (_CHANGES * _GAP_S + _REST_S)
    async with asyncio.TaskGroup() as group:
        group.create_task(callers.run(now_s() + span_s))
        group.create_task(_change_configuration(deployment, record))
    limit.stop()
    return callers.find_breaches()


if __name__ == "__main__":
    run_case(
        Path(__file__).parent, _case, node_count=3, prefill_count=1, decode_count=1, plain_count=3
    )
