"""Checks of the answers that callers received against the requests that servers recorded."""

from collections.abc import Sequence

from lab.gateway._caller import Answer
from lab.gateway._lost import Call
from lab.gateway._records import RunLog
from lab.gateway._site import BOOKINGS, NOTES, RESUMABLE

__all__ = ["EVENTS_PER_STREAM", "check_call", "check_orders", "is_served"]

EVENTS_PER_STREAM = 20  # 0.2 s of an engine's time
_NOT_RUN_STATUSES = (408, 421, 429, 503)


def is_served(answer: Answer) -> bool:
    """Return whether an answer is complete and a success."""
    return answer.is_complete and answer.status == 200


def check_call(call: Call, log: RunLog) -> list[str]:
    """Return the breaches of one call: runs too many, false refusals, wrong answers."""
    answer = call.answer
    runs = log.runs_of(answer.request_id)
    name = call.name
    breaches = []
    if call.path in (NOTES, BOOKINGS) and len(runs) > 1:
        breaches.append(f"{name} ran {len(runs)} times")
    if call.path in (NOTES, BOOKINGS) and answer.status in _NOT_RUN_STATUSES and runs:
        breaches.append(f"{name} got {answer.status} and ran")
    if call.path in (NOTES, RESUMABLE):
        events = answer.events
        if events != list(range(1, len(events) + 1)):
            breaches.append(f"{name} got events {events}")
        if is_served(answer) and len(events) != EVENTS_PER_STREAM:
            breaches.append(f"{name} looks complete with {len(events)} events")
    elif is_served(answer) and f" {answer.request_id} ".encode() not in answer.body:
        breaches.append(f"{name} got another answer: {answer.body!r}")
    return breaches


def check_orders(orders: Sequence[dict[str, object]]) -> list[str]:
    """Return the breaches of orders: a fencing token has one holder, and decreases at no engine."""
    holders: dict[object, object] = {}
    newest: dict[object, int] = {}
    breaches = []
    for order in orders:
        token, holder, server = order["fencingToken"], order["holder"], order["server"]
        assert isinstance(token, int)
        if holders.setdefault(token, holder) != holder:
            breaches.append(f"token {token} was used by {holders[token]} and {holder}")
        if token < newest.get(server, 0):
            breaches.append(f"{server} got token {token} after {newest[server]}")
        newest[server] = max(token, newest.get(server, 0))
    return breaches
