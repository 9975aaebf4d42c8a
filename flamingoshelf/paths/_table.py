"""State of this node's path to each backend server."""

import math
from collections.abc import Callable, Collection
from enum import StrEnum

import attrs
from loguru import logger

from flamingoshelf.routing import BackendInstance
from flamingoshelf.utils import now_s

__all__ = ["PathState", "PathTable"]


class PathState(StrEnum):
    """How a server is called."""

    DIRECT = "direct"
    CUT = "cut"  # through other nodes, which reach it
    LOST = "lost"  # not at all: no node that was asked has reached it for a time


@attrs.define(kw_only=True)
class _Path:
    """A path that has failed and has carried no call since.

    Attributes
    ----------
    since_s : float
        Time from which the server has not answered.
    keeps_connections : bool
        Whether open connections still carry calls, though new ones fail.
    peers : list of str
        Nodes that reach the server.
    probed_s : float
        Time of the last probe.
    """

    instance: BackendInstance
    since_s: float
    state: PathState = PathState.DIRECT
    keeps_connections: bool = False
    peers: list[str] = attrs.field(factory=list)
    probed_s: float = -math.inf


class PathTable:
    """Paths by the key of their server; all are direct unless the table says otherwise."""

    def __init__(self) -> None:
        self._answered_s: dict[str, float] = {}
        self._connected_s: dict[str, float] = {}  # time of the last answer on a new connection
        self._paths: dict[str, _Path] = {}
        self._listeners: list[Callable[[str], None]] = []

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Call ``listener(key)`` when calls to a server begin to take another way."""
        self._listeners.append(listener)

    def state(self, key: str) -> PathState:
        """Return how a server is called."""
        path = self._paths.get(key)
        return PathState.DIRECT if path is None else path.state

    def failed_since_s(self, key: str) -> float:
        """Return the time since when a path has carried no call; now if it hasn't failed."""
        path = self._paths.get(key)
        return now_s() if path is None else path.since_s

    def failed_count(self) -> int:
        """Return the number of paths that have failed and have carried no call since."""
        return len(self._paths)

    def keeps_connections(self, key: str) -> bool:
        """Return whether open connections to a server carry calls though new ones fail."""
        path = self._paths.get(key)
        return path is not None and path.keeps_connections

    def peers(self, key: str) -> tuple[str, ...]:
        """Return the nodes that reach a server."""
        path = self._paths.get(key)
        return () if path is None else tuple(path.peers)

    def all_peers(self) -> set[str]:
        """Return the nodes that reach any server that this node doesn't reach."""
        return {peer for path in self._paths.values() for peer in path.peers}

    def answered_s(self, key: str) -> float:
        """Return the time of the last answer over this node's own path."""
        return self._answered_s.get(key, -math.inf)

    def unreached(self) -> list[BackendInstance]:
        """Return the servers that this node doesn't reach, the one probed longest ago first."""
        paths = [path for path in self._paths.values() if path.state is not PathState.DIRECT]
        return [path.instance for path in sorted(paths, key=lambda path: path.probed_s)]

    def record_answer(self, key: str, *, is_fresh: bool) -> None:
        """Record an answer over this node's own path.

        Only one over a new connection (`is_fresh`) ends a cut: open ones may live on in it.
        """
        self._answered_s[key] = now_s()
        if is_fresh:
            self._connected_s[key] = now_s()
        path = self._paths.get(key)
        if path is not None and (is_fresh or path.state is PathState.DIRECT):
            self.restore(key)

    def record_failure(self, instance: BackendInstance, *, since_s: float) -> None:
        """Record that a server hasn't answered since a time, or since an earlier one."""
        path = self._paths.get(instance.key)
        if path is None:
            path = self._paths[instance.key] = _Path(instance=instance, since_s=since_s)
        path.instance = instance

    def record_probe(self, key: str) -> None:
        """Record that a probe of a server begins."""
        path = self._paths.get(key)
        if path is not None:
            path.probed_s = now_s()

    def mark_cut(
        self,
        instance: BackendInstance,
        peers: Collection[str],
        *,
        checked_s: float,
        keeps_connections: bool,
    ) -> None:
        """Call a server through other nodes from now on, as a check that began at a time found.

        An answer on a new connection since then proves the contrary.
        """
        if self._connected_s.get(instance.key, -math.inf) > checked_s:
            return
        self.record_failure(instance, since_s=checked_s)
        path = self._paths[instance.key]
        before, path.state = path.state, PathState.CUT
        path.peers = list(peers)
        path.keeps_connections = keeps_connections
        path.probed_s = now_s()
        logger.bind(
            step="path",
            peer=instance.key,
            service=instance.service,
            peers=path.peers,
            keeps_connections=keeps_connections,
            silent_s=round(now_s() - path.since_s, 3),
        ).warning("path to a backend server is cut; calling it through other nodes")
        if before is not PathState.CUT:
            self._tell(instance.key)

    def mark_lost(self, instance: BackendInstance) -> None:
        """Don't call a server until it answers, as no node reaches it."""
        path = self._paths.get(instance.key)
        if path is None or path.state is PathState.LOST:
            return
        path.state = PathState.LOST
        path.keeps_connections = False
        path.peers = []
        logger.bind(
            step="path",
            peer=instance.key,
            service=instance.service,
            silent_s=round(now_s() - path.since_s, 3),
        ).warning("no node reaches a backend server; not calling it")
        self._tell(instance.key)

    def stop_keeping(self, key: str) -> bool:
        """Use no open connection to a server any more; return whether any were used."""
        path = self._paths.get(key)
        if path is None or not path.keeps_connections:
            return False
        path.keeps_connections = False
        logger.bind(step="path", peer=key).info("open connections to a backend server fail, too")
        return True

    def drop_peer(self, key: str, peer: str) -> bool:
        """Don't call a server through a node any more; return whether no other node is left."""
        path = self._paths.get(key)
        if path is None or peer not in path.peers:
            return False
        path.peers.remove(peer)
        return not path.peers

    def restore(self, key: str) -> None:
        """Call a server directly from now on."""
        path = self._paths.pop(key, None)
        if path is None or path.state is PathState.DIRECT:
            return
        logger.bind(
            step="path",
            peer=key,
            service=path.instance.service,
            state_before=path.state.value,
            after_s=round(now_s() - path.since_s, 3),
        ).info("path to a backend server restored")
        self._tell(key)

    def retain(self, keys: Collection[str]) -> None:
        """Drop the paths to all servers except `keys`."""
        for times_s in (self._answered_s, self._connected_s):
            for key in times_s.keys() - set(keys):
                del times_s[key]
        for key in self._paths.keys() - set(keys):
            del self._paths[key]

    def _tell(self, key: str) -> None:
        for listener in self._listeners:
            listener(key)
