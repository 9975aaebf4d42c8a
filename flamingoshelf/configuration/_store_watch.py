"""Follows the newest revision in the object service."""

import asyncio
from collections.abc import Awaitable, Callable

from flamingoshelf.base import ObjectService, VersionedObject
from flamingoshelf.configuration._documents import HEAD_KEY, Head
from flamingoshelf.configuration._freshness import Freshness
from flamingoshelf.configuration._reading import RevisionReader
from flamingoshelf.configuration._state import RevisionState
from flamingoshelf.exceptions import ConfigurationError, ObjectServiceError
from flamingoshelf.utils import now_s

__all__ = ["StoreWatch"]

_WATCH_TIMEOUT_S = 2.0
_ANSWER_TIMEOUT_S = 1.0
_MAX_STEPS = 16


class StoreWatch:
    """Watches the head object and adopts the revisions that it names.

    Parameters
    ----------
    store : ObjectService
        The platform's object service.
    state : RevisionState
        Revision that this node holds.
    freshness : Freshness
        Confirmations and outage reports of this node.
    count_event : callable
        Counts an event by name.
    """

    def __init__(
        self,
        *,
        store: ObjectService,
        state: RevisionState,
        freshness: Freshness,
        count_event: Callable[[str], None],
    ) -> None:
        self._store = store
        self._reader = RevisionReader(store=store)
        self._state = state
        self._freshness = freshness
        self._count_event = count_event
        self._head_version = 0
        self._wait_s = _WATCH_TIMEOUT_S

    async def watch_once(self, *, before_load: Callable[[], Awaitable[None]]) -> None:
        """Adopt the revision of the next head, if there is one, and confirm the held revision.

        Waits for a head change for up to `_WATCH_TIMEOUT_S`.

        Parameters
        ----------
        before_load : callable
            Called and awaited before a complete revision is loaded.

        Raises
        ------
        FlamingoshelfError
            The object service is unreachable or its answer is unusable.
        """
        requested_s = now_s()
        stored = await self._next_head()
        if stored is not None:
            head = Head.decode(stored.value)
            if head.revision < self._state.revision:
                raise ObjectServiceError("an old head was read", step="watch")
            if head.revision > self._state.revision:
                await self._adopt(head, before_load)
            self._head_version = stored.version
        self._freshness.confirm(requested_s)

    async def _next_head(self) -> VersionedObject | None:
        """Return the next head, or None if it did not change.

        The call after a failure does not wait for a change, so that an outage is reported early.
        """
        wait_s, self._wait_s = self._wait_s, 0.0
        try:
            async with asyncio.timeout(wait_s + _ANSWER_TIMEOUT_S):
                stored = await self._store.watch(
                    HEAD_KEY, after_version=self._head_version, timeout_s=wait_s
                )
        except TimeoutError as error:
            raise ObjectServiceError("no answer in time", step="watch") from error
        self._wait_s = _WATCH_TIMEOUT_S
        return stored

    async def _adopt(self, head: Head, before_load: Callable[[], Awaitable[None]]) -> None:
        if self._state.revision > 0 and await self._adopt_steps(head):
            return
        await before_load()
        if self._state.revision >= head.revision:
            return
        self._count_event("configuration_loaded_from_store")
        manifest = await self._reader.manifest(head.manifest)
        catalog = await self._reader.catalog(manifest)
        self._state.adopt(catalog, manifest=head.manifest)

    async def _adopt_steps(self, head: Head) -> bool:
        start = self._state.manifest
        steps = await self._reader.steps_after(start, head=head, limit=_MAX_STEPS)
        if steps is None:
            return False
        try:
            self._state.adopt_steps(steps)
        except ConfigurationError:
            self._count_event("configuration_steps_rejected")
        return self._state.revision >= head.revision
