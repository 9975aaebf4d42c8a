"""Nodes and engines of one process under the paused clock."""

import pytest

from lab.local_fleet import LocalFleet


@pytest.fixture
async def fleet():
    """A fleet that the test starts: the clock begins anew with the test itself."""
    fleet = LocalFleet()
    yield fleet
    await fleet.stop()
