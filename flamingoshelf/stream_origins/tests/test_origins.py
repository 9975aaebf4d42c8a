"""Origins of streams in the memory of one node."""

import asyncio

import pytest

from flamingoshelf.stream_origins import OriginTable
from flamingoshelf.stream_origins.tests.conftest import V1, V2

pytestmark = pytest.mark.looptime


@pytest.fixture
def table():
    return OriginTable()


async def test_origin_is_kept_for_as_long_as_its_caller_waits(table):
    table.add("a", V1, keep_s=14.0)
    await asyncio.sleep(13.9)
    assert table.find("a") == V1
    await asyncio.sleep(0.2)
    assert table.find("a") is None


# Two streams with the same id were told apart by nothing; one of them went on at the wrong version.
@pytest.mark.parametrize("second", [V2, None])
async def test_key_with_two_origins_has_none(table, second):
    table.add("a", V1, keep_s=14.0)
    table.add("a", second, keep_s=14.0)
    table.add("a", V1, keep_s=14.0)
    assert table.find("a") is None


async def test_origins_that_nobody_asks_for_are_dropped(table):
    for number in range(100):
        table.add(f"{number}", V1, keep_s=5.0)
    await asyncio.sleep(6.0)
    table.add("new", V1, keep_s=5.0)
    assert len(table) == 1
