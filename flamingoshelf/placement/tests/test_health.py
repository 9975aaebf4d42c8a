"""Engines that crash, fall silent, or fail a part of their requests."""

import pytest

from flamingoshelf.placement import FailureKind, RunOutcome
from flamingoshelf.placement._health import HealthBook
from flamingoshelf.placement.tests.simulation import Simulation, notes


@pytest.fixture
def book():
    return HealthBook()


def fail(book, kind, now_s=0.0):
    book.note_failure("e", kind, now_s=now_s, detail="x")


def test_unreachable_engine_gets_no_work_until_it_answers_a_probe(book):
    fail(book, FailureKind.UNREACHABLE)
    assert book.is_down("e", 0.0)
    for step in range(1, 20):
        now_s = step * 0.31
        assert book.due_probes(now_s) == ["e"]
        book.note_probe("e", is_answered=False, now_s=now_s)
        assert book.is_down("e", now_s)
    book.note_probe("e", is_answered=True, now_s=6.0)
    assert not book.is_down("e", 6.0)
    assert book.due_probes(7.0) == []


@pytest.mark.parametrize("kind", [FailureKind.BROKE_OFF, FailureKind.SILENT])
def test_engine_that_lost_an_answer_is_probed_and_used_meanwhile(book, kind):
    fail(book, kind)
    assert not book.is_down("e", 0.0)
    assert book.due_probes(0.0) == ["e"]
    book.note_probe("e", is_answered=True, now_s=0.1)
    assert not book.is_down("e", 0.1)


def test_silent_engine_that_answers_no_probe_is_down(book):
    fail(book, FailureKind.SILENT)
    book.due_probes(0.0)
    book.note_probe("e", is_answered=False, now_s=0.4)
    assert book.is_down("e", 0.4)


def test_replaced_engine_gets_no_work_while_its_entry_outlives_it(book):
    """It crashed and came back under another identity at the same address."""
    fail(book, FailureKind.REPLACED)
    book.note_success("e", now_s=0.1)  # of a call that was answered before
    book.note_probe("e", is_answered=True, now_s=0.2)
    assert book.is_down("e", 10.0)
    assert book.due_probes(10.0) == []
    book.forget("e")
    assert not book.is_down("e", 10.0)


def test_engine_that_nobody_probes_is_tried_again(book):
    fail(book, FailureKind.UNREACHABLE)
    assert not book.is_down("e", 3.1)


def test_engine_that_fails_a_part_of_its_calls_is_used_last(book):
    for _ in range(6):
        fail(book, FailureKind.BROKE_OFF)
        book.note_success("e", now_s=0.0)
    assert book.tier("e", 0.0) > 0
    assert book.tier("other", 0.0) == 0
    assert book.tier("e", 30.0) == 0  # forgotten after some time


def test_one_lost_answer_does_not_move_an_engine_far(book):
    fail(book, FailureKind.BROKE_OFF)
    for _ in range(2):
        book.note_success("e", now_s=0.0)
    assert book.tier("e", 0.0) == 0


def test_both_prefill_engines_that_lose_answers_go_on(monkeypatch):
    """Answers of prefill engines are reset: 40 in 100 in a burst of twice the usual."""
    calls = notes(16, seconds=5, seed=4)
    played = Simulation(calls, prefills=[1, 1], decodes=[1] * 7)
    lost = []

    def lose(simulation):
        engines = simulation.dispatcher.engines
        if round(simulation.now * 200) % 20 == 0 and simulation.now < 5:
            lost.append(simulation.now)
            engines.note_failure(f"p{len(lost) % 2}", FailureKind.BROKE_OFF, detail="reset")

    played.run(30, on_step=lose)
    assert len(lost) > 40
    assert sum(call.is_on_time for call in calls) > 0.85 * len(calls)


def test_run_that_broke_off_after_some_events_does_not_speak_for_its_engine():
    """A crashed engine got work again as soon as the tokens of its lost runs were reported."""
    calls = notes(9, seconds=5)
    played = Simulation(calls, prefills=[1, 1, 1], decodes=[1] * 6).run(4)
    lost = next(iter(played.decodes["d0"].runs))
    engines = played.dispatcher.engines
    engines.note_failure("d0", FailureKind.UNREACHABLE, detail="refused")
    played.dispatcher.release(lost, tokens=40, seconds=1.0)
    assert not engines.is_usable("d0")
    other = next(iter(played.decodes["d0"].runs.keys() - {lost}))
    played.dispatcher.release(other, tokens=40, seconds=1.0, outcome=RunOutcome.COMPLETE)
    assert engines.is_usable("d0")
