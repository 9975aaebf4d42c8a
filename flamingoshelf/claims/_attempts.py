"""Status of this node's attempts to send claimed calls.

A peer that finds a claim without an outcome asks the claim's holder. Only the holder can tell a
running call from one that was never sent. Its reply ``void`` (never sent) is final: the state
machine below has no transition out of ``void``.
"""

from collections import OrderedDict
from enum import StrEnum
from typing import Any

import attrs
from transitions import Machine

from flamingoshelf.base import NodeLink
from flamingoshelf.claims._records import ClaimOutcome
from flamingoshelf.nodes import message
from flamingoshelf.utils import now_s

__all__ = [
    "Attempt",
    "AttemptStatus",
    "AttemptStatusReply",
    "AttemptStatusRequest",
    "AttemptRegistry",
]

_VOID_RETENTION_S = 900.0
_ENDED_RETENTION_S = 60.0
_MAX_ENDED_ATTEMPTS = 20_000

_STATES = ["claiming", "held", "sending", "finished", "unknown", "void"]
_TRANSITIONS: list[Any] = [
    {"trigger": "hold", "source": "claiming", "dest": "held"},
    {"trigger": "send", "source": "held", "dest": "sending"},
    {"trigger": "prove_unsent", "source": "sending", "dest": "held"},
    {"trigger": "finish", "source": "sending", "dest": "finished"},
    {"trigger": "lose", "source": "sending", "dest": "unknown"},
    {"trigger": "void", "source": ["claiming", "held"], "dest": "void"},
]
_ENDED_STATES = frozenset({"finished", "unknown", "void"})


class AttemptStatus(StrEnum):
    """Status of an attempt as its claim holder reports it."""

    RUNNING = "running"
    FINISHED = "finished"
    VOID = "void"
    UNKNOWN = "unknown"


@message
@attrs.frozen(kw_only=True)
class AttemptStatusRequest:
    """Ask the holder of a claim for the status of the attempt `nonce`."""

    nonce: bytes


@message
@attrs.frozen(kw_only=True)
class AttemptStatusReply:
    """Reply of the holder, with the outcome if the service answered the call."""

    status: AttemptStatus
    outcome: ClaimOutcome | None = None


class Attempt:
    """State machine of one attempt to send a claimed call.

    A trigger that `_TRANSITIONS` does not list for the current state raises
    `transitions.MachineError`.

    Examples
    --------
    >>> attempt = Attempt(nonce=b"n")
    >>> attempt.trigger("hold"), attempt.trigger("void"), attempt.state
    (True, True, 'void')
    >>> attempt.trigger("send")
    Traceback (most recent call last):
        ...
    transitions.core.MachineError: "Can't trigger event send from state void!"
    """

    state: str
    trigger: Any

    def __init__(self, *, nonce: bytes) -> None:
        self.nonce = nonce
        self.outcome: ClaimOutcome | None = None
        _MACHINE.add_model(self, initial="claiming")


_MACHINE = Machine(
    model=None, states=_STATES, transitions=_TRANSITIONS, initial="claiming", auto_transitions=False
)


@attrs.frozen(kw_only=True)
class _EndedAttempt:
    reply: AttemptStatusReply
    expires_at_s: float


class AttemptRegistry:
    """Running attempts of this node and recently ended ones.

    Parameters
    ----------
    link : NodeLink
        Delivers the status requests of peers.
    """

    def __init__(self, *, link: NodeLink) -> None:
        self._running: dict[bytes, Attempt] = {}
        self._ended: OrderedDict[bytes, _EndedAttempt] = OrderedDict()
        link.register(AttemptStatusRequest, self._answer_status_request)

    def start_attempt(self, nonce: bytes) -> Attempt:
        """Return a new attempt in the state ``claiming``."""
        attempt = Attempt(nonce=nonce)
        self._running[nonce] = attempt
        return attempt

    def end_attempt(self, attempt: Attempt) -> None:
        """Move `attempt` from the running to the ended attempts, which expire after a while."""
        assert attempt.state in _ENDED_STATES
        if self._running.pop(attempt.nonce, None) is None:
            return
        _MACHINE.remove_model(attempt)
        retention_s = _VOID_RETENTION_S if attempt.state == "void" else _ENDED_RETENTION_S
        ended = _EndedAttempt(reply=_reply_of(attempt), expires_at_s=now_s() + retention_s)
        self._ended[attempt.nonce] = ended
        self._remove_expired()

    def status(self, nonce: bytes) -> AttemptStatusReply:
        """Return the status of the attempt `nonce`; ``UNKNOWN`` if it expired or never existed."""
        attempt = self._running.get(nonce)
        if attempt is not None and attempt.state not in _ENDED_STATES:
            return AttemptStatusReply(status=AttemptStatus.RUNNING)
        if attempt is not None:
            return _reply_of(attempt)
        ended = self._ended.get(nonce)
        if ended is None or ended.expires_at_s < now_s():
            return AttemptStatusReply(status=AttemptStatus.UNKNOWN)
        return ended.reply

    async def _answer_status_request(
        self, peer: str, request: AttemptStatusRequest
    ) -> AttemptStatusReply:
        return self.status(request.nonce)

    def _remove_expired(self) -> None:
        now = now_s()
        while self._ended:
            nonce, ended = next(iter(self._ended.items()))
            if len(self._ended) <= _MAX_ENDED_ATTEMPTS and ended.expires_at_s > now:
                return
            del self._ended[nonce]


def _reply_of(attempt: Attempt) -> AttemptStatusReply:
    return AttemptStatusReply(status=AttemptStatus(attempt.state), outcome=attempt.outcome)
