"""Publication: lost answers, concurrent operators, number of writes, garbage collection."""

import asyncio

import pytest

from flamingoshelf.configuration import KEPT_REVISIONS, Repository
from flamingoshelf.configuration.tests.conftest import key, merging, removing, workspace
from flamingoshelf.exceptions import ConfigurationError, ConflictError, OutcomeUnknownError
from flamingoshelf.objects import Kind
from lab.memory_store import StoreFault

pytestmark = pytest.mark.looptime

F = StoreFault


@pytest.fixture
async def repository(store):
    repository = Repository(store=store, author="ram")
    await repository.apply(merging(workspace("a"), workspace("b"), key("ka", "a")))
    store.calls.clear()
    store.written_keys.clear()
    return repository


# One change makes these calls in order: read head, manifest, chunk; write chunk, manifest, head.
# Each case has the faults of the calls in order and the expected number of written objects.
READS = [F.NONE] * 3
FAULT_CASES = {
    "chunk answer lost": ([*READS, F.LOST_ANSWER], 3),
    "chunk request lost": ([*READS, F.LOST_REQUEST], 3),
    "manifest answer lost": ([*READS, F.NONE, F.LOST_ANSWER], 3),
    "head answer lost": ([*READS, F.NONE, F.NONE, F.LOST_ANSWER], 3),
    "head request lost": ([*READS, F.NONE, F.NONE, F.LOST_REQUEST], 3),
    "head late": ([*READS, F.NONE, F.NONE, F.LATE_WRITE], 3),
    "head answer lost twice": ([*READS, F.NONE, F.NONE, F.LOST_REQUEST, F.LOST_ANSWER], 3),
    "head answer lost, stale read": (
        [*READS, F.NONE, F.NONE, F.LOST_ANSWER, F.NONE, F.STALE_READ],
        3,
    ),
    "head answer lost, read refused": (
        [*READS, F.NONE, F.NONE, F.LOST_ANSWER, F.NONE, F.REFUSED, F.LOST_ANSWER],
        3,
    ),
}


@pytest.mark.parametrize("case", FAULT_CASES)
async def test_lost_answers_are_resolved(store, repository, case):
    faults, writes = FAULT_CASES[case]
    store.faults = list(faults)
    applied = await repository.apply(merging(workspace("a", rate=7.0)))
    await asyncio.sleep(1)
    await store.wait_for_late_writes()
    assert applied.revision == 2
    newest = await repository.newest()
    assert newest.catalog.revision == 2
    assert newest.catalog.workspace("a") == workspace("a", rate=7.0).spec
    assert len(store.written_keys) == writes


async def test_a_stale_read_does_not_hide_a_publication(store, repository):
    base = await repository.newest()
    store.faults = [F.NONE, F.NONE, F.LOST_ANSWER, F.NONE, F.STALE_READ]
    objects = merging(workspace("a", rate=7.0))(base.catalog.objects)
    assert await repository.publish(list(objects.values()), base=base) == 2


@pytest.mark.parametrize("position", [0, 1, 2])
async def test_lost_reads_are_tried_again(store, repository, position):
    store.faults = [*[F.NONE] * position, F.LOST_ANSWER, F.REFUSED]
    assert (await repository.newest()).catalog.revision == 1
    store.faults = [F.LOST_ANSWER]
    assert len(await repository.history(limit=5)) == 1


@pytest.mark.parametrize("published_on_top", [1, 3])
async def test_lost_answer_with_later_revisions_on_top(store, repository, published_on_top):
    original_put = store.put

    async def put_then_overtaken(name, value, *, expected_version):
        store.put = original_put
        if name != "configuration/head":
            store.put = put_then_overtaken
            return await original_put(name, value, expected_version=expected_version)
        await original_put(name, value, expected_version=expected_version)
        other = Repository(store=store)
        for number in range(published_on_top):
            await other.apply(merging(workspace("b", rate=10.0 + number)))
        raise OutcomeUnknownError("answer lost", step="put")

    store.put = put_then_overtaken
    applied = await repository.apply(merging(workspace("a", rate=7.0)))
    assert applied.revision == 2
    assert (await repository.newest()).catalog.revision == 2 + published_on_top


async def test_outcome_is_unknown_when_no_answer_comes(store, repository):
    store.faults = [*READS, F.NONE, F.NONE, *[F.LOST_REQUEST] * 20]
    with pytest.raises(OutcomeUnknownError, match="apply id"):
        await repository.apply(merging(workspace("a", rate=7.0)))


async def test_changes_to_different_objects_are_both_kept(store, repository):
    base = await repository.newest()
    await Repository(store=store).apply(merging(workspace("b", rate=8.0)))
    applied = await repository.apply(merging(workspace("a", rate=7.0)), base=base)
    assert applied.revision == 3
    catalog = (await repository.newest()).catalog
    assert catalog.workspace("a") == workspace("a", rate=7.0).spec
    assert catalog.workspace("b") == workspace("b", rate=8.0).spec


async def test_second_change_of_one_object_is_refused(store, repository):
    base = await repository.newest()
    await Repository(store=store).apply(merging(workspace("a", rate=8.0)))
    await Repository(store=store).apply(merging(workspace("b", rate=8.0)))
    with pytest.raises(ConflictError) as caught:
        await repository.apply(merging(workspace("a", rate=7.0)), base=base)
    assert "workspace/a: spec.rate_tokens_s changed by revision 2" in caught.value.message
    assert (await repository.newest()).catalog.revision == 3


async def test_same_change_by_both_is_no_conflict(store, repository):
    base = await repository.newest()
    await Repository(store=store).apply(merging(workspace("a", rate=7.0)))
    applied = await repository.apply(merging(workspace("a", rate=7.0)), base=base)
    assert applied.revision == 2
    assert not applied.change


async def test_rebased_set_is_checked_as_a_whole(store, repository):
    base = await repository.newest()
    await Repository(store=store).apply(removing(workspace("b").id))
    with pytest.raises(ConfigurationError, match="key/kb: spec.workspace"):
        await repository.apply(merging(key("kb", "b")), base=base)
    assert (await repository.newest()).catalog.revision == 2


async def test_racing_operators_all_succeed_or_learn_of_the_conflict(store, repository):
    edits = [merging(workspace(f"w{number}")) for number in range(5)]
    results = await asyncio.gather(*(Repository(store=store).apply(edit) for edit in edits))
    assert sorted(result.revision for result in results) == [2, 3, 4, 5, 6]
    assert len((await repository.newest()).catalog.names(Kind.WORKSPACE)) == 7


async def test_applying_again_publishes_nothing(store, repository):
    applied = await repository.apply(merging(workspace("a")))
    assert applied.revision == 1
    assert store.calls["write"] == 0


async def test_one_change_of_many_objects_writes_three_values(store):
    names = [f"w{number:05d}" for number in range(3000)]
    repository = Repository(store=store)
    await repository.apply(
        merging(*(workspace(name) for name in names), *(key(f"k{n}", n) for n in names))
    )
    store.written_keys.clear()
    await repository.apply(merging(key(f"k{names[7]}", names[7], withdrawn=True)))
    kinds = [written.split("/")[1] for written in store.written_keys]
    assert kinds == ["chunk", "manifest", "head"]
    newest = await repository.newest()
    withdrawn = newest.catalog.get(Kind.KEY, f"k{names[7]}")
    assert withdrawn == key(f"k{names[7]}", names[7], withdrawn=True).spec
    assert len(newest.catalog) == 6000


async def test_old_revisions_are_collected_and_the_newest_stay_whole(store, repository):
    count = KEPT_REVISIONS + 23  # garbage is collected after the last revision
    stale_base = await repository.newest()
    for number in range(count):
        await repository.apply(merging(workspace("a", rate=1.0 + number)))
        if number == 3:  # a publication that fails leaves its chunk and manifest
            with pytest.raises(ConflictError):
                await repository.publish([workspace("z")], base=stale_base)
    manifests = await store.keys("configuration/manifest/")
    chunks = await store.keys("configuration/chunk/")
    assert len(manifests) == KEPT_REVISIONS
    assert len(chunks) <= KEPT_REVISIONS + 10
    kept = await repository.history(limit=2 * KEPT_REVISIONS)
    assert len(kept) == KEPT_REVISIONS
    for manifest in kept:
        assert (await repository.catalog(manifest)).revision == manifest.step.revision


async def test_objects_outside_the_changed_bucket_survive_collection(store):
    names = [f"w{number:04d}" for number in range(1200)]
    repository = Repository(store=store)
    await repository.apply(merging(*map(workspace, names)))
    for number in range(KEPT_REVISIONS + 20):
        await repository.apply(merging(workspace("w0000", rate=1.0 + number)))
    assert len((await repository.newest()).catalog) == 1200


async def test_a_chunk_with_other_content_is_not_adopted(store, repository):
    [chunk] = await store.keys("configuration/chunk/")
    found = await store.get(chunk)
    assert found is not None
    await store.put(chunk, b"[]", expected_version=found.version)
    with pytest.raises(ConfigurationError, match="digest"):
        await repository.newest()
