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

_VM_LIST_LAG_S = 5
_SETTLE_WAIT_S = 15.0
_REQUEST_COUNT = 3000
_SECRET = b"benchmark-secret-of-32-characters"
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@message
@attrs.frozen(kw_only=True)
class BenchmarkEcho:
    """Request whose reply repeats it."""

    number: int


async def measure_fleet(node_count: int, seconds: float) -> dict[str, Any]:
    """Return the cost of idle nodes, and the times to detect and handle one node failure."""
    scenario = SCENARIOS["himal"].resized(node_count=node_count, prefill_count=1, decode_count=1)
    with tempfile.TemporaryDirectory() as folder:
        site = Site(
            scenario=scenario, folder=Path(folder), node_settings={"vm_list_lag_s": _VM_LIST_LAG_S}
        )
        try:
            await site.start()
            await asyncio.sleep(_SETTLE_WAIT_S)
            return await _measure_idle(site, seconds) | await _measure_failure(site)
        finally:
            await site.stop()


async def _measure_idle(site: Site, seconds: float) -> dict[str, Any]:
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


async def _measure_failure(site: Site) -> dict[str, Any]:
    names = list(site.nodes)
    killed_node, observer = names[-1], names[0]
    start_s = now_s()
    site.nodes[killed_node].process.send(signal.SIGKILL)
    suspected_s = await _wait_for_membership(
        site, observer, lambda m: killed_node in m["suspected"], start_s
    )
    start_s = now_s()
    await site.list_vms(names[:-1])
    moved_s = await _wait_for_membership(
        site, observer, lambda m: killed_node not in m["slots_by_holder"], start_s
    )
    return {"kill_to_suspicion_s": suspected_s, "gone_in_list_to_moved_s": moved_s}


async def _wait_for_membership(site: Site, name: str, condition: Any, start_s: float) -> float:
    async with asyncio.timeout(60):
        while not condition((await site.status(name))["membership"]):
            await asyncio.sleep(0.05)
    return round(now_s() - start_s, 2)


async def measure_requests() -> dict[str, float]:
    """Return the processor time of a request and its reply; both ends are in this process."""
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
    for number in range(_REQUEST_COUNT):
        await links[0].request("b", BenchmarkEcho(number=number), timeout_s=5)
    elapsed_cpu_s = _own_cpu_s() - before_s
    for link in links:
        await link.stop()
    return {"request_cpu_us_per_end": round(1e6 * elapsed_cpu_s / _REQUEST_COUNT / 2, 1)}


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
    """Run the measurements and print JSON."""
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
