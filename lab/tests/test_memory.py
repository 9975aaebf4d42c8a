"""Memory of whole nodes under bytes without end and configurations in quick succession."""

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
WORKSPACES = 4000  # in a configuration of 700 KB
VERSIONS, VERSION_INTERVAL_S = 50, 0.3
STREAM_EVENTS, S_PER_EVENT = 80, 0.05


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


def workspaces(version):
    return [
        {
            "name": f"w{number:05d}",
            "apiKeys": [f"key-{number:05d}-{'k' * 12}", f"second-{number:05d}-{'k' * 9}"],
            "priority": 1,
            "unit": "generate",
            "plainTokens": 200,
            "ratePerS": 1000,
            "burst": 1000 + version,
        }
        for number in range(WORKSPACES)
    ]


# Nodes kept the last 256 configurations whole, and long streams each one that they had begun under.
async def test_configurations_in_quick_succession_leave_nodes_in_their_memory(new_site):
    site = await new_site(node_count=3, decode_count=2)  # the last one follows the first one
    for engine in site.engines:
        engine.s_per_event = S_PER_EVENT
    own = site.configuration()["tenants"]

    async def change():
        streams = []
        for version in range(VERSIONS):
            site.configure(tenants=own + workspaces(version))
            for address in site.node_addresses:
                call = site.caller.call(
                    address, f"{RESUMABLE}{version}", tokens=(10, 8 * STREAM_EVENTS)
                )
                streams.append(asyncio.ensure_future(call))
            await asyncio.sleep(VERSION_INTERVAL_S)
        await asyncio.gather(*streams)

    changing = asyncio.ensure_future(change())
    used = await asyncio.gather(*(most_memory_mib(node, changing) for node in site.nodes))
    await changing
    assert max(used) < MEMORY_MIB
    answer = await site.caller.call(site.node_addresses[0], f"{BOOKINGS}after")
    assert answer.status == 200 and answer.is_complete
