"""What this node believes of every listed node: incarnation, suspicion, leaving."""

from collections.abc import Callable, Iterable

import attrs

from flamingoshelf.membership._messages import MemberEntry, MemberState
from flamingoshelf.utils import stable_hash

__all__ = ["MemberBook"]


class MemberBook:
    """Entries of all listed nodes; merging them in any order gives the same book.

    Parameters
    ----------
    node_name, incarnation : str
        Identity of this node.
    on_change : callable
        ``on_change(entries)`` is told which entries this node itself has changed.
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
        """All entries."""
        return tuple(self._entries.values())

    @property
    def digest(self) -> int:
        """Digest of all entries; equal books have equal digests."""
        return self._digest

    def get(self, name: str) -> MemberEntry | None:
        """Return the entry of a node."""
        return self._entries.get(name)

    def set_listed(self, names: Iterable[str]) -> None:
        """Forget nodes whose VMs are no longer listed."""
        self._listed = frozenset(names)
        for name in self._entries.keys() - self._listed:
            self._digest ^= _entry_hash(self._entries.pop(name))
        if self._own.name in self._listed and self._own.name not in self._entries:
            self._set(self._own)
            self._on_change((self._own,))

    def merge(self, entries: Iterable[MemberEntry]) -> tuple[MemberEntry, ...]:
        """Take over entries that are newer and return them.

        What others believe of this node is contradicted, not taken over.
        """
        newer = []
        for entry in entries:
            if entry.name == self._own.name:
                self._contradict(entry)
            elif entry.name in self._listed and self._is_newer(entry):
                self._set(entry)
                newer.append(entry)
        return tuple(newer)

    def suspect(self, name: str) -> None:
        """Record that a node does not answer."""
        entry = self._entries.get(name)
        if entry is not None and entry.state is MemberState.ALIVE:
            suspicion = attrs.evolve(entry, state=MemberState.SUSPECTED)
            self._set(suspicion)
            self._on_change((suspicion,))

    def set_leaving(self) -> None:
        """Record that this node is to end."""
        if self._own.state is not MemberState.LEAVING:
            self._replace_own(counter=self._own.counter + 1, state=MemberState.LEAVING)

    def _contradict(self, entry: MemberEntry) -> None:
        if _rank(entry) <= _rank(self._own):
            return
        self._replace_own(counter=entry.counter + 1, state=self._own.state)

    def _replace_own(self, *, counter: int, state: MemberState) -> None:
        self._own = attrs.evolve(self._own, counter=counter, state=state)
        if self._own.name in self._listed:
            self._set(self._own)
            self._on_change((self._own,))

    def _is_newer(self, entry: MemberEntry) -> bool:
        known = self._entries.get(entry.name)
        return known is None or _rank(entry) > _rank(known)

    def _set(self, entry: MemberEntry) -> None:
        known = self._entries.get(entry.name)
        if known is not None:
            self._digest ^= _entry_hash(known)
        self._digest ^= _entry_hash(entry)
        self._entries[entry.name] = entry


def _rank(entry: MemberEntry) -> tuple[int, int, str]:
    return entry.counter, int(entry.state), entry.incarnation


def _entry_hash(entry: MemberEntry) -> int:
    state = str(int(entry.state))
    return stable_hash(entry.name, entry.incarnation, str(entry.counter), state)
