"""Exceptions shared by all packages.

Each exception records the step that failed and the peer involved, so that a log line or a problem
document can name both.
"""

__all__ = [
    "ConfigurationError",
    "ConflictError",
    "EngineError",
    "FlamingoshelfError",
    "HistoryLostError",
    "ObjectServiceError",
    "OutcomeUnknownError",
    "PeerUnreachableError",
    "ProtocolError",
    "RemoteError",
    "UnreadableFileError",
]


class FlamingoshelfError(Exception):
    """Base class of all errors.

    Parameters
    ----------
    message : str
        What went wrong.
    step : str
        The step that failed, such as ``"prefill"``.
    peer : str
        The peer involved, or an empty string if there is none.
    """

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f"{self.step} with {self.peer}" if self.peer else self.step
        return f"{where}: {self.message}"


class ConfigurationError(FlamingoshelfError):
    """Settings or objects are not valid."""


class UnreadableFileError(ConfigurationError):
    """A file can't be read, or holds something else than was expected."""


class ConflictError(FlamingoshelfError):
    """A conditional update found another version than the expected one."""


class ObjectServiceError(FlamingoshelfError):
    """The object service refused a call, or was unreachable and nothing was sent."""


class HistoryLostError(FlamingoshelfError):
    """The platform's store no longer holds the changes that a watch asked for."""


class OutcomeUnknownError(FlamingoshelfError):
    """A call may have taken effect, but its reply was lost."""


class PeerUnreachableError(FlamingoshelfError):
    """A node or backend server could not be reached; nothing was sent."""


class RemoteError(FlamingoshelfError):
    """Another node answered a request with an error."""


class ProtocolError(FlamingoshelfError):
    """A peer sent data that violates the protocol."""


class EngineError(FlamingoshelfError):
    """A model engine failed or refused a step.

    Parameters
    ----------
    message, step, peer : str
        As in `FlamingoshelfError`.
    crashed : bool
        Whether the engine's process ended while it was running the request.
    status : int
        HTTP status of the engine's refusal, or 0.
    """

    def __init__(
        self, message: str, *, step: str, peer: str = "", crashed: bool = False, status: int = 0
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.crashed = crashed
        self.status = status
