"""Size of the fleet, and the nodes that this one can reach."""

import itertools
import random

from flamingoshelf.cluster import Coordination, MemberList

__all__ = ["FleetView"]


class FleetView:
    """The fleet as this node sees it.

    Parameters
    ----------
    members : MemberList
        Known nodes.
    data_centre : str
        Data centre of this node.
    random_source : random.Random
        Source of the order in which nodes are asked for help.
    """

    def __init__(
        self, *, members: MemberList, data_centre: str, random_source: random.Random
    ) -> None:
        self._members = members
        self._data_centre = data_centre
        self._random = random_source
        self._coordination: Coordination | None = None

    def connect(self, coordination: Coordination) -> None:
        """Use what the heartbeats tell from now on."""
        self._coordination = coordination

    def node_count(self) -> int:
        """Return the number of nodes, this one included."""
        return max(1, len(self._members))

    def placing_node_count(self) -> int:
        """Return how many nodes may be placing requests: 1 while all members are reachable."""
        # Otherwise an upper bound, assuming each part of a split fleet is as large as this one.
        reachable = 1 if self._coordination is None else self._coordination.reachable_count
        return max(1, -(-len(self._members) // reachable))

    def may_others_place(self) -> bool:
        """Return whether this node places requests while nodes it cannot reach may do so too."""
        coordination = self._coordination
        if coordination is None:
            return True
        return coordination.is_coordinator and coordination.reachable_count < len(self._members)

    def responsive_nodes(self) -> set[str]:
        """Return the names of the other nodes that replied lately."""
        return set() if self._coordination is None else self._coordination.responsive_members()

    def peers(self) -> list[str]:
        """Return the other nodes that may be asked for help, in the order to ask them.

        Nodes of this data centre and of others take turns, as a whole data centre may be cut off;
        the coordinator, which is busiest, comes last.
        """
        coordination = self._coordination
        if coordination is None:
            return []
        responsive = coordination.responsive_members()
        members = [m for m in self._members if m.name in responsive]
        members = [m for m in members if not coordination.is_leaving(m.name)]
        self._random.shuffle(members)
        local = [m.name for m in members if m.data_centre == self._data_centre]
        remote = [m.name for m in members if m.data_centre != self._data_centre]
        turns = itertools.chain.from_iterable(itertools.zip_longest(local, remote))
        names = [name for name in turns if name is not None]
        return sorted(names, key=lambda name: name == coordination.coordinator)
