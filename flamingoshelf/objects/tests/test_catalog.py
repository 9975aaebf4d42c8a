"""A catalog returns the same objects as the plain set that it was made of."""

import hypothesis.strategies as st
from hypothesis import given, settings

from flamingoshelf.objects import (
    Catalog,
    Key,
    Kind,
    NamedObject,
    ObjectId,
    ObjectSpec,
    Pool,
    PoolRole,
    Workspace,
)

IDS = [
    ObjectId(kind=kind, name=name)
    for kind in (Kind.WORKSPACE, Kind.KEY, Kind.POOL)
    for name in ("a", "b", "c")
]


def make_object(item_id, variant):
    spec: ObjectSpec
    match item_id.kind:
        case Kind.WORKSPACE:
            spec = Workspace(rate_tokens_s=1.0 + variant, burst_tokens=9)
        case Kind.KEY:
            digest = f"{ord(item_id.name):02x}" * 31 + f"{variant // 2:02x}"
            spec = Key(workspace="a", sha256=digest, withdrawn=variant == 1)
        case _:
            spec = Pool(role=list(PoolRole)[variant])
    return NamedObject(id=item_id, spec=spec)


objects = st.builds(make_object, st.sampled_from(IDS), st.integers(0, 2))
change_lists = st.lists(st.one_of(objects, st.sampled_from(IDS)), max_size=12)


@given(change_lists)
@settings(derandomize=True, deadline=None, max_examples=100)
def test_evolved_equals_a_catalog_made_at_once(changes):
    catalog = Catalog(revision=0, objects=())
    expected = {}
    for revision, change in enumerate(changes, start=1):
        if isinstance(change, NamedObject):
            expected[change.id] = change
            catalog = catalog.with_changes(revision=revision, upserts=[change], removals=[])
        else:
            expected.pop(change, None)
            catalog = catalog.with_changes(revision=revision, upserts=[], removals=[change])
        assert catalog.objects == expected
        assert catalog.digest == Catalog(revision=0, objects=expected.values()).digest
        for item in expected.values():
            if isinstance(item.spec, Key):
                assert catalog.key_by_digest(item.spec.sha256) == item.spec
        assert len(catalog) == len(expected)


def test_with_changes_leaves_the_old_catalog_unchanged():
    item = make_object(IDS[3], 0)
    old = Catalog(revision=1, objects=[item])
    new = old.with_changes(revision=2, upserts=[], removals=[item.id])
    assert old.key_by_digest(item.spec.sha256) is not None
    assert new.key_by_digest(item.spec.sha256) is None
