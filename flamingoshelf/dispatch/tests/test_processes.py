"""Recovery from killed processes, with real nodes and engines."""

import asyncio
import json

import pytest

from flamingoshelf.http_client import new_http_client
from lab.answers import expected_answer
from lab.scenarios import api_key_of

pytestmark = pytest.mark.processes

PROMPT = "Value a van with a long history."
MAX_TOKENS = 240
FREE_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.2
MARGIN_S = 5.0


@pytest.fixture
async def client():
    client = new_http_client()
    yield client
    await client.connector.cleanup()


async def start_stream(client, address):
    document = {"model": "writer", "prompt": PROMPT, "max_tokens": MAX_TOKENS, "stream": True}
    headers = {"Authorization": f"Bearer {api_key_of('kathmandu-north')}"}
    return await client.post(f"http://{address}/v1/completions", json=document, headers=headers)


async def read_text(response):
    texts = []
    async for line in response.iter_lines():
        if line.startswith("data: {"):
            texts.append(json.loads(line[6:])["choices"][0]["text"])
    return "".join(texts)


async def engines_holding(site):
    names = []
    for name, address in site.engine_addresses.items():
        if name.startswith("decode") and site.engines[name].is_running:
            report = await site.control(address, {})
            names += [name] * len(report["held"])
    return names


async def wait_until_free(site, timeout_s):
    async with asyncio.timeout(timeout_s):
        while await engines_holding(site):
            await asyncio.sleep(POLL_INTERVAL_S)


async def test_killed_node_leaves_no_engine_memory_held(site, client):
    response = await start_stream(client, site.node_addresses[0])
    assert response.status_code == 200
    assert len(await engines_holding(site)) == 1
    for address in site.engine_addresses.values():
        await site.control(address, {"step_s": 0.5})
    site.nodes["node-0"].process.kill()
    await wait_until_free(site, FREE_TIMEOUT_S + MARGIN_S)
    await response.aclose()


async def test_answer_goes_on_at_another_engine_when_its_own_is_killed(site, client):
    response = await start_stream(client, site.node_addresses[1])
    (engine,) = await engines_holding(site)
    site.engines[engine].kill()
    assert await read_text(response) == expected_answer(PROMPT, MAX_TOKENS)
    await wait_until_free(site, FREE_TIMEOUT_S + MARGIN_S)
