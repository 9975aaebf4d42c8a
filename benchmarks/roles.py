"""Measure state size and processor time of single roles at several sizes, in this process.

Run with ``python -m benchmarks.roles``; it prints JSON with a line through the points of each role.
"""

import json
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import attrs

from benchmarks.measure import fit_line
from flamingoshelf.dispatch import PlacementRequest
from flamingoshelf.dispatch._dispatcher import Dispatcher
from flamingoshelf.limits import LimitHome
from flamingoshelf.limits._messages import ChargeTokens, SettleTokens
from flamingoshelf.membership._assignment import Assignment, Member
from flamingoshelf.membership._slots import SlotTable
from flamingoshelf.objects import Catalog, parse_document

__all__ = ["measure_roles"]

_NODE_COUNTS = (6, 60, 370)
_WORKSPACE_COUNTS = (100, 400, 1600)
_ENGINE_COUNTS = (12, 40, 128)
_CHARGE_COUNT = 2000
_REQUEST_COUNT = 400
_DATA_CENTRE_COUNT = 5
_PLACES_PER_ENGINE = 20
_POOL_UTILISATION = 0.8


def measure_roles() -> dict[str, Any]:
    """Return the points of each role and the line through them."""
    return {
        "slot_table_bytes": _measure_points(_NODE_COUNTS, _slot_table_bytes),
        "assignment_cpu_ms": _measure_points(_NODE_COUNTS, _assignment_cpu_ms),
        "home_bytes": _measure_points(_WORKSPACE_COUNTS, _home_bytes),
        "charge_cpu_us": _measure_points(_WORKSPACE_COUNTS, _charge_cpu_us),
        "dispatch_cpu_us": _measure_points(_ENGINE_COUNTS, _dispatch_cpu_us),
    }


def _measure_points(sizes: tuple[int, ...], measure: Callable[[int], float]) -> dict[str, Any]:
    values = [measure(size) for size in sizes]
    return {
        "sizes": sizes,
        "values": values,
        "line": attrs.asdict(fit_line(sizes, values)),
    }


def _members(count: int) -> list[Member]:
    return [
        Member(
            name=f"node-{number:03}",
            data_centre=f"dc-{number % _DATA_CENTRE_COUNT}",
            incarnation=f"{number:016x}",
        )
        for number in range(count)
    ]


def _first_table(count: int) -> SlotTable:
    members = _members(count)
    data_centre_by_name = {member.name: member.data_centre for member in members}
    table = SlotTable()
    assignment = Assignment(table=table, members=members, data_centres=data_centre_by_name)
    return table.with_holders(assignment.reassign(range(len(table.slots))), list_version=1)


def _slot_table_bytes(count: int) -> float:
    return len(_first_table(count).encode())


def _assignment_cpu_ms(count: int) -> float:
    """Return the processor time to reassign the slots of one lost node, in milliseconds."""
    table = _first_table(count)
    members = _members(count)[1:]
    data_centre_by_name = {member.name: member.data_centre for member in _members(count)}
    started_s = time.process_time()
    assignment = Assignment(table=table, members=members, data_centres=data_centre_by_name)
    assignment.reassign(table.held_by("node-000"))
    return (time.process_time() - started_s) * 1e3


class _SingleHolderParts:
    """Limit parts that one node holds from the beginning."""

    def home(self, workspace: str, part: int) -> str | None:
        return "node-000"

    def held_fencing_number(self, workspace: str, part: int) -> int | None:
        return 1


def _new_limit_home(count: int, clock: Callable[[], float]) -> LimitHome:
    documents = [
        {
            "kind": "workspace",
            "name": f"w-{number}",
            "spec": {"rate_tokens_s": 1e6, "burst_tokens": 10**8},
        }
        for number in range(count)
    ]
    catalog = Catalog(revision=1, objects=[parse_document(entry) for entry in documents])
    return LimitHome(parts=_SingleHolderParts(), catalog=lambda: catalog, clock=clock)


def _home_bytes(count: int) -> float:
    home = _new_limit_home(count, lambda: 0.0)
    names = [f"w-{number}" for number in range(count)]
    tracemalloc.start()
    home.observe(names)
    for name in names:
        home.charge(ChargeTokens(workspace=name, part=0, request_id="i.1.0", tokens=100))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


def _charge_cpu_us(count: int) -> float:
    clock = _Clock()
    home = _new_limit_home(count, clock)
    home.observe([f"w-{number}" for number in range(count)])
    clock.now_s = 1000.0
    started_s = time.process_time()
    for number in range(_CHARGE_COUNT):
        name, request_id = f"w-{number % count}", f"i.{number}.0"
        home.charge(ChargeTokens(workspace=name, part=0, request_id=request_id, tokens=100))
        home.settle(SettleTokens(workspace=name, part=0, request_id=request_id, used_tokens=50))
    return (time.process_time() - started_s) / _CHARGE_COUNT * 1e6


def _dispatch_cpu_us(count: int) -> float:
    """Return the processor time per request, in microseconds, at a pool that is 80% full."""
    clock = _Clock()
    catalog = _pool_catalog(count)
    dispatcher = Dispatcher(model="m", catalog=lambda: catalog, epoch="e", clock=clock)
    held: list[str] = []
    decode_count = sum(number % 3 != 0 for number in range(count))
    target = int(decode_count * _PLACES_PER_ENGINE * _POOL_UTILISATION)
    started_s = 0.0
    for number in range(target + _REQUEST_COUNT):
        if number == target:
            started_s = time.process_time()
        clock.now_s += 0.01
        request = _request(number)
        dispatcher.enqueue(request, "node-000")
        dispatcher.decide()
        dispatcher.release_prefill(request.request_id)
        held.append(request.request_id)
        if number >= target:
            dispatcher.release(held.pop(0))
    return (time.process_time() - started_s) / _REQUEST_COUNT * 1e6


class _Clock:
    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def _request(number: int) -> PlacementRequest:
    return PlacementRequest(
        request_id=f"i.{number}.0",
        workspace="w",
        model="m",
        prompt_tokens=400,
        max_tokens=100,
    )


def _pool_catalog(count: int) -> Catalog:
    documents: list[dict[str, Any]] = [
        {"kind": "fleet", "name": "fleet", "spec": {}},
        {
            "kind": "weight_store",
            "name": "s",
            "spec": {"address": "127.0.0.1:1", "bytes_per_s": 1e9},
        },
        {"kind": "model_version", "name": "m-1", "spec": {"weights": "m", "weight_store": "s"}},
        {"kind": "pool", "name": "prefill", "spec": {"role": "prefill"}},
        {"kind": "pool", "name": "decode", "spec": {"role": "decode"}},
        {
            "kind": "model",
            "name": "m",
            "spec": {"version": "m-1", "prefill_pools": ["prefill"], "decode_pools": ["decode"]},
        },
        {
            "kind": "workspace",
            "name": "w",
            "spec": {"rate_tokens_s": 1e6, "burst_tokens": 10**7},
        },
    ]
    for number in range(count):
        role = "prefill" if number % 3 == 0 else "decode"
        address = f"127.0.{number // 200}.{1 + number % 200}:1"
        spec = {"pool": role, "address": address, "data_centre": "d"}
        documents.append({"kind": "backend_server", "name": f"{role}-{number}", "spec": spec})
    return Catalog(revision=1, objects=[parse_document(entry) for entry in documents])


if __name__ == "__main__":
    print(json.dumps(measure_roles(), indent=2))
