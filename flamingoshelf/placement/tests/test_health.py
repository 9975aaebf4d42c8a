"""Engines that crash, stall, or fail a part of their calls."""

import pytest

from flamingoshelf.placement import FailureKind, RunOutcome
from flamingoshelf.placement._health import HealthTracker
from flamingoshelf.placement.tests.simulation import Simulation, make_calls


@pytest.fixture
def tracker():
    return HealthTracker()


def fail(tracker, kind, now_s=0.0):
    tracker.record_failure("e", kind, now_s=now_s, detail="x")


def test_unreachable_engine_gets_no_work_until_it_answers_a_probe(tracker):
    fail(tracker, FailureKind.UNREACHABLE)
    assert tracker.is_down("e", 0.0)
    for step in range(1, 20):
        now_s = step * 0.31
        assert tracker.due_probes(now_s) == ["e"]
        tracker.record_probe("e", is_answered=False, now_s=now_s)
        assert tracker.is_down("e", now_s)
    tracker.record_probe("e", is_answered=True, now_s=6.0)
    assert not tracker.is_down("e", 6.0)
    assert tracker.due_probes(7.0) == []


@pytest.mark.parametrize("kind", [FailureKind.BROKE_OFF, FailureKind.SILENT])
def test_engine_that_lost_an_answer_is_probed_and_used_meanwhile(tracker, kind):
    fail(tracker, kind)
    assert not tracker.is_down("e", 0.0)
    assert tracker.due_probes(0.0) == ["e"]
    tracker.record_probe("e", is_answered=True, now_s=0.1)
    assert not tracker.is_down("e", 0.1)


def test_silent_engine_that_answers_no_probe_is_down(tracker):
    fail(tracker, FailureKind.SILENT)
    tracker.due_probes(0.0)
    tracker.record_probe("e", is_answered=False, now_s=0.4)
    assert tracker.is_down("e", 0.4)


def test_replaced_engine_gets_no_work_while_it_is_still_listed(tracker):
    """The engine crashed and came back with another key at the same address."""
    fail(tracker, FailureKind.REPLACED)
    tracker.record_success("e", now_s=0.1)  # late success of an earlier call
    tracker.record_probe("e", is_answered=True, now_s=0.2)
    assert tracker.is_down("e", 10.0)
    assert tracker.due_probes(10.0) == []
    tracker.remove("e")
    assert not tracker.is_down("e", 10.0)


def test_unprobed_engine_that_is_down_gets_work_again(tracker):
    fail(tracker, FailureKind.UNREACHABLE)
    assert not tracker.is_down("e", 3.1)


def test_engine_that_fails_a_part_of_its_calls_is_used_last(tracker):
    for _ in range(6):
        fail(tracker, FailureKind.BROKE_OFF)
        tracker.record_success("e", now_s=0.0)
    assert tracker.tier("e", 0.0) > 0
    assert tracker.tier("other", 0.0) == 0
    assert tracker.tier("e", 30.0) == 0  # the failure rate decays


def test_one_lost_answer_does_not_lower_the_tier(tracker):
    fail(tracker, FailureKind.BROKE_OFF)
    for _ in range(2):
        tracker.record_success("e", now_s=0.0)
    assert tracker.tier("e", 0.0) == 0


def test_both_prefill_engines_that_lose_answers_stay_in_use(monkeypatch):
    """In a burst of twice the usual load, 40 of 100 answers of prefill engines are reset."""
    calls = make_calls(16, seconds=5, seed=4)
    sim = Simulation(calls, prefills=[1, 1], decodes=[1] * 7)
    lost = []

    def fail_call(simulation):
        engines = simulation.dispatcher.engines
        if round(simulation.now * 200) % 20 == 0 and simulation.now < 5:
            lost.append(simulation.now)
            engines.record_failure(f"p{len(lost) % 2}", FailureKind.BROKE_OFF, detail="reset")

    sim.run(30, on_step=fail_call)
    assert len(lost) > 40
    assert sum(call.is_on_time for call in calls) > 0.85 * len(calls)


def test_run_that_broke_off_does_not_mark_its_engine_healthy():
    """Tokens reported for the broken runs of a crashed engine must not mark it up again."""
    calls = make_calls(9, seconds=5)
    sim = Simulation(calls, prefills=[1, 1, 1], decodes=[1] * 6).run(4)
    lost = next(iter(sim.decodes["d0"].runs))
    engines = sim.dispatcher.engines
    engines.record_failure("d0", FailureKind.UNREACHABLE, detail="refused")
    sim.dispatcher.release(lost, events=5, seconds=1.0)
    assert not engines.is_usable("d0")
    other = next(iter(sim.decodes["d0"].runs.keys() - {lost}))
    sim.dispatcher.release(other, events=5, seconds=1.0, outcome=RunOutcome.COMPLETE)
    assert engines.is_usable("d0")


def test_calls_that_one_silence_ended_count_once(tracker):
    """Guards against a sound engine that is used last, as all of its runs stalled at once."""
    for _ in range(10):
        fail(tracker, FailureKind.BROKE_OFF)
    assert tracker.tier("e", 0.0) == 1
    tracker.record_success("e", now_s=0.1)
    assert tracker.tier("e", 0.1) == 0


def test_failures_at_an_engine_that_answers_between_them_count_each(tracker):
    """Guards against an engine that answers probes and fails most calls, and is not used last."""
    for step in range(4):
        fail(tracker, FailureKind.BROKE_OFF, now_s=0.3 * step)
        tracker.record_probe("e", is_answered=True, now_s=0.3 * step + 0.01)
    assert tracker.tier("e", 1.0) == 2


def test_silence_that_probes_confirm_is_no_failure_rate(tracker):
    """Guards against an engine that is used last after its silence, for which it was down."""
    fail(tracker, FailureKind.BROKE_OFF)
    tracker.record_probe("e", is_answered=False, now_s=0.4)
    fail(tracker, FailureKind.BROKE_OFF, now_s=0.9)
    assert tracker.is_down("e", 0.9)
    tracker.record_probe("e", is_answered=True, now_s=1.0)
    assert not tracker.is_down("e", 1.0)
    assert tracker.tier("e", 1.0) == 0


def test_failures_before_a_silence_still_count_after_it(tracker):
    """Guards against an engine whose failed calls are forgotten, as a probe of it was lost."""
    for _ in range(6):
        fail(tracker, FailureKind.BROKE_OFF)
        tracker.record_success("e", now_s=0.0)
    before = tracker.tier("e", 0.5)
    fail(tracker, FailureKind.BROKE_OFF, now_s=0.1)
    tracker.record_probe("e", is_answered=False, now_s=0.5)
    tracker.record_probe("e", is_answered=True, now_s=0.5)
    assert tracker.tier("e", 0.5) == before > 0


def test_silent_engine_that_is_down_is_expected_back_for_a_moment(tracker):
    """Guards against refusals for lack of memory that is back within a second."""
    fail(tracker, FailureKind.SILENT)
    assert not tracker.is_expected_back("e", 0.3)  # it is still in use
    tracker.record_probe("e", is_answered=False, now_s=0.4, seconds=0.4)
    assert tracker.is_expected_back("e", 0.5)
    tracker.record_probe("e", is_answered=False, now_s=0.7, seconds=0.4)
    assert not tracker.is_expected_back("e", 1.5)


@pytest.mark.parametrize("seconds", [0.0, 0.4])
def test_crashed_engine_is_not_expected_back(tracker, seconds):
    """Guards against requests that wait for the memory of an engine that has crashed."""
    fail(tracker, FailureKind.BROKE_OFF)
    tracker.record_probe("e", is_answered=False, now_s=0.4, seconds=seconds)
    fail(tracker, FailureKind.UNREACHABLE, now_s=0.5)
    assert tracker.is_down("e", 0.5)
    assert not tracker.is_expected_back("e", 0.5)


def test_engine_that_refuses_a_probe_is_not_expected_back(tracker):
    """Guards against requests that wait for the memory of an engine that has crashed."""
    fail(tracker, FailureKind.BROKE_OFF)
    tracker.record_probe("e", is_answered=False, now_s=0.01, seconds=0.01)
    assert tracker.is_down("e", 0.01)
    assert not tracker.is_expected_back("e", 0.01)


def test_probe_that_fails_after_a_call_succeeded_does_not_mark_the_engine_down(tracker):
    """Guards against an engine that gets no work, as a probe of before its answer ends late."""
    fail(tracker, FailureKind.SILENT)
    tracker.record_success("e", now_s=0.3)
    tracker.record_probe("e", is_answered=False, now_s=0.4, seconds=0.4)
    assert not tracker.is_down("e", 0.4)


def test_first_event_ends_the_silence_of_an_engine(tracker):
    """Guards against an engine that gets no work until the next probe, though it has answered."""
    fail(tracker, FailureKind.SILENT)
    tracker.record_probe("e", is_answered=False, now_s=0.4, seconds=0.4)
    tracker.record_first_event("e", now_s=0.6)
    assert not tracker.is_down("e", 0.6)
    assert tracker.due_probes(0.7) == ["e"]  # a late message may tell of an earlier event
    tracker.record_probe("e", is_answered=False, now_s=0.7, seconds=0.4)  # sent before the event
    assert not tracker.is_down("e", 0.7)
    tracker.record_probe("e", is_answered=False, now_s=1.1, seconds=0.4)
    assert tracker.is_down("e", 1.1)


def test_late_message_about_a_first_event_does_not_mark_a_crashed_engine_up(tracker):
    """Guards against work for a crashed engine, whose last event is reported after the crash."""
    fail(tracker, FailureKind.UNREACHABLE)
    tracker.record_first_event("e", now_s=0.01)
    assert tracker.is_down("e", 0.01)
