"""Prefill timeouts for engines that are slow, and for answers lost without a connection reset."""

import pytest

from flamingoshelf.gateway._prefill_timeout import prefill_timeout_s

GOAL_S = 0.9


@pytest.mark.parametrize("expected_s", [0.03, 0.1, 0.15, 0.2, 0.25])
def test_a_repeat_is_within_the_goal(expected_s):
    assert prefill_timeout_s(expected_s, GOAL_S) + expected_s < GOAL_S


@pytest.mark.parametrize("expected_s", [0.03, 0.1, 0.15, 0.3, 0.5])
def test_usual_delays_are_waited_for(expected_s):
    assert prefill_timeout_s(expected_s, GOAL_S) >= 1.5 * expected_s


@pytest.mark.parametrize(
    ("expected_s", "goal_left_s"),
    [
        pytest.param(0.03, GOAL_S, id="short prompt"),
        pytest.param(0.1, GOAL_S, id="usual prompt"),
        pytest.param(0.5, GOAL_S, id="no time for a repeat"),
        pytest.param(0.2, 0.3, id="long wait for a turn"),
        pytest.param(0.2, -2.0, id="late already"),
    ],
)
def test_slow_engines_may_answer(expected_s, goal_left_s):
    assert prefill_timeout_s(expected_s, goal_left_s) > 4 * expected_s
