"""Nodes that this node knows of."""

import math
from collections.abc import Iterable, Iterator

import attrs

from flamingoshelf.utils import stable_hash

__all__ = ["Member", "MemberList"]

_LEAST_CAPACITY = 1 / 64  # cores; weaker VMs are all alike


@attrs.frozen(kw_only=True)
class Member:
    """One node.

    Parameters
    ----------
    name : str
        Name of its VM.
    address : str
        ``ip:port`` at which its peers reach it.
    data_centre : str
        Data centre of its VM.
    rank : int
        Revision of the store at which this run of the node registered.
    capacity : float
        Cores that its VM can use, or fewer if its network link is slow.
    """

    name: str
    address: str
    data_centre: str
    rank: int
    capacity: float = 1.0

    @property
    def precedence(self) -> tuple[int, int, str]:
        """Order in which members take duties for others, lowest first.

        VMs of twice the capacity go before others; among equals the one that registered first,
        so that a node that joins moves nothing.

        Examples
        --------
        >>> strong = Member(name="a", address="", data_centre="", rank=7, capacity=2.15)
        >>> weak = Member(name="b", address="", data_centre="", rank=1, capacity=0.5)
        >>> strong.precedence < weak.precedence
        True
        """
        return -math.floor(math.log2(max(self.capacity, _LEAST_CAPACITY))), self.rank, self.name


class MemberList:
    """Members by name; of two entries for a node the later one counts."""

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
        """Digest of all entries; equal lists have equal digests.

        It is kept up to date with each change, since every heartbeat compares it.
        """
        return self._digest

    def get(self, name: str) -> Member | None:
        """Return a member by name."""
        return self._members.get(name)

    def address_of(self, name: str) -> str | None:
        """Return the address of a node, or None if it is not known."""
        member = self._members.get(name)
        return None if member is None else member.address

    def by_precedence(self) -> list[Member]:
        """Return the members in the order in which they take duties for others."""
        if self._ordered is None:
            self._ordered = sorted(self._members.values(), key=lambda member: member.precedence)
        return list(self._ordered)

    def merge(self, members: Iterable[Member]) -> list[Member]:
        """Take over entries that are later than those known, and return them."""
        later = []
        for member in members:
            known = self._members.get(member.name)
            if known is None or member.rank > known.rank:
                self._set(member.name, member)
                later.append(member)
        return later

    def remove(self, name: str) -> None:
        """Forget a node."""
        self._set(name, None)

    def _set(self, name: str, member: Member | None) -> None:
        known = self._members.pop(name, None)
        for entry in (known, member):
            if entry is not None:
                self._digest ^= stable_hash(entry.name, entry.address, str(entry.rank))
        if member is not None:
            self._members[name] = member
        self._ordered = None
