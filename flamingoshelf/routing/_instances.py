"""Instances of backend servers."""

from enum import StrEnum
from functools import cached_property

import attrs

__all__ = ["BackendInstance", "EngineRole", "InstanceState", "ServerRun"]


class InstanceState(StrEnum):
    """Whether an instance takes new work."""

    READY = "ready"
    DRAINING = "draining"


class EngineRole(StrEnum):
    """Pool that a model engine belongs to."""

    PREFILL = "prefill"
    DECODE = "decode"


@attrs.frozen(kw_only=True, cache_hash=True)
class ServerRun:
    """One run of a backend server; what the server states holds until it starts again."""

    instance_id: str
    started_ms: int


@attrs.frozen(kw_only=True)
class BackendInstance:
    """One run of a backend server, as the server describes itself.

    Parameters
    ----------
    instance_id : str
        Identity of the server; usually a new one after each restart.
    service : str
        Service that the server belongs to.
    address : str
        ``ip:port``; may be assigned to another server after this one has ended.
    data_centre : str
        Data centre of the server.
    state : InstanceState
        Whether the server takes new work.
    slots : int
        Requests that the server runs concurrently.
    role : EngineRole or None
        Pool that a model engine belongs to.
    started_ms : int
        Unix time of the server's start in milliseconds, 0 if unknown. Distinguishes runs with the
        same identity.
    software_version : str
        Version of the server's software, not of its model weights.
    cold_s : float or None
        Seconds for which the server stays cold, as of its entry; not a number if they are not
        readable, None if it doesn't state them. Two descriptions that differ only here are equal.
    """

    instance_id: str
    service: str
    address: str
    data_centre: str
    state: InstanceState = InstanceState.READY
    slots: int = 1
    role: EngineRole | None = None
    started_ms: int = 0
    software_version: str = ""
    cold_s: float | None = attrs.field(default=None, eq=False)

    @property
    def key(self) -> str:
        """Identity of the server."""
        return self.instance_id

    @cached_property
    def run(self) -> ServerRun:
        """This run of the server."""
        return ServerRun(instance_id=self.instance_id, started_ms=self.started_ms)

    @property
    def accepts_new_work(self) -> bool:
        """Whether the server may be chosen for new work."""
        return self.state is InstanceState.READY
