"""Shared fixtures of the tests of paths."""

import pytest

from flamingoshelf.paths.tests.fake_fleet import Fleet


@pytest.fixture
async def new_fleet():
    fleets = []

    async def make(**sizes):
        fleets.append(Fleet(**sizes))
        await fleets[-1].start()
        return fleets[-1]

    yield make
    for fleet in fleets:
        await fleet.stop()
