"""Measure how configuration reaches the nodes: ``python -m benchmarks.configuration``.

A second measure is the cost of loading and changing catalogs of several sizes.
"""

import argparse
import asyncio
import hashlib
import json
import os
import re
import statistics
import tempfile
import time
import tracemalloc
from collections.abc import Iterator, Mapping
from datetime import datetime
from functools import partial
from pathlib import Path
from typing import Any

from flamingoshelf.configuration import Repository
from flamingoshelf.objects import (
    Catalog,
    Key,
    Kind,
    NamedObject,
    ObjectId,
    Workspace,
    decode_objects,
    encode_objects,
)
from lab.scenarios import SCENARIOS
from lab.site import Site

_IDLE_MEASUREMENT_S = 20.0
_CHANGE_INTERVAL_S = 0.4
_SPREAD_WAIT_S = 4.0
_SETTLE_WAIT_S = 8.0
_IN_FORCE_PATTERN = re.compile(r"^(\S+) .* revision (\d+) in force", re.MULTILINE)


def main() -> None:
    """Measure catalogs and the spread of changes; print JSON."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.configuration")
    parser.add_argument("--nodes", type=int, nargs="*", default=[6, 20, 60])
    parser.add_argument("--workspaces", type=int, nargs="*", default=[5, 1000, 12000])
    parser.add_argument("--changes", type=int, default=30)
    options = parser.parse_args()
    catalogs = [_measure_catalog(count) for count in options.workspaces]
    spreads = [asyncio.run(_measure_spread(count, options.changes)) for count in options.nodes]
    print(json.dumps({"catalogs": catalogs, "spreads": spreads}, indent=2))


def _measure_catalog(workspaces: int) -> dict[str, Any]:
    data = encode_objects(_objects(workspaces))
    started_s = time.perf_counter()
    catalog = Catalog(revision=1, objects=decode_objects(data))
    load_s = time.perf_counter() - started_s
    del catalog
    tracemalloc.start()
    catalog = Catalog(revision=1, objects=_objects(workspaces))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started_s = time.perf_counter()
    catalog.with_changes(revision=2, upserts=[next(iter(catalog))], removals=())
    return {
        "workspaces": workspaces,
        "objects": len(catalog),
        "json_mb": round(len(data) / 1e6, 3),
        "load_s": round(load_s, 3),
        "memory_mb": round(size / 1e6, 3),
        "one_change_ms": round((time.perf_counter() - started_s) * 1e3, 2),
    }


def _objects(workspaces: int) -> Iterator[NamedObject]:
    for number in range(workspaces):
        name = f"workspace-{number:05d}"
        yield NamedObject(
            id=ObjectId(kind=Kind.WORKSPACE, name=name),
            spec=Workspace(rate_tokens_s=100.0 + number % 7, burst_tokens=40_000),
        )
        for key_number in range(2):
            digest = hashlib.sha256(f"{name}/{key_number}".encode()).hexdigest()
            yield NamedObject(
                id=ObjectId(kind=Kind.KEY, name=f"{name}-{key_number}"),
                spec=Key(workspace=name, sha256=digest),
            )


async def _measure_spread(node_count: int, changes: int) -> dict[str, Any]:
    scenario = SCENARIOS["himal"].resized(node_count=node_count, prefill_count=1, decode_count=1)
    with tempfile.TemporaryDirectory(prefix="flamingoshelf-") as folder:
        site = Site(scenario=scenario, folder=Path(folder))
        try:
            await site.start()
            await asyncio.sleep(_SETTLE_WAIT_S)
            idle = await _measure_idle(site)
            accepted = await _publish_changes(site, changes)
            in_force = _read_in_force(site)
        finally:
            await site.stop()
    spreads = [
        max(in_force[revision]) - accepted_s
        for revision, accepted_s in accepted.items()
        if len(in_force.get(revision, ())) == node_count
    ]
    return {
        "nodes": node_count,
        "changes": changes,
        "changes_in_force_everywhere": len(spreads),
        "spread_p50_s": round(statistics.median(spreads), 3),
        "spread_p99_s": round(sorted(spreads)[int(len(spreads) * 0.99)], 3),
        "spread_max_s": round(max(spreads), 3),
        **idle,
    }


async def _measure_idle(site: Site) -> dict[str, Any]:
    before = await _read_counters(site)
    started_s = time.monotonic()
    await asyncio.sleep(_IDLE_MEASUREMENT_S)
    after = await _read_counters(site)
    seconds = time.monotonic() - started_s
    cpu = [(after["cpu"][name] - before["cpu"][name]) / seconds for name in site.nodes]
    sent = [(after["bytes"][name] - before["bytes"][name]) / seconds for name in site.nodes]
    calls = {
        kind: round((count - before["calls"].get(kind, 0)) / seconds, 2)
        for kind, count in after["calls"].items()
    }
    return {
        "platform_calls_per_s": calls,
        "idle_cpu_share_mean": round(statistics.mean(cpu), 4),
        "idle_cpu_share_max": round(max(cpu), 4),
        "peer_bytes_per_s_mean": round(statistics.mean(sent)),
        "peer_bytes_per_s_max": round(max(sent)),
    }


async def _read_counters(site: Site) -> dict[str, Any]:
    platform = await site.control(site.platform_address, {})
    statuses = {name: await site.status(name) for name in site.nodes}
    return {
        "calls": platform["calls"],
        "cpu": {name: _cpu_s(node.process.pid) for name, node in site.nodes.items()},
        "bytes": {
            name: status["link"]["bytes_sent"] + status["link"]["bytes_received"]
            for name, status in statuses.items()
        },
    }


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def _publish_changes(site: Site, changes: int) -> dict[int, float]:
    """Publish changes of one workspace; return the acceptance time of each revision."""
    repository = Repository(store=site.store)
    accepted = {}
    for number in range(changes):
        applied = await repository.apply(partial(_with_rate, 1.0 + number))
        accepted[applied.revision] = time.time()
        await asyncio.sleep(_CHANGE_INTERVAL_S)
    await asyncio.sleep(_SPREAD_WAIT_S)
    return accepted


def _with_rate(
    rate: float, objects: Mapping[ObjectId, NamedObject]
) -> Mapping[ObjectId, NamedObject]:
    item = NamedObject(
        id=ObjectId(kind=Kind.WORKSPACE, name="measured"),
        spec=Workspace(rate_tokens_s=rate, burst_tokens=40_000),
    )
    return {**objects, item.id: item}


def _read_in_force(site: Site) -> dict[int, list[float]]:
    """Return the times at which nodes put each revision in force, from the nodes' logs."""
    times: dict[int, list[float]] = {}
    for node in site.nodes.values():
        for timestamp_text, revision in _IN_FORCE_PATTERN.findall(node.process.log):
            in_force_at = datetime.fromisoformat(timestamp_text)
            times.setdefault(int(revision), []).append(in_force_at.timestamp())
    return times


if __name__ == "__main__":
    main()
