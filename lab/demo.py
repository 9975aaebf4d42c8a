"""Demo: start a site, load it and return the measures."""

import asyncio
import json
import sys
import tempfile
from pathlib import Path
from typing import Any

import attrs

from lab.load import LoadOptions, LoadResult, run_load
from lab.scenarios import SCENARIOS
from lab.site import Site

__all__ = ["DemoOptions", "run_demo"]


@attrs.frozen(kw_only=True)
class DemoOptions:
    """Options of the demo.

    Parameters
    ----------
    scenario : str
        Name of the site.
    duration_s : float
        Length of the load.
    load : float
        Load as a fraction of the site's capacity.
    seed : int
        Seed of the load.
    """

    scenario: str
    duration_s: float
    load: float
    seed: int


def run_demo(options: DemoOptions) -> dict[str, Any]:
    """Run the demo and return its measures."""
    return asyncio.run(_run(options))


async def _run(options: DemoOptions) -> dict[str, Any]:
    scenario = SCENARIOS[options.scenario]
    with tempfile.TemporaryDirectory(prefix="flamingoshelf-") as folder:
        site = Site(scenario=scenario, folder=Path(folder))
        try:
            await site.start()
            load_options = LoadOptions(
                rate_per_s=scenario.capacity_per_s * options.load,
                bookings_per_s=5.0,
                duration_s=options.duration_s,
                seed=options.seed,
            )
            result = await run_load(
                scenario=scenario,
                addresses=site.node_addresses,
                options=load_options,
                progress=_show_progress,
            )
            print(file=sys.stderr)
            engines = await _engine_records(site)
        finally:
            await site.stop()
    return {**attrs.asdict(options), **result.summary(), **engines}


async def _engine_records(site: Site) -> dict[str, Any]:
    await asyncio.sleep(1.5)
    prefills = wasted = held = keys_seen = 0
    for name, address in site.engine_addresses.items():
        if not site.engines[name].is_running:
            continue
        report = await site.control(address, {})
        records = report.get("records", {})
        prefills += records.get("prefills", 0)
        wasted += records.get("wasted_expired", 0) + records.get("wasted_cancelled", 0)
        held += len(report.get("held", ()))
        keys_seen += report["keys_seen"]
    return {
        "prefills": prefills,
        "wasted_prefill_share": round(wasted / max(1, prefills), 4),
        "held_after_load": held,
        "keys_seen_by_backends": keys_seen,
    }


def _show_progress(result: LoadResult) -> None:
    summary = result.summary()
    line = {name: summary[name] for name in ("completions", "goodput_share", "first_token_p95_s")}
    print(f"\r{json.dumps(line)}", end="", file=sys.stderr, flush=True)
