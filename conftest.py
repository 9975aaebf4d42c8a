"""Fixtures that several packages share."""

from pathlib import Path

import pytest

from lab.scenarios import SCENARIOS
from lab.site import Site


@pytest.fixture
async def site(tmp_path: Path):
    """A site of real processes, small: three nodes, two prefill and two decode engines."""
    scenario = SCENARIOS["himal"].resized(node_count=3, prefill_count=2, decode_count=2)
    site = Site(scenario=scenario, folder=tmp_path)
    try:
        await site.start()
        yield site
    finally:
        await site.stop()
