import asyncio
import random
from collections import Counter
from typing import Any

import attrs
import pytest
from result import Err, Ok

from flamingoshelf.base import Duty
from flamingoshelf.exceptions import EngineError
from flamingoshelf.objects import Catalog, parse_document
from flamingoshelf.orders import LoadPermits, ObservedServer, OrderReconciler

pytestmark = pytest.mark.looptime

WEIGHTS_BYTES = 50
STORE_BYTES_PER_S = 10.0
LOAD_S = WEIGHTS_BYTES / STORE_BYTES_PER_S


def catalog_of(version="v1"):
    def document(kind, name, **spec):
        return parse_document({"kind": kind, "name": name, "spec": spec})

    server = {"pool": "decode", "data_centre": "a"}
    return Catalog(
        revision=1,
        objects=[
            document("weight_store", "w", address="127.0.0.1:1", bytes_per_s=STORE_BYTES_PER_S),
            document(
                "model_version", version, weights="m", weight_store="w", weights_bytes=WEIGHTS_BYTES
            ),
            document("pool", "decode", role="decode"),
            document(
                "model", "m", version=version, prefill_pools=["decode"], decode_pools=["decode"]
            ),
            document("backend_server", "s1", address="127.0.0.1:11", **server),
            document("backend_server", "s2", address="127.0.0.1:12", **server),
        ],
    )


class FakeOwnership:
    def __init__(self):
        self.number = 7
        self.is_holder = True

    def holders(self, duty, key, *, count=1):
        return ["n"]

    def holds(self, duty, key):
        return self.is_holder or duty is Duty.WEIGHT_STORE

    def fencing_number(self, duty, key):
        return self.number


class FakeLink:
    def register(self, message_type, handler):
        self.handler = handler

    async def request(self, peer, message, *, timeout_s):
        return await self.handler(peer, message)


class FakeServers:
    """Servers that carry out orders at once; `fault` is consumed by the next order."""

    def __init__(self):
        self.states = {}
        self.orders = []
        self.faults = []
        self.before_order = lambda: None

    async def observe(self, address):
        state = self.states.get(
            address, ObservedServer(role="decode", versions={}, is_loading=False)
        )
        self.before_order()
        return state

    async def order(self, address, order):
        self.orders.append((asyncio.get_running_loop().time(), address, order))
        fault = self.faults.pop(0) if self.faults else None
        if fault == "stale":
            return Err("old fencing number")
        if fault != "refused":
            self.states[address] = ObservedServer(
                role=order.role, versions=dict(order.versions), is_loading=False
            )
        if fault is not None:
            raise EngineError(fault, step="order", peer=address)
        return Ok(None)


@attrs.define
class Bench:
    ownership: FakeOwnership
    servers: FakeServers
    catalog: Catalog
    events: Counter[str]
    reconciler: Any = None

    def is_done(self, version="v1"):
        versions = [state.versions for state in self.servers.states.values()]
        return versions == [{"m": version}] * 2


async def started():
    ownership: Any = FakeOwnership()
    link: Any = FakeLink()
    servers = FakeServers()
    events: Counter[str] = Counter()
    bench = Bench(ownership, servers, catalog_of(), events)
    permits = LoadPermits(link=link, ownership=ownership, catalog=lambda: bench.catalog)
    await permits.start()
    bench.reconciler = OrderReconciler(
        client=servers,
        ownership=ownership,
        permits=permits,
        catalog=lambda: bench.catalog,
        count_event=lambda event, amount: events.update({event: amount}),
        random_source=random.Random(1),
    )
    await bench.reconciler.start()
    return bench


@pytest.mark.parametrize("fault", [None, "answer lost", "refused", "stale"])
async def test_servers_reach_the_desired_state(fault):
    bench = await started()
    bench.servers.faults = [fault]
    await asyncio.sleep(60)
    assert bench.is_done()
    assert {order.fencing_number for _, _, order in bench.servers.orders} == {7}
    count = len(bench.servers.orders)
    await asyncio.sleep(60)
    assert len(bench.servers.orders) == count, "ordered again what was done"
    assert bench.events["orders_refused_as_old"] == (fault == "stale")
    bench.catalog = catalog_of("v2")
    await asyncio.sleep(60)
    assert bench.is_done("v2")
    await bench.reconciler.stop()


async def test_loads_keep_to_the_rate_of_the_weight_store_over_a_change_of_hands():
    bench = await started()
    await asyncio.sleep(LOAD_S + 3)
    bench.ownership.number = 8
    moved_s = asyncio.get_running_loop().time()
    await asyncio.sleep(60)
    times = [at_s for at_s, _, _ in bench.servers.orders]
    assert len(times) == 2
    assert times[0] >= LOAD_S, "a new holder does not know what was permitted before"
    assert times[1] >= moved_s + LOAD_S
    await bench.reconciler.stop()


async def test_no_order_is_given_once_the_duty_is_gone():
    bench = await started()
    wrong_role = ObservedServer(role="prefill", versions={}, is_loading=False)
    bench.servers.states = dict.fromkeys(["127.0.0.1:11", "127.0.0.1:12"], wrong_role)
    bench.servers.before_order = lambda: setattr(bench.ownership, "is_holder", False)
    await asyncio.sleep(30)
    assert bench.servers.orders == []
    await bench.reconciler.stop()
