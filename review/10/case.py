"""The last tenant is taken away: no request may run whose key no configuration ever held."""

import asyncio
import os
from pathlib import Path
from typing import Any

from flamingoshelf.utils import now_s
from lab.gateway._caller import Caller
from lab.gateway._site import BOOKINGS, HOST, KEY, STOCK
from review.deployment_2 import Deployment, Record, has_trouble, run_case

_APPLY_S = 2.0  # bounds.configApplyMs
_UNKNOWN_KEY = "no-configuration-held-this-key"
_SPAN_S = 12.0
_CHANGE_S = 4.0  # after the start
_INTERVAL_S = 0.1


def _remaining_tenants(deployment: Deployment) -> list[dict[str, Any]]:
    """Return the tenants of the last version: none, or with ``KEEP=1`` the entry without a key."""
    if os.environ.get("KEEP") == "1":
        return [{**deployment.configuration()["tenants"][0], "apiKeys": []}]
    return []


async def _case(deployment: Deployment, record: Record) -> list[str]:
    keys = {"known": KEY, "unknown": _UNKNOWN_KEY, "none": ""}
    sent_s: dict[str, float] = {}
    changed_s = float("inf")
    begin_s = now_s()
    number = 0

    async def send(name: str, key: str, path: str, address: str) -> None:
        sent_s[name] = now_s()
        answer = await Caller(host=HOST, key=key).call(
            address, f"{path}{name}", method="GET" if path == STOCK else "POST", request_id=name
        )
        record.add(f"{name} answered with {answer.status}")

    async with asyncio.TaskGroup() as group:
        while now_s() < begin_s + _SPAN_S:
            if has_trouble() and changed_s == float("inf") and now_s() >= begin_s + _CHANGE_S:
                deployment.configure(tenants=_remaining_tenants(deployment))
                changed_s = now_s()
                record.add("a version without the last tenant is acknowledged")
            for sort, key in keys.items():
                number += 1
                group.create_task(
                    send(
                        f"{sort}-{number}",
                        key,
                        STOCK if number % 2 else BOOKINGS,
                        deployment.node_addresses[number % len(deployment.node_addresses)],
                    )
                )
            await asyncio.sleep(_INTERVAL_S)
    for run in deployment.log.runs:
        record.add(f"{run.request_id} ran at {run.server} for {run.headers.get('Tenant')}")
    ran = {run.request_id for run in deployment.log.runs}
    foreign = [name for name in ran if name.startswith(("unknown-", "none-"))]
    dropped = [
        name for name in ran if name.startswith("known-") and sent_s[name] > changed_s + _APPLY_S
    ]
    breaches = []
    if foreign:
        breaches.append(f"ROUTE: {len(foreign)} requests ran with a key that was never held")
    if dropped:
        breaches.append(f"CONFIG: {len(dropped)} requests ran with a key that was dropped")
    return breaches


if __name__ == "__main__":
    run_case(
        Path(__file__).parent, _case, node_count=2, prefill_count=1, decode_count=1, plain_count=2
    )
