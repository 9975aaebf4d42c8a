"""Tree by which revisions spread from the object service to all nodes.

The live VMs of a data centre are ranked. The first ones watch the object service. Each other node
asks its parent in a tree of fixed fan-out over the ranking.
"""

import random
from collections.abc import Callable, Collection, Sequence

from flamingoshelf.base import Duty, Ownership, VirtualMachine
from flamingoshelf.utils import now_s

__all__ = ["WatchTree"]

_WATCHER_COUNT = 2
_FAN_OUT = 6
_FOLLOWER_TIMEOUT_S = 3.0


class WatchTree:
    """Position of this node in the tree of its data centre.

    Parameters
    ----------
    ownership : Ownership
        Ranks the nodes.
    vms : callable
        Returns the listed VMs.
    node_name, data_centre : str
        This node and its data centre.
    random_source : random.Random
        Source for choosing random nodes.
    """

    def __init__(
        self,
        *,
        ownership: Ownership,
        vms: Callable[[], Sequence[VirtualMachine]],
        node_name: str,
        data_centre: str,
        random_source: random.Random,
    ) -> None:
        self._ownership = ownership
        self._vms = vms
        self._node_name = node_name
        self._data_centre = data_centre
        self._random = random_source
        self._followers: dict[str, tuple[float, int]] = {}

    @property
    def is_watcher(self) -> bool:
        """Whether this node watches the object service; True as well if no node is ranked."""
        ranked = self._ranked(self._data_centre)
        return not ranked or self._node_name in ranked[:_WATCHER_COUNT]

    @property
    def follower_count(self) -> int:
        """Number of nodes that follow through this one, itself included."""
        oldest_s = now_s() - _FOLLOWER_TIMEOUT_S
        self._followers = {
            name: entry for name, entry in self._followers.items() if entry[0] >= oldest_s
        }
        return 1 + sum(count for _, count in self._followers.values())

    def record_follower(self, peer: str, count: int) -> None:
        """Record that `peer` and the nodes below it, `count` in all, follow through this node."""
        if count > 0:
            self._followers[peer] = (now_s(), count)

    def parent(self) -> str | None:
        """Return the node to ask; None if this node watches the object service.

        A node that is not ranked gets a random watcher.
        """
        ranked = self._ranked(self._data_centre)
        if self._node_name not in ranked:
            return self._choose_other(ranked[:_WATCHER_COUNT])
        position = ranked.index(self._node_name)
        if position < _WATCHER_COUNT:
            return None
        return ranked[(position - _WATCHER_COUNT) // _FAN_OUT]

    def fallback_parent(self, avoided: Collection[str]) -> str | None:
        """Return the highest-ranked node above this one that is not in `avoided`."""
        ranked = self._ranked(self._data_centre)
        position = ranked.index(self._node_name) if self._node_name in ranked else len(ranked)
        above = ranked[: max(position, _WATCHER_COUNT)]
        return next((name for name in above if name not in avoided), None)

    def other_watcher(self) -> str | None:
        """Return a random other watcher of any data centre, or any other node if there is none."""
        names = {vm.data_centre for vm in self._vms()}
        watchers = [name for dc in sorted(names) for name in self._ranked(dc)[:_WATCHER_COUNT]]
        return self._choose_other(watchers) or self.random_node()

    def random_node(self) -> str | None:
        """Return a random other node of the fleet."""
        return self._choose_other([vm.name for vm in self._vms()])

    def _ranked(self, data_centre: str) -> list[str]:
        members = {vm.name for vm in self._vms() if vm.data_centre == data_centre}
        ranked = self._ownership.candidates(Duty.CONFIGURATION_WATCH, data_centre)
        return [name for name in ranked if name in members]

    def _choose_other(self, names: Sequence[str]) -> str | None:
        others = [name for name in names if name != self._node_name]
        return self._random.choice(others) if others else None
