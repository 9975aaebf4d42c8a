"""Puts the parts of a node together."""

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
    CompletionEndpoints,
    CompletionRunner,
    ServiceEndpoint,
    build_caller_app,
)
from flamingoshelf.claims import Attempts, ClaimBook, ClaimWriter, RetentionRule, WritePace
from flamingoshelf.configuration import ConfigurationFollower
from flamingoshelf.daemon._http_server import HttpServer
from flamingoshelf.daemon._placers import PlacerParts, build_placer
from flamingoshelf.dispatch import DispatcherService
from flamingoshelf.limits import PerNodeLimiter
from flamingoshelf.membership import Membership, VmView
from flamingoshelf.nodes import NodeTls, WebsocketNodeLink, load_node_tls
from flamingoshelf.objects import Catalog
from flamingoshelf.operators import build_operator_app
from flamingoshelf.orders import HttpOrderClient, LoadPermits, OrderReconciler
from flamingoshelf.platform import HttpObjectService, HttpVmList
from flamingoshelf.services import EjectionRule, ServerBoard, ServiceRouter, ShareBudget
from flamingoshelf.settings import Settings
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup, finite_or_none, new_incarnation

__all__ = ["Node"]

_READINESS_NOTICE_S = 1.0
_OPERATOR_SHUTDOWN_S = 1.0


class Node:
    """One node of the fleet.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    def __init__(self, *, settings: Settings) -> None:
        self._settings = settings
        self._incarnation = new_incarnation()
        self._metrics = Metrics(node_name=settings.node_name)
        self._is_leaving = False
        self._background = TaskGroup(owner="background")
        self._store = HttpObjectService(address=settings.object_service_address)
        self._vms = VmView(vm_list=HttpVmList(address=settings.vm_list_address))
        self._configuration = ConfigurationFollower(store=self._store)
        self._link = self._build_link()
        self._membership = Membership(
            link=self._link,
            vms=self._vms,
            store=self._store,
            vm_list_lag_s=settings.vm_list_lag_s,
        )
        self._ownership = self._membership.ownership
        self._engines = HttpEngineClient()
        self._placer = self._build_placer()
        self._limiter = PerNodeLimiter(catalog=self._catalog, node_count=self._node_count)
        self._random = random.Random(self._incarnation)
        self._claims = self._build_claims()
        self._dispatcher = DispatcherService(
            link=self._link,
            catalog=self._catalog,
            engines=self._engines,
            peers=self._node_names,
            metrics=self._metrics,
        )
        self._permits = LoadPermits(
            link=self._link, ownership=self._ownership, catalog=self._catalog
        )
        self._orders = OrderReconciler(
            client=HttpOrderClient(),
            ownership=self._ownership,
            permits=self._permits,
            catalog=self._catalog,
            count_event=self._metrics.count_event,
            random_source=self._random,
        )
        self._parts: tuple[Service, ...] = (
            self._link,
            self._membership,
            self._configuration,
            self._permits,
            self._orders,
            self._claims,
            self._dispatcher,
            *self._placer.services,
        )
        self._callers = HttpServer(
            app=self._build_caller_app(),
            address=settings.caller_address,
            shutdown_timeout_s=settings.shutdown_timeout_s,
        )
        self._operators = HttpServer(
            app=self._build_operator_app(),
            address=settings.operator_address,
            shutdown_timeout_s=_OPERATOR_SHUTDOWN_S,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the node serves callers."""
        has_state = self._configuration.is_ready and self._membership.is_ready
        return has_state and not self._is_leaving

    async def start(self) -> None:
        """Start all parts, the one for callers last."""
        await self._operators.start()
        for part in self._parts:
            await part.start()
        await self._callers.start()
        logger.info("started, incarnation {}", self._incarnation)

    async def stop(self) -> None:
        """Stop without cutting a request."""
        self._is_leaving = True
        logger.info("leaving")
        await asyncio.sleep(_READINESS_NOTICE_S)
        await self._membership.leave()
        await self._callers.stop()
        await self._background.drain()
        for part in reversed(self._parts):
            await part.stop()
        await self._operators.stop()
        logger.info("stopped")

    def _catalog(self) -> Catalog:
        return self._configuration.catalog

    def _node_count(self) -> int:
        return len(self._vms.snapshot.vms)

    def _node_names(self) -> list[str]:
        return [vm.name for vm in self._vms.snapshot.vms]

    def _is_fresh(self) -> bool:
        return self._configuration.age_s <= self._catalog().fleet.key_freshness_s

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

    def _build_placer(self) -> PlacerParts:
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
            is_fresh=self._is_fresh,
            metrics=self._metrics,
            max_body_bytes=self._settings.max_body_bytes,
        )
        runner = CompletionRunner(
            engines=self._engines,
            placer=self._placer.placer,
            limiter=self._limiter,
            metrics=self._metrics,
            background=self._background,
        )
        completions = CompletionEndpoints(
            admission=admission, runner=runner, incarnation=self._incarnation
        )
        services = ServiceEndpoint(
            admission=admission,
            router=self._build_service_router(),
            claims=self._claims,
            background=self._background,
        )
        return build_caller_app(admission=admission, completions=completions, services=services)

    def _build_claims(self) -> ClaimBook:
        writer = ClaimWriter(
            store=self._store,
            link=self._link,
            metrics=self._metrics,
            rule=RetentionRule(),
            pace=WritePace(),
            wall_time_s=time.time,
            random_source=self._random,
        )
        return ClaimBook(
            writer=writer,
            attempts=Attempts(link=self._link),
            link=self._link,
            ownership=self._ownership,
            metrics=self._metrics,
            wall_time_s=time.time,
        )

    def _build_service_router(self) -> ServiceRouter:
        board = ServerBoard(
            data_centre=self._settings.data_centre,
            rule=EjectionRule(),
            random_source=self._random,
        )
        return ServiceRouter(
            catalog=self._catalog,
            client=PlainServiceClient(),
            board=board,
            budget=ShareBudget(),
            metrics=self._metrics,
            random_source=self._random,
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
            "configuration_age_s": finite_or_none(self._configuration.age_s),
            "vm_list_version": self._vms.snapshot.version,
            "membership": self._membership.status(),
            "link": attrs.asdict(self._link.counters),
        }
