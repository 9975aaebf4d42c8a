"""Configuration on real processes: lost answers, races, outages, pauses and restarts."""

import asyncio
import signal

import pytest

from flamingoshelf.configuration import Repository
from flamingoshelf.configuration.tests.conftest import merging, workspace
from flamingoshelf.http_client import new_http_client
from flamingoshelf.objects import Fleet, Kind, ObjectId
from lab.scenarios import api_key_of

pytestmark = pytest.mark.processes

WORKSPACE = "workshop"
FRESHNESS_S = Fleet().key_freshness_s
WITHDRAWAL_LIMIT_S = 5.0


@pytest.fixture
async def client():
    client = new_http_client()
    yield client
    await client.connector.cleanup()


async def request_status(client, node):
    """Return the status of a request with the workspace's key."""
    headers = {"Authorization": f"Bearer {api_key_of(WORKSPACE)}"}
    response = await client.get(f"http://{node.caller_address}/v1/models", headers=headers)
    await response.content()
    return response.status_code


def withdrawing(objects):
    key_id = ObjectId(kind=Kind.KEY, name=f"{WORKSPACE}-key")
    item = objects[key_id]
    spec = type(item.spec)(workspace=item.spec.workspace, sha256=item.spec.sha256, withdrawn=True)
    return {**objects, key_id: type(item)(id=key_id, spec=spec)}


async def wait_for_status(client, site, status, *, timeout_s):
    async with asyncio.timeout(timeout_s):
        for node in site.nodes.values():
            while await request_status(client, node) != status:
                await asyncio.sleep(0.05)


async def test_lost_answers_races_and_a_withdrawn_key(site, client):
    await wait_for_status(client, site, 200, timeout_s=5.0)
    await site.control(site.platform_address, {"faults": {"lose_answers": 4, "lose_reads": 2}})
    operators = [Repository(store=site.store) for _ in range(3)]
    edits = [merging(workspace(f"new-{number}")) for number in range(3)]
    applied = await asyncio.gather(
        *(operator.apply(edit) for operator, edit in zip(operators, edits, strict=True))
    )
    assert sorted(result.revision for result in applied) == [2, 3, 4]
    paused = site.nodes["node-2"].process
    paused.send(signal.SIGSTOP)
    await operators[0].apply(withdrawing)
    for name in ("node-0", "node-1"):
        async with asyncio.timeout(WITHDRAWAL_LIMIT_S):
            while await request_status(client, site.nodes[name]) != 401:
                await asyncio.sleep(0.05)
    await asyncio.sleep(FRESHNESS_S + 1.0)
    paused.send(signal.SIGCONT)
    assert await request_status(client, site.nodes["node-2"]) != 200
    await wait_for_status(client, site, 401, timeout_s=WITHDRAWAL_LIMIT_S)


async def test_a_long_outage_with_a_restarted_node(site, client):
    await site.control(site.platform_address, {"faults": {"down": True}})
    refused = []
    for second in range(int(FRESHNESS_S) + 8):
        await asyncio.sleep(1)
        if second == 4:
            site.nodes["node-1"].process.kill()
            site.start_node("node-1")
            await site.wait_until_ready("node-1")
        for name in ("node-0", "node-2"):
            refused += [name] if await request_status(client, site.nodes[name]) != 200 else []
    assert refused == []
    assert await request_status(client, site.nodes["node-1"]) == 200
    await site.control(site.platform_address, {"faults": {"down": False}})
    await Repository(store=site.store).apply(withdrawing)
    await wait_for_status(client, site, 401, timeout_s=WITHDRAWAL_LIMIT_S)
