"""Queries the nodes for the revision that they have in force."""

import asyncio
import json
from collections.abc import Sequence
from typing import Any

import attrs
from aiosonic.exceptions import AiosonicError, BaseTimeout
from aiosonic.timeout import Timeouts

from flamingoshelf.http_client import new_http_client, read_content
from flamingoshelf.object_service import HttpVmList
from flamingoshelf.utils import now_s

__all__ = ["NodeStatus", "find_operator_addresses", "read_statuses", "wait_until_in_force"]

_STATUS_TIMEOUT_S = 2.0
_POLL_INTERVAL_S = 0.2


@attrs.frozen(kw_only=True)
class NodeStatus:
    """Status of one node; `revision` is None if the node can't be reached."""

    address: str
    revision: int | None = None
    node: str = ""
    is_ready: bool = False
    honours_keys: bool = False
    configuration_age_s: float | None = None


async def find_operator_addresses(*, vm_list_address: str, operator_port: int) -> Sequence[str]:
    """Return the operator addresses of all listed VMs; `operator_port` is the same on each."""
    vm_list = HttpVmList(address=vm_list_address)
    try:
        snapshot = await vm_list.snapshot()
    finally:
        await vm_list.close()
    return [f"{vm.address.rpartition(':')[0]}:{operator_port}" for vm in snapshot.vms]


async def read_statuses(addresses: Sequence[str]) -> Sequence[NodeStatus]:
    """Return the status of each node."""
    client = new_http_client()
    try:
        return await asyncio.gather(*(_read_status(client, address) for address in addresses))
    finally:
        await client.connector.cleanup()


async def wait_until_in_force(
    revision: int, *, addresses: Sequence[str], timeout_s: float
) -> Sequence[NodeStatus]:
    """Wait until all nodes have `revision` in force or time runs out; return the last statuses."""
    deadline_s = now_s() + timeout_s
    while True:
        statuses = await read_statuses(addresses)
        is_done = all(
            status.revision is not None and status.revision >= revision for status in statuses
        )
        if is_done or now_s() >= deadline_s:
            return statuses
        await asyncio.sleep(_POLL_INTERVAL_S)


async def _read_status(client: Any, address: str) -> NodeStatus:
    timeouts = Timeouts(
        sock_connect=_STATUS_TIMEOUT_S,
        sock_read=_STATUS_TIMEOUT_S,
        request_timeout=_STATUS_TIMEOUT_S,
    )
    try:
        response = await client.get(f"http://{address}/status", timeouts=timeouts)
        document = json.loads(await read_content(response))
        return NodeStatus(
            address=address,
            revision=int(document["revision"]),
            node=document["node"],
            is_ready=document["ready"],
            honours_keys=document["honours_keys"],
            configuration_age_s=document["configuration_age_s"],
        )
    except (AiosonicError, BaseTimeout, OSError, ValueError, KeyError, TypeError):
        return NodeStatus(address=address)
