"""Tenures of a part: ends, restarts and changes of the limit."""

import pytest

from flamingoshelf.limits import LimitHome
from flamingoshelf.limits._messages import ChargeOutcome, ChargeTokens, SettleTokens
from flamingoshelf.objects import Catalog, Kind, NamedObject, ObjectId, Workspace

NAME = "shop"


def charge(home, name, tokens):
    message = ChargeTokens(workspace=NAME, part=0, request_id=name, tokens=tokens)
    return home.charge(message).outcome


class Harness:
    """A `LimitHome` whose clock, fencing number and limit are set by the tests."""

    def __init__(self):
        self.now_s = 0.0
        self.fencing_number = 1
        self.spec = Workspace(rate_tokens_s=20.0, burst_tokens=200)
        self.limit_home = LimitHome(parts=self, catalog=self.catalog, clock=lambda: self.now_s)
        self.limit_home.observe([NAME])
        self.now_s = 10.0

    def home(self, workspace, part):
        return None

    def held_fencing_number(self, workspace, part):
        return self.fencing_number if part == 0 else None

    def catalog(self):
        if self.spec is None:
            return Catalog(revision=1, objects=[])
        item = NamedObject(id=ObjectId(kind=Kind.WORKSPACE, name=NAME), spec=self.spec)
        return Catalog(revision=1, objects=[item])


@pytest.fixture
def harness():
    return Harness()


def test_a_tenure_observed_before_its_first_charge_has_refilled(harness):
    assert charge(harness.limit_home, "a", 100) is ChargeOutcome.RESERVED
    assert charge(harness.limit_home, "b", 1) is ChargeOutcome.SHORT


def test_a_part_that_moves_away_is_refused_and_returns_empty(harness):
    harness.fencing_number = None
    assert charge(harness.limit_home, "a", 1) is ChargeOutcome.NOT_HOLDER
    harness.fencing_number = 3
    assert charge(harness.limit_home, "b", 1) is ChargeOutcome.SHORT


def test_a_part_that_moves_away_unobserved_returns_empty(harness):
    harness.fencing_number = 3
    assert charge(harness.limit_home, "a", 1) is ChargeOutcome.SHORT


def test_a_refund_of_an_earlier_tenure_has_no_effect(harness):
    charge(harness.limit_home, "a", 100)
    harness.fencing_number = 3
    harness.limit_home.settle(SettleTokens(workspace=NAME, part=0, request_id="a", used_tokens=0))
    assert charge(harness.limit_home, "b", 1) is ChargeOutcome.SHORT


def test_a_workspace_that_is_created_again_starts_empty(harness):
    spec, harness.spec = harness.spec, None
    assert charge(harness.limit_home, "a", 1) is ChargeOutcome.NOT_HOLDER
    harness.spec = spec
    assert charge(harness.limit_home, "b", 1) is ChargeOutcome.SHORT


@pytest.mark.parametrize(
    ("rate_tokens_s", "burst_tokens", "granted_tokens", "refused_tokens"),
    [
        pytest.param(20.0, 80, 40, 41, id="lower burst cuts at once"),
        pytest.param(20.0, 400, 100, 101, id="higher burst adds nothing at once"),
        pytest.param(2000.0, 200, 100, 101, id="higher rate adds nothing at once"),
    ],
)
def test_a_changed_limit(harness, rate_tokens_s, burst_tokens, granted_tokens, refused_tokens):
    harness.limit_home.observe([NAME])
    harness.spec = Workspace(rate_tokens_s=rate_tokens_s, burst_tokens=burst_tokens)
    assert charge(harness.limit_home, "a", refused_tokens) is ChargeOutcome.SHORT
    assert charge(harness.limit_home, "b", granted_tokens) is ChargeOutcome.RESERVED


def test_a_higher_rate_does_not_apply_to_elapsed_time(harness):
    charge(harness.limit_home, "a", 100)
    harness.limit_home.settle(SettleTokens(workspace=NAME, part=0, request_id="a", used_tokens=100))
    harness.now_s += 1.0
    harness.spec = Workspace(rate_tokens_s=2000.0, burst_tokens=200)
    assert charge(harness.limit_home, "b", 11) is ChargeOutcome.SHORT
    assert charge(harness.limit_home, "b", 10) is ChargeOutcome.RESERVED


def test_a_burst_that_was_lowered_and_raised_again_refills_first(harness):
    old = harness.spec
    harness.spec = Workspace(rate_tokens_s=20.0, burst_tokens=80)
    harness.limit_home.observe([NAME])
    harness.spec = old
    assert charge(harness.limit_home, "a", 41) is ChargeOutcome.SHORT
