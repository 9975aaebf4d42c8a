"""Registry of the state of every listed node: incarnation, suspected, leaving."""

from collections.abc import Callable, Iterable

import attrs

from flamingoshelf.membership._messages import MemberEntry, MemberState
from flamingoshelf.utils import stable_hash

__all__ = ["MemberRegistry"]


class MemberRegistry:
    """Hold the entries of all listed nodes.

    Merging is commutative: nodes that received the same entries in any order have equal registries.

    Parameters
    ----------
    node_name, incarnation : str
        Identity of this node.
    on_change : callable
        ``on_change(entries)`` is called with entries that this node itself changed.
    """

    def __init__(
        self,
        *,
        node_name: str,
        incarnation: str,
        on_change: Callable[[tuple[MemberEntry, ...]], None],
    ) -> None:
        self._own = MemberEntry(name=node_name, incarnation=incarnation)
        self._on_change = on_change
        self._entries: dict[str, MemberEntry] = {}
        self._listed: frozenset[str] = frozenset()
        self._digest = 0

    @property
    def own(self) -> MemberEntry:
        """Entry of this node."""
        return self._own

    @property
    def entries(self) -> tuple[MemberEntry, ...]:
        """Entries of all listed nodes that are known."""
        return tuple(self._entries.values())

    @property
    def digest(self) -> int:
        """Digest of all entries; equal registries have equal digests."""
        return self._digest

    def get(self, name: str) -> MemberEntry | None:
        """Return the entry of a node, or None if there is none."""
        return self._entries.get(name)

    def set_listed(self, names: Iterable[str]) -> None:
        """Remove nodes whose VMs are no longer listed; add this node once its VM is listed."""
        self._listed = frozenset(names)
        for name in self._entries.keys() - self._listed:
            self._digest ^= _entry_hash(self._entries.pop(name))
        if self._own.name in self._listed and self._own.name not in self._entries:
            self._set(self._own)
            self._on_change((self._own,))

    def merge(self, entries: Iterable[MemberEntry]) -> tuple[MemberEntry, ...]:
        """Adopt the entries that are newer than the known ones and return them.

        A newer entry of this node itself is not adopted but refuted with a higher counter.
        """
        newer = []
        for entry in entries:
            if entry.name == self._own.name:
                self._refute(entry)
            elif entry.name in self._listed and self._is_newer(entry):
                self._set(entry)
                newer.append(entry)
        return tuple(newer)

    def suspect(self, name: str) -> None:
        """Mark a live node as suspected."""
        entry = self._entries.get(name)
        if entry is not None and entry.state is MemberState.ALIVE:
            suspicion = attrs.evolve(entry, state=MemberState.SUSPECTED)
            self._set(suspicion)
            self._on_change((suspicion,))

    def set_leaving(self) -> None:
        """Mark this node as leaving."""
        if self._own.state is not MemberState.LEAVING:
            self._replace_own(counter=self._own.counter + 1, state=MemberState.LEAVING)

    def _refute(self, entry: MemberEntry) -> None:
        """Raise this node's own counter above that of `entry` if `entry` takes precedence."""
        if _precedence(entry) <= _precedence(self._own):
            return
        self._replace_own(counter=entry.counter + 1, state=self._own.state)

    def _replace_own(self, *, counter: int, state: MemberState) -> None:
        self._own = attrs.evolve(self._own, counter=counter, state=state)
        if self._own.name in self._listed:
            self._set(self._own)
            self._on_change((self._own,))

    def _is_newer(self, entry: MemberEntry) -> bool:
        known = self._entries.get(entry.name)
        return known is None or _precedence(entry) > _precedence(known)

    def _set(self, entry: MemberEntry) -> None:
        known = self._entries.get(entry.name)
        if known is not None:
            self._digest ^= _entry_hash(known)
        self._digest ^= _entry_hash(entry)
        self._entries[entry.name] = entry


def _precedence(entry: MemberEntry) -> tuple[int, int, str]:
    """Return the sort key by which the newer of two entries of a node is determined."""
    return entry.counter, int(entry.state), entry.incarnation


def _entry_hash(entry: MemberEntry) -> int:
    state = str(int(entry.state))
    return stable_hash(entry.name, entry.incarnation, str(entry.counter), state)
