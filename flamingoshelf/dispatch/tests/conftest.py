"""A small catalog, a manual clock and a dispatcher that uses both."""

import attrs
import pytest

from flamingoshelf.dispatch import Dispatcher, PlacementRequest
from flamingoshelf.objects import Catalog, parse_document


class Clock:
    """Manual clock; tests advance it."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s

    def advance(self, seconds):
        self.now_s += seconds


def make_catalog(
    *, places=2, kv_pieces=4, decode=2, prefill=2, leaving=(), unfairness=8192, target=0.47
):
    def document(kind, name, **spec):
        return {"kind": kind, "name": name, "spec": spec}

    documents = [
        document("fleet", "fleet", unfairness_tokens=unfairness, first_token_target_s=target),
        document("weight_store", "store", address="127.0.0.1:1", bytes_per_s=1e9),
        document("model_version", "m-1", weights="m", weight_store="store"),
        document("pool", "prefill", role="prefill"),
        document("pool", "decode", role="decode"),
        document("model", "m", version="m-1", prefill_pools=["prefill"], decode_pools=["decode"]),
    ]
    documents += [document("workspace", w, rate_tokens_s=1e6, burst_tokens=10**7) for w in "abc"]
    for role, count in (("prefill", prefill), ("decode", decode)):
        for number in range(count):
            name = f"{role}-{number}"
            documents.append(
                document(
                    "backend_server",
                    name,
                    pool=role,
                    address=f"127.0.0.{10 + number}:{1 if role == 'prefill' else 2}",
                    data_centre="d",
                    places=places,
                    kv_pieces=kv_pieces,
                    state="leaving" if name in leaving else "live",
                )
            )
    return Catalog(revision=1, objects=[parse_document(entry) for entry in documents])


def make_request(number, *, workspace="a", **changes):
    values = {
        "request_id": f"inc.{number}.0",
        "workspace": workspace,
        "model": "m",
        "prompt_tokens": 400,
        "max_tokens": 100,
    }
    return PlacementRequest(**{**values, **changes})


@attrs.define(kw_only=True)
class DispatcherHarness:
    """A dispatcher with a manual clock; tests may replace `catalog`."""

    catalog: Catalog
    clock: Clock
    dispatcher: Dispatcher = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.dispatcher = Dispatcher(
            model="m", catalog=lambda: self.catalog, epoch="e", clock=self.clock
        )

    def submit(self, number, *, owner="node-0", **changes):
        self.dispatcher.enqueue(make_request(number, **changes), owner)

    def decide(self):
        return {decision.request_id: decision.outcome for decision in self.dispatcher.decide()}


@pytest.fixture
def make_harness():
    def make(**options):
        return DispatcherHarness(catalog=make_catalog(**options), clock=Clock())

    return make
