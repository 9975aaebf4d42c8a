"""Check that no request is lost while the only trouble is a server that falls silent."""

from collections.abc import Sequence

import attrs

from lab.faults import FaultKind
from lab.gateway._caller import Answer

__all__ = ["NODE_FAULTS", "SERVER_FAULTS", "Call", "Disruption", "find_lost"]

_ANSWER_STATUSES = (200, 429, 503)  # 429 and 503 are refusals, which are answers
_GRACE_S = 4.0  # as in the nodes' settings
_KILL_MARGIN_S = 0.3  # a node ends what still runs so long before the end of its grace period
_SERVING_S = 1.5  # for a request whose silent server goes on: several times the longest answer
NODE_FAULTS = (
    FaultKind.KILL_NODE,
    FaultKind.PAUSE_NODE,
    FaultKind.CUT_NODE_FROM_STORE,
    FaultKind.CUT_NODE_FROM_PEERS,
    FaultKind.CUT_NODE_FROM_SERVERS,
)
SERVER_FAULTS = (
    FaultKind.KILL_ENGINE,
    FaultKind.STALL_ENGINE,
    FaultKind.POISON_REQUEST,
    FaultKind.LEAVE_SERVER,
    FaultKind.PAUSE_SERVER,
)


@attrs.frozen(kw_only=True)
class Call:
    """One request to a node as its caller saw it, from `sent_s` to `ended_s`."""

    path: str
    service: str
    node: str
    sent_s: float
    deadline_s: float
    ended_s: float
    answer: Answer

    @property
    def name(self) -> str:
        """Path and id of the request."""
        return f"{self.path}{self.answer.request_id}"


@attrs.frozen(kw_only=True)
class Disruption:
    """A fault as it was injected; its target is a node's address, a service or empty."""

    kind: FaultKind
    target: str
    start_s: float
    end_s: float

    def overlaps(self, call: Call) -> bool:
        """Return whether it happened while the request was under way."""
        return self.start_s < call.ended_s and call.sent_s < self.end_s


def find_lost(calls: Sequence[Call], disruptions: Sequence[Disruption]) -> tuple[list[str], int]:
    """Return a line for each lost request, and how many requests that met a silence were judged.

    A silent server goes on by itself, and the configuration, other nodes and the store are no
    reason to lose a request either, so only the excuses below count.
    """
    lost, judged = [], 0
    for call in calls:
        met = [d for d in disruptions if d.overlaps(call)]
        if not call.answer.sent_s or any(
            excuses(call, disruption)
            for disruption in met
            for excuses in (_is_node_fault, _is_end_of_grace, _is_server_fault, _is_late_silence)
        ):
            continue
        judged += any(_is_silence(call, d) for d in met)
        if not (call.answer.is_complete and call.answer.status in _ANSWER_STATUSES):
            lost.append(_describe(call, met))
    return lost, judged


def _is_node_fault(call: Call, disruption: Disruption) -> bool:
    """Return whether the caller's own node was killed, paused or cut off."""
    return disruption.kind in NODE_FAULTS and disruption.target == call.node


def _is_end_of_grace(call: Call, disruption: Disruption) -> bool:
    """Return whether the node had to end in the middle of an answer.

    A stop alone is no excuse, and a request without any answer yet could still be refused.
    """
    last_s = disruption.start_s + _GRACE_S - _KILL_MARGIN_S
    is_stop = disruption.kind is FaultKind.STOP_NODE and disruption.target == call.node
    return is_stop and call.ended_s >= last_s and call.answer.status != 0


def _is_server_fault(call: Call, disruption: Disruption) -> bool:
    """Return whether a server of the service had another fault than a silence."""
    return disruption.kind in SERVER_FAULTS and disruption.target == call.service


def _is_late_silence(call: Call, disruption: Disruption) -> bool:
    """Return whether a silence left too little time before the deadline, which was used up."""
    is_late = call.ended_s >= call.deadline_s - 0.1
    return (
        is_late
        and _is_silence(call, disruption)
        and (disruption.end_s > call.deadline_s - _SERVING_S)
    )


def _is_silence(call: Call, disruption: Disruption) -> bool:
    return disruption.kind is FaultKind.SILENCE_SERVER and disruption.target == call.service


def _describe(call: Call, met: Sequence[Disruption]) -> str:
    answer = call.answer
    beside = [
        f"{d.kind.value} {d.target} {d.start_s - call.sent_s:+.2f} to {d.end_s - call.sent_s:+.2f}"
        for d in met
    ]
    return (
        f"LOST: {call.name} at {call.node}: status {answer.status}, {len(answer.events)} events, "
        f"{answer.failure or answer.body[:200]!r} after {call.ended_s - call.sent_s:.2f} s; "
        f"beside {'; '.join(beside) or 'nothing'}"
    )
