"""Serves watched objects to other nodes, so that not every node has to watch the store itself."""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs

from flamingoshelf.base import NodeLink
from flamingoshelf.nodes import message
from flamingoshelf.store._packing import PackedObject, pack_object
from flamingoshelf.store._types import KindChanges, KindSnapshot, StoreObject

__all__ = ["FollowKind", "KindAnswer", "StoreRelay"]

_MAX_LOGGED_CHANGES = 256  # a follower that lags by more than this gets the complete list
_MAX_LOGGED_NAMES = 16_384  # of all these changes together; some MB


@message
@attrs.frozen(kw_only=True)
class FollowKind:
    """Request for the changes of a kind after a revision, or for all its objects.

    Parameters
    ----------
    kind : str
        Kind of the objects.
    after_revision : int or None
        Store revision up to which the sender knows the objects; None to get all objects.
    wait_s : float
        Longest time that the relay waits for a change before it replies.
    accepts_packed : bool
        Whether large objects may be compressed.
    """

    kind: str
    after_revision: int | None = None
    wait_s: float = 0.0
    accepts_packed: bool = False


@message
@attrs.frozen(kw_only=True)
class KindAnswer:
    """Reply to `FollowKind`: changes of a kind, or all its objects.

    Parameters
    ----------
    is_usable : bool
        Whether the relay itself is up to date; if not, ignore the other fields.
    is_complete : bool
        Whether `objects` holds all objects of the kind rather than the changes.
    objects : tuple of StoreObject
        All objects, or those that were created or changed.
    packed : tuple of PackedObject
        Those of them that are large, if the follower accepts them compressed.
    removed : tuple of str
        Names of the objects that were deleted.
    revision, last_change : int
        As in `KindChanges`.
    """

    is_usable: bool = True
    is_complete: bool = False
    objects: tuple[StoreObject, ...] = ()
    packed: tuple[PackedObject, ...] = ()
    removed: tuple[str, ...] = ()
    revision: int = 0
    last_change: int = 0


class StoreRelay:
    """Caches the objects of some kinds and their last changes, and serves them to followers.

    Parameters
    ----------
    kinds : tuple of str
        Kinds that are cached.
    is_current : callable
        ``is_current(kind)`` returns whether this node is up to date on a kind by the store itself,
        rather than by another relay.
    """

    def __init__(self, *, kinds: tuple[str, ...], is_current: Callable[[str], bool]) -> None:
        self._caches = {kind: _KindCache() for kind in kinds}
        self._is_current = is_current

    def register(self, link: NodeLink) -> None:
        """Serve followers over `link`."""
        link.register(FollowKind, self._on_follow)

    def record_snapshot(self, kind: str, snapshot: KindSnapshot) -> None:
        """Replace the cached objects of a kind."""
        self._caches[kind].replace(snapshot)

    def record_changes(self, kind: str, changes: KindChanges) -> None:
        """Apply changes to the cached objects of a kind."""
        self._caches[kind].apply(changes)

    async def _on_follow(self, peer: str, request: FollowKind) -> KindAnswer:
        cache = self._caches.get(request.kind)
        if cache is None or cache.revision == 0 or not self._is_current(request.kind):
            return KindAnswer(is_usable=False)
        if request.after_revision is None:
            return cache.pack(cache.build_full_answer(), request)
        await cache.wait_for_change(request.after_revision, wait_s=request.wait_s)
        if not self._is_current(request.kind):
            return KindAnswer(is_usable=False)
        return cache.pack(cache.build_answer_since(request.after_revision), request)


@attrs.frozen(kw_only=True)
class _LoggedChange:
    """Names of the objects that changed, or were removed, up to a revision."""

    names: tuple[str, ...]
    revision: int
    last_change: int


class _KindCache:
    """Cached objects of one kind with a log of what changed last.

    The log holds names: followers get the newest content only, which is cached.
    """

    def __init__(self) -> None:
        self._objects: dict[str, StoreObject] = {}
        self._packed: dict[str, tuple[StoreObject, PackedObject | None]] = {}
        self._change_log: deque[_LoggedChange] = deque()
        self._logged_names = 0
        self._log_start_revision = 0  # the log holds every change after this revision
        self._changed = asyncio.Event()
        self.revision = 0
        self.last_change = 0

    def replace(self, snapshot: KindSnapshot) -> None:
        self._objects = dict(snapshot.objects)
        self._packed.clear()
        self._change_log.clear()
        self._logged_names = 0
        self._log_start_revision = self.revision = snapshot.revision
        newest = max((item.revision for item in self._objects.values()), default=0)
        self.last_change = max(self.last_change, newest)
        self._wake_waiters()

    def apply(self, changes: KindChanges) -> None:
        self.revision = max(self.revision, changes.revision)
        if not changes.changed and not changes.removed:
            return
        names = (*changes.removed, *(item.name for item in changes.changed))
        for name in changes.removed:
            self._objects.pop(name, None)
        self._objects.update((item.name, item) for item in changes.changed)
        for name in names:  # the compressed form holds an earlier content
            self._packed.pop(name, None)
        self._log(
            _LoggedChange(names=names, revision=changes.revision, last_change=changes.last_change)
        )
        self.last_change = max(self.last_change, changes.last_change)
        self._wake_waiters()

    def _log(self, change: _LoggedChange) -> None:
        self._change_log.append(change)
        self._logged_names += len(change.names)
        while len(self._change_log) > _MAX_LOGGED_CHANGES or self._logged_names > _MAX_LOGGED_NAMES:
            dropped = self._change_log.popleft()
            self._logged_names -= len(dropped.names)
            self._log_start_revision = dropped.revision

    def pack(self, answer: KindAnswer, request: FollowKind) -> KindAnswer:
        """Return an answer with its large objects compressed, if the follower accepts them.

        Each object is compressed once, for all followers.
        """
        if not request.accepts_packed:
            return answer
        objects, packed = [], []
        for item in answer.objects:
            known = self._packed.get(item.name)
            if known is None or known[0] is not item:
                known = self._packed[item.name] = (item, pack_object(item))
            if known[1] is None:
                objects.append(item)
            else:
                packed.append(known[1])
        return attrs.evolve(answer, objects=tuple(objects), packed=tuple(packed))

    def build_full_answer(self) -> KindAnswer:
        return KindAnswer(
            is_complete=True,
            objects=tuple(self._objects.values()),
            revision=self.revision,
            last_change=self.last_change,
        )

    def build_answer_since(self, revision: int) -> KindAnswer:
        """Return the changes after `revision`, or all objects if the log starts later."""
        if revision < self._log_start_revision:
            return self.build_full_answer()
        entries = [entry for entry in self._change_log if entry.revision > revision]
        names = dict.fromkeys(name for entry in entries for name in entry.names)
        return KindAnswer(
            objects=tuple(self._objects[name] for name in names if name in self._objects),
            removed=tuple(name for name in names if name not in self._objects),
            revision=max(revision, self.revision),
            last_change=max((entry.last_change for entry in entries), default=0),
        )

    async def wait_for_change(self, revision: int, *, wait_s: float) -> None:
        """Wait until there is a change after a revision, `wait_s` at most."""
        if self._has_changes_after(revision):
            return
        try:
            async with asyncio.timeout(wait_s):
                while not self._has_changes_after(revision):
                    await self._changed.wait()
        except TimeoutError:
            return

    def _has_changes_after(self, revision: int) -> bool:
        return revision < self._log_start_revision or any(
            e.revision > revision for e in self._change_log
        )

    def _wake_waiters(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
