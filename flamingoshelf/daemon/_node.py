"""Assembles the components of a node."""

import asyncio
import random
import time
from typing import Any

import attrs
from loguru import logger

from flamingoshelf.backends import HttpEngineClient, PlainServiceClient
from flamingoshelf.base import Service
from flamingoshelf.callers import (
    Admission,
    CompletionDependencies,
    CompletionEndpoints,
    ServiceEndpoint,
    build_caller_app,
)
from flamingoshelf.claims import (
    AttemptRegistry,
    BatchingPolicy,
    ClaimService,
    ClaimWriter,
    RetentionRule,
)
from flamingoshelf.configuration import ConfigurationFollower
from flamingoshelf.daemon._http_server import HttpServer
from flamingoshelf.daemon._limiters import LimiterComponents, build_limiter
from flamingoshelf.daemon._placers import PlacerComponents, build_placer
from flamingoshelf.dispatch import DispatcherService
from flamingoshelf.membership import Membership, VmView
from flamingoshelf.nodes import NodeTls, WebsocketNodeLink, load_node_tls
from flamingoshelf.object_service import HttpObjectService, HttpVmList
from flamingoshelf.objects import Catalog
from flamingoshelf.operators import build_operator_app
from flamingoshelf.orders import HttpOrderClient, LoadPermits, OrderReconciler
from flamingoshelf.quarantine import Quarantine, QuarantineService
from flamingoshelf.retries import Backoff, RetryBudgets
from flamingoshelf.routing import EjectionRule, ServerSelector
from flamingoshelf.services import ServiceRouter
from flamingoshelf.settings import Settings
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup, finite_or_none, new_incarnation

__all__ = ["Node"]

_READY_POLL_INTERVAL_S = 0.05
_OPERATOR_SHUTDOWN_TIMEOUT_S = 1.0


class Node:
    """One node of the fleet.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    """

    def __init__(self, *, settings: Settings) -> None:
        self._settings = settings
        self._incarnation = new_incarnation()
        self._metrics = Metrics(node_name=settings.node_name)
        self._serves_callers = False
        self._is_shutting_down = False
        self._tasks = TaskGroup(owner="node")
        self._background = TaskGroup(owner="background")
        self._store = HttpObjectService(address=settings.object_service_address)
        self._vms = VmView(vm_list=HttpVmList(address=settings.vm_list_address))
        self._link = self._build_link()
        self._membership = Membership(
            link=self._link,
            vms=self._vms,
            store=self._store,
            vm_list_lag_s=settings.vm_list_lag_s,
        )
        self._ownership = self._membership.ownership
        self._configuration = ConfigurationFollower(
            store=self._store,
            link=self._link,
            ownership=self._ownership,
            vms=lambda: self._vms.snapshot.vms,
            data_centre=settings.data_centre,
            metrics=self._metrics,
        )
        self._engines = HttpEngineClient()
        self._placer = self._build_placer()
        self._limits = self._build_limits()
        self._random = random.Random(self._incarnation)
        self._claims = self._build_claims()
        self._quarantine = self._build_quarantine()
        self._dispatcher = DispatcherService(
            link=self._link,
            catalog=self._catalog,
            engines=self._engines,
            peers=self._node_names,
            metrics=self._metrics,
        )
        self._load_permits = LoadPermits(
            link=self._link, ownership=self._ownership, catalog=self._catalog
        )
        self._orders = OrderReconciler(
            client=HttpOrderClient(),
            ownership=self._ownership,
            permits=self._load_permits,
            catalog=self._catalog,
            count_event=self._metrics.count_event,
            random_source=self._random,
        )
        self._components: tuple[Service, ...] = (
            self._link,
            self._membership,
            self._configuration,
            self._load_permits,
            self._orders,
            self._claims,
            self._dispatcher,
            self._limits.service,
            self._quarantine,
            *self._placer.services,
        )
        self._caller_server = HttpServer(
            app=self._build_caller_app(),
            address=settings.caller_address,
            shutdown_timeout_s=settings.shutdown_timeout_s,
        )
        self._operator_server = HttpServer(
            app=self._build_operator_app(),
            address=settings.operator_address,
            shutdown_timeout_s=_OPERATOR_SHUTDOWN_TIMEOUT_S,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the node serves callers."""
        return self._serves_callers and not self._is_shutting_down

    async def start(self) -> None:
        """Start all components; callers are served once the node is ready."""
        await self._operator_server.start()
        for component in self._components:
            await component.start()
        self._tasks.start(self._start_caller_server(), name="open_callers")
        logger.info("node started; incarnation {}", self._incarnation)

    async def stop(self) -> None:
        """Shut down gracefully; running requests are answered first."""
        self._is_shutting_down = True
        logger.info("shutdown started")
        await asyncio.sleep(self._settings.readiness_notice_s)
        await self._membership.leave()
        await self._tasks.stop()
        await self._caller_server.stop()
        await self._background.drain()
        for component in reversed(self._components):
            await component.stop()
        await self._operator_server.stop()
        logger.info("node stopped")

    async def _start_caller_server(self) -> None:
        """Start the caller server once configuration, membership and limits are ready."""
        while not (self._configuration.is_ready and self._membership.is_ready):
            await asyncio.sleep(_READY_POLL_INTERVAL_S)
        while not self._limits.service.is_ready:
            await asyncio.sleep(_READY_POLL_INTERVAL_S)
        await self._caller_server.start()
        self._serves_callers = True

    def _catalog(self) -> Catalog:
        return self._configuration.catalog

    def _node_count(self) -> int:
        return len(self._vms.snapshot.vms)

    def _node_names(self) -> list[str]:
        return [vm.name for vm in self._vms.snapshot.vms]

    def _build_link(self) -> WebsocketNodeLink:
        return WebsocketNodeLink(
            node_name=self._settings.node_name,
            incarnation=self._incarnation,
            listen_address=self._settings.peer_address,
            secret=self._settings.cluster_secret,
            resolve=self._vms.address_of,
            tls=self._load_tls(),
            count_event=self._metrics.count_event,
        )

    def _load_tls(self) -> NodeTls | None:
        settings = self._settings
        certificate, key = settings.tls_certificate_file, settings.tls_key_file
        authority = settings.tls_authority_file
        if certificate is None or key is None or authority is None:
            return None
        return load_node_tls(certificate_file=certificate, key_file=key, authority_file=authority)

    def _build_limits(self) -> LimiterComponents:
        return build_limiter(
            self._settings.limiter,
            link=self._link,
            ownership=self._ownership,
            catalog=self._catalog,
            node_count=self._node_count,
            metrics=self._metrics,
            background=self._background,
        )

    def _build_quarantine(self) -> QuarantineService:
        quarantine = QuarantineService(
            quarantine=Quarantine(lifted=lambda: self._catalog().fleet.lifted_quarantines),
            peers=self._node_names,
            metrics=self._metrics,
            random_source=self._random,
        )
        quarantine.connect(self._link)
        return quarantine

    def _build_placer(self) -> PlacerComponents:
        return build_placer(
            self._settings.placer,
            link=self._link,
            ownership=self._ownership,
            catalog=self._catalog,
            engines=self._engines,
            metrics=self._metrics,
            random_source=random.Random(self._incarnation),
        )

    def _build_caller_app(self) -> Any:
        admission = Admission(
            catalog=self._catalog,
            accepts_keys=lambda: self._configuration.honours_keys,
            metrics=self._metrics,
            max_body_bytes=self._settings.max_body_bytes,
        )
        dependencies = CompletionDependencies(
            engines=self._engines,
            placer=self._placer.placer,
            limiter=self._limits.limiter,
            quarantine=self._quarantine,
            metrics=self._metrics,
            background=self._background,
        )
        completions = CompletionEndpoints(
            admission=admission, dependencies=dependencies, incarnation=self._incarnation
        )
        services = ServiceEndpoint(
            admission=admission,
            router=self._build_service_router(),
            claims=self._claims,
            background=self._background,
        )
        return build_caller_app(
            admission=admission,
            completions=completions,
            services=services,
            is_leaving=lambda: self._is_shutting_down,
        )

    def _build_claims(self) -> ClaimService:
        writer = ClaimWriter(
            store=self._store,
            link=self._link,
            metrics=self._metrics,
            rule=RetentionRule(),
            batching=BatchingPolicy(),
            wall_time_s=time.time,
            random_source=self._random,
        )
        return ClaimService(
            writer=writer,
            attempts=AttemptRegistry(link=self._link),
            link=self._link,
            ownership=self._ownership,
            metrics=self._metrics,
            wall_time_s=time.time,
        )

    def _build_service_router(self) -> ServiceRouter:
        selector = ServerSelector(
            data_centre=self._settings.data_centre,
            rule=EjectionRule(),
            random_source=self._random,
        )
        return ServiceRouter(
            catalog=self._catalog,
            client=PlainServiceClient(),
            selector=selector,
            budgets=RetryBudgets(node_count=self._node_count),
            metrics=self._metrics,
            backoff=Backoff(random_source=self._random),
        )

    def _build_operator_app(self) -> Any:
        return build_operator_app(
            is_ready=lambda: self.is_ready, metrics=self._metrics, status=self._status
        )

    def _status(self) -> dict[str, Any]:
        return {
            "node": self._settings.node_name,
            "data_centre": self._settings.data_centre,
            "incarnation": self._incarnation,
            "ready": self.is_ready,
            "revision": self._catalog().revision,
            "configuration_watcher": self._configuration.is_watcher,
            "honours_keys": self._configuration.honours_keys,
            "configuration_age_s": finite_or_none(self._configuration.age_s),
            "quarantined": self._quarantine.quarantined(),
            "vm_list_version": self._vms.snapshot.version,
            "membership": self._membership.status(),
            "link": attrs.asdict(self._link.counters),
        }
