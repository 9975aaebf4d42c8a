"""Charges at homes that fail or lose replies, on a simulated clock."""

import asyncio

import pytest
from result import Err, Ok

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.limits import FleetLimiter, LimitHome
from flamingoshelf.limits._messages import ChargeTokens, UpdateTokens
from flamingoshelf.objects import Catalog, Kind, NamedObject, ObjectId, Workspace
from flamingoshelf.refusals import RefusalReason
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup

NAME = "shop"
HOMES = ("home-0", "home-1")
SPEC = Workspace(rate_tokens_s=20.0, burst_tokens=200)
CATALOG = Catalog(
    revision=1, objects=[NamedObject(id=ObjectId(kind=Kind.WORKSPACE, name=NAME), spec=SPEC)]
)
REQUEST_IDS = ("even", "odd", "r1", "r2", "r3")
pytestmark = pytest.mark.looptime


class Parts:
    """Ownership in which each home holds one part."""

    def __init__(self, node):
        self._node = node

    def home(self, workspace, part):
        return HOMES[part]

    def held_fencing_number(self, workspace, part):
        return 1 if HOMES[part] == self._node else None


class Link:
    """Link to two homes; `faults` maps a home to its kind of failure."""

    node_name = "caller"
    incarnation = "1"

    def __init__(self):
        self.now_s = 0.0
        self.homes = {name: self.new_home(name) for name in HOMES}
        self.faults = {}
        self.charges = 0
        for home in self.homes.values():
            home.observe([NAME])
        self.now_s = 20.0

    def new_home(self, name):
        return LimitHome(parts=Parts(name), catalog=lambda: CATALOG, clock=lambda: self.now_s)

    async def request(self, peer, message, *, timeout_s):
        fault = self.faults.get(peer)
        is_charge = isinstance(message, ChargeTokens)
        self.charges += is_charge
        is_last_part = fault == "unreachable for the last part" and self.charges == 4
        if fault == "unreachable" or is_last_part:
            raise PeerUnreachableError("home unreachable", step="dial", peer=peer)
        home = self.homes[peer]
        reply = home.charge(message) if is_charge else home.settle(message)
        if fault in ("lost replies", "lost reply") and is_charge:
            self.faults[peer] = fault if fault == "lost replies" else None
            await asyncio.sleep(timeout_s)
            raise OutcomeUnknownError("no reply", step="request", peer=peer)
        return reply

    def notify(self, peer, message):
        assert isinstance(message, UpdateTokens)
        self.homes[peer].update(message)

    def register(self, message_type, handler):
        raise NotImplementedError

    def available(self):
        total = 0
        for part, home in enumerate(HOMES):
            probe = ChargeTokens(workspace=NAME, part=part, request_id="probe", tokens=100_000)
            total += self.homes[home].charge(probe).tokens
        return total


@pytest.fixture
def link():
    return Link()


@pytest.fixture
async def tasks():
    tasks = TaskGroup(owner="test")
    yield tasks
    await tasks.stop()


@pytest.fixture
async def limiter(link, tasks):
    return FleetLimiter(
        link=link,
        parts=Parts("caller"),
        catalog=lambda: CATALOG,
        metrics=Metrics(node_name="caller"),
        background=tasks,
    )


async def charge(limiter, tokens, name="r1"):
    return await limiter.charge(request_id=name, workspace=NAME, tokens=tokens)


@pytest.mark.parametrize(
    ("faults", "before", "tokens", "reason", "not_run", "retry_after_s"),
    [
        pytest.param({}, 0, 200, None, True, None, id="whole burst over two parts"),
        pytest.param({}, 0, 201, RefusalReason.REQUEST_TOO_LARGE, True, None, id="above burst"),
        pytest.param({}, 200, 30, RefusalReason.RATE_EXCEEDED, True, 1.5, id="spent"),
        pytest.param(
            {"home-0": "unreachable"}, 0, 100, None, True, None, id="first home unreachable"
        ),
        pytest.param(
            {"home-1": "unreachable"}, 0, 100, None, True, None, id="second home unreachable"
        ),
        pytest.param(
            {"home-0": "unreachable"},
            0,
            101,
            RefusalReason.LIMIT_UNAVAILABLE,
            True,
            1.0,
            id="half of the burst unreachable",
        ),
        pytest.param(
            dict.fromkeys(HOMES, "unreachable"),
            0,
            1,
            RefusalReason.LIMIT_UNAVAILABLE,
            True,
            1.0,
            id="no home",
        ),
        pytest.param(
            dict.fromkeys(HOMES, "lost replies"),
            0,
            1,
            RefusalReason.LIMIT_UNAVAILABLE,
            True,
            1.0,
            id="all replies lost",
        ),
        pytest.param(dict.fromkeys(HOMES, "lost reply"), 0, 100, None, True, None, id="lost reply"),
    ],
)
@pytest.mark.parametrize("name", REQUEST_IDS)
async def test_refusals(
    link, limiter, faults, before, tokens, reason, not_run, retry_after_s, name
):
    if before:
        assert isinstance(await charge(limiter, before, "before"), Ok)
    link.faults = dict(faults)
    outcome = await charge(limiter, tokens, name)
    if reason is None:
        assert sum(share.tokens for share in outcome.ok_value.shares) == tokens
        return
    refusal = outcome.err_value
    assert (refusal.reason, refusal.not_run) == (reason, not_run)
    assert refusal.retry_after_s == retry_after_s


@pytest.mark.parametrize("fault", ["lost reply", "lost replies"])
async def test_a_lost_reply_charges_once_and_a_withdrawal_releases(link, limiter, tasks, fault):
    link.faults = dict.fromkeys(HOMES, fault)
    outcome = await charge(limiter, 50)
    link.faults = {}
    await tasks.drain()
    assert link.available() == (150 if isinstance(outcome, Ok) else 200)


async def test_reports_reach_every_part(link, limiter, tasks):
    charged = (await charge(limiter, 150)).ok_value
    assert len(charged.shares) == 2
    limiter.update(charged, used_tokens=110, reserved_tokens=20)
    assert link.available() == 70
    limiter.settle(charged, used_tokens=120)
    await tasks.drain()
    assert link.available() == 80


async def test_a_refused_charge_in_parts_releases_its_reservations(link, limiter, tasks):
    link.faults = {"home-1": "unreachable for the last part"}
    assert isinstance(await charge(limiter, 150), Err)
    link.faults = {}
    await tasks.drain()
    assert link.available() == 200


async def test_a_workspace_above_its_rate_costs_few_messages(link, limiter, tasks):
    limiter.settle((await charge(limiter, 200, "before")).ok_value, used_tokens=200)
    await tasks.drain()
    link.charges = 0
    outcomes = [await charge(limiter, 40, f"r{number}") for number in range(50)]
    assert all(outcome.err_value.reason is RefusalReason.RATE_EXCEEDED for outcome in outcomes)
    assert link.charges == 2
    await asyncio.sleep(2.0)
    link.now_s += 2.0
    assert isinstance(await charge(limiter, 40, "later"), Ok)


async def test_a_cached_refusal_does_not_apply_to_smaller_requests(link, limiter):
    await charge(limiter, 190, "before")
    assert isinstance(await charge(limiter, 40, "large"), Err)
    assert isinstance(await charge(limiter, 10, "small"), Ok)


async def test_an_unresponsive_home_is_charged_last(link, limiter):
    link.faults = {"home-0": "lost replies"}
    started_s = asyncio.get_running_loop().time()
    for number in range(10):
        assert isinstance(await charge(limiter, 1, f"r{number}"), Ok)
    assert asyncio.get_running_loop().time() - started_s < 0.7
