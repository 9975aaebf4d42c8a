"""Exchange of the configuration between nodes after a restore of the store from a copy.

The copy may hold an earlier configuration until the operators' one is written again. Nodes that run
keep the newer version; a node that starts in the meantime gets it from them.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import attrs
from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.gateway._active_configuration import ActiveConfiguration
from flamingoshelf.nodes import message
from flamingoshelf.routing import GatewayConfiguration
from flamingoshelf.store import StoreEras
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["ConfigurationAnswer", "ConfigurationExchange", "ConfigurationRequest"]

_REQUEST_TIMEOUT_S = 1.0
# A change that the operators write reaches most nodes through the store within this time.
_MIN_DELAY_S = 0.1
_MAX_DELAY_S = 0.5  # spreads the requests of nodes that start together
# After this time without any other node, the configuration of the store is used.
_CONFIRMATION_WAIT_S = 1.5


@message
@attrs.frozen(kw_only=True)
class ConfigurationRequest:
    """Request for the configuration in force at a node."""


@message
@attrs.frozen(kw_only=True)
class ConfigurationAnswer:
    """Reply with the operators' document of the configuration in force; None if there is none."""

    document: Any = None


class ConfigurationExchange:
    """Asks other nodes for a newer configuration than the restored store has.

    Parameters
    ----------
    configuration : ActiveConfiguration
        The configuration in force.
    decode : callable
        ``decode(document)`` returns the configuration; raises `ConfigurationError`.
    eras : StoreEras
        Eras of the store; nothing is asked for before the first restore.
    random_source : random.Random
        Source of the jitter of the requests.
    """

    def __init__(
        self,
        *,
        configuration: ActiveConfiguration,
        decode: Callable[[Any], GatewayConfiguration],
        eras: StoreEras,
        random_source: random.Random,
    ) -> None:
        self._configuration = configuration
        self._decode = decode
        self._eras = eras
        self._random = random_source
        self._link: NodeLink | None = None
        self._is_asking = False
        self._is_confirmed = False
        self._known_since_s: float | None = None
        self._tasks = TaskGroup(owner="configuration")

    @property
    def is_confirmed(self) -> bool:
        """Whether no other node is known to have a newer configuration than this one at its start.

        True without a restore of the store, or if no other node answers in time.
        """
        if not self._eras.was_restored or self._is_confirmed:
            return True
        if self._known_since_s is None and self._configuration.is_known:
            self._known_since_s = now_s()
        return (
            self._known_since_s is not None
            and now_s() >= self._known_since_s + _CONFIRMATION_WAIT_S
        )

    async def stop(self) -> None:
        """Cancel a request under way."""
        await self._tasks.stop()

    def connect(self, link: NodeLink) -> None:
        """Answer other nodes, and ask them, over `link`."""
        self._link = link
        link.register(ConfigurationRequest, self._on_request)

    def record_version(self, peer: str, version: int) -> None:
        """Record the version that is in force at another node; ask for it if it is newer."""
        if version <= self._configuration.version:
            self._is_confirmed = self._is_confirmed or self._configuration.is_known
        elif self._eras.was_restored and not self._is_asking and self._link is not None:
            self._is_asking = True
            self._tasks.start(self._ask(self._link, peer, version), name="ask")

    async def _ask(self, link: NodeLink, peer: str, version: int) -> None:
        try:
            await asyncio.sleep(self._random.uniform(_MIN_DELAY_S, _MAX_DELAY_S))
            if version <= self._configuration.version:
                return
            answer = await link.request(peer, ConfigurationRequest(), timeout_s=_REQUEST_TIMEOUT_S)
            assert isinstance(answer, ConfigurationAnswer)
            if answer.document is not None:
                self._configuration.adopt(self._decode(answer.document), document=answer.document)
                self._is_confirmed = True
        except FlamingoshelfError as error:
            logger.bind(step="configuration", peer=peer, version=version).info(
                "configuration not received from another node: {}", error.message
            )
        finally:
            self._is_asking = False

    async def _on_request(self, peer: str, request: ConfigurationRequest) -> ConfigurationAnswer:
        return ConfigurationAnswer(document=self._configuration.document)
