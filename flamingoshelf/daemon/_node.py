"""Puts the parts of a node together."""

import asyncio
import math
import random
from typing import Any

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
from flamingoshelf.configuration import ConfigurationFollower
from flamingoshelf.daemon._http_server import HttpServer
from flamingoshelf.dispatch import LocalPlacer
from flamingoshelf.limits import PerNodeLimiter
from flamingoshelf.membership import ListedOwnership, VmView
from flamingoshelf.nodes import WebsocketNodeLink
from flamingoshelf.objects import Catalog
from flamingoshelf.operators import build_operator_app
from flamingoshelf.platform import HttpObjectService, HttpVmList
from flamingoshelf.settings import Settings
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup, new_incarnation

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
        self._link = self._build_link()
        self._ownership = ListedOwnership(vms=self._vms, node_name=settings.node_name)
        self._configuration = ConfigurationFollower(
            store=self._store,
            link=self._link,
            ownership=self._ownership,
            vms=lambda: self._vms.snapshot.vms,
            data_centre=settings.data_centre,
            metrics=self._metrics,
        )
        self._engines = HttpEngineClient()
        self._placer = LocalPlacer(catalog=self._catalog)
        self._limiter = PerNodeLimiter(catalog=self._catalog, node_count=self._node_count)
        self._parts: tuple[Service, ...] = (self._vms, self._link, self._configuration)
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
        return self._configuration.is_ready and not self._is_leaving

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

    def _build_link(self) -> WebsocketNodeLink:
        return WebsocketNodeLink(
            node_name=self._settings.node_name,
            incarnation=self._incarnation,
            listen_address=self._settings.peer_address,
            secret=self._settings.cluster_secret,
            resolve=self._vms.address_of,
        )

    def _build_caller_app(self) -> Any:
        admission = Admission(
            catalog=self._catalog,
            is_fresh=lambda: self._configuration.honours_keys,
            metrics=self._metrics,
            max_body_bytes=self._settings.max_body_bytes,
        )
        runner = CompletionRunner(
            engines=self._engines,
            placer=self._placer,
            limiter=self._limiter,
            metrics=self._metrics,
            background=self._background,
        )
        completions = CompletionEndpoints(
            admission=admission, runner=runner, incarnation=self._incarnation
        )
        services = ServiceEndpoint(
            admission=admission,
            client=PlainServiceClient(),
            metrics=self._metrics,
            random_source=random.Random(self._incarnation),
        )
        return build_caller_app(completions=completions, services=services)

    def _build_operator_app(self) -> Any:
        return build_operator_app(
            is_ready=lambda: self.is_ready, metrics=self._metrics, status=self._status
        )

    def _status(self) -> dict[str, Any]:
        age_s = round(self._configuration.age_s, 3)
        return {
            "node": self._settings.node_name,
            "data_centre": self._settings.data_centre,
            "incarnation": self._incarnation,
            "ready": self.is_ready,
            "revision": self._catalog().revision,
            "configuration_watcher": self._configuration.is_watcher,
            "honours_keys": self._configuration.honours_keys,
            "configuration_age_s": age_s if math.isfinite(age_s) else None,
            "peer_bytes_sent": self._link.traffic.sent_bytes,
            "peer_bytes_received": self._link.traffic.received_bytes,
            "vm_list_version": self._vms.snapshot.version,
        }
