"""Timeout of prefill calls."""

__all__ = ["prefill_timeout_s"]

# A slow engine takes four times as long as expected; connecting to it takes some milliseconds.
_SLOW_ENGINE_FACTOR = 4.0
_CONNECT_SLACK_S = 0.15
# Under normal conditions 99 of 100 prefills take less than 1.5 times the expected time.
_NORMAL_FACTOR = 1.5
# Part of the time left for the goal that an engine of unknown speed gets; another may be dark.
_UNMEASURED_GOAL_SHARE = 0.5
_MIN_UNMEASURED_TIMEOUT_S = 0.5  # if the goal can't be met
_FIRST_EVENT_S = 0.1  # time to get another turn, and from the prefill to the first event


def prefill_timeout_s(expected_s: float, goal_left_s: float) -> float:
    """Return the time after which an unanswered prefill is repeated at another engine.

    The timeout lets a slow engine finish, but leaves enough time to repeat the prefill within the
    latency goal. If a repeat can't meet the goal, the running prefill is worth more than a new one,
    so it gets the full time of a slow engine.

    Parameters
    ----------
    expected_s : float
        Seconds that the prefill is expected to take; 0 if it isn't known.
    goal_left_s : float
        Seconds left until the first event misses the latency goal; negative if it has.

    Returns
    -------
    float
        Timeout in seconds.
    """
    if expected_s <= 0:
        return max(_UNMEASURED_GOAL_SHARE * goal_left_s, _MIN_UNMEASURED_TIMEOUT_S)
    slow_engine_timeout_s = _CONNECT_SLACK_S + _SLOW_ENGINE_FACTOR * expected_s
    last_retry_s = goal_left_s - expected_s - _FIRST_EVENT_S
    if last_retry_s < _CONNECT_SLACK_S + _NORMAL_FACTOR * expected_s:
        return slow_engine_timeout_s
    return min(slow_engine_timeout_s, last_retry_s)
