"""Measure a site under load, with or without a fault."""

import asyncio
import tempfile
from pathlib import Path
from typing import Any

import attrs

from lab.load import LoadOptions, LoadResult, run_load
from lab.scenarios import SCENARIOS, Scenario
from lab.site import Site

__all__ = ["Run", "measure"]

_SAMPLE_INTERVAL_S = 0.25
_SETTLE_WAIT_S = 1.0
_FAULT_AT_S = 8.0


@attrs.frozen(kw_only=True)
class Run:
    """Options of one run.

    Parameters
    ----------
    placer : str
        ``placer`` setting of every node.
    scenario : str
        Name of the site.
    load : float
        Load as a fraction of the site's capacity.
    duration_s : float
        Length of the load.
    fault : {"", "engine", "node"}
        What is killed while the load runs; an empty string stands for no fault.
    unfairness_tokens : int
        Fleet setting; 0 keeps the value of the scenario.
    seed : int
        Seed of the load.
    """

    placer: str
    scenario: str = "himal"
    load: float = 0.95
    duration_s: float = 25.0
    fault: str = ""
    unfairness_tokens: int = 0
    seed: int = 1

    @property
    def site(self) -> Scenario:
        """Scenario with this run's `unfairness_tokens`."""
        scenario = SCENARIOS[self.scenario]
        if not self.unfairness_tokens:
            return scenario
        return attrs.evolve(scenario, unfairness_tokens=self.unfairness_tokens)


async def measure(run: Run) -> dict[str, Any]:
    """Carry out a run and return its measures."""
    with tempfile.TemporaryDirectory(prefix="flamingoshelf-") as folder:
        site = Site(scenario=run.site, folder=Path(folder), node_settings={"placer": run.placer})
        try:
            await site.start()
            return await _measure(run, site)
        finally:
            await site.stop()


async def _measure(run: Run, site: Site) -> dict[str, Any]:
    addresses = list(site.node_addresses)
    options = LoadOptions(
        rate_per_s=run.site.capacity_per_s * run.load,
        bookings_per_s=0.0,
        duration_s=run.duration_s,
        seed=run.seed,
    )
    fault = asyncio.create_task(_inject_fault(run, site, addresses))
    result = await run_load(scenario=run.site, addresses=addresses, options=options)
    await asyncio.sleep(_SETTLE_WAIT_S)
    held_by_dead = await fault
    return {
        **attrs.asdict(run),
        **_measures(result),
        **await _read_engine_records(site),
        **held_by_dead,
    }


def _measures(result: LoadResult) -> dict[str, Any]:
    return {
        **result.summary(),
        "by_workspace": result.by_workspace(),
        "timeline": result.timeline(),
    }


async def _inject_fault(run: Run, site: Site, addresses: list[str]) -> dict[str, Any]:
    if not run.fault:
        return {}
    await asyncio.sleep(_FAULT_AT_S)
    if run.fault == "engine":
        site.engines["decode-0"].kill()
        return {"fault_at_s": _FAULT_AT_S}
    node = site.nodes["node-0"]
    incarnation = (await site.status("node-0"))["incarnation"]
    addresses.remove(node.caller_address)
    node.process.kill()
    samples = await _sample_held(site, incarnation, run.duration_s - _FAULT_AT_S)
    return {"fault_at_s": _FAULT_AT_S, "held_by_dead": samples}


async def _sample_held(site: Site, incarnation: str, duration_s: float) -> list[dict[str, float]]:
    """Sample how many attempts of a killed node the decode engines still hold."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    samples = []
    while loop.time() < started_s + duration_s:
        reports = await asyncio.gather(
            *(site.control(a, {}) for n, a in site.engine_addresses.items() if "decode" in n)
        )
        held = sum(i.startswith(incarnation) for report in reports for i in report["held"])
        samples.append({"after_s": round(loop.time() - started_s, 2), "held": held})
        await asyncio.sleep(_SAMPLE_INTERVAL_S)
    return samples


async def _read_engine_records(site: Site) -> dict[str, Any]:
    prefills = wasted = held = 0
    for name, address in site.engine_addresses.items():
        if not site.engines[name].is_running:
            continue
        report = await site.control(address, {})
        records = report.get("records", {})
        prefills += records.get("prefills", 0)
        wasted += records.get("wasted_expired", 0) + records.get("wasted_cancelled", 0)
        held += len(report.get("held", ()))
    return {
        "prefills": prefills,
        "wasted_prefill_share": round(wasted / max(1, prefills), 4),
        "held_after_load": held,
    }
