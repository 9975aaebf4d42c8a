"""Streams whose software version loses its last decode engine."""

import random

import attrs
import pytest

from flamingoshelf.placement import Dispatcher, PlacementRequest, RolePlanner, Turn
from flamingoshelf.placement._decisions import TurnDecided
from flamingoshelf.placement._role_plan import RequestCost
from flamingoshelf.placement.tests.simulation import PROFILE, add_reference_measurements
from flamingoshelf.refusals import Refusal, RefusalReason
from flamingoshelf.routing import BackendInstance, EngineRole

DRAIN_S = 2.0
FREE = RequestCost(prefill_s=0.01, decode_s=1.0)  # prefill engines have hardly any work
SCARCE = RequestCost(prefill_s=1.0, decode_s=0.5)


def engine(name, version="v1"):
    role = EngineRole.PREFILL if name.startswith("p") else EngineRole.DECODE
    return BackendInstance(
        instance_id=name,
        service="s",
        address=f"{name}:80",
        data_centre="a",
        role=role,
        software_version=version,
    )


class Bench:
    """A dispatcher with measured engines of two versions and a paused clock."""

    def __init__(self):
        self.now = 100.0
        self.engines = {e.key: e for e in map(engine, ("p0", "p1", "d0"))}
        self.engines |= {e.key: e for e in (engine("d1", "v2"), engine("d2", "v2"))}
        self.dispatcher = Dispatcher(
            service="s",
            instances=lambda: list(self.engines.values()),
            profile=lambda: PROFILE,
            random_source=random.Random(1),
            clock=lambda: self.now,
        )
        add_reference_measurements(self.dispatcher.model)
        self.outcomes = {}
        self.run()

    def run(self, seconds=0.0):
        self.now += seconds
        for decision in self.dispatcher.decide():
            if isinstance(decision, TurnDecided):
                self.outcomes[decision.turn_id] = decision.outcome

    def ask(self, name, *, version="", tokens=2000, deadline_s=14.0, **fields):
        request = PlacementRequest(
            turn_id=name,
            service="s",
            prompt_tokens=500,
            expected_tokens=tokens,
            goal_left_s=0.9,
            wait_left_s=3.6,
            deadline_left_s=deadline_s,
            is_resumed=bool(version),
            version=version,
            content=name,
            **fields,
        )
        self.dispatcher.enqueue(request, "n")
        self.run(0.06)
        return self.outcomes.get(name)

    def begin(self, name, **fields):
        """Begin a stream at d0."""
        others = ("d1", "d2")
        turn = self.ask(name, avoid=others, exclude=others, **fields)
        assert turn.decode_id == "d0"
        self.dispatcher.record_prefill(name, seconds=0.05)
        self.dispatcher.record_start(name)

    def stranded(self):
        return self.dispatcher.stranded_streams(drain_s=DRAIN_S)

    def change_role(self, key):
        self.dispatcher.engines.record_role_change(key, role=EngineRole.DECODE, slack_s=3.0)

    def finish_change(self, key):
        self.engines[key] = attrs.evolve(self.engines[key], role=EngineRole.DECODE)
        self.run()


@pytest.fixture
def bench():
    return Bench()


def take_up(bench, name, **fields):
    return bench.ask(name, version="v1", avoid=("d1", "d2"), exclude=("d1", "d2"), **fields)


# Streams of a leaving engine were cut, as nobody saw that no other engine could continue them.
def test_runs_that_outlive_the_last_decode_engine_of_their_version_are_stranded(bench):
    bench.begin("long")
    bench.begin("short", tokens=100)
    bench.begin("soon given up", tokens=600, deadline_s=4.0)
    assert bench.stranded() == {}
    del bench.engines["d0"]
    bench.run()
    assert bench.stranded() == {"v1": 1}
    bench.change_role("p0")
    assert bench.stranded() == {}


def test_runs_of_a_version_with_another_decode_engine_are_not_stranded(bench):
    bench.begin("long")
    bench.engines["d3"] = engine("d3")
    bench.run()
    del bench.engines["d0"]
    bench.run()
    assert bench.stranded() == {}


# They were told to come back after 2 s, whatever a change of a role takes.
def test_take_up_is_told_when_its_version_will_have_a_decode_engine(bench):
    del bench.engines["d0"]
    bench.run()
    refusal = take_up(bench, "a")
    assert isinstance(refusal, Refusal) and refusal.reason is RefusalReason.VERSION_GONE
    assert refusal.retry_after_s == pytest.approx(PROFILE.role_change_s + 0.5, abs=0.5)
    bench.change_role("p0")
    bench.run(1.0)
    refusal = take_up(bench, "b")
    assert refusal.retry_after_s == pytest.approx(PROFILE.role_change_s - 1.0, abs=0.1)
    del bench.engines["p0"], bench.engines["p1"]
    bench.run()
    assert take_up(bench, "c").retry_after_s == 2.0  # only a crashed engine may return


def test_take_up_waits_for_a_change_that_ends_in_time_and_holds_up_nobody(bench):
    del bench.engines["d0"]
    bench.run()
    bench.change_role("p0")
    bench.run(PROFILE.role_change_s - 2.0)
    assert take_up(bench, "a", tokens=100) is None
    for number in range(20):  # more than are considered for one grant
        take_up(bench, f"w{number}", tokens=100)
    assert isinstance(bench.ask("new", tokens=100), Turn)
    assert isinstance(bench.ask("again", tokens=100, avoid=("d1",)), Turn)
    bench.run(1.0)
    bench.finish_change("p0")
    assert bench.outcomes["a"].decode_id == "p0"


# An engine that has crashed is back sooner than a change of a role is done.
def test_broken_streams_count_once_their_engine_has_not_returned(bench):
    del bench.engines["d0"]
    bench.run()
    for _ in range(2):
        take_up(bench, "a", deadline_s=30.0)
    take_up(bench, "b", deadline_s=30.0)
    take_up(bench, "c", deadline_s=3.0)
    assert bench.stranded() == {}
    bench.run(5.0)
    assert bench.stranded() == {"v1": 2}
    bench.run(30.0)
    assert bench.stranded() == {}


def plan(names, stranded, *, cost=FREE, load=0.5):
    engines = [engine(*name.split()) for name in names]
    changes = RolePlanner().plan_continuations(
        engines, stranded, cost=cost, load=load, change_s=6.0
    )
    return [(change.engine.key, change.role) for change in changes]


@pytest.mark.parametrize(
    ("names", "changed"),
    [
        (["p0", "p1", "d1 v2"], ["p1"]),
        (["p0", "p1 v2", "d1 v2"], ["p0"]),
        (["p0", "d1 v2", "d2 v2"], []),  # the last prefill engine stays
        (["p0 v2", "p1 v2", "d1 v2"], []),
    ],
)
def test_prefill_engine_of_the_version_changes_its_role(names, changed):
    assert plan(names, {"v1": 1}) == [(name, EngineRole.DECODE) for name in changed]


def test_each_of_two_versions_gets_a_decode_engine_while_a_prefill_engine_is_left():
    names = ["p0", "p1 v2", "p2 v3", "d1 v3"]
    assert [key for key, _ in plan(names, {"v1": 1, "v2": 2})] == ["p1", "p0"]
    assert [key for key, _ in plan([*names[:2], names[3]], {"v1": 1, "v2": 2})] == ["p1"]


def test_needed_prefill_engine_changes_only_for_more_streams_than_it_serves():
    names = ["p0", "p1", "d1 v2", "d2 v2"]
    assert plan(names, {"v1": 2}, cost=SCARCE, load=0.9) == []
    assert [key for key, _ in plan(names, {"v1": 30}, cost=SCARCE, load=0.9)] == ["p1"]
    assert [key for key, _ in plan(names, {"v1": 2}, cost=None)] == ["p1"]
