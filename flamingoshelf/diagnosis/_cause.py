"""Names the decision that mattered for a request."""

from collections.abc import Sequence
from typing import Any

import attrs

from flamingoshelf.diagnosis._records import LogRecord
from flamingoshelf.diagnosis._trail import RequestTrail

__all__ = ["Explanation", "explain"]

_FORECAST_FIELDS = ("waiting", "turns", "memory_wait_s", "first_event_s", "run_s", "leaves_in_s")
_FIRST_SERVER_ERROR = 500


@attrs.frozen(kw_only=True)
class Explanation:
    """What became of a request, and why.

    Parameters
    ----------
    outcome : str
        What its caller got.
    cause : str
        The decision or the failure that led to it.
    decisive : LogRecord
        The line that says so.
    """

    outcome: str
    cause: str
    decisive: LogRecord


def explain(trail: RequestTrail) -> Explanation:
    """Return what became of a request, and why."""
    last = _final(trail.records)
    if last is None:
        return _unfinished(trail)
    status = last.fields.get("status")
    after_s = last.fields.get("after_s")
    if last.message == "refused":
        return _refused(trail, last)
    if last.message == "broken off":
        failure = _last_failure(trail.records) or last
        outcome = f"the answer of status {status} was broken off after {after_s} s"
        return _because(outcome, failure)
    if last.message != "answered":
        return _left(trail, last)
    outcome = f"answered with status {status} after {after_s} s"
    if isinstance(status, int) and status >= _FIRST_SERVER_ERROR:
        cause = f"backend server {last.peer} answered status {status}"
        return Explanation(outcome=outcome, cause=cause, decisive=last)
    return _answered(trail, last, outcome)


def _refused(trail: RequestTrail, last: LogRecord) -> Explanation:
    fields = last.fields
    run = "it was not run" if fields.get("not_run") else "it may have been run"
    outcome = f"refused with status {fields.get('status')} after {fields.get('after_s')} s, {run}"
    forecast = next(
        (r for r in reversed(trail.records) if r.step == "place" and "memory_wait_s" in r.fields),
        None,
    )
    if forecast is not None and last.step == "place":
        inputs = _list_fields(forecast.fields, _FORECAST_FIELDS)
        cause = f"the dispatcher on {forecast.node} found no place in its caller's time: {inputs}"
        return Explanation(outcome=outcome, cause=cause, decisive=forecast)
    failure = _last_failure(trail.records)
    if failure is not None and not fields.get("not_run"):
        return _because(outcome, failure)
    cause = f"{fields.get('reason')} at step {last.step}: {fields.get('detail', '')}"
    if fields.get("version") is not None:
        cause += f" Configuration {fields['version']} was in force on {last.node}."
    return Explanation(outcome=outcome, cause=cause, decisive=last)


def _left(trail: RequestTrail, last: LogRecord) -> Explanation:
    after_s = last.fields.get("after_s")
    outcome = f"the caller left after {after_s} s, before the whole answer was there"
    failure = _last_failure(trail.records)
    if failure is not None:
        return _because(outcome, failure)
    earlier = [record for record in trail.records if record is not last]
    if not earlier:
        where = f"backend server {last.peer}" if last.peer else "a turn at the engines"
        return Explanation(outcome=outcome, cause=f"it waited for {where}", decisive=last)
    return _because(outcome, earlier[-1], prefix="the last step before was: ")


def _answered(trail: RequestTrail, last: LogRecord, outcome: str) -> Explanation:
    silence = _silence_of(last.node, trail.records)
    if silence is not None:
        outcome += "; its caller may have left before"
        cause = (
            f"{last.node} stood still or was cut off: {silence.message} (seen by {silence.node})"
        )
        return Explanation(outcome=outcome, cause=cause, decisive=silence)
    goal_s = last.fields.get("goal_s")
    first = next((r for r in trail.records if r.message == "first event"), last)
    reached_s = first.fields.get("after_s")
    if not isinstance(goal_s, (int, float)) or not isinstance(reached_s, (int, float)):
        return Explanation(outcome=outcome, cause="nothing went wrong", decisive=last)
    if reached_s <= goal_s:
        cause = f"within its latency objective ({reached_s} s of {goal_s} s)"
        return Explanation(outcome=outcome, cause=cause, decisive=last)
    outcome += f", late: {reached_s} s where {goal_s} s is the objective"
    failure = _last_failure(trail.records)
    if failure is not None:
        return _because(outcome, failure)
    placed = [r for r in trail.records if r.message == "placed"]
    waited_s = sum(float(r.fields.get("waited_s", 0.0)) for r in placed)
    if placed and waited_s > reached_s / 2:
        cause = f"it waited {waited_s:.3f} s for a turn at the engines"
        return Explanation(outcome=outcome, cause=cause, decisive=placed[-1])
    cause = f"backend server {last.peer} took long"
    return Explanation(outcome=outcome, cause=cause, decisive=first)


def _unfinished(trail: RequestTrail) -> Explanation:
    last = trail.records[-1]
    return Explanation(
        outcome="the logs don't say how it ended",
        cause=f"{last.node} may have stopped, or lines are missing; its last step: {last.message}",
        decisive=last,
    )


def _final(records: Sequence[LogRecord]) -> LogRecord | None:
    """Return the line that a node writes when it is done with a request."""
    ended = [
        r
        for r in records
        if r.message == "refused" or (r.step == "answer" and "after_s" in r.fields)
    ]
    return ended[-1] if ended else None


def _last_failure(records: Sequence[LogRecord]) -> LogRecord | None:
    """Return the last failed try at a backend server."""
    steps = ("forward", "prefill", "decode")
    tries = [r for r in records if r.step in steps and r.message not in ("first event", "refused")]
    return tries[-1] if tries else None


def _silence_of(node: str, records: Sequence[LogRecord]) -> LogRecord | None:
    """Return the line by which another node gave up on the one that served the request."""
    return next((r for r in records if r.step == "orphan" and r.peer == node), None)


def _because(outcome: str, record: LogRecord, *, prefix: str = "") -> Explanation:
    peer = f" at {record.peer}" if record.peer else ""
    cause = f"{prefix}{record.step}{peer}: {record.message}"
    return Explanation(outcome=outcome, cause=cause, decisive=record)


def _list_fields(fields: Any, names: Sequence[str]) -> str:
    return ", ".join(f"{name}={fields[name]}" for name in names if name in fields)
