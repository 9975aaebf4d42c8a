"""One node of the gateway."""

import asyncio
import random
from collections.abc import Callable

import attrs
from loguru import logger

from flamingoshelf.cluster import Coordination, ExclusiveDuty, Member, MemberList, Registration
from flamingoshelf.gateway._active_configuration import ActiveConfiguration
from flamingoshelf.gateway._admission import Admission
from flamingoshelf.gateway._app import Gateway
from flamingoshelf.gateway._backend_client import BackendClient
from flamingoshelf.gateway._bounds import Bounds
from flamingoshelf.gateway._crash_watch import CrashWatch
from flamingoshelf.gateway._engine_control import EngineControl, EngineWire
from flamingoshelf.gateway._engine_prober import EngineProber
from flamingoshelf.gateway._load_watch import LoadWatch
from flamingoshelf.gateway._plain_forwarder import PlainForwarder
from flamingoshelf.gateway._role_keeper import RoleKeeper
from flamingoshelf.gateway._settings import GatewaySettings, changed_fields
from flamingoshelf.gateway._shutdown import ShutdownPlan
from flamingoshelf.gateway._sources import ConfigurationSource, InstanceSource, SourceFormat
from flamingoshelf.gateway._status_server import StatusServer
from flamingoshelf.gateway._store_follower import StoreFollower
from flamingoshelf.gateway._stream_forwarder import StreamForwarder
from flamingoshelf.gateway._target_choice import TargetChoice
from flamingoshelf.gateway._wire import WireFormat
from flamingoshelf.http1 import ConnectionPool, HttpServer
from flamingoshelf.nodes import WebsocketNodeLink
from flamingoshelf.placement import (
    Dispatcher,
    DispatcherService,
    FleetPlacer,
    PlainCallMeter,
    WorkspaceLimits,
)
from flamingoshelf.quarantine import ContentGuard, Quarantine, QuarantineService
from flamingoshelf.retries import RetryBudgets
from flamingoshelf.routing import EjectionRule, InstanceDirectory, ServerBoard
from flamingoshelf.store import KindStore
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup, boot_time_s, new_incarnation

__all__ = ["GatewayNode"]

_METRICS_DELAY_S = 2.0  # building them takes 0.1 s of processor, which a start can't spare
_GONE_NODES_INTERVAL_S = 3.0  # entries of nodes that are gone cost a dial each
_ORDER_DUTY = "engine-orders"


class GatewayNode:
    """Everything that one node owns.

    Parameters
    ----------
    settings : GatewaySettings
        Checked settings.
    store : KindStore
        The platform's store.
    wire : WireFormat
        Protocol of callers and backend servers.
    engine_wire : EngineWire
        Protocol of reports and orders of model engines.
    source : SourceFormat
        Where configuration and servers are found in the store.
    metrics_address : str or None
        ``ip:port`` at which metrics are served.
    dropped_log_lines : callable
        Returns how many log lines were dropped so far.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        store: KindStore,
        wire: WireFormat,
        engine_wire: EngineWire,
        source: SourceFormat,
        metrics_address: str | None,
        dropped_log_lines: Callable[[], int] = lambda: 0,
    ) -> None:
        self._settings = settings
        self._dropped_log_lines = dropped_log_lines
        self._counted_log_lines = 0
        self._random = random.Random()
        self._metrics = Metrics(node_name=settings.node_name)
        self._configuration = ActiveConfiguration()
        self._directory = InstanceDirectory()
        self._has_servers = False
        self._is_leaving = False
        self._members = MemberList()
        self._bounds = Bounds(
            settings=lambda: self._settings,
            configuration=self._configuration,
            node_count=self._node_count,
        )
        self._pool = ConnectionPool(
            max_connections=lambda key: self._bounds.connections(self._directory.get(key))
        )
        self._client = BackendClient(pool=self._pool, wire=wire)
        self._budgets = RetryBudgets(node_count=self._node_count, bounds=self._bounds.retries())
        # A predecessor may have spent a whole reserve in the same window.
        self._placement_budgets = RetryBudgets(
            node_count=self._placing_nodes,
            bounds=self._bounds.retries(),
            starts_empty=True,
        )
        self._tasks = TaskGroup(owner="node")
        self._incarnation = new_incarnation()
        self._link: WebsocketNodeLink | None = None
        self._coordination: Coordination | None = None
        self._registration = Registration(
            store=store,
            name=settings.node_name,
            address=settings.peer_address,
            data_centre=settings.data_centre,
            incarnation=self._incarnation,
            capacity=round(settings.capacity, 3),
            is_first_start=settings.is_first_start,
            members=self._members,
            on_registered=self._join,
            random_source=self._random,
        )
        self._dispatchers = DispatcherService(
            new_dispatcher=self._new_dispatcher,
            limits=WorkspaceLimits(limit=self._bounds.workspace_limit),
            budget=self._placement_budgets.budget,
            owners=self._answering_nodes,
        )
        self._plain_calls = PlainCallMeter()
        self._quarantine = Quarantine()
        self._guard: ContentGuard = self._quarantine
        self._crashes = CrashWatch(guard=lambda: self._guard)
        self._placer = FleetPlacer(
            node_name=settings.node_name,
            service=self._dispatchers,
            plain_calls=self._plain_calls,
            services=self._engine_services,
        )
        control = EngineControl(client=self._client, wire=engine_wire)
        self._prober = EngineProber(dispatchers=self._dispatchers.dispatchers, control=control)
        self._load_watch = LoadWatch(
            dispatchers=self._dispatchers.dispatchers,
            control=control,
            is_needed=self._shares_engines,
        )
        self._roles = RoleKeeper(
            dispatchers=self._dispatchers.dispatchers,
            control=control,
            duty=ExclusiveDuty(
                store=store,
                name=_ORDER_DUTY,
                holder=settings.node_name,
                lease_s=lambda: self._settings.order_lease_s,
                clock=boot_time_s,
            ),
            holder=settings.node_name,
            may_order=self._may_order,
            metrics=self._metrics,
        )
        self._follower = StoreFollower(
            store=store,
            listeners={
                source.configuration_kind: ConfigurationSource(
                    configuration=self._configuration, source=source
                ),
                source.instance_kind: InstanceSource(
                    directory=self._directory, source=source, on_change=self._on_servers
                ),
            },
            node_name=settings.node_name,
            data_centre=settings.data_centre,
            members=self._members,
            coordination=lambda: self._coordination,
            random_source=self._random,
        )
        self._callers = HttpServer(
            address=settings.caller_address,
            handle=self._build_gateway(wire).handle,
            limits=lambda: self._configuration.limits,
        )
        self._status = StatusServer(
            readiness_address=settings.readiness_address,
            metrics_address=metrics_address,
            is_ready=lambda: self.is_ready,
            render_metrics=self._render_metrics,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the node takes new callers."""
        return self._configuration.is_known and self._has_servers and not self._is_leaving

    async def start(self) -> None:
        """Start to follow the store and to serve callers."""
        await self._callers.start()
        await self._status.start()
        await self._pool.start()
        await self._placer.start()
        await self._follower.start()
        await self._registration.start()
        await self._roles.start()
        await self._prober.start()
        await self._load_watch.start()
        self._tasks.start(self._build_metrics(), name="metrics")
        self._tasks.start(self._remove_gone_nodes(), name="gone_nodes")
        logger.bind(step="start", address=self._settings.caller_address).info("started")

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Take over new settings, but for those that need a restart."""
        taken, fixed = changed_fields(self._settings, settings)
        self._settings = attrs.evolve(self._settings, **taken)
        for budgets in (self._budgets, self._placement_budgets):
            budgets.resize(self._bounds.retries())
        logger.bind(step="reload", taken=taken, needs_restart=fixed).info("settings taken over")

    async def stop(self) -> None:
        """Leave without cutting a request."""
        self._is_leaving = True
        if self._coordination is not None:
            self._coordination.leave()
        plan = ShutdownPlan(grace_s=self._settings.shutdown_grace_s)
        logger.bind(step="stop", running=self._callers.running).info("leaves")
        await plan.run(self._callers)
        await self._tasks.stop()
        await self._load_watch.stop()
        await self._prober.stop()
        await self._roles.stop()
        await self._registration.stop()
        await self._follower.stop()
        await self._placer.stop()
        await self._dispatchers.stop()
        if self._coordination is not None:
            await self._coordination.stop()
        if self._link is not None:
            await self._link.stop()
        await self._crashes.stop()
        await self._client.stop()
        await self._pool.stop()
        await self._status.stop()
        logger.bind(step="stop", cut=self._callers.running).info("stopped")

    async def _join(self, own: Member, secret: bytes) -> None:
        """Connect to the other nodes."""
        link = WebsocketNodeLink(
            node_name=own.name,
            incarnation=self._incarnation,
            listen_address=self._settings.peer_listen_address or self._settings.peer_address,
            secret=secret,
            resolve=self._members.address_of,
            count_event=self._metrics.count_event,
        )
        coordination = Coordination(
            link=link,
            members=self._members,
            own=own,
            revisions=lambda: self._follower.revisions,
            on_revisions=self._follower.expect,
        )
        self._dispatchers.register(link)
        self._follower.connect(link)
        self._guard = await self._share_quarantine(link)
        await link.start()
        await coordination.start()
        self._link, self._coordination = link, coordination
        self._placer.connect(link, coordination)

    async def _share_quarantine(self, link: WebsocketNodeLink) -> QuarantineService:
        """Have the nodes tell each other of contents that crash servers."""
        shared = QuarantineService(
            quarantine=self._quarantine,
            link=link,
            peers=lambda: [member.name for member in self._members],
            metrics=self._metrics,
            random_source=self._random,
        )
        await shared.start()
        return shared

    def _render_metrics(self) -> bytes:
        dropped = self._dropped_log_lines()
        self._metrics.count_event("log_lines_dropped", dropped - self._counted_log_lines)
        self._counted_log_lines = dropped
        return self._metrics.render()

    def _may_order(self) -> bool:
        """Open the dispatchers of all model services, and return whether this node coordinates."""
        if self._coordination is None or not self._coordination.is_coordinator:
            return False
        if self.is_ready:
            for service in self._engine_services():
                self._dispatchers.desk(service)
        return True

    def _shares_engines(self) -> bool:
        """Return whether this node places requests, and so do others that it doesn't hear of."""
        coordination = self._coordination
        if coordination is None:
            return True
        return coordination.is_coordinator and coordination.reachable < len(self._members)

    def _answering_nodes(self) -> set[str]:
        return set() if self._coordination is None else self._coordination.answering()

    def _engine_services(self) -> list[str]:
        if not self._configuration.is_known:
            return []
        services = self._configuration.current.services.values()
        return [service.name for service in services if service.engine is not None]

    async def _build_metrics(self) -> None:
        """Load what the metrics need once callers are served."""
        await asyncio.sleep(_METRICS_DELAY_S)
        self._metrics.build()

    async def _remove_gone_nodes(self) -> None:
        """Delete the entries of nodes that are gone for good, while this node coordinates."""
        while True:
            await asyncio.sleep(_GONE_NODES_INTERVAL_S)
            coordination = self._coordination
            if coordination is None or not coordination.is_coordinator:
                continue
            for name in await coordination.find_gone():
                if coordination.reachable > 1:  # otherwise it is this node that is cut off
                    logger.bind(step="members", peer=name).info("the node is gone for good")
                    self._registration.remove(name)

    def _build_gateway(self, wire: WireFormat) -> Gateway:
        targets = TargetChoice(
            configuration=self._configuration,
            directory=self._directory,
            random_source=self._random,
        )
        board = ServerBoard(
            data_centre=self._settings.data_centre,
            rule=EjectionRule(),
            random_source=self._random,
        )
        budget = self._budgets.budget
        return Gateway(
            configuration=self._configuration,
            admission=Admission(configuration=self._configuration, wire=wire),
            plain=PlainForwarder(
                client=self._client,
                targets=targets,
                board=board,
                budget=budget,
                plain_calls=self._plain_calls,
                crashes=self._crashes,
                metrics=self._metrics,
            ),
            streams=StreamForwarder(
                client=self._client,
                targets=targets,
                directory=self._directory,
                placer=self._placer,
                crashes=self._crashes,
                metrics=self._metrics,
            ),
            metrics=self._metrics,
        )

    def _node_count(self) -> int:
        return max(1, len(self._members))

    def _placing_nodes(self) -> int:
        """Return how many nodes like this one may place requests: 1 while all others answer."""
        reachable = 1 if self._coordination is None else self._coordination.reachable
        return max(1, -(-len(self._members) // reachable))

    def _new_dispatcher(self, service: str) -> Dispatcher:
        return Dispatcher(
            service=service,
            instances=lambda: self._directory.ready(service),
            profile=lambda: self._bounds.engine_profile(service),
            random_source=self._random,
        )

    def _on_servers(self) -> None:
        self._has_servers = True
        self._pool.retain(self._directory.ids())
