"""How long the answer to a prefill is waited for."""

__all__ = ["prefill_limit_s"]

# An engine that is slow takes four times as long, and connecting to it takes some milliseconds.
_SLOW_FACTOR = 4.0
_SLACK_S = 0.15
# In calm times 99 of 100 prefills take less than 1.5 times as long as expected.
_USUAL_FACTOR = 1.5
_FIRST_EVENT_S = 0.1  # another turn, and the first event after a prefill


def prefill_limit_s(expected_s: float, goal_left_s: float) -> float:
    """Return when a prefill that is not answered is done again elsewhere.

    A slow engine is given its time, but no more than leaves a repeat within the goal. Where a
    repeat can't be within it, what is there already is worth the most.

    Parameters
    ----------
    expected_s : float
        Seconds that the prefill is expected to take.
    goal_left_s : float
        Seconds until the first event is late.

    Returns
    -------
    float
        Seconds from now.
    """
    patient_s = _SLACK_S + _SLOW_FACTOR * expected_s
    last_repeat_s = goal_left_s - expected_s - _FIRST_EVENT_S
    if last_repeat_s < _SLACK_S + _USUAL_FACTOR * expected_s:
        return patient_s
    return min(patient_s, last_repeat_s)
