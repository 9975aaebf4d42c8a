"""Measure refusals below the rate limits, and engine crashes caused by one poisonous request.

Run with ``python -m benchmarks.limits``.
"""

import argparse
import asyncio
import json
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from aiosonic.exceptions import AiosonicError

from flamingoshelf.http_client import new_http_client
from flamingoshelf.quarantine import content_digest
from lab.load import LoadOptions, run_load
from lab.scenarios import SCENARIOS, api_key_of
from lab.site import Site

_POISON_PROMPT = "Value this van. [poison]"
_POISON_REQUEST_COUNT = 20
_SEND_TIMEOUT_S = 3.0


async def measure_refusals(limiter: str, traffic: str, duration_s: float) -> dict[str, Any]:
    """Load a site of six nodes below the rate limit of every workspace; count refusals."""
    scenario = SCENARIOS["himal"]
    with tempfile.TemporaryDirectory() as folder:
        site = Site(scenario=scenario, folder=Path(folder), node_settings={"limiter": limiter})
        try:
            await site.start()
            addresses = site.node_addresses
            if traffic == "one_node":
                addresses = addresses[:1]
            if traffic == "killed_node":
                addresses = addresses[1:]
                site.nodes["node-0"].process.kill()
            options = LoadOptions(
                rate_per_s=scenario.capacity_per_s * 0.6,
                bookings_per_s=0.0,
                duration_s=duration_s,
                seed=1,
            )
            result = await run_load(scenario=scenario, addresses=addresses, options=options)
        finally:
            await site.stop()
    summary = result.summary()
    refusals = summary["refusals"]
    by_limit = sum(refusals.get(name, 0) for name in ("rate_exceeded", "limit_unavailable"))
    return {
        "limiter": limiter,
        "traffic": traffic,
        "requests": summary["completions"],
        "refused_by_limit_share": round(by_limit / max(1, summary["completions"]), 4),
        "refusals": refusals,
        "first_token_p50_s": summary["first_token_p50_s"],
        "first_token_p95_s": summary["first_token_p95_s"],
    }


async def measure_poison(*, quarantine: bool) -> dict[str, Any]:
    """Repeatedly send a request that crashes engines, to the nodes in turn; count lost engines."""
    scenario = SCENARIOS["himal"]
    client = new_http_client()
    outcomes: Counter[str] = Counter()
    with tempfile.TemporaryDirectory() as folder:
        site = Site(scenario=scenario, folder=Path(folder))
        try:
            await site.start()
            if not quarantine:
                await _lift_quarantine(site)
            for number in range(_POISON_REQUEST_COUNT):
                address = site.node_addresses[number % len(site.node_addresses)]
                outcomes[await _send_poison(client, address)] += 1
            lost = sum(not engine.is_running for engine in site.engines.values())
        finally:
            await site.stop()
            await client.connector.cleanup()
    return {"quarantine": quarantine, "engines_lost": lost, "outcomes": dict(outcomes)}


async def _lift_quarantine(site: Site) -> None:
    documents = site.documents()
    fleet = next(document for document in documents if document["kind"] == "fleet")
    fleet["spec"]["lifted_quarantines"] = [content_digest("writer", _POISON_PROMPT)]
    await site.publish(documents)
    await asyncio.sleep(5.0)


async def _send_poison(client: Any, address: str) -> str:
    headers = {"Authorization": f"Bearer {api_key_of('kathmandu-north')}"}
    document = {"model": "writer", "prompt": _POISON_PROMPT, "max_tokens": 40}
    try:
        response = await asyncio.wait_for(
            client.post(f"http://{address}/v1/completions", json=document, headers=headers),
            _SEND_TIMEOUT_S,
        )
        content = await response.content()
        return "answered" if response.status_code == 200 else str(json.loads(content)["reason"])
    except (AiosonicError, OSError, TimeoutError) as error:
        return type(error).__name__


async def _run(options: argparse.Namespace) -> None:
    if options.what == "poison":
        for quarantine in (True, False):
            print(json.dumps(await measure_poison(quarantine=quarantine)), flush=True)
        return
    for traffic in options.traffic:
        for limiter in ("per_node", "fleet"):
            measured = await measure_refusals(limiter, traffic, options.duration)
            print(json.dumps(measured), flush=True)


def main() -> None:
    """Run one measurement and print it as JSON."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.limits")
    parser.add_argument("what", choices=["refusals", "poison"])
    parser.add_argument("--duration", type=float, default=20.0, help="seconds of each load")
    traffics = ["even", "one_node", "killed_node"]
    parser.add_argument("--traffic", nargs="+", choices=traffics, default=traffics)
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
