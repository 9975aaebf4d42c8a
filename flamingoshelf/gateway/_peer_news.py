"""What gateway nodes tell one another with their heartbeats."""

from flamingoshelf.cluster import LeavingRun, NodeNews
from flamingoshelf.gateway._active_configuration import ActiveConfiguration
from flamingoshelf.gateway._configuration_exchange import ConfigurationExchange
from flamingoshelf.quarantine import QuarantineService
from flamingoshelf.routing import InstanceDirectory, ServerNotices, ServerRun
from flamingoshelf.server_limits import LimitService

__all__ = ["PeerNews"]

_MAX_TOLD_SERVERS = 32  # in one heartbeat; the store soon lists them as leaving


class PeerNews:
    """Tells other nodes of this node's configuration and of leaving servers, and takes in theirs.

    Parameters
    ----------
    configuration : ActiveConfiguration
        The configuration in force.
    exchange : ConfigurationExchange
        Learns of the versions at other nodes.
    directory : InstanceDirectory
        Registered backend servers.
    notices : ServerNotices
        Learns of servers that leave.
    quarantine : QuarantineService
        Learns which nodes know of other crashes.
    limits : LimitService
        Learns which nodes know other limits of servers.
    """

    def __init__(
        self,
        *,
        configuration: ActiveConfiguration,
        exchange: ConfigurationExchange,
        directory: InstanceDirectory,
        notices: ServerNotices,
        quarantine: QuarantineService,
        limits: LimitService,
    ) -> None:
        self._limits = limits
        self._quarantine = quarantine
        self._configuration = configuration
        self._exchange = exchange
        self._directory = directory
        self._notices = notices

    def outgoing(self) -> NodeNews:
        """Return what this node tells others."""
        leaving = self._directory.unreported_leaving()
        return NodeNews(
            configuration_version=self._configuration.version,
            leaving=tuple(
                LeavingRun(server=server.instance_id, started_ms=server.started_ms)
                for server in leaving[:_MAX_TOLD_SERVERS]
            ),
            crashes=self._quarantine.digest,
            limits=self._limits.digest,
        )

    def record(self, peer: str, news: NodeNews) -> None:
        """Take in what another node tells."""
        self._exchange.record_version(peer, news.configuration_version)
        self._quarantine.record_digest(peer, news.crashes)
        self._limits.record_digest(peer, news.limits)
        for run in news.leaving:
            server = ServerRun(instance_id=run.server, started_ms=run.started_ms)
            self._notices.record_leaving(server, source=peer)
