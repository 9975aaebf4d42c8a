"""Keeps a listener up to date on all objects of one kind."""

import asyncio
import random
from typing import Protocol

from loguru import logger

from flamingoshelf.exceptions import FlamingoshelfError, HistoryLostError, ObjectServiceError
from flamingoshelf.store._eras import StoreEras, era_of
from flamingoshelf.store._types import KindChanges, KindSnapshot, KindStore
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["MISSED_CHANGE", "KindListener", "KindWatcher"]

MISSED_CHANGE = "watch missed a change"  # message with which such a watch is cancelled

_RETRY_BASE_S = 0.1  # the store replies within a few milliseconds
_CURRENT_SLACK_S = 1.5  # a watch that exceeds its wait by more than this counts as dead
_RECOVERY_WAIT_S = 0.02  # shortest watch
# Longer than the pause between two calls, within which a working watch returns a change.
_EXPECTED_CHANGE_WAIT_S = 0.4
_MAX_RETRY_S = 0.8  # a change has to be in force within two seconds after the store has recovered


class KindListener(Protocol):
    """Receiver of the objects and changes of a watcher."""

    def on_snapshot(self, snapshot: KindSnapshot) -> None:
        """Handle a snapshot of all objects, which replaces the previous state."""

    def on_changes(self, changes: KindChanges) -> None:
        """Handle the changes since the last snapshot or changes."""

    def on_recovered(self) -> None:
        """Handle the first reply of the store after failures."""


class KindWatcher:
    """Lists a kind once and then watches it; lists it again when the store lost the history.

    Parameters
    ----------
    store : KindStore
        The platform's store.
    kind : str
        Kind of the objects.
    listener : KindListener
        Receives the objects and their changes.
    wait_s : float
        Longest time that one watch waits, in seconds.
    random_source : random.Random
        Source of the jitter of the retries.
    eras : StoreEras
        Tells of restores of the store, after which the kind is listed again.
    """

    def __init__(
        self,
        *,
        store: KindStore,
        kind: str,
        listener: KindListener,
        wait_s: float,
        random_source: random.Random,
        eras: StoreEras,
    ) -> None:
        self._eras = eras
        self._store = store
        self._kind = kind
        self._listener = listener
        self._wait_s = wait_s
        self._random = random_source
        self._revision: int | None = None
        self._last_change = 0
        self._expected_change = 0
        self._failures = 0
        self._last_answer_s: float | None = None
        self._rewatch = asyncio.Event()
        self._tasks = TaskGroup(owner="watcher")
        eras.subscribe(self._rewatch.set)

    @property
    def last_change(self) -> int:
        """Store revision of the last known change of these objects, 0 before the first list."""
        return self._last_change

    @property
    def is_current(self) -> bool:
        """Whether the last call succeeded and is not older than one watch may take."""
        return not self._failures and self.age_s < self._wait_s + _CURRENT_SLACK_S

    @property
    def age_s(self) -> float:
        """Seconds since the last successful call, infinite before the first one."""
        return float("inf") if self._last_answer_s is None else now_s() - self._last_answer_s

    async def start(self) -> None:
        """Start watching."""
        self._tasks.start(self._run(), name=self._kind)

    async def stop(self) -> None:
        """Stop watching."""
        await self._tasks.stop()

    def expect_change(self, revision: int) -> None:
        """Restart the watch if a change that another node knows of does not arrive soon.

        Parameters
        ----------
        revision : int
            Store revision of that change.
        """
        if self._revision is not None and revision > max(self._last_change, self._expected_change):
            self._expected_change = revision  # restart once only: the reply may lack this revision
            asyncio.get_running_loop().call_later(
                _EXPECTED_CHANGE_WAIT_S, self._check_expected, revision
            )

    def _check_expected(self, revision: int) -> None:
        if self._last_change < revision:
            self._rewatch.set()

    async def _run(self) -> None:
        while True:
            try:
                if self._revision is None or era_of(self._revision) < self._eras.current:
                    await self._list()
                else:
                    await self._watch(self._revision)
            except HistoryLostError as error:
                logger.bind(step=error.step, kind=self._kind).info(
                    "history lost; listing again: {}", error.message
                )
                self._revision = None
            except FlamingoshelfError as error:
                await self._wait_before_retry(error)
            except Exception as error:  # of the listener; what the store holds goes on to change
                logger.bind(step="watch", kind=self._kind).exception(
                    "change of the store not applied: {!r}", error
                )
                self._revision = None
                await self._wait_before_retry(
                    FlamingoshelfError(f"a change was not applied: {error!r}", step="watch")
                )

    async def _list(self) -> None:
        self._rewatch.clear()
        snapshot = await self._store.list(self._kind)
        if era_of(snapshot.revision) < self._eras.current:
            raise ObjectServiceError("list of an earlier era", step="list")
        self._record_answer()
        self._revision = snapshot.revision
        newest = max((item.revision for item in snapshot.objects.values()), default=0)
        self._last_change = max(self._last_change, newest)
        self._listener.on_snapshot(snapshot)

    async def _watch(self, revision: int) -> None:
        self._rewatch.clear()
        # After a failure, a short watch detects the recovery of the store without a change.
        wait_s = _RECOVERY_WAIT_S if self._failures else self._wait_s
        watch = asyncio.ensure_future(
            self._store.watch(self._kind, after_revision=revision, timeout_s=wait_s)
        )
        rewatch = asyncio.ensure_future(self._rewatch.wait())
        try:
            await asyncio.wait((watch, rewatch), return_when=asyncio.FIRST_COMPLETED)
            if not watch.done():
                # The watch missed a change that another node knows of, or a restore.
                is_restored = era_of(revision) < self._eras.current
                watch.cancel(None if is_restored else MISSED_CHANGE)
                return
            changes = watch.result()
        finally:
            watch.cancel()
            rewatch.cancel()
        self._record_answer()
        self._revision = max(revision, changes.revision)
        self._last_change = max(self._last_change, changes.last_change)
        self._listener.on_changes(changes)

    def _record_answer(self) -> None:
        self._last_answer_s = now_s()
        if self._failures:
            logger.bind(step="watch", kind=self._kind, failures=self._failures).info(
                "store reachable again"
            )
            self._failures = 0
            self._listener.on_recovered()

    async def _wait_before_retry(self, error: FlamingoshelfError) -> None:
        self._failures += 1
        if self._failures == 1:
            logger.bind(step=error.step, peer=error.peer, kind=self._kind).warning(
                "store unreachable; retrying: {}", error.message
            )
        backoff_s = min(_MAX_RETRY_S, _RETRY_BASE_S * 2 ** min(self._failures - 1, 8))
        await asyncio.sleep(backoff_s * self._random.uniform(0.5, 1.0))
