"""List of the known nodes and their order of precedence."""

import math
from collections.abc import Iterable, Iterator

import attrs

from flamingoshelf.utils import stable_hash

__all__ = ["Member", "MemberList"]

_MIN_CAPACITY_CORES = 1 / 64  # smaller capacities rank like this one


@attrs.frozen(kw_only=True)
class Member:
    """Entry of one node.

    Parameters
    ----------
    name : str
        Name of the node's VM.
    address : str
        ``ip:port`` at which peers reach the node.
    data_centre : str
        Data centre of the VM.
    rank : int
        Store revision at which this run of the node registered; earlier runs have a lower rank. It
        stays the same when the node registers again after a restore of the store.
    capacity : float
        Number of cores that the VM can use, lower if its network link is slow.
    """

    name: str
    address: str
    data_centre: str
    rank: int
    capacity: float = 1.0

    @property
    def precedence(self) -> tuple[int, int, str]:
        """Sort key of the order in which members take duties for others, lowest first.

        Members are sorted by the binary logarithm of their capacity, rounded down, the largest
        first; so a VM of twice the capacity always precedes. Among equals the member that
        registered first precedes, so that a node that joins does not take over duties.

        Examples
        --------
        >>> strong = Member(name="a", address="", data_centre="", rank=7, capacity=2.15)
        >>> weak = Member(name="b", address="", data_centre="", rank=1, capacity=0.5)
        >>> strong.precedence < weak.precedence
        True
        """
        return -math.floor(math.log2(max(self.capacity, _MIN_CAPACITY_CORES))), self.rank, self.name


class MemberList:
    """Known members by name; of two entries for a node, the one with the higher rank is kept."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._ordered: list[Member] | None = None
        self._digest = 0

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(list(self._members.values()))

    @property
    def digest(self) -> int:
        """Digest of all entries, independent of their order; equal lists have equal digests.

        It is updated with each change rather than computed here, since every heartbeat compares it.
        """
        return self._digest

    def get(self, name: str) -> Member | None:
        """Return a member by name, None if it is not known."""
        return self._members.get(name)

    def address_of(self, name: str) -> str | None:
        """Return the address of a node, or None if it is not known."""
        member = self._members.get(name)
        return None if member is None else member.address

    def by_precedence(self) -> list[Member]:
        """Return the members sorted by precedence, the first candidate for duties first."""
        if self._ordered is None:
            self._ordered = sorted(self._members.values(), key=lambda member: member.precedence)
        return list(self._ordered)

    def merge(self, members: Iterable[Member]) -> list[Member]:
        """Add entries that are new or have a higher rank than the known ones; return them."""
        newer = []
        for member in members:
            known = self._members.get(member.name)
            if known is None or member.rank > known.rank:
                self._set(member.name, member)
                newer.append(member)
        return newer

    def remove(self, name: str) -> None:
        """Remove a node."""
        self._set(name, None)

    def _set(self, name: str, member: Member | None) -> None:
        known = self._members.pop(name, None)
        for entry in (known, member):
            if entry is not None:
                self._digest ^= stable_hash(entry.name, entry.address, str(entry.rank))
        if member is not None:
            self._members[name] = member
        self._ordered = None
