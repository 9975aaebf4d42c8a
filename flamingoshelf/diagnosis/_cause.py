"""Determines the outcome of a request and its cause from log records."""

from collections.abc import Sequence
from typing import Any

import attrs

from flamingoshelf.diagnosis._records import LogRecord
from flamingoshelf.diagnosis._trail import RequestTrail

__all__ = ["Explanation", "explain"]

_FORECAST_FIELDS = (
    "waiting",
    "turns",
    "memory_wait_s",
    "permit_wait_s",
    "first_event_s",
    "run_s",
    "leaves_in_s",
)
_FIRST_SERVER_ERROR_STATUS = 500


@attrs.frozen(kw_only=True)
class Explanation:
    """Outcome of a request and its cause.

    Parameters
    ----------
    outcome : str
        Response or failure that the caller saw.
    cause : str
        Decision or failure that led to the outcome.
    decisive : LogRecord
        Log line that shows the cause.
    """

    outcome: str
    cause: str
    decisive: LogRecord


def explain(trail: RequestTrail) -> Explanation:
    """Return the outcome of a request and its cause."""
    last = _find_final_record(trail.records)
    if last is None:
        return _explain_unfinished(trail)
    status = last.fields.get("status")
    after_s = last.fields.get("after_s")
    if last.message == "refused":
        return _explain_refusal(trail, last)
    if last.message == "broken off":
        failure = _find_last_failure(trail.records) or last
        outcome = f"the answer of status {status} was broken off after {after_s} s"
        return _with_refused_turn(_explanation_from(outcome, failure), trail.records)
    if last.message != "answered":
        return _explain_caller_left(trail, last)
    outcome = f"answered with status {status} after {after_s} s"
    if isinstance(status, int) and status >= _FIRST_SERVER_ERROR_STATUS:
        cause = f"backend server {last.peer} answered status {status}"
        return Explanation(outcome=outcome, cause=cause, decisive=last)
    return _explain_answer(trail, last, outcome)


def _explain_refusal(trail: RequestTrail, last: LogRecord) -> Explanation:
    fields = last.fields
    run_note = "it was not run" if fields.get("not_run") else "it may have been run"
    outcome = (
        f"refused with status {fields.get('status')} after {fields.get('after_s')} s, "
        f"{run_note}"
    )
    forecast = next(
        (r for r in reversed(trail.records) if r.step == "place" and "memory_wait_s" in r.fields),
        None,
    )
    if forecast is not None and last.step == "place":
        inputs = _format_fields(forecast.fields, _FORECAST_FIELDS)
        cause = f"the dispatcher on {forecast.node} found no place in its caller's time: {inputs}"
        return Explanation(outcome=outcome, cause=cause, decisive=forecast)
    failure = _find_last_failure(trail.records)
    if failure is not None and not fields.get("not_run"):
        return _explanation_from(outcome, failure)
    cause = f"{fields.get('reason')} at step {last.step}: {fields.get('detail', '')}"
    if fields.get("version") is not None:
        cause += f" Configuration {fields['version']} was in force on {last.node}."
    return Explanation(outcome=outcome, cause=cause, decisive=last)


def _with_refused_turn(explanation: Explanation, records: Sequence[LogRecord]) -> Explanation:
    """Add why no other run continued a broken stream."""
    refused = next((r for r in reversed(records) if r.message == "stream not continued"), None)
    if refused is None:
        return explanation
    reason, detail = refused.fields.get("reason"), refused.fields.get("detail")
    return attrs.evolve(
        explanation, cause=f"{explanation.cause}; not continued: {reason}, {detail}"
    )


def _explain_caller_left(trail: RequestTrail, last: LogRecord) -> Explanation:
    after_s = last.fields.get("after_s")
    outcome = f"the caller left after {after_s} s, before the whole answer was there"
    failure = _find_last_failure(trail.records)
    if failure is not None:
        return _explanation_from(outcome, failure)
    earlier = [record for record in trail.records if record is not last]
    if not earlier:
        awaited = f"backend server {last.peer}" if last.peer else "a turn at the engines"
        return Explanation(outcome=outcome, cause=f"it waited for {awaited}", decisive=last)
    return _explanation_from(outcome, earlier[-1], prefix="the last step before was: ")


def _explain_answer(trail: RequestTrail, last: LogRecord, outcome: str) -> Explanation:
    orphan_record = _find_orphan_record(last.node, trail.records)
    if orphan_record is not None:
        outcome += "; its caller may have left before"
        cause = (
            f"{last.node} stood still or was cut off: {orphan_record.message} "
            f"(seen by {orphan_record.node})"
        )
        return Explanation(outcome=outcome, cause=cause, decisive=orphan_record)
    goal_s = last.fields.get("goal_s")
    first = next((r for r in trail.records if r.message == "first event"), last)
    first_event_s = first.fields.get("after_s")
    if not isinstance(goal_s, (int, float)) or not isinstance(first_event_s, (int, float)):
        return Explanation(outcome=outcome, cause="nothing went wrong", decisive=last)
    if first_event_s <= goal_s:
        cause = f"within its latency objective ({first_event_s} s of {goal_s} s)"
        return Explanation(outcome=outcome, cause=cause, decisive=last)
    outcome += f", late: {first_event_s} s where {goal_s} s is the objective"
    failure = _find_last_failure(trail.records)
    if failure is not None:
        return _explanation_from(outcome, failure)
    placed = [r for r in trail.records if r.message == "placed"]
    waited_s = sum(float(r.fields.get("waited_s", 0.0)) for r in placed)
    if placed and waited_s > first_event_s / 2:
        cause = f"it waited {waited_s:.3f} s for a turn at the engines"
        return Explanation(outcome=outcome, cause=cause, decisive=placed[-1])
    cause = f"backend server {last.peer} took long"
    return Explanation(outcome=outcome, cause=cause, decisive=first)


def _explain_unfinished(trail: RequestTrail) -> Explanation:
    last = trail.records[-1]
    return Explanation(
        outcome="the logs don't say how it ended",
        cause=f"{last.node} may have stopped, or lines are missing; its last step: {last.message}",
        decisive=last,
    )


def _find_final_record(records: Sequence[LogRecord]) -> LogRecord | None:
    """Return the last line that reports the end of the request, or None if there is none."""
    ended = [
        r
        for r in records
        if r.message == "refused" or (r.step == "answer" and "after_s" in r.fields)
    ]
    return ended[-1] if ended else None


def _find_last_failure(records: Sequence[LogRecord]) -> LogRecord | None:
    """Return the line of the last failed attempt at a backend server."""
    steps = ("forward", "prefill", "decode")
    attempts = [
        r for r in records if r.step in steps and r.message not in ("first event", "refused")
    ]
    return attempts[-1] if attempts else None


def _find_orphan_record(node: str, records: Sequence[LogRecord]) -> LogRecord | None:
    """Return the line with which another node released a turn because `node` was silent."""
    return next((r for r in records if r.step == "orphan" and r.peer == node), None)


def _explanation_from(outcome: str, record: LogRecord, *, prefix: str = "") -> Explanation:
    peer = f" at {record.peer}" if record.peer else ""
    cause = f"{prefix}{record.step}{peer}: {record.message}"
    return Explanation(outcome=outcome, cause=cause, decisive=record)


def _format_fields(fields: Any, names: Sequence[str]) -> str:
    return ", ".join(f"{name}={fields[name]}" for name in names if name in fields)
