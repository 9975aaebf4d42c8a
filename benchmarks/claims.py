"""Cost of claims: ``python -m benchmarks.claims [--seconds S] [--json FILE]``.

The first part runs the claims of three nodes in one process against the stand-in of the object
service in another, gathered and one by one. The second part runs a small site of real processes
and compares bookings with a key to bookings without one.
"""

import argparse
import asyncio
import json
import random
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

import attrs

from flamingoshelf.base import Duty
from flamingoshelf.claims import (
    AttemptRegistry,
    BatchingPolicy,
    ClaimOutcome,
    ClaimRequest,
    ClaimService,
    ClaimWriter,
    HeldClaim,
    RetentionRule,
)
from flamingoshelf.exceptions import OutcomeUnknownError
from flamingoshelf.http_client import new_http_client
from flamingoshelf.object_service import HttpObjectService
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup, rendezvous_rank
from lab.processes import AddressPool, Process, wait_until_listening
from lab.scenarios import SCENARIOS, api_key_of
from lab.site import Site

NODES = ("node-0", "node-1", "node-2")
RATES_PER_S = (5, 50, 200)
SITE_RATES_PER_S = (5, 50)
SERVICE_TIME_S = 0.005
BATCHING_POLICIES = {
    "gathered": BatchingPolicy(),
    "one by one": BatchingPolicy(interval_s=0.0, max_outcome_wait_s=0.0, max_batch=1),
}
OUTCOME = ClaimOutcome(status=201, headers={"content-type": "application/json"}, body=b"x" * 40)


class LocalLink:
    """Link between the nodes of this process; notifications are dropped."""

    def __init__(self, name: str, links: dict[str, "LocalLink"]) -> None:
        self.node_name = name
        self.incarnation = f"{name}-run"
        self._handlers: dict[type[Any], Callable[[str, Any], Awaitable[Any]]] = {}
        self._links = links
        links[name] = self

    def register(
        self, message_type: type[Any], handler: Callable[[str, Any], Awaitable[Any]]
    ) -> None:
        """Register ``handler(peer, message)`` for messages of `message_type`."""
        self._handlers[message_type] = handler

    async def request(self, peer: str, message: Any, *, timeout_s: float) -> Any:
        """Return the peer's reply."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._links[peer]._handlers[type(message)](self.node_name, message)
        except TimeoutError as error:
            raise OutcomeUnknownError("no reply", step="request", peer=peer) from error

    def notify(self, peer: str, message: Any) -> None:
        """Drop the message."""


class FixedOwnership:
    """Ownership with one fixed ranking of the nodes, in which no node holds a duty."""

    def candidates(self, duty: Duty, key: str) -> Sequence[str]:
        """Return the nodes, ranked by rendezvous hashing."""
        return rendezvous_rank(f"{duty.value}/{key}", NODES)

    def holders(self, duty: Duty, key: str, *, count: int = 1) -> Sequence[str]:
        """Return the first candidates."""
        return self.candidates(duty, key)[:count]

    def holds(self, duty: Duty, key: str) -> bool:
        """Return False."""
        return False

    def fencing_number(self, duty: Duty, key: str) -> int:
        """Return 0."""
        return 0


def build_claim_service(
    name: str, links: dict[str, LocalLink], address: str, batching: BatchingPolicy
) -> ClaimService:
    """Return the claim service of one node, which writes to the store at `address`."""
    link = LocalLink(name, links)
    metrics = Metrics(node_name=name)
    writer = ClaimWriter(
        store=HttpObjectService(address=address),
        link=link,
        metrics=metrics,
        rule=RetentionRule(),
        batching=batching,
        wall_time_s=time.time,
        random_source=random.Random(name),
    )
    return ClaimService(
        writer=writer,
        attempts=AttemptRegistry(link=link),
        link=link,
        ownership=FixedOwnership(),
        metrics=metrics,
        wall_time_s=time.time,
    )


@attrs.define
class CallStatistics:
    """Latencies and failures of the calls of one run."""

    latencies_s: list[float] = attrs.field(factory=list)
    failures: int = 0

    def figures(self) -> dict[str, Any]:
        """Return the number of calls, the failures and latency percentiles."""
        ordered = sorted(self.latencies_s) or [0.0]
        return {
            "calls": len(self.latencies_s),
            "failures": self.failures,
            "p50_ms": round(1000 * ordered[len(ordered) // 2], 2),
            "p99_ms": round(1000 * ordered[int(len(ordered) * 0.99)], 2),
        }


async def call_at_rate(
    rate_per_s: float, seconds: float, call: Callable[[int], Awaitable[None]]
) -> None:
    """Start calls with exponentially distributed gaps, then wait for all of them."""
    gap_source = random.Random(7)
    tasks = TaskGroup(owner="load")
    loop = asyncio.get_running_loop()
    due_s = loop.time()
    end_s = due_s + seconds
    number = 0
    while due_s < end_s:
        await asyncio.sleep(max(0.0, due_s - loop.time()))
        tasks.start(call(number), name="call")  # type: ignore[arg-type]
        number += 1
        due_s += gap_source.expovariate(rate_per_s)
    await tasks.drain()


async def measure_claims(
    address: str, rate_per_s: float, seconds: float, batching: BatchingPolicy, label: str
) -> dict[str, Any]:
    """Run claims at one rate and return latencies, store calls and processor time per call."""
    links: dict[str, LocalLink] = {}
    services = [build_claim_service(name, links, address, batching) for name in NODES]
    call_stats = CallStatistics()

    async def call(number: int) -> None:
        request = ClaimRequest(
            workspace="w", route="/r", key=f"{label}-{number}", method="POST", target="/", body=b""
        )
        service = services[number % len(services)]
        started_s = time.perf_counter()
        held = await service.claim(request)
        call_stats.latencies_s.append(time.perf_counter() - started_s)
        if not isinstance(held, HeldClaim):
            call_stats.failures += 1
            return
        held.attempt.trigger("send")
        await asyncio.sleep(SERVICE_TIME_S)
        service.finish(held, OUTCOME)

    client = new_http_client()
    before = await read_call_counts(client, address)
    cpu_s = time.process_time()
    await call_at_rate(rate_per_s, seconds, call)
    await asyncio.gather(*(service.stop() for service in services))
    cpu_s = time.process_time() - cpu_s
    after = await read_call_counts(client, address)
    await client.connector.cleanup()
    count = len(call_stats.latencies_s)
    return {
        **call_stats.figures(),
        "writes_per_call": round((after.get("write", 0) - before.get("write", 0)) / count, 3),
        "reads_per_call": round((after.get("read", 0) - before.get("read", 0)) / count, 3),
        "cpu_ms_per_call": round(1000 * cpu_s / count, 3),
    }


async def read_call_counts(client: Any, address: str) -> dict[str, int]:
    """Return the call counts of the store at `address`."""
    response = await client.get(f"http://{address}/control")
    counts: dict[str, int] = json.loads(await response.content())["calls"]
    return counts


async def object_sizes(address: str) -> dict[str, Any]:
    """Return the number and sizes of the stored objects with claims."""
    store = HttpObjectService(address=address)
    sizes = []
    for name in await store.keys("claims/"):
        item = await store.get(name)
        sizes.append(0 if item is None else len(item.value))
    await store.close()
    return {"objects": len(sizes), "largest_bytes": max(sizes), "all_bytes": sum(sizes)}


async def measure_all_claims(seconds: float) -> dict[str, Any]:
    """Run the first part: claims in one process, for each batching policy and rate."""
    figures: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as folder:
        for label, batching in BATCHING_POLICIES.items():
            address = AddressPool().reserve()[0]
            platform = Process(
                name="platform", arguments=["lab", "platform", address], log_folder=Path(folder)
            )
            platform.start()
            await wait_until_listening(address)
            figures[label] = {}
            for rate in RATES_PER_S:
                figures[label][f"{rate}/s"] = await measure_claims(
                    address, rate, seconds, batching, f"{label}-{rate}"
                )
            figures[label]["store"] = await object_sizes(address)
            await platform.stop()
    return figures


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    # User and system time, in clock ticks of 10 ms.
    return (int(fields[11]) + int(fields[12])) / 100


async def measure_site_run(
    site: Site, rate_per_s: float, seconds: float, label: str
) -> dict[str, Any]:
    """Run bookings at one rate, with idempotency keys unless `label` is "without key"."""
    client = new_http_client()
    call_stats = CallStatistics()
    addresses = site.node_addresses

    async def call(number: int) -> None:
        headers = {"Authorization": f"Bearer {api_key_of('kathmandu-north')}"}
        if label != "without key":
            headers["Idempotency-Key"] = f'"{label}-{rate_per_s}-{number}"'
        url = f"http://{addresses[number % len(addresses)]}/bookings/{rate_per_s}-{number}"
        started_s = time.perf_counter()
        response = await client.post(url, json={}, headers=headers)
        await response.content()
        call_stats.latencies_s.append(time.perf_counter() - started_s)
        call_stats.failures += response.status_code != 201

    pids = [node.process.pid for node in site.nodes.values()]
    cpu_s = sum(map(cpu_seconds, pids))
    await call_at_rate(rate_per_s, seconds, call)
    cpu_s = sum(map(cpu_seconds, pids)) - cpu_s
    await client.connector.cleanup()
    return {
        **call_stats.figures(),
        "node_cpu_ms_per_call": round(1000 * cpu_s / call_count(call_stats), 2),
    }


def call_count(call_stats: CallStatistics) -> int:
    """Return the number of calls of a run, but at least 1."""
    return max(1, len(call_stats.latencies_s))


async def measure_site(seconds: float) -> dict[str, Any]:
    """Run the second part: bookings with and without keys on a site of real processes."""
    scenario = SCENARIOS["himal"].resized(node_count=3, prefill_count=1, decode_count=1)
    figures: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as folder:
        site = Site(scenario=scenario, folder=Path(folder))
        try:
            await site.start()
            for rate in SITE_RATES_PER_S:
                for label in ("without key", "with key"):
                    run = await measure_site_run(site, rate, seconds, label)
                    figures[f"{label}, {rate}/s"] = run
        finally:
            await site.stop()
    return figures


async def main() -> None:
    """Run both parts and print their figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0, help="length of each run")
    parser.add_argument("--json", type=Path, help="file for the figures")
    options = parser.parse_args()
    figures = {
        "claims": await measure_all_claims(options.seconds),
        "site": await measure_site(options.seconds),
    }
    text = json.dumps(figures, indent=2)
    if options.json is not None:
        options.json.write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    asyncio.run(main())
