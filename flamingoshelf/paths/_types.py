"""What other packages tell about paths, and ask of them."""

from enum import StrEnum
from typing import Protocol

from flamingoshelf.routing import BackendInstance

__all__ = ["PathReports", "ProbeResult"]


class ProbeResult(StrEnum):
    """Result of a probe of a backend server over this node's own path."""

    ANSWERED = "answered"
    SILENT = "silent"  # connected, but no answer in time
    UNCONNECTED = "unconnected"  # no connection in time, as packets are lost or a queue is full
    FAILED = "failed"  # the connection was refused or broke
    HELD_BACK = "held_back"  # the server wants no request from this node now


class PathReports(Protocol):
    """Where failures of calls are reported, and told from failures of the path."""

    def record_silence(self, instance: BackendInstance, *, since_s: float) -> None:
        """Record that a call that was sent at `since_s` has made no progress for too long."""

    def is_known_cut(self, key: str) -> bool:
        """Return whether only this node's path to a server has failed, as known by now."""

    async def is_cut(self, instance: BackendInstance) -> bool:
        """Return whether only this node's path to a server has failed, once that is known."""
