"""Cost of calls through another node: latency of calls, processor time for each event of streams.

``python -m benchmarks.paths`` measures one node that is cut from the backend servers and heals by
turns, and prints JSON.
"""

import asyncio
import json
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

import attrs

from benchmarks.measure import read_process_usage
from flamingoshelf.http1 import BackendConnection
from flamingoshelf.nodes import WebsocketNodeLink, message
from lab.gateway._paths import CutForm, PathSite
from lab.gateway._site import RESUMABLE, STOCK
from lab.processes import AddressPool

__all__ = ["measure_paths"]

_ROUNDS = 3
_SETTLE_S = 3.0
_CALLS = 400
_STREAMS = 12
_EVENTS = 300
_ROUND_TRIPS = 1000
_TOKENS_PER_EVENT = 8
_NODE = 0
_SECRET = b"benchmark-secret-of-32-characters"


@message
@attrs.frozen(kw_only=True)
class PathsEcho:
    """Request whose reply repeats it."""


async def measure_paths() -> dict[str, Any]:
    """Return latencies and processor times over the own path and through another node."""
    results: dict[str, list[dict[str, float]]] = {"direct": [], "through another node": []}
    with tempfile.TemporaryDirectory(prefix="flamingoshelf-") as folder:
        site = PathSite(folder=Path(folder), node_count=2, prefill_count=1, decode_count=2)
        for server in site.plain:
            server.work_s = 0.0
        try:
            await site.start()
            for _ in range(_ROUNDS):
                for name in results:
                    site.cut([_NODE] if name != "direct" else [], CutForm.HANG)
                    await _wake(site)
                    await asyncio.sleep(_SETTLE_S)
                    results[name].append(await _measure(site))
        finally:
            await site.stop()
    return {
        "round_trip_ms": 1000 * await _measure_round_trip(),
        **{
            name: {key: statistics.median(point[key] for point in points) for key in points[0]}
            for name, points in results.items()
        },
        "rounds": results,
    }


async def _wake(site: PathSite) -> None:
    """Send a few calls, so that the node notices a cut or its end."""
    for number in range(20):
        address = site.node_addresses[_NODE]
        path = f"{STOCK}{number}"
        await site.caller.call(address, path, method="GET", deadline_ms=500)


async def _measure(site: PathSite) -> dict[str, float]:
    address = site.node_addresses[_NODE]
    connection = await BackendConnection.open(address, timeout_s=1.0)
    times = []
    for number in range(_CALLS):
        began_s = time.perf_counter()
        answer = await site.caller.call(
            address, f"{STOCK}{number}", method="GET", connection=connection
        )
        assert answer.status == 200
        times.append(time.perf_counter() - began_s)
    connection.close()
    pid = site.nodes[_NODE].pid
    before_s = read_process_usage(pid).cpu_s
    answers = await asyncio.gather(
        *(
            site.caller.call(
                address,
                f"{RESUMABLE}{number}",
                tokens=(100, _TOKENS_PER_EVENT * _EVENTS),
                deadline_ms=10_000,
            )
            for number in range(_STREAMS)
        )
    )
    events = sum(len(answer.events) for answer in answers)
    assert events == _STREAMS * _EVENTS
    return {
        "call_ms": 1000 * statistics.median(times),
        "event_us": 1e6 * (read_process_usage(pid).cpu_s - before_s) / events,
    }


async def _measure_round_trip() -> float:
    """Return the median of the seconds that a request between two nodes takes."""
    addresses = dict(zip("ab", AddressPool().reserve(2), strict=True))
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

    async def echo(peer: str, request: PathsEcho) -> PathsEcho:
        return request

    for link in links:
        link.register(PathsEcho, echo)
        await link.start()
    times = []
    for _ in range(_ROUND_TRIPS):
        began_s = time.perf_counter()
        await links[0].request("b", PathsEcho(), timeout_s=1.0)
        times.append(time.perf_counter() - began_s)
    for link in links:
        await link.stop()
    return statistics.median(times)


if __name__ == "__main__":
    print(json.dumps(asyncio.run(measure_paths()), indent=2))
