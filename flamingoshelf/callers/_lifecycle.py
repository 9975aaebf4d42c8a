"""States of one completion request."""

from typing import Any

from transitions import Machine

__all__ = ["RequestLifecycle"]

_STATES = ["queued", "charging", "prefilling", "transferring", "decoding", "finished", "failed"]
_TRANSITIONS: list[Any] = [
    {"trigger": "grant", "source": "queued", "dest": "charging"},
    {"trigger": "charged", "source": "charging", "dest": "prefilling"},
    {"trigger": "prefilled", "source": "prefilling", "dest": "transferring"},
    {"trigger": "transferred", "source": "transferring", "dest": "decoding"},
    {"trigger": "finish", "source": "decoding", "dest": "finished"},
    {
        "trigger": "retry",
        "source": ["queued", "charging", "prefilling", "transferring", "decoding"],
        "dest": "queued",
    },
    {
        "trigger": "fail",
        "source": ["queued", "charging", "prefilling", "transferring", "decoding"],
        "dest": "failed",
    },
]


class RequestLifecycle:
    """State machine of one completion request.

    A transition that the table does not list raises `transitions.MachineError`.

    Examples
    --------
    >>> lifecycle = RequestLifecycle()
    >>> lifecycle.trigger("grant")
    True
    >>> lifecycle.state
    'charging'
    """

    state: str
    trigger: Any

    def __init__(self) -> None:
        _MACHINE.add_model(self, initial="queued")

    def close(self) -> None:
        """Remove this request from the shared state machine."""
        _MACHINE.remove_model(self)


_MACHINE = Machine(
    model=None, states=_STATES, transitions=_TRANSITIONS, initial="queued", auto_transitions=False
)
