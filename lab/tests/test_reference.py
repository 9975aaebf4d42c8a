"""The committed reference pages of objects and settings are up to date."""

import pytest

from lab.reference import REFERENCE_PATH, render_reference
from lab.settings_reference import SETTINGS_PATH, render_settings


@pytest.mark.parametrize(
    ("path", "render"), [(REFERENCE_PATH, render_reference), (SETTINGS_PATH, render_settings)]
)
def test_reference_is_current(path, render):
    assert path.read_text() == render()
