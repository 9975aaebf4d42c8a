"""Fixtures for tests of whole sites."""

import asyncio

import pytest

from lab.gateway import GatewaySite
from lab.gateway._paths import PathSite


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


@pytest.fixture
async def new_path_site(tmp_path):
    sites = []

    async def start(node_count):
        site = PathSite(folder=tmp_path, node_count=node_count, prefill_count=2, decode_count=3)
        sites.append(site)
        await site.start()
        await asyncio.sleep(2.5)  # for the initial changes of engine roles
        return site

    yield start
    for site in sites:
        await site.stop()
