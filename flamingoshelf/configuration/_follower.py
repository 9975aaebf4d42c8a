"""Keeps a node's catalog at the newest revision."""

import asyncio

from loguru import logger

from flamingoshelf.base import ObjectService
from flamingoshelf.configuration._documents import HEAD_KEY
from flamingoshelf.configuration._repository import Repository
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.objects import Catalog
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["ConfigurationFollower"]

_WATCH_S = 3.0  # a revision is at most two watches old; 5 s reached the freshness limit
_RETRY_S = 0.5


class ConfigurationFollower:
    """Follows the head object; only ever moves to a higher revision.

    Parameters
    ----------
    store : ObjectService
        The platform's object service.
    """

    def __init__(self, *, store: ObjectService) -> None:
        self._store = store
        self._repository = Repository(store=store)
        self._catalog = Catalog(revision=0, objects=())
        self._head_version = 0
        self._confirmed_s = float("-inf")
        self._tasks = TaskGroup(owner="configuration")

    @property
    def catalog(self) -> Catalog:
        """The newest revision that this node knows."""
        return self._catalog

    @property
    def is_ready(self) -> bool:
        """Whether a revision was loaded."""
        return self._catalog.revision > 0

    @property
    def age_s(self) -> float:
        """Seconds since the revision was last confirmed to be the newest."""
        return now_s() - self._confirmed_s

    async def start(self) -> None:
        """Start to follow."""
        self._tasks.start(self._follow(), name="follow")

    async def stop(self) -> None:
        """Stop to follow."""
        await self._tasks.stop()

    async def _follow(self) -> None:
        while True:
            try:
                await self._follow_once()
            except FlamingoshelfError as error:
                logger.bind(step=error.step, peer=error.peer).warning("not followed: {}", error)
                await asyncio.sleep(_RETRY_S)

    async def _follow_once(self) -> None:
        asked_s = now_s()
        stored = await self._store.watch(
            HEAD_KEY, after_version=self._head_version, timeout_s=_WATCH_S
        )
        if stored is not None and stored.version > self._head_version:
            revision = await self._repository.load(stored)
            self._adopt(revision.catalog)
            self._head_version = stored.version
        self._confirmed_s = asked_s

    def _adopt(self, catalog: Catalog) -> None:
        if catalog.revision <= self._catalog.revision:
            return
        logger.info("revision {} in force", catalog.revision)
        self._catalog = catalog
