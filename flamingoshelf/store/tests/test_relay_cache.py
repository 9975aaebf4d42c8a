"""What a relay keeps of the objects that it serves, and what its followers get."""

import gc
import random
import weakref

import pytest

from flamingoshelf.store import KindChanges, KindSnapshot, StoreObject, StoreRelay, _relay
from flamingoshelf.store._relay import FollowKind

pytestmark = pytest.mark.looptime

LARGE = "x" * 50_000


class Relay:
    """A relay that is up to date, and the objects that it has been told of."""

    def __init__(self):
        self.relay = StoreRelay(kinds=("k",), is_current=lambda kind: True)
        self.revision = 1
        self.objects = {}
        self.relay.record_snapshot("k", KindSnapshot(objects={}, revision=1))

    def change(self, *names, removed=()):
        self.revision += 1
        changed = tuple(
            StoreObject(name=name, revision=self.revision, content=[LARGE, self.revision])
            for name in names
        )
        self.objects.update((item.name, item) for item in changed)
        for name in removed:
            self.objects.pop(name, None)
        self.relay.record_changes(
            "k",
            KindChanges(
                changed=changed,
                removed=tuple(removed),
                revision=self.revision,
                last_change=self.revision,
            ),
        )
        return changed

    async def ask(self, after_revision, *, accepts_packed=False):
        request = FollowKind(kind="k", after_revision=after_revision, accepts_packed=accepts_packed)
        return await self.relay._on_follow("follower", request)


@pytest.fixture
def relay():
    return Relay()


# The last 256 contents of each object were kept: 256 whole configurations filled a node's memory.
async def test_contents_that_were_replaced_are_not_kept(relay):
    kept = []
    for _ in range(50):
        kept += [weakref.ref(item) for item in relay.change("main", "other")]
        answer = await relay.ask(relay.revision - 1, accepts_packed=True)
        assert len(answer.packed) == 2
        del answer
        if relay.revision % 3 == 0:
            relay.change("odd")
    relay.objects.clear()
    gc.collect()
    assert sum(item() is not None for item in kept) == 2
    relay.change(removed=("main",))
    gc.collect()
    assert sum(item() is not None for item in kept) == 1


async def test_change_of_very_many_objects_leaves_no_log_behind(relay, monkeypatch):
    monkeypatch.setattr(_relay, "_MAX_LOGGED_NAMES", 10)
    for number in range(8):
        relay.change(f"a{number}", f"b{number}")
    assert not (await relay.ask(relay.revision - 3)).is_complete
    answer = await relay.ask(1)
    assert answer.is_complete and len(answer.objects) == 16
    relay.change(*(f"c{number}" for number in range(20)))
    assert (await relay.ask(relay.revision - 1)).is_complete


@pytest.mark.parametrize("seed", range(20))
async def test_follower_has_the_newest_objects_from_whatever_revision(relay, seed):
    source = random.Random(seed)
    known: dict[int, dict[str, StoreObject]] = {1: {}}
    for _ in range(60):
        names = source.sample("abcdef", source.randint(0, 3))
        relay.change(*names, removed=source.sample("abcdef", source.randint(0, 2)))
        relay.objects = dict(relay.relay._caches["k"]._objects)
        known[relay.revision] = dict(relay.objects)
    for revision, objects in known.items():
        answer = await relay.ask(revision)
        assert not set(answer.removed) & {item.name for item in answer.objects}
        if answer.is_complete:
            objects = {}
        for name in answer.removed:
            objects.pop(name, None)
        objects |= {item.name: item for item in answer.objects}
        assert objects == relay.objects and answer.revision == relay.revision
