"""Cost of idle nodes, times of detection and of moves, and the cost of a request between nodes.

python -m benchmarks.membership --nodes 6 20 --seconds 20
"""

import argparse
import asyncio
import json
import os
import resource
import signal
import tempfile
from pathlib import Path
from typing import Any

import attrs

from flamingoshelf.nodes import WebsocketNodeLink, message
from flamingoshelf.utils import now_s
from lab.scenarios import SCENARIOS
from lab.site import Site

_LAG_S = 5
_SETTLE_S = 15.0
_REQUESTS = 3000
_SECRET = b"benchmark-secret-of-32-characters"
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@message
@attrs.frozen(kw_only=True)
class BenchmarkEcho:
    """A small message."""

    number: int


async def measure_fleet(node_count: int, seconds: float) -> dict[str, Any]:
    """Return cost of idle nodes and the times of one failure."""
    scenario = SCENARIOS["himal"].resized(node_count=node_count, prefill_count=1, decode_count=1)
    with tempfile.TemporaryDirectory() as folder:
        site = Site(scenario=scenario, folder=Path(folder), node_settings={"vm_list_lag_s": _LAG_S})
        try:
            await site.start()
            await asyncio.sleep(_SETTLE_S)
            return await _idle(site, seconds) | await _failure(site)
        finally:
            await site.stop()


async def _idle(site: Site, seconds: float) -> dict[str, Any]:
    pids = [node.process.pid for node in site.nodes.values()]
    links = [(await site.status(name))["link"] for name in site.nodes]
    calls = (await site.control(site.platform_address, {}))["calls"]
    cpu, start_s = [_cpu_s(pid) for pid in pids], now_s()
    await asyncio.sleep(seconds)
    elapsed_s = now_s() - start_s
    cpu = [(_cpu_s(pid) - before) / elapsed_s for pid, before in zip(pids, cpu, strict=True)]
    after = [(await site.status(name))["link"] for name in site.nodes]
    calls_after = (await site.control(site.platform_address, {}))["calls"]

    def rate(field: str) -> float:
        total = sum(b[field] - a[field] for a, b in zip(links, after, strict=True))
        return round(total / elapsed_s / len(pids), 1)

    return {
        "nodes": len(pids),
        "core_percent_mean": round(100 * sum(cpu) / len(cpu), 2),
        "core_percent_max": round(100 * max(cpu), 2),
        "resident_mb_mean": round(sum(map(_resident_mb, pids)) / len(pids), 1),
        "link_bytes_sent_s": rate("bytes_sent"),
        "link_bytes_received_s": rate("bytes_received"),
        "link_messages_sent_s": rate("messages_sent"),
        "platform_calls_s": {
            kind: round((calls_after[kind] - calls.get(kind, 0)) / elapsed_s, 1)
            for kind in calls_after
        },
    }


async def _failure(site: Site) -> dict[str, Any]:
    names = list(site.nodes)
    victim, witness = names[-1], names[0]
    start_s = now_s()
    site.nodes[victim].process.send(signal.SIGKILL)
    suspected_s = await _wait(site, witness, lambda m: victim in m["suspected"], start_s)
    start_s = now_s()
    await site.list_vms(names[:-1])
    moved_s = await _wait(site, witness, lambda m: victim not in m["slots_by_holder"], start_s)
    return {"kill_to_suspicion_s": suspected_s, "gone_in_list_to_moved_s": moved_s}


async def _wait(site: Site, name: str, condition: Any, start_s: float) -> float:
    async with asyncio.timeout(60):
        while not condition((await site.status(name))["membership"]):
            await asyncio.sleep(0.05)
    return round(now_s() - start_s, 2)


async def measure_requests() -> dict[str, float]:
    """Return the processor time of a request and its reply, both ends in this process."""
    addresses = {"a": "127.250.1.1:7400", "b": "127.250.1.2:7400"}
    links = [
        WebsocketNodeLink(
            node_name=name,
            incarnation="1",
            listen_address=address,
            secret=_SECRET,
            resolve=addresses.get,
        )
        for name, address in addresses.items()
    ]

    async def echo(peer: str, request: BenchmarkEcho) -> BenchmarkEcho:
        return request

    for link in links:
        link.register(BenchmarkEcho, echo)
        await link.start()
    await links[0].request("b", BenchmarkEcho(number=0), timeout_s=5)
    before_s = _own_cpu_s()
    for number in range(_REQUESTS):
        await links[0].request("b", BenchmarkEcho(number=number), timeout_s=5)
    used_s = _own_cpu_s() - before_s
    for link in links:
        await link.stop()
    return {"request_cpu_us_per_end": round(1e6 * used_s / _REQUESTS / 2, 1)}


def _own_cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _resident_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def main() -> None:
    """Measure and print JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="*", default=[6, 20, 60])
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    report: dict[str, Any] = {"request": asyncio.run(measure_requests()), "fleets": []}
    for node_count in options.nodes:
        report["fleets"].append(asyncio.run(measure_fleet(node_count, options.seconds)))
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
