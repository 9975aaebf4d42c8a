"""Tests of the registration of nodes in the store."""

import asyncio
import random

import pytest

from flamingoshelf.cluster import MemberList, Registration

pytestmark = pytest.mark.looptime


@pytest.fixture
def register(store, eras):
    started: list[Registration] = []

    async def run(name, *, is_first_start=True):
        members = MemberList()
        joined = []

        async def on_registered(member, secret):
            joined.append((member, secret))

        registration = Registration(
            store=store,
            name=name,
            address=f"{name}:1",
            data_centre="a",
            capacity=1.0,
            incarnation=f"run-{len(started)}",
            is_first_start=is_first_start,
            members=members,
            on_registered=on_registered,
            random_source=random.Random(1),
            eras=eras,
        )
        started.append(registration)
        await registration.start()
        await asyncio.sleep(0.05)
        return members, joined

    return run


async def test_nodes_share_a_secret_and_see_those_before_them(register):
    _, [(first, secret)] = await register("a")
    members, [(second, other_secret)] = await register("b")
    assert secret == other_secret and len(secret) >= 32
    assert first.rank < second.rank
    assert [member.name for member in members.by_precedence()] == ["a", "b"]


async def test_restarted_node_has_a_later_rank(register):
    _, [(first, _)] = await register("a")
    await register("b")
    members, [(again, _)] = await register("a")
    assert again.rank > first.rank
    assert [member.name for member in members.by_precedence()] == ["b", "a"]


async def test_each_run_writes_an_entry_of_its_own(register, store):
    """The store gives an unchanged entry no new revision, and so the run would get no new rank."""
    await register("a")
    first = store.objects["gateway-nodes", "a"].content
    await register("a")
    assert store.objects["gateway-nodes", "a"].content != first


async def test_node_registers_once_the_store_is_back(register, store):
    store.is_down = True
    _, joined = await register("a")
    assert joined == []
    await asyncio.sleep(5)
    store.is_down = False
    await asyncio.sleep(1.1)
    assert len(joined) == 1


async def test_unreadable_entry_adds_no_member(register, store):
    await store.put("gateway-nodes", "odd", {"address": 5}, is_likely_new=True)
    members, _ = await register("a")
    assert members.get("odd") is None


async def test_lost_entry_and_secret_are_written_again_after_a_restore(register, store):
    store.restore({})
    _, [(member, secret)] = await register("a")
    store.restore({})  # the copy is older than the fleet
    await asyncio.sleep(1.0)
    members, [(_, other_secret)] = await register("b")
    assert other_secret == secret
    assert members.get("a") == member  # with its former rank: the order of the nodes stays


async def test_node_that_starts_after_a_restore_leaves_the_secret_to_the_others(register, store):
    store.restore({})
    _, [(_, secret)] = await register("a")
    store.restore({})
    _, joined = await register("b", is_first_start=False)
    await asyncio.sleep(5.0)
    [(_, other_secret)] = joined
    assert other_secret == secret
