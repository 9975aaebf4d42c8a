"""A gateway node: creates, connects, starts and stops its components."""

import random
from collections.abc import Callable

import attrs
from loguru import logger

from flamingoshelf.cluster import Coordination, ExclusiveDuty, Member, MemberList, Registration
from flamingoshelf.gateway._active_configuration import ActiveConfiguration
from flamingoshelf.gateway._answer_limit import AnswerLimit
from flamingoshelf.gateway._configuration_exchange import ConfigurationExchange
from flamingoshelf.gateway._crash_protection import CrashProtection
from flamingoshelf.gateway._engine_control import EngineControl, EngineWire
from flamingoshelf.gateway._engine_failures import EngineFailures
from flamingoshelf.gateway._engine_prober import EngineProber
from flamingoshelf.gateway._engine_runs import EngineRuns
from flamingoshelf.gateway._fleet_view import FleetView
from flamingoshelf.gateway._load_poller import LoadPoller
from flamingoshelf.gateway._lost_nodes import remove_lost_nodes
from flamingoshelf.gateway._node_limits import NodeLimits
from flamingoshelf.gateway._peer_news import PeerNews
from flamingoshelf.gateway._request_path import new_gateway
from flamingoshelf.gateway._role_controller import RoleController
from flamingoshelf.gateway._server_access import ServerAccess
from flamingoshelf.gateway._settings import GatewaySettings, changed_fields
from flamingoshelf.gateway._shutdown import ShutdownPlan
from flamingoshelf.gateway._status_server import StatusServer
from flamingoshelf.gateway._store_follower import StoreFollower
from flamingoshelf.gateway._store_listeners import (
    StoreFormat,
    new_listeners,
)
from flamingoshelf.gateway._wire import WireFormat
from flamingoshelf.http1 import BufferBudget, HttpServer
from flamingoshelf.nodes import WebsocketNodeLink
from flamingoshelf.placement import (
    Dispatcher,
    DispatcherService,
    FleetPlacer,
    PlainCallMeter,
    WorkspaceLimits,
)
from flamingoshelf.plain_placement import PlacementService, decline_placement
from flamingoshelf.retries import RetryBudgets
from flamingoshelf.routing import EvacuatedDataCentres, InstanceDirectory, ServerNotices
from flamingoshelf.server_limits import LimitService
from flamingoshelf.store import KindStore, StoreEras
from flamingoshelf.stream_origins import OriginService
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import Pacer, TaskGroup, boot_time_s, new_incarnation

__all__ = ["GatewayNode"]

_ORDER_DUTY = "engine-orders"
# A stream whose run is to be confirmed may begin, but not be continued elsewhere, before that.
_REPORT_PERMIT_WAIT_S = 1.0
_BUFFER_MEMORY_SHARE = 0.1  # of the memory, for answers that callers have not taken yet


class GatewayNode:
    """One gateway node with all its servers, clients and background tasks.

    Parameters
    ----------
    settings : GatewaySettings
        Validated settings.
    store : KindStore
        The platform's store.
    eras : StoreEras
        Eras of the store.
    wire : WireFormat
        Encodes and decodes the heads of callers and backend servers.
    engine_wire : EngineWire
        Encodes and decodes the control calls to model engines.
    store_format : StoreFormat
        Where the store keeps configuration and server entries.
    metrics_address : str or None
        ``ip:port`` to serve metrics at; None disables them.
    dropped_log_lines : callable
        Returns the number of log lines dropped so far.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        store: KindStore,
        eras: StoreEras,
        wire: WireFormat,
        engine_wire: EngineWire,
        store_format: StoreFormat,
        metrics_address: str | None,
        dropped_log_lines: Callable[[], int] = lambda: 0,
    ) -> None:
        self._settings = settings
        self._dropped_log_lines = dropped_log_lines
        self._reported_log_drops = 0
        self._random = random.Random()
        self._pacer = Pacer()
        self._metrics = Metrics(node_name=settings.node_name)
        self._configuration = ActiveConfiguration()
        self._eras = eras
        self._notices = ServerNotices(drain_s=lambda: self._settings.drain_s)
        self._follows_evacuations = settings.evacuation_s is not None
        self._evacuations = EvacuatedDataCentres(
            count_servers=lambda data_centre: self._directory.count_in(data_centre),
            count_event=self._metrics.count_event,
        )
        self._directory = InstanceDirectory(
            silent_entry_s=settings.server_silence_s,
            notices=self._notices,
            evacuations=self._evacuations,
        )
        self._has_server_list = False
        self._is_leaving = False
        self._answer_limit = AnswerLimit()
        self._members = MemberList()
        self._fleet = FleetView(
            members=self._members,
            data_centre=settings.data_centre,
            random_source=self._random,
        )
        self._node_limits = NodeLimits(
            settings=lambda: self._settings,
            configuration=self._configuration,
            node_count=self._fleet.node_count,
        )
        self._incarnation = new_incarnation()
        self._server_limits = LimitService(
            node_name=settings.node_name,
            incarnation=self._incarnation,
            members=self._members,
            cold_bound=self._node_limits.cold_bound,
        )
        self._server_limits.stated.cold.subscribe(
            lambda run, is_cold: self._metrics.count_event(
                "servers_cold" if is_cold else "servers_warm"
            )
        )
        self._origins = OriginService(
            node_name=settings.node_name,
            incarnation=self._incarnation,
            store=store,
            eras=eras,
            node_count=self._fleet.node_count,
        )
        self._access = ServerAccess(
            max_connections=lambda key: self._node_limits.connections(self._directory.get(key)),
            budget=BufferBudget(max_bytes=_BUFFER_MEMORY_SHARE * settings.memory_bytes),
            wire=wire,
            engine_wire=engine_wire,
            configuration=self._configuration,
            directory=self._directory,
            notices=self._notices,
            limits=self._server_limits,
            pacer=self._pacer,
            random_source=self._random,
        )
        self._budgets = RetryBudgets(
            node_count=self._fleet.node_count, bounds=self._node_limits.retries()
        )
        # Starts empty: a previous dispatcher may have spent a whole reserve in the same window.
        self._placement_budgets = RetryBudgets(
            node_count=self._fleet.placing_node_count,
            bounds=self._node_limits.retries(),
            starts_empty=True,
        )
        self._tasks = TaskGroup(owner="node")
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
            eras=eras,
        )
        self._dispatchers = DispatcherService(
            new_dispatcher=self._new_dispatcher,
            limits=WorkspaceLimits(limit=self._node_limits.workspace_limit),
            budget=self._placement_budgets.budget,
            other_nodes=self._fleet.responsive_nodes,
        )
        self._plain_calls = PlainCallMeter()
        self._plain_placement = self._new_plain_placement() if settings.places_by_cost else None
        self._crash_protection = CrashProtection(
            store=store,
            eras=eras,
            members=self._members,
            directory=self._directory,
            metrics=self._metrics,
            random_source=self._random,
            may_write=lambda: self._coordination is None or self._coordination.is_coordinator,
            is_cut_off=self._fleet.may_others_place,
            is_path_cut=self._access.paths.is_cut,
        )
        self._placer = FleetPlacer(
            node_name=settings.node_name,
            dispatchers=self._dispatchers,
            plain_calls=self._plain_calls,
            placed_services=self._engine_services,
        )
        self._failures = EngineFailures(placer=self._placer, paths=self._access.paths)
        control = EngineControl(client=self._access.client, wire=engine_wire)
        self._engine_runs = EngineRuns(
            report=control.report,
            may_ask=lambda engine: self._access.may_call(engine, wait_s=_REPORT_PERMIT_WAIT_S),
        )
        self._prober = EngineProber(dispatchers=self._dispatchers.dispatchers, control=control)
        self._load_poller = LoadPoller(
            dispatchers=self._dispatchers.dispatchers,
            control=control,
            is_needed=self._fleet.may_others_place,
        )
        self._role_controller = RoleController(
            dispatchers=self._dispatchers.dispatchers,
            control=control,
            duty=ExclusiveDuty(
                store=store,
                name=_ORDER_DUTY,
                holder=settings.node_name,
                lease_s=lambda: self._settings.order_lease_s,
                clock=boot_time_s,
                eras=eras,
            ),
            holder=settings.node_name,
            may_order=self._may_order,
            metrics=self._metrics,
            by_cost=self._places_by_cost,
            evacuated=self._directory.evacuated,
            drain_s=lambda: self._settings.drain_s,
        )
        self._store_follower = StoreFollower(
            store=store,
            listeners=new_listeners(
                store_format=store_format,
                configuration=self._configuration,
                directory=self._directory,
                on_servers_changed=self._on_servers_changed,
                on_entry=self._server_limits.stated.cold.record_entry,
                evacuations=self._evacuations if self._follows_evacuations else None,
            ),
            node_name=settings.node_name,
            data_centre=settings.data_centre,
            members=self._members,
            coordination=lambda: self._coordination,
            random_source=self._random,
            eras=eras,
        )
        self._configuration_exchange = ConfigurationExchange(
            configuration=self._configuration,
            decode=store_format.decode_configuration,
            eras=eras,
            random_source=self._random,
        )
        self._peer_news = PeerNews(
            configuration=self._configuration,
            exchange=self._configuration_exchange,
            directory=self._directory,
            notices=self._notices,
            quarantine=self._crash_protection.quarantine,
            limits=self._server_limits,
        )
        self._caller_server = HttpServer(
            address=settings.caller_address,
            handle=new_gateway(
                configuration=self._configuration,
                client=self._access.client,
                directory=self._directory,
                notices=self._notices,
                limits=self._server_limits,
                placer=self._placer,
                origins=self._origins,
                runs=self._engine_runs,
                plain_calls=self._plain_calls,
                crash_detector=self._crash_protection.detector,
                paths=self._access.paths,
                path_table=self._access.path_table,
                failures=self._failures,
                budget=self._budgets.budget,
                wire=wire,
                data_centre=settings.data_centre,
                metrics=self._metrics,
                random_source=self._random,
                pacer=self._pacer,
                answer_limit=self._answer_limit,
                placement=self._plain_placement,
                places_by_cost=self._places_by_cost,
            ).handle,
            limits=lambda: self._configuration.limits,
            pacer=self._pacer,
        )
        self._status_server = StatusServer(
            readiness_address=settings.readiness_address,
            metrics_address=metrics_address,
            is_ready=lambda: self.is_ready,
            render_metrics=self._render_metrics,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts new callers."""
        return (
            self._configuration.is_known
            and self._configuration_exchange.is_confirmed
            and self._has_server_list
            and (self._evacuations.is_known or not self._follows_evacuations)
            and not self._is_leaving
        )

    async def start(self) -> None:
        """Start following the store and serving callers."""
        await self._caller_server.start()
        await self._status_server.start()
        await self._access.start()
        await self._placer.start()
        await self._store_follower.start()
        await self._crash_protection.start()
        await self._origins.start()
        await self._registration.start()
        await self._role_controller.start()
        await self._prober.start()
        await self._load_poller.start()
        self._tasks.start(
            remove_lost_nodes(lambda: self._coordination, self._registration), name="gone_nodes"
        )
        logger.bind(step="start", address=self._settings.caller_address).info("node started")

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply new settings, except for those that require a restart."""
        taken, requires_restart = changed_fields(self._settings, settings)
        self._settings = attrs.evolve(self._settings, **taken)
        for budgets in (self._budgets, self._placement_budgets):
            budgets.resize(self._node_limits.retries())
        logger.bind(step="reload", taken=taken, needs_restart=requires_restart).info(
            "settings applied"
        )

    async def stop(self, *, since_s: float | None = None) -> None:
        """Shut down gracefully, without cutting off requests if the grace period allows.

        `since_s` is the time of SIGTERM by the event loop's clock, now by default.
        """
        self._is_leaving = True
        if self._coordination is not None:
            self._coordination.leave()
        plan = ShutdownPlan(grace_s=self._settings.shutdown_grace_s, since_s=since_s)
        self._answer_limit.set(plan.answer_by_s)
        logger.bind(
            step="stop",
            running=self._caller_server.running_requests,
            answer_within_s=round(self._answer_limit.left_s, 3),
        ).info("shutdown started")
        self._access.leave()
        await plan.run(self._caller_server, calls_of_others=self._access.calls_of_others)
        await self._tasks.stop()
        await self._load_poller.stop()
        await self._prober.stop()
        await self._engine_runs.stop()
        await self._role_controller.stop()
        await self._registration.stop()
        await self._store_follower.stop()
        await self._configuration_exchange.stop()
        await self._placer.stop()
        await self._dispatchers.stop()
        await self._origins.stop()
        if self._coordination is not None:
            await self._coordination.stop()
        if self._link is not None:
            await self._link.stop()
        await self._server_limits.stop()
        if self._plain_placement is not None:
            await self._plain_placement.stop()
        await self._crash_protection.stop()
        await self._failures.stop()
        await self._access.stop()
        await self._status_server.stop()
        logger.bind(step="stop", cut=self._caller_server.running_requests).info("node stopped")

    async def _join(self, own: Member, secret: bytes) -> None:
        """Open the link to the other nodes, and connect the components that use it."""
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
            revisions=lambda: self._store_follower.revisions,
            on_revisions=self._store_follower.expect_change,
            news=self._peer_news.outgoing,
            on_news=self._peer_news.record,
        )
        self._configuration_exchange.connect(link)
        self._dispatchers.register(link)
        self._store_follower.set_link(link)
        self._crash_protection.connect(link)
        self._server_limits.connect(link, coordination)
        if self._plain_placement is not None:
            self._plain_placement.connect(link, coordination)
        else:
            decline_placement(link)
        self._origins.connect(link, coordination)
        self._access.connect(link, peers=self._fleet.peers, runs=self._engine_runs)
        await link.start()
        await coordination.start()
        self._link, self._coordination = link, coordination
        self._fleet.connect(coordination)
        self._placer.connect(link, coordination)

    def _render_metrics(self) -> bytes:
        """Return all metrics; count the log lines dropped since the last call."""
        dropped = self._dropped_log_lines()
        self._metrics.count_event("log_lines_dropped", dropped - self._reported_log_drops)
        self._reported_log_drops = dropped
        return self._metrics.render()

    def _may_order(self) -> bool:
        """Return whether this node is the coordinator; if so, start all services' dispatchers."""
        if self._coordination is None or not self._coordination.is_coordinator:
            return False
        if self.is_ready:
            for service in self._engine_services():
                self._dispatchers.runner(service)
        return True

    def _engine_services(self) -> list[str]:
        if not self._configuration.is_known:
            return []
        services = self._configuration.current.services.values()
        return [service.name for service in services if service.engine is not None]

    def _places_by_cost(self) -> bool:
        """Return whether requests are placed by cost in a fleet of the present size."""
        settings = self._settings
        is_large = self._fleet.node_count() >= settings.cost_placement_min_nodes
        return settings.places_by_cost and is_large

    def _new_dispatcher(self, service: str) -> Dispatcher:
        return Dispatcher(
            service=service,
            instances=lambda: self._directory.ready(service),
            profile=lambda: self._node_limits.engine_profile(service),
            random_source=self._random,
            limits=self._server_limits.keeper,
            leaving=lambda: self._directory.leaving(service),
            by_cost=self._places_by_cost(),
        )

    def _new_plain_placement(self) -> PlacementService:
        return PlacementService(
            node_name=self._settings.node_name,
            data_centre=self._settings.data_centre,
            servers=self._directory.ready,
            metrics=self._metrics,
        )

    def _on_servers_changed(self) -> None:
        """Record that servers are known, and close connections to removed ones."""
        self._has_server_list = True
        self._access.forget_removed()
