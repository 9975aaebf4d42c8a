"""What this node knows about its attempts to send claimed calls.

A peer that finds a claim without an outcome asks the claim's holder. Only the holder can tell a
running call from one that was never sent, and its statement "never sent" is binding: the states
below have no way from ``void`` to ``sending``.
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

__all__ = ["Attempt", "AttemptStatus", "AttemptStatusReply", "AttemptStatusRequest", "Attempts"]

_VOID_MEMORY_S = 900.0
_FINISHED_MEMORY_S = 60.0
_MAX_ENDED = 20_000

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
    """What the holder of a claim says about its attempt."""

    RUNNING = "running"
    FINISHED = "finished"
    VOID = "void"
    UNKNOWN = "unknown"


@message
@attrs.frozen(kw_only=True)
class AttemptStatusRequest:
    """Question to the holder of a claim."""

    nonce: bytes


@message
@attrs.frozen(kw_only=True)
class AttemptStatusReply:
    """The holder's answer; with the outcome if the call was answered."""

    status: AttemptStatus
    outcome: ClaimOutcome | None = None


class Attempt:
    """State machine of one attempt; see the module's states.

    A transition that the table does not list raises `transitions.MachineError`.

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
class _Ended:
    reply: AttemptStatusReply
    forget_at_s: float


class Attempts:
    """The running attempts of this node and, for a time, those that ended.

    Parameters
    ----------
    link : NodeLink
        Brings the questions of peers.
    """

    def __init__(self, *, link: NodeLink) -> None:
        self._running: dict[bytes, Attempt] = {}
        self._ended: OrderedDict[bytes, _Ended] = OrderedDict()
        link.register(AttemptStatusRequest, self._answer)

    def begin(self, nonce: bytes) -> Attempt:
        """Return a new attempt in the state ``claiming``."""
        attempt = Attempt(nonce=nonce)
        self._running[nonce] = attempt
        return attempt

    def end(self, attempt: Attempt) -> None:
        """Keep the final state of `attempt` for a time."""
        assert attempt.state in _ENDED_STATES
        if self._running.pop(attempt.nonce, None) is None:
            return
        _MACHINE.remove_model(attempt)
        memory_s = _VOID_MEMORY_S if attempt.state == "void" else _FINISHED_MEMORY_S
        ended = _Ended(reply=_reply_of(attempt), forget_at_s=now_s() + memory_s)
        self._ended[attempt.nonce] = ended
        self._forget_old()

    def status(self, nonce: bytes) -> AttemptStatusReply:
        """Return what is known of the attempt `nonce`."""
        attempt = self._running.get(nonce)
        if attempt is not None and attempt.state not in _ENDED_STATES:
            return AttemptStatusReply(status=AttemptStatus.RUNNING)
        if attempt is not None:
            return _reply_of(attempt)
        ended = self._ended.get(nonce)
        if ended is None or ended.forget_at_s < now_s():
            return AttemptStatusReply(status=AttemptStatus.UNKNOWN)
        return ended.reply

    async def _answer(self, peer: str, request: AttemptStatusRequest) -> AttemptStatusReply:
        return self.status(request.nonce)

    def _forget_old(self) -> None:
        now = now_s()
        while self._ended:
            nonce, ended = next(iter(self._ended.items()))
            if len(self._ended) <= _MAX_ENDED and ended.forget_at_s > now:
                return
            del self._ended[nonce]


def _reply_of(attempt: Attempt) -> AttemptStatusReply:
    return AttemptStatusReply(status=AttemptStatus(attempt.state), outcome=attempt.outcome)
