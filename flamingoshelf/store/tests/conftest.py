"""Fixtures of the store tests."""

import asyncio
import random

import attrs
import pytest

from flamingoshelf.exceptions import HistoryLostError, ObjectServiceError
from flamingoshelf.store import (
    KindChanges,
    KindSnapshot,
    KindWatcher,
    StoreEras,
    StoreObject,
    era_of,
    join_revision,
    revision_in_era,
)


class FakeStore:
    """In-memory store of one kind that can fail and can drop its history."""

    def __init__(self, eras=None):
        self.eras = eras  # the era that answers state, if the store knows of eras
        self.revision = 1
        self.objects = {}
        self.events = []
        self.oldest_revision = 0
        self.is_down = False
        self.calls = []
        self.changed = asyncio.Event()

    def set(self, name, content):
        self.revision += 1
        item = StoreObject(name=name, revision=self.revision, content=content)
        self.objects[name] = item
        self._record_event(item, removed=False)

    def remove(self, name):
        self.revision += 1
        item = attrs.evolve(self.objects.pop(name), revision=self.revision)
        self._record_event(item, removed=True)

    def forget_history(self):
        self.oldest_revision = self.revision

    def restore(self, objects):
        """Restore the store from a copy of its objects; it gives out revisions again."""
        era = era_of(self.revision) + 1
        self.objects = {
            name: attrs.evolve(item, revision=join_revision(era, revision_in_era(item.revision)))
            for name, item in objects.items()
        }
        last = max((revision_in_era(item.revision) for item in objects.values()), default=1)
        self.revision = join_revision(era, last)
        self.events = []
        self.oldest_revision = self.revision

    def _record_event(self, item, *, removed):
        self.events.append((self.revision, item, removed))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def list(self, kind):
        self._record_call("list")
        self._state_era()
        return KindSnapshot(objects=dict(self.objects), revision=self.revision)

    async def watch(self, kind, *, after_revision, timeout_s):
        self._record_call("watch")
        if after_revision < self.oldest_revision:
            raise HistoryLostError("history dropped", step="watch")
        if not any(revision > after_revision for revision, _, _ in self.events):
            try:
                async with asyncio.timeout(timeout_s):
                    await self.changed.wait()
            except TimeoutError:
                pass
        self._record_call("answer")
        self._state_era()
        if era_of(after_revision) != era_of(self.revision):
            raise HistoryLostError("restored", step="watch")
        later = [entry for entry in self.events if entry[0] > after_revision]
        return KindChanges(
            changed=tuple(item for _, item, removed in later if not removed),
            removed=tuple(item.name for _, item, removed in later if removed),
            revision=self.revision,
            last_change=max((revision for revision, _, _ in later), default=0),
        )

    def _state_era(self):
        if self.eras is not None:
            self.eras.observe(era_of(self.revision), source="store")

    def _record_call(self, name):
        self.calls.append(name)
        if self.is_down:
            raise ObjectServiceError("store is down", step=name)


class Listener:
    def __init__(self):
        self.objects = {}
        self.snapshots = []
        self.recoveries = []

    def on_snapshot(self, snapshot):
        self.objects = {name: item.content for name, item in snapshot.objects.items()}
        self.snapshots.append(dict(self.objects))

    def on_changes(self, changes):
        for name in changes.removed:
            self.objects.pop(name, None)
        self.objects.update({item.name: item.content for item in changes.changed})

    def on_recovered(self):
        self.recoveries.append(asyncio.get_running_loop().time())


@pytest.fixture
def eras():
    return StoreEras()


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def listener():
    return Listener()


@pytest.fixture
async def watcher(store, listener, eras):
    watcher = KindWatcher(
        store=store,
        kind="k",
        listener=listener,
        wait_s=5.0,
        random_source=random.Random(1),
        eras=eras,
    )
    yield watcher
    await watcher.stop()
