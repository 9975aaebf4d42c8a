"""Protection of backend servers from requests that crash them, shared by all nodes."""

import random
import time
from collections.abc import Awaitable, Callable

from flamingoshelf.base import NodeLink
from flamingoshelf.cluster import MemberList
from flamingoshelf.gateway._crash_detector import CrashDetector
from flamingoshelf.quarantine import CrashArchive, Quarantine, QuarantineService
from flamingoshelf.routing import BackendInstance, InstanceDirectory
from flamingoshelf.store import KindStore, StoreEras
from flamingoshelf.telemetry import Metrics

__all__ = ["CrashProtection"]


class CrashProtection:
    """The detector of crashes, this node's quarantine, and its copy in the store.

    Parameters
    ----------
    store : KindStore
        The platform's store.
    eras : StoreEras
        Eras of the store.
    members : MemberList
        The nodes that share what they know.
    directory : InstanceDirectory
        Registered backend servers.
    metrics : Metrics
        Counters.
    random_source : random.Random
        Source of the random choice of nodes.
    may_write : callable
        Returns whether this node writes the copy in the store.
    is_cut_off : callable
        Returns whether there are nodes that this one can't reach.
    is_path_cut : callable
        ``await is_path_cut(instance)`` returns whether only this node's path to a server has
        failed.
    """

    def __init__(
        self,
        *,
        store: KindStore,
        eras: StoreEras,
        members: MemberList,
        directory: InstanceDirectory,
        metrics: Metrics,
        random_source: random.Random,
        may_write: Callable[[], bool],
        is_cut_off: Callable[[], bool],
        is_path_cut: Callable[[BackendInstance], Awaitable[bool]],
    ) -> None:
        self._quarantine = QuarantineService(
            quarantine=Quarantine(),
            peers=lambda: [member.name for member in members],
            metrics=metrics,
            random_source=random_source,
        )
        self._detector = CrashDetector(
            guard=self._quarantine, is_succeeded=directory.has_successor, is_cut=is_path_cut
        )
        self._archive = CrashArchive(
            store=store,
            quarantine=self._quarantine,
            may_write=may_write,
            is_cut_off=is_cut_off,
            eras=eras,
            wall_time_s=time.time,
        )

    @property
    def detector(self) -> CrashDetector:
        """Detector of crashes, which refuses the content that causes them."""
        return self._detector

    @property
    def quarantine(self) -> QuarantineService:
        """Quarantine of this node."""
        return self._quarantine

    def connect(self, link: NodeLink) -> None:
        """Exchange what is known with other nodes over `link`."""
        self._quarantine.connect(link)

    async def start(self) -> None:
        """Read the copy in the store, and keep it up to date."""
        await self._archive.start()

    async def stop(self) -> None:
        """Stop all checks and calls."""
        await self._archive.stop()
        await self._detector.stop()
        await self._quarantine.stop()
