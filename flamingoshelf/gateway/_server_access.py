"""How a node reaches backend servers: over its own paths, or through other nodes."""

import random
from collections.abc import Callable, Sequence

from flamingoshelf.gateway._active_configuration import ActiveConfiguration
from flamingoshelf.gateway._backend_client import BackendClient
from flamingoshelf.gateway._call_proxy import CallProxy
from flamingoshelf.gateway._direct_calls import DirectCalls
from flamingoshelf.gateway._engine_control import EngineWire
from flamingoshelf.gateway._engine_runs import EngineRuns
from flamingoshelf.gateway._proxied_calls import ProxiedCalls
from flamingoshelf.gateway._server_probe import ServerProbe
from flamingoshelf.gateway._wire import WireFormat
from flamingoshelf.http1 import BufferBudget, ConnectionPool, RequestHead
from flamingoshelf.nodes import WebsocketNodeLink
from flamingoshelf.paths import PathService, PathTable
from flamingoshelf.routing import BackendInstance, InstanceDirectory, ServerNotices
from flamingoshelf.server_limits import LimitService
from flamingoshelf.utils import Pacer

__all__ = ["ServerAccess"]

_DEFAULT_HEALTH_PATH = "/health"
# Share of this node's connections to a server that calls for other nodes may use. The rest is left
# for its own callers.
_PEERS_SHARE = 0.75


class ServerAccess:
    """Connections, paths and the client that uses them.

    Parameters
    ----------
    max_connections : callable
        ``max_connections(key)`` returns how many connections to a server this node may hold.
    budget : BufferBudget
        Bounds what all these connections together have read ahead of their callers.
    wire : WireFormat
        Encodes and decodes heads.
    engine_wire : EngineWire
        Encodes reports of engines.
    configuration : ActiveConfiguration
        The configuration in force.
    directory : InstanceDirectory
        Registered backend servers.
    notices : ServerNotices
        Servers that leave, and pauses that they ask for.
    limits : LimitService
        Limits that servers state, and permits for requests to them.
    pacer : Pacer
        Shares the event loop among all connections whose bytes take long to parse.
    random_source : random.Random
        Source of the random choice among equally busy nodes.
    """

    def __init__(
        self,
        *,
        max_connections: Callable[[str], int],
        budget: BufferBudget,
        wire: WireFormat,
        engine_wire: EngineWire,
        configuration: ActiveConfiguration,
        directory: InstanceDirectory,
        notices: ServerNotices,
        limits: LimitService,
        pacer: Pacer,
        random_source: random.Random,
    ) -> None:
        self._max_connections = max_connections
        self._wire = wire
        self._engine_wire = engine_wire
        self._configuration = configuration
        self._directory = directory
        self._notices = notices
        self._limits = limits
        self._pool = ConnectionPool(
            max_connections=max_connections,
            max_opening=lambda key: self._paths.max_opening(key),
            pacer=pacer,
            budget=budget,
        )
        self._table = PathTable()
        self._paths = PathService(
            table=self._table,
            probe=lambda instance, is_fresh: self._probe.run(instance, is_fresh),
            servers=self._listed_servers,
            has_open_connection=self._pool.has_idle,
            close_connections=self._pool.close_idle,
            random_source=random_source,
        )
        self._direct = DirectCalls(
            pool=self._pool,
            wire=wire,
            notices=notices,
            limits=limits.stated,
            paths=self._paths,
            is_evacuated=directory.is_evacuated,
        )
        self._probe = ServerProbe(
            direct=self._direct, encode=self._encode_probe, may_call=self.may_call
        )
        self._proxy: CallProxy | None = None
        self._proxied = ProxiedCalls(
            wire=wire,
            notices=notices,
            limits=limits.stated,
            is_evacuated=directory.is_evacuated,
        )
        self._client = BackendClient(
            direct=self._direct,
            proxied=self._proxied,
            paths=self._paths,
            path_table=self._table,
            wire=wire,
            limits=limits.stated,
            random_source=random_source,
        )

    @property
    def client(self) -> BackendClient:
        """Sends requests to backend servers."""
        return self._client

    @property
    def paths(self) -> PathService:
        """Checks paths that have failed."""
        return self._paths

    @property
    def path_table(self) -> PathTable:
        """State of the paths."""
        return self._table

    async def start(self) -> None:
        """Start watching paths and closing expired connections."""
        await self._pool.start()
        await self._paths.start()

    async def stop(self) -> None:
        """Cancel background calls and close all connections."""
        await self._client.stop()
        await self._paths.stop()
        await self._probe.stop()
        await self._pool.stop()

    def connect(
        self, link: WebsocketNodeLink, *, peers: Callable[[], Sequence[str]], runs: EngineRuns
    ) -> None:
        """Call servers through other nodes, and make calls for them, from now on."""
        self._paths.connect(link, peers)
        self._proxied.connect(link)
        self._proxy = CallProxy(
            direct=self._direct,
            runs=runs,
            paths=self._table,
            notices=self._notices,
            has_room=self._has_room,
        )
        link.serve_channels(self._proxy.serve)

    def leave(self) -> None:
        """Make no further calls for other nodes, as this one is about to stop."""
        self._paths.leave()
        if self._proxy is not None:
            self._proxy.leave()

    def calls_of_others(self) -> int:
        """Return the number of running calls that this node makes for others."""
        return 0 if self._proxy is None else self._proxy.running

    async def may_call(self, instance: BackendInstance, *, wait_s: float = 0.0) -> bool:
        """Return whether a server accepts another call by the limit that it states, if any.

        A permit is waited for at most `wait_s` seconds, and used up by this call.
        """
        if self._limits.stated.limit(instance.run) is None:
            return True
        permit = await self._limits.acquire([instance.run], priority=0, wait_s=wait_s)
        return permit is not None and permit.run is not None

    def forget_removed(self) -> None:
        """Drop connections and paths to servers that are not listed any more."""
        listed = self._directory.ids()
        self._pool.close_idle_except(listed)
        self._paths.retain(listed)
        self._probe.retain(listed)

    def _has_room(self, key: str) -> bool:
        return self._pool.in_use(key) < _PEERS_SHARE * self._max_connections(key)

    def _listed_servers(self) -> list[BackendInstance]:
        if not self._configuration.is_known:
            return []
        services = self._configuration.current.services
        return [server for name in services for server in self._directory.ready(name)]

    def _encode_probe(self, instance: BackendInstance) -> RequestHead:
        profile = (
            self._configuration.current.services.get(instance.service)
            if self._configuration.is_known
            else None
        )
        if profile is not None and profile.engine is not None:
            return self._engine_wire.encode_report_request(instance)
        path = _DEFAULT_HEALTH_PATH if profile is None else profile.health_path
        return self._wire.encode_health_check(instance, path)
