"""Tenures of a part: moves, restarts and changes of its limit."""

import pytest

from flamingoshelf.limits import LimitHome
from flamingoshelf.limits._messages import ChargeOutcome, ChargeTokens, SettleTokens
from flamingoshelf.objects import Catalog, Kind, NamedObject, ObjectId, Workspace

NAME = "shop"


def charge(home, name, tokens):
    message = ChargeTokens(workspace=NAME, part=0, request_id=name, tokens=tokens)
    return home.charge(message).outcome


class World:
    """One home with a clock, a tenure and a limit that tests change."""

    def __init__(self):
        self.now_s = 0.0
        self.number = 1
        self.spec = Workspace(rate_tokens_s=20.0, burst_tokens=200)
        self.node = LimitHome(parts=self, catalog=self.catalog, clock=lambda: self.now_s)
        self.node.observe([NAME])
        self.now_s = 10.0

    def home(self, workspace, part):
        return None

    def tenure(self, workspace, part):
        return self.number if part == 0 else None

    def catalog(self):
        if self.spec is None:
            return Catalog(revision=1, objects=[])
        item = NamedObject(id=ObjectId(kind=Kind.WORKSPACE, name=NAME), spec=self.spec)
        return Catalog(revision=1, objects=[item])


@pytest.fixture
def world():
    return World()


def test_a_tenure_that_was_noticed_early_has_refilled(world):
    assert charge(world.node, "a", 100) is ChargeOutcome.RESERVED
    assert charge(world.node, "b", 1) is ChargeOutcome.SHORT


def test_a_part_that_left_is_refused_and_comes_back_empty(world):
    world.number = None
    assert charge(world.node, "a", 1) is ChargeOutcome.NOT_HOLDER
    world.number = 3
    assert charge(world.node, "b", 1) is ChargeOutcome.SHORT


def test_a_part_that_left_unnoticed_comes_back_empty(world):
    world.number = 3
    assert charge(world.node, "a", 1) is ChargeOutcome.SHORT


def test_a_refund_of_an_earlier_tenure_is_void(world):
    charge(world.node, "a", 100)
    world.number = 3
    world.node.settle(SettleTokens(workspace=NAME, part=0, request_id="a", used_tokens=0))
    assert charge(world.node, "b", 1) is ChargeOutcome.SHORT


def test_a_workspace_that_is_made_anew_starts_empty(world):
    spec, world.spec = world.spec, None
    assert charge(world.node, "a", 1) is ChargeOutcome.NOT_HOLDER
    world.spec = spec
    assert charge(world.node, "b", 1) is ChargeOutcome.SHORT


@pytest.mark.parametrize(
    ("rate_tokens_s", "burst_tokens", "fits", "is_refused"),
    [
        pytest.param(20.0, 80, 40, 41, id="lower burst cuts at once"),
        pytest.param(20.0, 400, 100, 101, id="higher burst adds nothing at once"),
        pytest.param(2000.0, 200, 100, 101, id="higher rate adds nothing at once"),
    ],
)
def test_a_changed_limit(world, rate_tokens_s, burst_tokens, fits, is_refused):
    world.node.observe([NAME])
    world.spec = Workspace(rate_tokens_s=rate_tokens_s, burst_tokens=burst_tokens)
    assert charge(world.node, "a", is_refused) is ChargeOutcome.SHORT
    assert charge(world.node, "b", fits) is ChargeOutcome.RESERVED


def test_a_higher_rate_does_not_count_for_the_past(world):
    charge(world.node, "a", 100)
    world.node.settle(SettleTokens(workspace=NAME, part=0, request_id="a", used_tokens=100))
    world.now_s += 1.0
    world.spec = Workspace(rate_tokens_s=2000.0, burst_tokens=200)
    assert charge(world.node, "b", 11) is ChargeOutcome.SHORT
    assert charge(world.node, "b", 10) is ChargeOutcome.RESERVED


def test_a_burst_that_was_lowered_and_raised_again_refills_first(world):
    old = world.spec
    world.spec = Workspace(rate_tokens_s=20.0, burst_tokens=80)
    world.node.observe([NAME])
    world.spec = old
    assert charge(world.node, "a", 41) is ChargeOutcome.SHORT
