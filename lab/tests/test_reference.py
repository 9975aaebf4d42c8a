"""The committed reference of objects is current."""

from lab.reference import REFERENCE_PATH, render_reference


def test_reference_is_current():
    assert REFERENCE_PATH.read_text() == render_reference()
