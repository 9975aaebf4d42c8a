"""Fixtures for tests of whole sites."""

import pytest

from lab.gateway import GatewaySite


@pytest.fixture
async def new_site(tmp_path):
    sites = []

    async def start(**sizes):
        site = GatewaySite(folder=tmp_path, **sizes)
        sites.append(site)
        await site.start()
        return site

    yield start
    for site in sites:
        await site.stop()
