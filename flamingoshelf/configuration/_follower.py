"""Keeps a node's catalog at the newest revision."""

import asyncio
import random
from collections.abc import Callable, Sequence

import attrs
from loguru import logger

from flamingoshelf.base import NodeLink, ObjectService, Ownership, VirtualMachine
from flamingoshelf.configuration._freshness import Freshness
from flamingoshelf.configuration._messages import OutageReport
from flamingoshelf.configuration._peers import PeerExchange
from flamingoshelf.configuration._state import RevisionState
from flamingoshelf.configuration._store_watch import StoreWatch
from flamingoshelf.configuration._tree import WatchTree
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.objects import Catalog
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["ConfigurationFollower"]

_LONG_POLL_S = 1.0
_POLL_INTERVAL_S = 0.5
_STORE_RETRY_DELAY_S = 0.5
_STALE_AFTER_S = 5.0  # with an older confirmation, a node also asks nodes other than its parent
_ISOLATED_AFTER_S = 5.0  # without a peer reply for this long, a node watches the object service
_MAX_FIRST_EXCHANGE_FAILURES = 3  # after this many failed requests, start without peers
_PEER_BACKOFF_S = 10.0
_RANDOM_PEER_INTERVAL_REQUESTS = 30  # one request in so many goes to a random node


@attrs.frozen(kw_only=True)
class _Target:
    """Peer to ask; `is_follower` says whether this node then counts as a follower of the peer."""

    peer: str
    is_follower: bool


class ConfigurationFollower:
    """Follows the object service or a peer; only moves to higher revisions.

    Parameters
    ----------
    store : ObjectService
        The platform's object service.
    link : NodeLink
        Messages between nodes.
    ownership : Ownership
        Ranks the nodes for `Duty.CONFIGURATION_WATCH`.
    vms : callable
        Returns the listed VMs.
    data_centre : str
        Data centre of this node.
    metrics : Metrics
        Counters of events.
    """

    def __init__(
        self,
        *,
        store: ObjectService,
        link: NodeLink,
        ownership: Ownership,
        vms: Callable[[], Sequence[VirtualMachine]],
        data_centre: str,
        metrics: Metrics,
    ) -> None:
        self._node_name = link.node_name
        self._data_centre = data_centre
        self._random = random.Random(link.incarnation)
        self._state = RevisionState()
        self._freshness = Freshness(fleet=lambda: self._state.catalog.fleet, vms=vms)
        self._tree = WatchTree(
            ownership=ownership,
            vms=vms,
            node_name=self._node_name,
            data_centre=data_centre,
            random_source=self._random,
        )
        self._peers = PeerExchange(
            link=link,
            state=self._state,
            freshness=self._freshness,
            tree=self._tree,
            count_event=metrics.count_event,
        )
        self._store_watch = StoreWatch(
            store=store,
            state=self._state,
            freshness=self._freshness,
            count_event=metrics.count_event,
        )
        self._metrics = metrics
        self._is_ready = False
        self._avoided_until_s: dict[str, float] = {}
        self._request_count = 0
        self._failure_count = 0
        self._last_peer_reply_s = float("-inf")
        self._first_exchange = asyncio.Event()
        self._tasks = TaskGroup(owner="configuration")

    @property
    def catalog(self) -> Catalog:
        """Objects of the newest revision that this node has loaded."""
        return self._state.catalog

    @property
    def is_ready(self) -> bool:
        """Whether this node is ready to serve; once True, it stays True.

        A node becomes ready when it holds a revision at least as high as any that its peers
        reported, and may honour keys.
        """
        if not self._is_ready:
            self._is_ready = (
                self._state.revision > 0
                and self._state.revision >= self._peers.highest_seen_revision
                and self.honours_keys
            )
        return self._is_ready

    @property
    def honours_keys(self) -> bool:
        """Whether API keys of the catalog may be honoured now."""
        return self._freshness.honours_keys

    @property
    def age_s(self) -> float:
        """Seconds since the revision was last confirmed to be the newest."""
        return self._freshness.age_s

    @property
    def is_watcher(self) -> bool:
        """Whether this node watches the object service."""
        return self._tree.is_watcher

    async def start(self) -> None:
        """Start following peers and the object service."""
        self._last_peer_reply_s = now_s()
        self._tasks.start(self._follow_peers(), name="peers")
        self._tasks.start(self._follow_store(), name="store")

    async def stop(self) -> None:
        """Stop following."""
        await self._tasks.stop()

    async def _follow_store(self) -> None:
        """Watch the object service while this node is a watcher or gets no replies from peers."""
        await asyncio.sleep(self._jittered(_POLL_INTERVAL_S))
        while True:
            is_isolated = now_s() - self._last_peer_reply_s > _ISOLATED_AFTER_S
            if not self._tree.is_watcher and not is_isolated:
                await asyncio.sleep(_POLL_INTERVAL_S)
                continue
            requested_s = now_s()
            try:
                await self._store_watch.watch_once(before_load=self._wait_for_first_exchange)
                self._freshness.end_outage(self._node_name)
            except FlamingoshelfError as error:
                logger.bind(step=error.step, peer=error.peer).warning(
                    "object service watch failed; retrying: {}", error
                )
                self._metrics.count_event("configuration_store_failures")
                self._report_outage(requested_s)
                await asyncio.sleep(self._jittered(_STORE_RETRY_DELAY_S))

    def _report_outage(self, requested_s: float) -> None:
        report = OutageReport(
            node=self._node_name,
            data_centre=self._data_centre,
            age_s=0.0,
            reached=self._tree.follower_count,
        )
        self._freshness.report_outage(report, at_s=requested_s)

    async def _follow_peers(self) -> None:
        await asyncio.sleep(self._jittered(_POLL_INTERVAL_S) / 2)
        while True:
            target = self._choose_target()
            if target is None:
                self._first_exchange.set()
                await asyncio.sleep(_POLL_INTERVAL_S)
                continue
            await self._sync_from(target)

    async def _sync_from(self, target: _Target) -> None:
        wait_s = _LONG_POLL_S if target.is_follower and self.is_ready else 0.0
        try:
            await self._peers.sync_from(target.peer, wait_s=wait_s, is_follower=target.is_follower)
            self._last_peer_reply_s = now_s()
            self._avoided_until_s.pop(target.peer, None)
            self._first_exchange.set()
        except FlamingoshelfError as error:
            logger.bind(step=error.step, peer=target.peer).debug(
                "peer state request failed: {}", error
            )
            self._metrics.count_event("configuration_peer_failures")
            self._avoided_until_s[target.peer] = now_s() + _PEER_BACKOFF_S
            wait_s = 0.0
            self._failure_count += 1
            if self._failure_count >= _MAX_FIRST_EXCHANGE_FAILURES:
                self._first_exchange.set()
        if wait_s == 0.0:
            await asyncio.sleep(self._jittered(_POLL_INTERVAL_S))

    def _choose_target(self) -> _Target | None:
        """Return the peer to ask next, or None if there is none.

        A watcher asks another watcher, and only while its confirmation is old or it is not ready.
        Other nodes ask their parent, or a fallback after a failed request to the parent, and at
        intervals a random node.
        """
        self._request_count += 1
        is_stale = self.age_s > _STALE_AFTER_S or not self.is_ready
        if self._tree.is_watcher:
            peer = self._tree.other_watcher() if is_stale else None
            return None if peer is None else _Target(peer=peer, is_follower=False)
        if self._request_count % (2 if is_stale else _RANDOM_PEER_INTERVAL_REQUESTS) == 0:
            peer = self._tree.random_node()
            return None if peer is None else _Target(peer=peer, is_follower=False)
        avoided = {name for name, until_s in self._avoided_until_s.items() if until_s > now_s()}
        peer = self._tree.parent()
        if peer in avoided:
            peer = self._tree.fallback_parent(avoided)
        return None if peer is None else _Target(peer=peer, is_follower=True)

    async def _wait_for_first_exchange(self) -> None:
        await self._first_exchange.wait()

    def _jittered(self, seconds: float) -> float:
        return seconds * self._random.uniform(0.5, 1.0)
