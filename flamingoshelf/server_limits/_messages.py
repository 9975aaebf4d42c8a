"""Messages by which nodes share limits and ask for permits."""

import attrs

from flamingoshelf.nodes import message
from flamingoshelf.routing import ServerRun
from flamingoshelf.server_limits._cold import ColdWindow
from flamingoshelf.server_limits._stated import LimitStatement
from flamingoshelf.utils import now_s

__all__ = [
    "AcquireServerPermit",
    "ServerLimitReport",
    "ServerLimitReportReply",
    "ServerPermitReply",
    "StatedLimit",
]


@attrs.frozen(kw_only=True)
class StatedLimit:
    """What a server stated about its limit, and how long ago; or that it is cold.

    Parameters
    ----------
    server : str
        Identity of the server.
    started_ms : int
        Unix time of the start of its run in milliseconds.
    per_s : float or None
        Requests per second that it accepts, None if it states no limit any more.
    sent_age_s, received_age_s : float
        Seconds since the request was sent and since its answer arrived.
    source : str
        Node that received the answer.
    cold_s : float or None
        Seconds for which the server is cold and accepts `per_s`; None if this isn't about that.
    """

    server: str
    started_ms: int
    per_s: float | None
    sent_age_s: float
    received_age_s: float
    source: str
    cold_s: float | None = None

    @classmethod
    def from_statement(
        cls, run: ServerRun, statement: LimitStatement, *, node_name: str
    ) -> "StatedLimit":
        """Return a statement as node `node_name` tells it to another one."""
        return cls(
            server=run.instance_id,
            started_ms=run.started_ms,
            per_s=statement.per_s,
            sent_age_s=now_s() - statement.sent_s,
            received_age_s=now_s() - statement.received_s,
            source=statement.source or node_name,
        )

    @classmethod
    def from_window(cls, run: ServerRun, window: ColdWindow, *, node_name: str) -> "StatedLimit":
        """Return that a server is cold as node `node_name` tells it to another one."""
        return cls(
            server=run.instance_id,
            started_ms=run.started_ms,
            per_s=window.bound.rate_per_s,
            sent_age_s=0.0,
            received_age_s=0.0,
            source=window.source if window.is_told else node_name,
            cold_s=window.left_s,
        )

    @property
    def run(self) -> ServerRun:
        """Run of the server."""
        return ServerRun(instance_id=self.server, started_ms=self.started_ms)

    @property
    def statement(self) -> LimitStatement:
        """The statement with its times by this node's clock."""
        return LimitStatement(
            per_s=self.per_s,
            sent_s=now_s() - self.sent_age_s,
            received_s=now_s() - self.received_age_s,
            source=self.source,
        )


@message
@attrs.frozen(kw_only=True)
class ServerLimitReport:
    """Limits that a node knows, sent to the keeper."""

    limits: tuple[StatedLimit, ...] = ()


@message
@attrs.frozen(kw_only=True)
class ServerLimitReportReply:
    """Limits that the keeper knows, those that ended lately included."""

    limits: tuple[StatedLimit, ...] = ()


@message
@attrs.frozen(kw_only=True)
class AcquireServerPermit:
    """Request for a permit for one of some servers.

    Parameters
    ----------
    servers : tuple of StatedLimit
        Servers that may get the request, with their limits as the node knows them.
    priority : int
        Priority; 0 is the most urgent.
    wait_s : float
        Seconds for which the request may wait for a permit.
    """

    servers: tuple[StatedLimit, ...]
    priority: int = 0
    wait_s: float = 0.0


@message
@attrs.frozen(kw_only=True)
class ServerPermitReply:
    """Reply with a permit or a refusal.

    Parameters
    ----------
    server : str
        Server that may get the request, empty if there is none.
    retry_after_s : float
        Seconds after which a refused request may be sent again.
    limits : tuple of StatedLimit
        Limits of the servers as the keeper knows them.
    """

    server: str = ""
    retry_after_s: float = 0.0
    limits: tuple[StatedLimit, ...] = ()
