"""Eras of the platform's store: the times between two restores of it from a copy.

After a restore the store counts on from the revision of the copy, so it gives out some revisions
again. The product's revisions hold the era as well: they grow over restores, too.
"""

from collections.abc import Callable

from loguru import logger

__all__ = ["StoreEras", "era_of", "join_revision", "revision_in_era"]

# Far above the revisions of one era; the revisions of 4096 eras still fit into 53 bits, which JSON
# numbers can hold exactly.
_REVISIONS_PER_ERA = 2**40


def join_revision(era: int, revision: int) -> int:
    """Return the revision that grows over restores, from an era and the store's own revision.

    Examples
    --------
    >>> before, after = join_revision(1, 500), join_revision(2, 480)
    >>> before < after, era_of(after), revision_in_era(after)
    (True, 2, 480)
    """
    return era * _REVISIONS_PER_ERA + revision


def era_of(revision: int) -> int:
    """Return the era of a revision; 0 if it comes from a node that doesn't know of eras."""
    return revision // _REVISIONS_PER_ERA


def revision_in_era(revision: int) -> int:
    """Return the store's own revision."""
    return revision % _REVISIONS_PER_ERA


class StoreEras:
    """Newest era of the store that this node knows of, from the store or from other nodes."""

    def __init__(self) -> None:
        self._current = 0
        self._listeners: list[Callable[[], None]] = []

    @property
    def current(self) -> int:
        """Newest known era, 0 before the first answer."""
        return self._current

    @property
    def was_restored(self) -> bool:
        """Whether the store may have been restored at any time."""
        return self._current > 1

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each restore; not at the first era that is seen."""
        self._listeners.append(listener)

    def observe(self, era: int, *, source: str) -> None:
        """Record an era that the store or another node states."""
        if era <= self._current:
            return
        is_first = not self._current
        before, self._current = self._current, era
        log = logger.bind(step="store", peer=source, era=era, before=before)
        if is_first:
            log.info("era of the store known")
            return
        log.warning("store restored from a copy")
        for listener in self._listeners:
            listener()
