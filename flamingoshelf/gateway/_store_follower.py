"""Keeps a node up to date with the platform's store, directly or through a relaying node."""

import random
from collections.abc import Callable, Mapping

from flamingoshelf.base import NodeLink
from flamingoshelf.cluster import Coordination, MemberList
from flamingoshelf.gateway._store_listeners import RelayingListener
from flamingoshelf.store import (
    KindListener,
    KindStore,
    KindWatcher,
    RelayedStore,
    StoreEras,
    StoreRelay,
    era_of,
)

__all__ = ["StoreFollower"]

_WATCH_WAIT_S = 5.0  # each watch call is billed; dead connections are found by probes


class StoreFollower:
    """Watches object kinds of the store, and relays their changes to other nodes.

    In each data centre the node that comes first by precedence watches the store; the others
    follow that node.

    Parameters
    ----------
    store : KindStore
        The platform's store.
    listeners : mapping
        Listeners that receive the objects and changes, by kind.
    node_name, data_centre : str
        This node and its data centre.
    members : MemberList
        The nodes of the fleet.
    coordination : callable
        Returns the state of the other nodes, or None before this node has joined the fleet.
    random_source : random.Random
        Source of jitter for retries.
    eras : StoreEras
        Eras of the store.
    """

    def __init__(
        self,
        *,
        store: KindStore,
        listeners: Mapping[str, KindListener],
        node_name: str,
        data_centre: str,
        members: MemberList,
        coordination: Callable[[], Coordination | None],
        random_source: random.Random,
        eras: StoreEras,
    ) -> None:
        self._eras = eras
        self._node_name = node_name
        self._data_centre = data_centre
        self._members = members
        self._coordination = coordination
        self._relay = StoreRelay(kinds=tuple(listeners), is_current=self._is_current)
        self._store = RelayedStore(
            store=store, relay=self._choose_relay, substitutes=self._other_nodes, eras=eras
        )
        self._watchers = {
            kind: KindWatcher(
                store=self._store,
                kind=kind,
                listener=RelayingListener(listener=listener, relay=self._relay, kind=kind),
                wait_s=_WATCH_WAIT_S,
                random_source=random_source,
                eras=eras,
            )
            for kind, listener in listeners.items()
        }

    @property
    def revisions(self) -> dict[str, int]:
        """Revision of the last known change, by kind."""
        return {kind: watcher.last_change for kind, watcher in self._watchers.items()}

    async def start(self) -> None:
        """Start watching."""
        for watcher in self._watchers.values():
            await watcher.start()

    async def stop(self) -> None:
        """Stop watching."""
        for watcher in self._watchers.values():
            await watcher.stop()
        await self._store.stop()

    def set_link(self, link: NodeLink) -> None:
        """Follow other nodes over `link`, and serve the nodes that follow this one."""
        self._relay.register(link)
        self._store.set_link(link)

    def expect_change(self, revisions: Mapping[str, int]) -> None:
        """Query the store again if another node reports later revisions than are known here."""
        for kind, revision in revisions.items():
            self._eras.observe(era_of(revision), source="another node")
            watcher = self._watchers.get(kind)
            if watcher is not None:
                watcher.expect_change(revision)

    def _is_current(self, kind: str) -> bool:
        """Return whether this node watches a kind at the store itself and is up to date."""
        return self._store.reads_store_directly(kind) and self._watchers[kind].is_current

    def _choose_relay(self) -> str | None:
        """Return the node to follow, or None if this node watches the store itself."""
        coordination = self._coordination()
        if coordination is None:
            return None
        responsive = coordination.responsive_members() | {self._node_name}
        local_nodes = [
            member.name
            for member in self._members.by_precedence()
            if member.data_centre == self._data_centre
            and member.name in responsive
            and not coordination.is_leaving(member.name)
        ]
        return local_nodes[0] if local_nodes and local_nodes[0] != self._node_name else None

    def _other_nodes(self) -> list[str]:
        """Return the other responsive nodes, those of this data centre first."""
        coordination = self._coordination()
        if coordination is None:
            return []
        responsive = coordination.responsive_members()
        members = [member for member in self._members.by_precedence() if member.name in responsive]
        members.sort(key=lambda member: member.data_centre != self._data_centre)
        return [member.name for member in members if member.name != self._node_name]
