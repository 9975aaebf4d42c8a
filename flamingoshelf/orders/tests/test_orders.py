"""Orders to servers, with faults, limited load rates and changes of duty holders."""

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
    """Servers that carry out orders at once; each order consumes the first of `faults`."""

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
class Harness:
    ownership: FakeOwnership
    servers: FakeServers
    catalog: Catalog
    events: Counter[str]
    reconciler: Any = None

    def is_done(self, version="v1"):
        versions = [state.versions for state in self.servers.states.values()]
        return versions == [{"m": version}] * 2


async def start_harness():
    ownership: Any = FakeOwnership()
    link: Any = FakeLink()
    servers = FakeServers()
    events: Counter[str] = Counter()
    harness = Harness(ownership, servers, catalog_of(), events)
    permits = LoadPermits(link=link, ownership=ownership, catalog=lambda: harness.catalog)
    await permits.start()
    harness.reconciler = OrderReconciler(
        client=servers,
        ownership=ownership,
        permits=permits,
        catalog=lambda: harness.catalog,
        count_event=lambda event, amount: events.update({event: amount}),
        random_source=random.Random(1),
    )
    await harness.reconciler.start()
    return harness


@pytest.mark.parametrize("fault", [None, "answer lost", "refused", "stale"])
async def test_servers_reach_the_desired_state(fault):
    harness = await start_harness()
    harness.servers.faults = [fault]
    await asyncio.sleep(60)
    assert harness.is_done()
    assert {order.fencing_number for _, _, order in harness.servers.orders} == {7}
    count = len(harness.servers.orders)
    await asyncio.sleep(60)
    assert len(harness.servers.orders) == count, "orders repeated in the desired state"
    assert harness.events["orders_refused_as_old"] == (fault == "stale")
    harness.catalog = catalog_of("v2")
    await asyncio.sleep(60)
    assert harness.is_done("v2")
    await harness.reconciler.stop()


async def test_loads_keep_to_the_rate_of_the_weight_store_when_the_duty_moves():
    harness = await start_harness()
    await asyncio.sleep(LOAD_S + 3)
    harness.ownership.number = 8
    moved_s = asyncio.get_running_loop().time()
    await asyncio.sleep(60)
    times = [at_s for at_s, _, _ in harness.servers.orders]
    assert len(times) == 2
    assert times[0] >= LOAD_S, "a new holder does not know what was permitted before"
    assert times[1] >= moved_s + LOAD_S
    await harness.reconciler.stop()


async def test_no_order_is_given_once_the_duty_is_lost():
    harness = await start_harness()
    wrong_role = ObservedServer(role="prefill", versions={}, is_loading=False)
    harness.servers.states = dict.fromkeys(["127.0.0.1:11", "127.0.0.1:12"], wrong_role)
    harness.servers.before_order = lambda: setattr(harness.ownership, "is_holder", False)
    await asyncio.sleep(30)
    assert harness.servers.orders == []
    await harness.reconciler.stop()
