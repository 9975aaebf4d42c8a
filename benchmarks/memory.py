"""Memory of a node by stage, run by the deploy file's command with the libraries in target/deps.

``PYTHONPATH=target/deps:. python3 -m benchmarks.memory`` starts two nodes, loads them and prints
JSON: kB that no other process shares (``private``), resident kB and their peak, and seconds of
processor time since the start of the process.
"""

import asyncio
import json
import os
import subprocess
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from lab.gateway._site import BOOKINGS, RESUMABLE, STOCK
from review.site import ReviewSite

__all__ = ["measure_memory"]

_ROOT = Path(__file__).resolve().parent.parent
_MODULE = "flamingoshelf.platform._main"
_SETTLE_S = 5.0  # a node has met the others then
_ROUNDS = 40
_CALLS_PER_ROUND = 20
_STREAMS_PER_ROUND = 4
_STREAM_TOKENS = (3000, 320)
_BODY = b"b" * 800
_TICK_S = 1 / os.sysconf("SC_CLK_TCK")
_USER_FIELD, _SYSTEM_FIELD = 11, 12  # of /proc/PID/stat, behind the name


async def measure_memory() -> dict[str, Any]:
    """Return the usage of a process by stage; those of nodes as a list, one entry a node."""
    stages: dict[str, Any] = {
        "interpreter": _measure_child(""),
        "imports": _measure_child(f"import {_MODULE}"),
    }
    with tempfile.TemporaryDirectory(prefix="flamingoshelf-") as folder:
        site = ReviewSite(folder=Path(folder), node_count=2, prefill_count=1, decode_count=2)
        try:
            await site.start()
            await asyncio.sleep(_SETTLE_S)
            stages["started"] = _measure_nodes(site)
            failed = 0
            for _ in range(_ROUNDS):
                failed += await _load(site)
            stages["loaded"] = _measure_nodes(site)
            stages["failed requests"] = failed
            for address in site.node_addresses:
                await site.caller.call(_metrics_address(address), "/metrics", method="GET")
            stages["metrics read"] = _measure_nodes(site)
        finally:
            await site.stop()
    return stages


async def _load(site: ReviewSite) -> int:
    """Send a round of requests to all nodes; return how many failed."""
    calls = []
    for address in site.node_addresses:
        for number in range(_CALLS_PER_ROUND):
            prefix = STOCK if number % 2 else BOOKINGS
            calls.append(site.caller.call(address, f"{prefix}{number}", body=_BODY))
        for number in range(_STREAMS_PER_ROUND):
            calls.append(
                site.caller.call(address, f"{RESUMABLE}{number}", body=_BODY, tokens=_STREAM_TOKENS)
            )
    answers = await asyncio.gather(*calls)
    return sum(answer.status != 200 or not answer.is_complete for answer in answers)


def _metrics_address(address: str) -> str:
    return f"{address.rpartition(':')[0]}:{_gateway_role()['metrics'].partition('/')[0]}"


def _gateway_role() -> dict[str, Any]:
    deploy = tomllib.loads((_ROOT / "deploy" / "system.toml").read_text())
    role: dict[str, Any] = deploy["roles"]["gateway"]
    return role


def _measure_child(code: str) -> dict[str, float]:
    """Return the usage of a process that runs as a node does, after `code`."""
    command = _gateway_role()["run"].split()
    variables = {**os.environ, "PYTHONPATH": f"{_ROOT / 'target' / 'deps'}:{_ROOT}"}
    wait = f"{code}\nprint(flush=True)\ninput()"
    with subprocess.Popen(
        [*command[: command.index("-m")], "-c", wait],
        cwd=_ROOT,
        env=variables,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as child:
        assert child.stdout is not None and child.stdin is not None
        child.stdout.readline()
        usage = _usage(child.pid)
        child.stdin.write(b"\n")
        child.stdin.close()
    return usage


def _measure_nodes(site: ReviewSite) -> list[dict[str, float]]:
    return [_usage(node.pid) for node in site.nodes]


def _usage(pid: int) -> dict[str, float]:
    folder = Path(f"/proc/{pid}")
    sizes = {
        name: int(value.split()[0])
        for line in (folder / "smaps_rollup").read_text().splitlines()[1:]
        for name, _, value in [line.partition(":")]
    }
    peak = next(
        line for line in (folder / "status").read_text().splitlines() if line.startswith("VmHWM")
    )
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    return {
        "private_kb": sizes["Private_Clean"] + sizes["Private_Dirty"],
        "resident_kb": sizes["Rss"],
        "resident_peak_kb": int(peak.split()[1]),
        "processor_s": round(ticks * _TICK_S, 2),
    }


if __name__ == "__main__":
    print(json.dumps(asyncio.run(measure_memory()), indent=1))
