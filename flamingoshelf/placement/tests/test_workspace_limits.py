"""Rates of workspaces over the fleet."""

import pytest

from flamingoshelf.placement._workspace_limits import WorkspaceLimit, WorkspaceLimits


def limit(rate, burst):
    return WorkspaceLimit(rate_tokens_s=rate, burst_tokens=burst, initial_tokens=burst)


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def known():
    return {"w": limit(1000, 2000)}


@pytest.fixture
def limits(clock, known):
    return WorkspaceLimits(limit=known.get, clock=clock)


def test_workspace_at_its_rate_is_never_refused(limits, clock):
    for _ in range(100):
        assert limits.charge("w", 500) is None
        clock.now += 0.5


@pytest.mark.parametrize("factor", [2, 7.5])
def test_hot_workspace_gets_its_rate_and_burst(limits, clock, factor):
    """One tenant sends many times its usual."""
    admitted = 0
    for _ in range(1000):
        admitted += 500 if limits.charge("w", 500) is None else 0
        clock.now += 0.5 / factor
    assert admitted <= 2000 + 1000 * clock.now
    assert admitted >= 0.98 * (2000 + 1000 * clock.now) - 500


def test_refused_caller_is_told_when_there_are_tokens_again(limits, clock):
    limits.charge("w", 2000)
    refusal = limits.charge("w", 1500)
    assert (refusal.status, refusal.not_run) == (429, True)
    assert refusal.retry_after_s == pytest.approx(1.5)
    clock.now += refusal.retry_after_s
    assert limits.charge("w", 1500) is None


def test_other_workspaces_are_not_touched(limits):
    limits.charge("w", 2000)
    assert limits.charge("other", 10**9) is None


def test_lower_limit_counts_at_once(limits, known):
    known["w"] = limit(10, 100)
    assert limits.charge("w", 100) is None
    assert limits.charge("w", 100) is not None


def test_request_above_the_burst_runs_on_a_full_bucket(limits, clock):
    assert limits.charge("w", 5000) is None
    clock.now += 4.0
    assert limits.charge("w", 5000) is not None


def test_calls_that_other_nodes_let_through_count(limits, clock):
    limits.charge("w", 1000)
    limits.spend("w", 1500)
    assert limits.exhausted() == {"w": pytest.approx(0.5)}
    clock.now += 1.0
    assert limits.exhausted() == {}


def test_tokens_of_a_request_that_did_not_run_are_given_back(limits):
    limits.charge("w", 2000)
    limits.give_back("w", 2000)
    assert limits.charge("w", 2000) is None
    limits.give_back("w", 9000)  # never above the burst
    assert limits.charge("w", 2000) is None
    assert limits.charge("w", 100) is not None


def test_workspace_without_a_rate_is_not_limited(limits, known):
    known["w"] = limit(0, 0)
    assert limits.charge("w", 10**9) is None


def test_successor_does_not_give_a_second_burst(known, clock):
    """The coordinator is lost while a workspace is above its rate."""
    known["w"] = WorkspaceLimit(rate_tokens_s=1000, burst_tokens=8000, initial_tokens=2000)
    admitted = 0
    for coordinator in range(2):
        limits = WorkspaceLimits(limit=known.get, clock=clock)
        limits.spend("w", 0)
        clock.now += 6.0 if coordinator == 0 else 0.0
        admitted += sum(500 for _ in range(100) if limits.charge("w", 500) is None)
    assert admitted <= 8000 + 2000


def successor(clock, *, nodes, burst=8000):
    known = {"w": WorkspaceLimit(rate_tokens_s=1000, burst_tokens=burst, initial_tokens=2000)}
    return WorkspaceLimits(limit=known.get, node_count=lambda: nodes, clock=clock)


def left(limits):
    """Return the tokens that a workspace may spend at once."""
    return 100 * sum(limits.charge("w", 100) is None for _ in range(1000))


def test_successor_that_hears_of_all_goes_on_where_its_predecessor_was(clock):
    """A hot workspace lost a whole burst with each change of the coordinator."""
    limits = successor(clock, nodes=4)
    for peer in "abcd":
        limits.note_recent(peer, {"w": 500}, is_whole=True)
    assert left(limits) == 8000 - 4 * 500


def test_reports_that_come_after_the_first_request_count_too(clock):
    limits = successor(clock, nodes=4)
    limits.charge("w", 0.1)
    for peer in "abcd":
        limits.note_recent(peer, {"w": 500}, is_whole=True)
    assert left(limits) == pytest.approx(6000, abs=100)


def test_nodes_that_do_not_tell_are_taken_for_busy_ones(clock):
    """The predecessor's own requests are known to nobody."""
    limits = successor(clock, nodes=4)
    for peer in "abc":
        limits.note_recent(peer, {"w": 500}, is_whole=True)
    told = 3 * 500
    assert left(limits) <= 2000 + 6000 * 3 / 4 - told - 2 * told / 3


def test_fleet_that_started_anew_begins_with_the_plain_burst(clock):
    limits = successor(clock, nodes=4)
    for peer in "abcd":
        limits.note_recent(peer, {}, is_whole=False)
    assert left(limits) == 2000


def test_repeated_report_counts_once(clock):
    limits = successor(clock, nodes=1)
    for _ in range(3):
        limits.note_recent("a", {"w": 500}, is_whole=True)
    assert left(limits) == 7500


def test_coordinator_that_lost_its_duty_knows_nothing_when_it_has_it_again(clock):
    limits = successor(clock, nodes=1)
    limits.note_recent("a", {}, is_whole=True)
    assert left(limits) == 8000
    limits.forget()
    assert left(limits) == 2000
