"""Whole nodes whose servers send bytes without end, in whatever place: their memory is bounded."""

import asyncio
from pathlib import Path

import pytest

from lab.gateway._records import ServerFaults
from lab.gateway._site import BOOKINGS, RESUMABLE

pytestmark = [pytest.mark.processes, pytest.mark.timeout(60)]

MEMORY_MIB = 150  # of the smallest VMs
CALLS = 24  # at once, more than a node has at the servers in trouble
DEADLINE_MS = 2000
LOOK_INTERVAL_S = 0.02
CHUNK = b"x" * 1000


def memory_mib(process):
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def most_memory_mib(process, during):
    most = 0.0
    while not during.done():
        most = max(most, memory_mib(process))
        await asyncio.sleep(LOOK_INTERVAL_S)
    return most


# A node kept all that an engine sent behind a whole answer, and was killed for its memory within a
# second: all calls that it had under way were lost.
@pytest.mark.parametrize("place", ["head", "chunks", "unframed", "behind"])
@pytest.mark.parametrize("path", [BOOKINGS, RESUMABLE], ids=["plain", "stream"])
async def test_bytes_without_end_leave_a_node_in_its_memory(new_site, place, path):
    site = await new_site(node_count=1, decode_count=2)
    await asyncio.sleep(0.5)
    for server in site.servers:
        server.faults = ServerFaults(endless_next=CALLS, endless_place=place, endless_chunk=CHUNK)
    calls = asyncio.gather(
        *(
            site.caller.call(
                site.node_addresses[0], f"{path}{n}", tokens=(100, 80), deadline_ms=DEADLINE_MS
            )
            for n in range(CALLS)
        )
    )
    assert await most_memory_mib(site.nodes[0], calls) < MEMORY_MIB
    assert any(server.faults.endless_next < CALLS for server in site.servers)
    for server in site.servers:
        server.faults = ServerFaults()
    answer = await site.caller.call(site.node_addresses[0], f"{BOOKINGS}after")
    assert answer.status == 200 and answer.is_complete
