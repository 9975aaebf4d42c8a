"""Requests that avoid engines which failed them."""

import random

from flamingoshelf.placement import Dispatcher, FailureKind, PlacementRequest, Turn
from flamingoshelf.placement._decisions import TurnDecided
from flamingoshelf.placement.tests.simulation import PROFILE, add_reference_measurements
from flamingoshelf.refusals import Refusal
from flamingoshelf.routing import BackendInstance, EngineRole


class Bench:
    """A dispatcher with measured engines, a paused clock and requests that avoid engines."""

    def __init__(self, *, prefills=2, decodes=1):
        self.now = 100.0
        names = [*(f"p{n}" for n in range(prefills)), *(f"d{n}" for n in range(decodes))]
        self.engines = [
            BackendInstance(
                instance_id=name,
                service="s",
                address=f"{name}:80",
                data_centre="a",
                role=EngineRole.PREFILL if name.startswith("p") else EngineRole.DECODE,
            )
            for name in names
        ]
        self.leaving: list[BackendInstance] = []
        self.dispatcher = Dispatcher(
            service="s",
            instances=lambda: self.engines,
            leaving=lambda: self.leaving,
            profile=lambda: PROFILE,
            random_source=random.Random(1),
            clock=lambda: self.now,
        )
        add_reference_measurements(self.dispatcher.model)
        self.dispatcher.decide()

    def ask(self, name, *, avoid=(), exclude=(), prompt_tokens=1000, is_resumed=False):
        request = PlacementRequest(
            turn_id=name,
            service="s",
            prompt_tokens=prompt_tokens,
            expected_tokens=100,
            goal_left_s=0.9,
            wait_left_s=3.6,
            deadline_left_s=14.0,
            avoid=(*avoid, *exclude),
            exclude=exclude,
            is_resumed=is_resumed,
        )
        self.dispatcher.enqueue(request, "n")

    def fail(self, engine, kind=FailureKind.BROKE_OFF):
        self.dispatcher.engines.record_failure(engine, kind, detail="x")

    def answer_probe(self, engine):
        self.dispatcher.engines.health.record_probe(engine, is_answered=True, now_s=self.now)

    def granted(self):
        """Return the prefill and decode engine of each request that is granted now."""
        return {
            decision.turn_id: (decision.outcome.prefill_id, decision.outcome.decode_id)
            for decision in self.dispatcher.decide()
            if isinstance(decision, TurnDecided) and isinstance(decision.outcome, Turn)
        }


def test_engine_is_not_reserved_for_a_request_that_avoids_it():
    """Guards against an idle engine: a stalled stream reserved the engine that it had left."""
    bench = Bench()
    bench.fail("d0")
    bench.ask("stalled", avoid=("d0",), is_resumed=True)
    bench.ask("other")
    assert list(bench.granted()) == ["other"]


def test_requests_that_avoid_an_engine_do_not_stop_those_that_do_not():
    """Guards against a queue that stops at the first request without an engine left to reserve."""
    bench = Bench(decodes=2)
    bench.fail("d0")
    bench.fail("d1")
    for number in range(3):
        bench.ask(f"stalled{number}", avoid=("d0", "d1"), is_resumed=True)
    bench.ask("other")
    assert list(bench.granted()) == ["other"]


def test_many_stalled_streams_do_not_hide_the_requests_behind_them():
    """Guards against an idle engine while a dozen streams that left it wait for the others."""
    bench = Bench(decodes=2)
    bench.ask("first", avoid=("d0",), prompt_tokens=32_000)  # fills the engine
    assert [engines[1] for engines in bench.granted().values()] == ["d1"]
    for number in range(12):
        bench.ask(f"stalled{number}", avoid=("d0",), is_resumed=True)
    bench.ask("other")
    assert list(bench.granted()) == ["other"]


def test_engine_is_reserved_for_an_earlier_request_that_may_use_it():
    """Guards against long prompts that never start, as shorter ones take the memory first."""
    bench = Bench(decodes=1)
    bench.ask("first", prompt_tokens=20_000)
    assert list(bench.granted()) == ["first"]
    bench.ask("long", prompt_tokens=20_000, is_resumed=True)
    bench.ask("short", prompt_tokens=100)
    assert bench.granted() == {}


def test_request_that_avoids_all_engines_gets_one_that_is_sound_again():
    """Guards against a request that waits in vain: the only engines were silent for a second."""
    bench = Bench(prefills=1, decodes=1)
    bench.fail("p0")
    bench.fail("d0")
    bench.ask("stalled", avoid=("p0", "d0"))
    assert bench.granted() == {}  # neither has answered since
    bench.answer_probe("p0")
    assert bench.granted() == {}
    bench.answer_probe("d0")
    assert bench.granted() == {"stalled": ("p0", "d0")}


def test_request_that_avoids_an_engine_waits_while_another_one_is_only_full():
    """Guards against a second failure at an engine that fails some calls."""
    bench = Bench(prefills=1, decodes=2)
    bench.ask("first", avoid=("d0",), prompt_tokens=32_000)  # fills the engine
    assert bench.granted() == {"first": ("p0", "d1")}
    bench.ask("again", avoid=("d0",))
    assert bench.granted() == {}


def test_request_uses_an_engine_that_it_avoids_if_all_others_are_down():
    """Guards against a request that waits for a crashed engine while a sound one is idle."""
    bench = Bench(prefills=1, decodes=2)
    bench.ask("again", avoid=("d0",))
    bench.fail("d1", FailureKind.UNREACHABLE)
    assert bench.granted() == {"again": ("p0", "d0")}


def test_engine_whose_run_begins_is_in_use_at_once():
    """Guards against an idle engine that has answered a run, but not yet the next probe."""
    bench = Bench(prefills=1, decodes=1)
    bench.ask("first")
    assert list(bench.granted()) == ["first"]
    bench.dispatcher.record_prefill("first", seconds=0.05)
    bench.fail("d0", FailureKind.SILENT)
    health = bench.dispatcher.engines.health
    health.record_probe("d0", is_answered=False, now_s=bench.now, seconds=0.4)
    bench.ask("second")
    assert bench.granted() == {}
    bench.dispatcher.record_start("first")
    assert bench.granted() == {"second": ("p0", "d0")}


def test_suspected_engine_is_used_if_no_other_has_room():
    """Guards against a queue in front of a sound engine that made one pause."""
    bench = Bench(prefills=1, decodes=2)
    bench.fail("d0", FailureKind.SILENT)
    bench.ask("first", prompt_tokens=32_000)  # fills the engine
    assert bench.granted() == {"first": ("p0", "d1")}
    bench.dispatcher.record_prefill("first", seconds=1.0)
    bench.ask("second")
    assert bench.granted() == {"second": ("p0", "d0")}


# A stream whose version has left waited for memory of engines that can't continue it.
def test_request_that_excludes_all_decode_engines_is_refused_at_once():
    bench = Bench(decodes=2)
    bench.ask("a", exclude=("d0", "d1"), is_resumed=True)
    decided = [d for d in bench.dispatcher.decide() if isinstance(d, TurnDecided)]
    assert [d.turn_id for d in decided] == ["a"]
    assert isinstance(decided[0].outcome, Refusal)


# A take-up waited behind new streams that other engines could have run.
def test_resumed_stream_gets_the_room_at_the_only_engine_that_can_continue_it():
    bench = Bench(prefills=3, decodes=2)
    for number in range(40):
        bench.ask(f"new{number}", prompt_tokens=3000)
    bench.ask("resumed", exclude=("d1",), prompt_tokens=3000, is_resumed=True)
    assert bench.granted()["resumed"][1] == "d0"


# While all engines of a version left, its streams could not go on, though these still served.
def test_leaving_engine_continues_a_stream_that_no_other_one_can():
    bench = Bench(prefills=3, decodes=2)
    bench.leaving = [bench.engines.pop()]
    bench.ask("new")
    assert bench.granted()["new"][1] == "d0"
    bench.ask("resumed", exclude=("d0",), is_resumed=True)
    assert bench.granted()["resumed"][1] == "d1"
    bench.ask("other", exclude=("d0", "d1"), is_resumed=True)
    assert "other" not in bench.granted()
