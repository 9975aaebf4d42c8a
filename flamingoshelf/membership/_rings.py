"""Choice of the peers with which a node exchanges heartbeats."""

from collections.abc import Iterable

from flamingoshelf.utils import stable_hash

__all__ = ["RING_COUNT", "ring_successors"]

RING_COUNT = 4


def ring_successors(names: Iterable[str], node_name: str) -> tuple[str, ...]:
    """Return the nodes that follow `node_name` on each of `RING_COUNT` rings.

    Notes
    -----
    Each ring is a pseudo-random order of all nodes that is the same on every node. A node has one
    successor and one predecessor per ring, so heartbeat load is even, and a message that every
    node forwards once reaches all nodes in a few steps.

    Examples
    --------
    >>> sorted(ring_successors(["a", "b"], "a"))
    ['b']
    """
    listed = set(names) | {node_name}
    successors = (_successor(listed, node_name, ring) for ring in range(RING_COUNT))
    return tuple(dict.fromkeys(name for name in successors if name != node_name))


def _successor(names: set[str], node_name: str, ring: int) -> str:
    own_position = _position(node_name, ring)
    positions = {name: _position(name, ring) for name in names}
    following = [name for name, position in positions.items() if position > own_position]
    return min(following or names, key=lambda name: positions[name])


def _position(name: str, ring: int) -> int:
    return stable_hash("ring", str(ring), name)
