"""Measured model of engines."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flamingoshelf.placement._engine_model import EngineModel
from flamingoshelf.placement._linear_fit import LinearFit


@pytest.fixture
def model():
    return EngineModel(service="s")


def test_nothing_is_known_before_the_first_measurement(model):
    assert model.prefill_s(1_000) is None
    assert model.s_per_token(1) is None
    assert model.tokens_per_event is None
    assert model.mean_run_s is None
    assert model.request_cost(capacity_tokens=1_000, slots=1) is None


def test_estimates_of_callers_give_the_tokens_per_event_until_engines_count_them(model):
    rng = random.Random(1)
    for _ in range(64):
        hint = max(1, round(70 * 50 * rng.lognormvariate(0, 0.5)))
        model.record_answer(prompt_tokens=100, expected_tokens=hint, events=50)
    assert model.tokens_per_event == pytest.approx(70, rel=0.2)
    for _ in range(4):
        model.record_counted_run(tokens=16 * 10 + 8, events=10)
    assert model.tokens_per_event == pytest.approx(16, rel=0.05)
    model.record_answer(prompt_tokens=100, expected_tokens=9_999, events=1)
    assert model.tokens_per_event == pytest.approx(16, rel=0.05)


def test_reported_run_without_events_says_nothing(model):
    for _ in range(10):
        model.record_counted_run(tokens=0, events=10)
        model.record_counted_run(tokens=500, events=0)
    assert model.tokens_per_event is None


def test_single_event_has_no_speed(model):
    assert model.record_speed(events=1, seconds=0.0, runs=1) is None
    assert model.event_interval_s(1) is None


def test_speed_depends_on_the_runs_that_share_the_engine(model):
    for runs in (1, 20, 40, 60) * 10:
        model.record_speed(events=11, seconds=10 * (0.02 + 0.001 * runs), runs=runs)
    assert model.event_interval_s(1) == pytest.approx(0.021, rel=0.05)
    assert model.event_interval_s(60) == pytest.approx(0.08, rel=0.05)


def test_cost_follows_from_all_requests_as_short_answers_end_first(model):
    model.record_prefill(prompt_tokens=3_000, seconds=0.1)
    for _ in range(20):
        model.record_request(prompt_tokens=3_000, expected_tokens=600)
    for _ in range(3):
        model.record_speed(events=11, seconds=0.4, runs=3)
        model.record_answer(prompt_tokens=3_000, expected_tokens=88, events=11)
    cost = model.request_cost(capacity_tokens=30_000, slots=100)
    assert cost is not None
    assert cost.decode_s == pytest.approx((3_000 + 300) * 600 * 0.005 / 30_000)


def test_measurements_are_handed_on_to_a_model_that_has_fewer(model):
    for _ in range(30):
        model.record_prefill(prompt_tokens=1_000, seconds=0.1)
        model.record_speed(events=11, seconds=1.0, runs=3)
        model.record_request(prompt_tokens=1_000, expected_tokens=110)
        model.record_answer(prompt_tokens=1_000, expected_tokens=110, events=11)
    new = EngineModel(service="s")
    assert not EngineModel(service="other").adopt(model.state)
    assert new.adopt(model.state)
    assert new.prefill_s(1_000) == model.prefill_s(1_000)
    assert new.s_per_token(3) == model.s_per_token(3)
    assert new.request_cost(capacity_tokens=9_000, slots=8) == model.request_cost(
        capacity_tokens=9_000, slots=8
    )
    new.record_prefill(prompt_tokens=1_000, seconds=5.0)  # both go on independently
    assert model.prefill_s(1_000) == pytest.approx(0.1)
    assert not new.adopt(model.state)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    intercept=st.floats(0, 2),
    slope=st.floats(0, 1e-3),
    xs=st.lists(st.integers(1, 100_000), min_size=20, max_size=20),
)
def test_fit_finds_the_line_through_exact_points(intercept, slope, xs):
    """After 20 points, the line is right to a fifth between the points."""
    fit = LinearFit(is_proportional=True)
    for x in xs:
        fit.add(x, intercept + slope * x)
    for x in xs:
        expected = intercept + slope * x
        assert fit.predict(x) == pytest.approx(expected, rel=0.2, abs=0.2 * fit.mean_y)


def test_fit_follows_a_change():
    fit = LinearFit(is_proportional=True)
    for x in (1_000, 2_000, 3_000) * 30:
        fit.add(x, x * 1e-4)
    for x in (1_000, 2_000, 3_000) * 60:
        fit.add(x, x * 4e-4)
    assert fit.predict(2_000) == pytest.approx(0.8, rel=0.1)
