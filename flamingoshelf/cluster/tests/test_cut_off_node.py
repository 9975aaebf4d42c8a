"""A node that reaches no other node of its fleet, but callers and engines."""

import asyncio

import pytest

from flamingoshelf.cluster import Member
from flamingoshelf.utils import now_s

pytestmark = pytest.mark.looptime

CALLERS_LEAVE_S = 3.6


async def start_cut_off(fleet, others):
    """Start a node whose messages to `others` members, who all precede it, are lost."""
    members = [
        Member(name=f"m{n}", address=f"m{n}:1", data_centre="a", rank=n, capacity=1.0)
        for n in range(others)
    ]
    fleet.rank = others
    fleet.network.silent |= {member.name for member in members}
    await fleet.add("z", extra_members=members)
    return fleet.nodes["z"].coordination


@pytest.mark.parametrize("others", [8, 20, 80, 300])
async def test_node_cut_off_from_a_large_fleet_coordinates_itself_before_callers_leave(
    fleet, others
):
    """Guards against a node that refuses everything: it asked three members at a time for ever."""
    coordination = await start_cut_off(fleet, others)
    began_s = now_s()
    await asyncio.wait_for(coordination.wait_for_coordinator(), 60)
    assert now_s() - began_s < CALLERS_LEAVE_S
    for _ in range(100):
        await asyncio.sleep(0.1)
        assert coordination.coordinator == "z"


async def test_first_members_are_asked_first(fleet):
    """Guards against heartbeats of a whole fleet to all its members after a coordinator's loss."""
    coordination = await start_cut_off(fleet, 80)
    await asyncio.sleep(0.25)
    assert len(coordination._probed) == 3
