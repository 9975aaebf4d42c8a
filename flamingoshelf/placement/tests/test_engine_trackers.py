"""Load trackers of prefill and decode engines."""

import pytest

from flamingoshelf.placement._engine_model import EngineModel
from flamingoshelf.placement._engine_trackers import DecodeEngineTracker, PrefillEngineTracker
from flamingoshelf.placement.tests.simulation import add_reference_measurements


@pytest.fixture
def model():
    model = EngineModel(service="s")
    add_reference_measurements(model)
    return model


@pytest.fixture
def prefill(model):
    return PrefillEngineTracker(model=model)


@pytest.fixture
def decode(model):
    tracker = DecodeEngineTracker(model=model)
    tracker.resize(capacity_tokens=30_000, slots=48)
    return tracker


def test_runs_reduce_the_free_memory(decode):
    decode.add("a", 20_000, 1_000)
    assert not decode.fits(10_000, 100, 0.0)
    assert decode.fits(5_000, 100, 0.0)
    decode.remove("a")
    assert decode.fits(10_000, 100, 0.0)


def test_abandoned_run_keeps_its_memory_until_its_expected_end(decode):
    decode.add("a", 20_000, 1_000)
    decode.abandon("a", 0.0)
    expected_s = 1_000 * decode.s_per_token
    decode.drop_abandoned(0.9 * expected_s)
    assert not decode.fits(10_000, 100, 0.9 * expected_s)
    decode.drop_abandoned(1.3 * expected_s)
    assert decode.fits(10_000, 100, 1.3 * expected_s)
    decode.abandon("a", 10.0)  # unknown by now, as after a restart of the engine
    assert decode.runs == 0


def test_slots_limit_concurrent_runs(decode):
    decode.resize(capacity_tokens=30_000, slots=1)
    decode.add("a", 10, 10)
    assert not decode.fits(10, 10, 0.0)


def test_answer_beyond_its_expected_length_keeps_a_memory_reserve(decode):
    decode.add("a", 1_000, 100)
    decode.start("a", 0.0)
    late = decode.used_tokens(10.0)
    assert late > 1_000 + 10.0 / decode.s_per_token


def test_speed_converges_to_the_measured_one(decode):
    for _ in range(30):
        decode.add("a", 1_000, 100)
        decode.record_speed(events=101, seconds=100 * 8 * 0.0265)
        decode.remove("a")
    assert decode.s_per_token == pytest.approx(0.0265, rel=0.01)


def record_snapshots(tracker, seconds, *, start_s=0.0):
    for step in range(round(seconds * 10)):
        tracker.record_snapshot(start_s + step / 10)
    return start_s + seconds


def test_load_reports_reveal_runs_of_other_dispatchers(decode):
    """During a network partition, several dispatchers use the same engines."""
    decode.add("a", 5_000, 600)
    decode.start("a", 0.0)
    now_s = record_snapshots(decode, 2.0)
    decode.record_report(15_000 + 5_200, now_s)
    assert not decode.fits(12_000, 100, now_s)
    assert decode.fits(5_000, 100, now_s)
    # The last report expires when no further report comes.
    assert decode.fits(12_000, 100, now_s + 3.0)


def test_own_runs_in_a_report_are_not_counted_twice(decode):
    decode.add("a", 10_000, 600)
    decode.start("a", 0.0)
    now_s = record_snapshots(decode, 2.0)
    free = decode.free_tokens(now_s)
    decode.record_report(10_200, now_s)
    assert decode.free_tokens(now_s) == pytest.approx(free, abs=1)


def test_report_from_before_a_run_began_does_not_hide_it(decode):
    now_s = record_snapshots(decode, 2.0)
    decode.add("a", 10_000, 600)
    decode.start("a", now_s)
    decode.record_report(0, now_s + 0.1)
    assert not decode.fits(25_000, 100, now_s + 0.1)


def test_prefill_waits_for_prompts_assigned_before(prefill):
    tracker = prefill
    assert tracker.wait_s(0.0) == 0.0
    tracker.add_prompt("a", 3_300, 0.0)
    tracker.add_prompt("b", 3_300, 0.0)
    assert tracker.wait_s(0.0) == pytest.approx(2 * tracker.work_s(3_300))
    assert tracker.wait_s(0.1) < tracker.wait_s(0.0)
    tracker.remove_prompt("a", now_s=0.12, seconds=0.124)
    tracker.remove_prompt("b", now_s=0.25, seconds=0.25)
    assert tracker.wait_s(0.25) == 0.0


def test_only_prompts_sent_to_an_idle_engine_update_the_speed(prefill):
    tracker = prefill
    before = tracker.work_s(3_300)
    tracker.add_prompt("a", 3_300, 0.0)
    tracker.add_prompt("b", 3_300, 0.0)
    tracker.remove_prompt("b", now_s=0.3, seconds=0.3)
    assert tracker.work_s(3_300) == before
    tracker.remove_prompt("a", now_s=0.3, seconds=0.224)
    assert tracker.work_s(3_300) > before


def test_backoff_doubles_with_each_refusal_up_to_a_maximum(decode):
    now_s = 10.0
    pauses = []
    for _ in range(6):
        decode.record_rejection(now_s)
        assert not decode.fits(10, 10, now_s)
        began_s = now_s
        while not decode.fits(10, 10, now_s):
            now_s += 0.01
        pauses.append(round(now_s - began_s, 1))
    assert pauses == [0.4, 0.8, 1.6, 3.2, 3.2, 3.2]


def test_simultaneous_refusals_count_once(decode):
    for _ in range(20):
        decode.record_rejection(10.0)
    assert decode.fits(10, 10, 10.5)


def test_started_run_ends_the_backoff(decode):
    decode.add("a", 10, 10)
    decode.record_rejection(10.0)
    decode.start("a", 10.1)
    assert decode.fits(10, 10, 10.1)


def test_prefill_engine_is_in_backoff_after_a_refusal(prefill):
    prefill.record_rejection(10.0)
    assert not prefill.accepts_work(10.3, max_wait_s=0.06)
    assert prefill.accepts_work(10.5, max_wait_s=0.06)


def test_engine_of_unknown_speed_processes_one_prompt_at_a_time():
    tracker = PrefillEngineTracker(model=EngineModel(service="s"))
    assert tracker.accepts_work(0.0, max_wait_s=0.0)
    tracker.add_prompt("a", 1_000, 0.0)
    assert not tracker.accepts_work(0.1, max_wait_s=1.0)
    tracker.remove_prompt("a", now_s=0.5, seconds=0.5)
    assert tracker.accepts_work(0.5, max_wait_s=0.0)
    assert tracker.work_s(1_000) == pytest.approx(0.5)


def test_timeout_of_a_prefill_shows_that_the_engine_is_slow(prefill):
    before = prefill.work_s(3_300)
    prefill.add_prompt("a", 3_300, 0.0)
    prefill.record_timeout("a", seconds=0.5 * before)  # shorter than expected: says nothing
    assert prefill.work_s(3_300) == before
    prefill.record_timeout("a", seconds=4 * before)
    assert prefill.work_s(3_300) > 1.3 * before


def test_runs_of_unknown_speed_hold_what_was_reserved():
    tracker = DecodeEngineTracker(model=EngineModel(service="s"))
    tracker.resize(capacity_tokens=30_000, slots=48)
    tracker.add("a", 5_000, 1_000)
    tracker.start("a", 0.0)
    assert tracker.used_tokens(0.0) == tracker.used_tokens(60.0) > 5_000
