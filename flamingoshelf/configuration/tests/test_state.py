"""A node only moves to higher revisions, and by steps without a gap."""

import attrs
import pytest

from flamingoshelf.configuration import RevisionStep
from flamingoshelf.configuration._state import RevisionState, decode_steps
from flamingoshelf.configuration.tests.conftest import workspace
from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.objects import Catalog, Change


def step(number, *, rate=None):
    items = [workspace("a", rate=rate or float(number))]
    return RevisionStep(
        revision=number,
        manifest=f"m{number}",
        parent=f"m{number - 1}" if number > 1 else "",
        digest=Catalog(revision=number, objects=items).digest,
        change=Change(upserts=tuple(items)),
    )


@pytest.fixture
def state():
    state = RevisionState()
    assert state.adopt_steps([step(1), step(2), step(3)])
    return state


def test_an_older_whole_revision_is_not_adopted(state):
    for number in (1, 3):
        old = Catalog(revision=number, objects=[workspace("old")])
        state.adopt(old, manifest=f"other{number}")
        assert (state.revision, state.manifest) == (3, "m3")
        assert state.catalog.workspace("old") is None


def test_older_steps_are_skipped(state):
    assert state.adopt_steps([step(2), step(3), step(4)])
    assert state.revision == 4


def test_a_gap_is_reported(state):
    assert not state.adopt_steps([step(5)])
    assert not state.adopt_steps([attrs.evolve(step(4), change=None)])
    assert state.revision == 3


def test_a_step_with_another_digest_is_rejected(state):
    with pytest.raises(ConfigurationError, match="digest"):
        state.adopt_steps([attrs.evolve(step(4), digest="0" * 32)])
    assert state.revision == 3


def test_kept_steps_lead_a_peer_to_this_revision(state):
    peer = RevisionState()
    peer.adopt_steps([step(1)])
    assert peer.adopt_steps(decode_steps(state.encode_steps_after("m1")))
    assert peer.catalog.digest == state.catalog.digest
    assert state.encode_steps_after("unknown") == b""
