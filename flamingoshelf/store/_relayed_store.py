"""Store client that can read through other nodes, to save calls or while the store is down."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, TypeVar

import attrs
from loguru import logger

from flamingoshelf.base import NodeLink
from flamingoshelf.exceptions import FlamingoshelfError, HistoryLostError
from flamingoshelf.store._eras import StoreEras, era_of
from flamingoshelf.store._packing import unpack_object
from flamingoshelf.store._relay import FollowKind, KindAnswer
from flamingoshelf.store._types import KindChanges, KindSnapshot, KindStore, StoreObject
from flamingoshelf.store._watcher import MISSED_CHANGE
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["RelayedStore"]

# Longest wait of one request to a relay, so that a silent relay is noticed within two seconds.
_RELAY_WAIT_S = 1.0
_REPLY_SLACK_S = 0.4  # longer than the reply of any healthy node takes
_RELAY_BACKOFF_S = 3.0  # after a relay did not reply or was not up to date itself
_MAX_SUBSTITUTE_QUERIES = 3  # substitutes asked in a row before the store is tried again
# Changes often come in bursts; after a change, the next watch is delayed so that it returns several
# at once. The delay is short compared to the two seconds within which a change has to be in force.
_COALESCE_WAIT_S = 0.3
_PROBE_INTERVAL_S = 1.0  # between two probes of an unreachable store
_PROBE_WAIT_S = 0.02  # shortest watch

_ResultT = TypeVar("_ResultT")


class RelayedStore:
    """A store whose lists and watches may be served by other nodes.

    Implements `KindStore`. Reads go to the relay of this node while it is up to date, otherwise to
    the store itself. While the store does not answer this node, reads go to substitutes, so that
    this node learns of changes as long as it reaches any node that the store answers. Writes
    always go to the store itself.

    Parameters
    ----------
    store : KindStore
        The platform's store.
    relay : callable
        Returns the name of the node that watches the store for this one, or None if this node
        watches the store itself.
    substitutes : callable
        Returns the names of the nodes to read from while the store does not answer, best first.
    eras : StoreEras
        Eras of the store; answers of other nodes from an earlier era are not used.
    """

    def __init__(
        self,
        *,
        store: KindStore,
        relay: Callable[[], str | None],
        substitutes: Callable[[], Sequence[str]],
        eras: StoreEras,
    ) -> None:
        self._eras = eras
        self._store = store
        self._relay = relay
        self._substitutes = substitutes
        self._link: NodeLink | None = None
        self._backoff_until_s: dict[str, float] = {}
        self._next_watch_s: dict[str, float] = {}
        self._unreachable_kinds: set[str] = set()
        self._direct_kinds: set[str] = set()
        self._tasks = TaskGroup(owner="relayed_store")

    def set_link(self, link: NodeLink) -> None:
        """Start reading through other nodes over `link`."""
        self._link = link

    async def stop(self) -> None:
        """Stop all probes of the store."""
        await self._tasks.stop()

    def reads_store_directly(self, kind: str) -> bool:
        """Return whether the last reply on a kind came from the store, which has not failed since.

        Other nodes may follow this node only then: two nodes that follow each other would never
        learn of a change.
        """
        return kind in self._direct_kinds and kind not in self._unreachable_kinds

    async def list(self, kind: str) -> KindSnapshot:
        """Return all objects of a kind."""
        answer = await self._query_nodes(FollowKind(kind=kind, accepts_packed=True))
        if answer is None or not answer.is_complete:
            return await self._query_store(kind, 0, self._store.list(kind))
        objects = {item.name: item for item in answer.objects}
        return KindSnapshot(objects=objects, revision=answer.revision)

    async def watch(self, kind: str, *, after_revision: int, timeout_s: float) -> KindChanges:
        """Wait for changes after a revision; see `KindStore.watch`."""
        wait_s = min(timeout_s, _RELAY_WAIT_S)
        request = FollowKind(
            kind=kind, after_revision=after_revision, wait_s=wait_s, accepts_packed=True
        )
        answer = await self._query_nodes(request)
        if answer is None:
            return await self._watch_store(kind, after_revision, timeout_s)
        if answer.is_complete:
            raise HistoryLostError("the relay no longer has the changes", step="watch")
        return KindChanges(
            changed=answer.objects,
            removed=answer.removed,
            revision=answer.revision,
            last_change=answer.last_change,
        )

    async def create(self, kind: str, name: str, content: Any) -> StoreObject:
        """Create an object."""
        return await self._store.create(kind, name, content)

    async def replace(
        self, kind: str, name: str, content: Any, *, expected_revision: int
    ) -> StoreObject:
        """Replace an object if it has `expected_revision`."""
        return await self._store.replace(kind, name, content, expected_revision=expected_revision)

    async def put(self, kind: str, name: str, content: Any, *, is_likely_new: bool) -> StoreObject:
        """Create an object or replace it, whatever its revision."""
        return await self._store.put(kind, name, content, is_likely_new=is_likely_new)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object, whatever its revision."""
        await self._store.delete(kind, name)

    async def _watch_store(self, kind: str, after_revision: int, timeout_s: float) -> KindChanges:
        await asyncio.sleep(self._next_watch_s.get(kind, 0.0) - now_s())
        call = self._store.watch(kind, after_revision=after_revision, timeout_s=timeout_s)
        changes = await self._query_store(kind, after_revision, call)
        if changes.changed or changes.removed:
            self._next_watch_s[kind] = now_s() + _COALESCE_WAIT_S
        return changes

    async def _query_store(
        self, kind: str, revision: int, call: Coroutine[Any, Any, _ResultT]
    ) -> _ResultT:
        """Await a call to the store and record whether it succeeded."""
        try:
            result = await call
        except HistoryLostError:
            raise
        except asyncio.CancelledError as error:
            if error.args == (MISSED_CHANGE,):  # not at a stop of this node
                self._record_store_failure(kind, revision, MISSED_CHANGE)
            raise
        except FlamingoshelfError as error:
            self._record_store_failure(kind, revision, error.message)
            raise
        self._unreachable_kinds.discard(kind)
        self._direct_kinds.add(kind)
        return result

    def _record_store_failure(self, kind: str, revision: int, reason: str) -> None:
        if kind in self._unreachable_kinds:
            return
        self._unreachable_kinds.add(kind)
        logger.bind(step="relay", kind=kind).info(
            "store failed; reading through other nodes: {}", reason
        )
        self._tasks.start(self._probe(kind, revision), name=f"probe.{kind}")

    async def _probe(self, kind: str, revision: int) -> None:
        """Probe an unreachable store every `_PROBE_INTERVAL_S` until it answers."""
        while kind in self._unreachable_kinds:
            try:
                await self._store.watch(kind, after_revision=revision, timeout_s=_PROBE_WAIT_S)
                self._unreachable_kinds.discard(kind)
            except HistoryLostError:
                self._unreachable_kinds.discard(kind)
            except FlamingoshelfError as error:
                logger.bind(step="relay", kind=kind).debug(
                    "store still unreachable: {}", error.message
                )
                await asyncio.sleep(_PROBE_INTERVAL_S)
        logger.bind(step="relay", kind=kind).info("store reachable again")

    async def _query_nodes(self, request: FollowKind) -> KindAnswer | None:
        """Return the reply of a relay or substitute, or None if the store has to be read."""
        relay = self._relay()
        answer = None if relay is None else await self._query_node(relay, request)
        if answer is None and request.kind in self._unreachable_kinds:
            usable = [name for name in self._substitutes() if not self._is_backed_off(name)]
            for name in usable[:_MAX_SUBSTITUTE_QUERIES]:
                answer = await self._query_node(name, request)
                if answer is not None:
                    break
        if answer is not None:
            self._direct_kinds.discard(request.kind)
        return answer

    def _is_backed_off(self, name: str) -> bool:
        return self._backoff_until_s.get(name, 0.0) > now_s()

    async def _query_node(self, name: str, request: FollowKind) -> KindAnswer | None:
        if self._link is None or self._is_backed_off(name):
            return None
        try:
            answer = await self._link.request(
                name, request, timeout_s=request.wait_s + _REPLY_SLACK_S
            )
            assert isinstance(answer, KindAnswer)
            unpacked = tuple(unpack_object(item, peer=name) for item in answer.packed)
        except asyncio.CancelledError as error:  # as in `_query_store`
            if error.args == (MISSED_CHANGE,):
                self._back_off(name, MISSED_CHANGE)
            raise
        except FlamingoshelfError as error:
            self._back_off(name, error.message)
            return None
        if not answer.is_usable:
            self._back_off(name, "relay is not up to date")
            return None
        if era_of(answer.revision) < self._eras.current:
            self._back_off(name, "relay does not know of a restore of the store")
            return None
        self._eras.observe(era_of(answer.revision), source=name)
        return attrs.evolve(answer, objects=answer.objects + unpacked, packed=())

    def _back_off(self, name: str, reason: str) -> None:
        self._backoff_until_s[name] = now_s() + _RELAY_BACKOFF_S
        logger.bind(step="relay", peer=name).info("relay failed; backing off: {}", reason)
