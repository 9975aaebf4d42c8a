"""Measure a node's processor time per relayed token, at three numbers of concurrent answers.

Run with ``python -m benchmarks.relay``; it prints JSON.
"""

import asyncio
import json
import tempfile
import time
from pathlib import Path
from typing import Any

import attrs

from benchmarks.measure import fit_line, read_process_usage
from flamingoshelf.http_client import new_http_client
from lab.scenarios import SCENARIOS, api_key_of
from lab.site import Site

__all__ = ["measure_relay"]

_SETTLE_WAIT_S = 2.0
_MEASURE_S = 6.0
_MAX_TOKENS = 2000
_ANSWER_COUNTS = (2, 9, 18)


async def measure_relay() -> dict[str, Any]:
    """Return token rate and processor share of each point, and the line through the points."""
    scenario = SCENARIOS["himal"].resized(node_count=1, prefill_count=1, decode_count=1)
    points = []
    for count in _ANSWER_COUNTS:
        with tempfile.TemporaryDirectory(prefix="flamingoshelf-") as folder:
            site = Site(scenario=scenario, folder=Path(folder))
            try:
                await site.start()
                points.append(await _measure(site, count))
            finally:
                await site.stop()
    line = fit_line([p["tokens_per_s"] for p in points], [p["cpu_per_s"] for p in points])
    return {"points": points, "cpu_s_per_token": line.slope, "line": attrs.asdict(line)}


async def _measure(site: Site, count: int) -> dict[str, float]:
    client = new_http_client()
    counter = _TokenCounter()
    workspaces = [workspace.name for workspace in site.scenario.workspaces]
    address = site.node_addresses[0]
    readers = [
        asyncio.create_task(counter.read(client, address, workspaces[number % len(workspaces)]))
        for number in range(count)
    ]
    pid = site.nodes["node-0"].process.pid
    await asyncio.sleep(_SETTLE_WAIT_S)
    tokens, usage_before, started_s = counter.tokens, read_process_usage(pid), time.monotonic()
    await asyncio.sleep(_MEASURE_S)
    elapsed_s = time.monotonic() - started_s
    cpu_s = read_process_usage(pid).cpu_s - usage_before.cpu_s
    tokens = counter.tokens - tokens
    for reader in readers:
        reader.cancel()
    await asyncio.gather(*readers, return_exceptions=True)
    await client.connector.cleanup()
    return {
        "answers": count,
        "tokens_per_s": tokens / elapsed_s,
        "cpu_per_s": cpu_s / elapsed_s,
    }


class _TokenCounter:
    def __init__(self) -> None:
        self.tokens = 0

    async def read(self, client: Any, address: str, workspace: str) -> None:
        document = {
            "model": "writer",
            "prompt": f"[workspace={workspace}] Value this van.",
            "max_tokens": _MAX_TOKENS,
            "stream": True,
        }
        response = await client.post(
            f"http://{address}/v1/completions",
            json=document,
            headers={"Authorization": f"Bearer {api_key_of(workspace)}"},
        )
        async for line in response.iter_lines():
            self.tokens += line.startswith("data: ")


if __name__ == "__main__":
    print(json.dumps(asyncio.run(measure_relay()), indent=2))
