"""Size of the fleet, and the nodes that this one can reach."""

from flamingoshelf.cluster import Coordination, MemberList

__all__ = ["FleetView"]


class FleetView:
    """The fleet as this node sees it.

    Parameters
    ----------
    members : MemberList
        Known nodes.
    """

    def __init__(self, *, members: MemberList) -> None:
        self._members = members
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
        """Return the names of the other nodes that may be asked for help, the coordinator first."""
        coordination = self._coordination
        if coordination is None:
            return []
        names = [n for n in coordination.responsive_members() if not coordination.is_leaving(n)]
        return sorted(names, key=lambda name: (name != coordination.coordinator, name))
