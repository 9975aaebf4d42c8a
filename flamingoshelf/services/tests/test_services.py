"""Server selection, ejection and retries."""

import asyncio
import random
from collections import Counter

import pytest

from flamingoshelf.backends import PlainCall, PlainReply
from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.objects import BackendServer, BackendState, Catalog, ServiceSpec, parse_document
from flamingoshelf.refusals import Refusal
from flamingoshelf.retries import Backoff, RetryBudgets
from flamingoshelf.routing import EjectionRule, ServerSelector
from flamingoshelf.services import ServiceRouter
from flamingoshelf.telemetry import Metrics

pytestmark = pytest.mark.looptime

CALL = PlainCall(method="GET", target="/stock", headers=(), body=b"")
RULE = EjectionRule(failures=3, first_ejection_s=10, max_ejection_s=40, max_ejected_share=0.5)


def server(number, data_centre="a", state=BackendState.LIVE):
    address = f"127.0.0.1:{number}"
    return BackendServer(pool="p", address=address, data_centre=data_centre, state=state)


@pytest.fixture
def selector():
    return ServerSelector(data_centre="a", rule=RULE, random_source=random.Random(1))


def count_choices(selector, servers, count=200):
    return Counter(selector.choose(servers) for _ in range(count))


def fail(selector, item, count):
    for _ in range(count):
        selector.start_call(item.address)
        selector.end_call(item.address, is_failure=True)


async def test_local_servers_come_first_until_they_are_much_busier(selector):
    local, remote = server(1), server(2, "b")
    assert set(count_choices(selector, [local, remote])) == {local.address}
    for _ in range(7):
        selector.start_call(local.address)
    assert set(count_choices(selector, [local, remote])) == {local.address}
    selector.start_call(local.address)
    assert set(count_choices(selector, [local, remote])) == {remote.address}


async def test_busy_servers_get_fewer_calls(selector):
    servers = [server(number) for number in range(4)]
    for _ in range(5):
        selector.start_call(servers[0].address)
    assert servers[0].address not in count_choices(selector, servers)


async def test_leaving_servers_get_no_new_work(selector):
    servers = [server(1, state=BackendState.LEAVING), server(2)]
    assert set(count_choices(selector, servers)) == {servers[1].address}
    assert selector.choose(servers[:1]) is None


async def test_ejection_is_bounded_and_ends(selector):
    servers = [server(number) for number in range(4)]
    fail(selector, servers[0], 2)
    assert servers[0].address in count_choices(selector, servers)
    for item in servers[:3]:
        fail(selector, item, 3)
    assert len(count_choices(selector, servers)) == 2
    await asyncio.sleep(13)
    assert len(count_choices(selector, servers)) == 4


async def test_one_failure_after_an_ejection_ejects_for_longer(selector):
    servers = [server(1), server(2)]
    fail(selector, servers[0], 3)
    await asyncio.sleep(13)
    fail(selector, servers[0], 1)
    assert servers[0].address not in count_choices(selector, servers)
    await asyncio.sleep(14)
    assert servers[0].address not in count_choices(selector, servers)
    await asyncio.sleep(12)
    selector.start_call(servers[0].address)
    selector.end_call(servers[0].address, is_failure=False)
    fail(selector, servers[0], 2)
    assert servers[0].address in count_choices(selector, servers)


async def test_only_server_is_chosen_even_if_it_failed(selector):
    item = server(1)
    fail(selector, item, 9)
    assert selector.choose([item]) == item.address


class FakeClient:
    def __init__(self, modes):
        self.modes = list(modes)
        self.addresses = []

    async def call(self, address, call, *, timeout_s):
        self.addresses.append(address)
        mode = self.modes.pop(0) if self.modes else "answer"
        if mode == "refuse":
            raise PeerUnreachableError("refused", step="call", peer=address)
        if mode == "hang":
            await asyncio.sleep(timeout_s)
        if mode in ("hang", "reset"):
            raise OutcomeUnknownError(mode, step="call", peer=address)
        return PlainReply(status=200, headers={}, body=b"ok")


async def route(modes, selector, *, may_repeat, reserve=2, server_count=4):
    documents = [{"kind": "pool", "name": "p", "spec": {"role": "plain"}}]
    documents += [
        {
            "kind": "backend_server",
            "name": f"s{number}",
            "spec": {"pool": "p", "address": f"127.0.0.1:{number + 1}", "data_centre": "a"},
        }
        for number in range(server_count)
    ]
    catalog = Catalog(revision=1, objects=[parse_document(item) for item in documents])
    client = FakeClient(modes)
    budgets = RetryBudgets(node_count=lambda: 60)
    while budgets.budget("p")._balance > reserve:
        assert budgets.budget("p").try_spend()
    router = ServiceRouter(
        catalog=lambda: catalog,
        client=client,
        selector=selector,
        budgets=budgets,
        metrics=Metrics(node_name="n"),
        backoff=Backoff(random_source=random.Random(1)),
    )
    outcome = await router.call(ServiceSpec(pool="p", timeout_s=5), CALL, may_repeat=may_repeat)
    return outcome, client.addresses


@pytest.mark.parametrize(
    ("modes", "may_repeat", "reserve", "tries", "expected"),
    [
        ([], False, 2, 1, "ok"),
        (["refuse"], False, 2, 2, "ok"),
        (["refuse"] * 4, False, 2, 4, "no_backend true"),
        (["refuse"] * 4, True, 0, 4, "no_backend true"),
        (["reset"], False, 2, 1, "backend_failed"),
        (["refuse", "reset"], False, 2, 2, "backend_failed"),
        (["reset"], True, 2, 2, "ok"),
        (["reset"], True, 0, 1, "retries_exhausted"),
        (["reset"] * 4, True, 2, 3, "retries_exhausted"),
        (["reset", "refuse", "refuse", "refuse"], True, 2, 4, "no_backend"),
        (["hang"], True, 2, 1, "retries_exhausted"),
    ],
)
async def test_retries(selector, modes, may_repeat, reserve, tries, expected):
    outcome, addresses = await route(modes, selector, may_repeat=may_repeat, reserve=reserve)
    if isinstance(outcome, Refusal):
        found = outcome.reason.value + (" true" if outcome.not_run else "")
    else:
        found = outcome.body.decode()
    assert found == expected
    assert len(addresses) == len(set(addresses)) == tries


async def test_no_server(selector):
    outcome, addresses = await route([], selector, may_repeat=False, server_count=0)
    assert isinstance(outcome, Refusal)
    assert outcome.not_run
    assert addresses == []


async def test_choosing_among_servers_keeps_no_record_of_them():
    """Servers come and go; a record of each would grow without end."""
    selector = ServerSelector(data_centre="a", rule=RULE, random_source=random.Random(1))
    for number in range(100):
        selector.choose([server(number)])
    assert not selector._records
