"""Rules of claims, each tested with at most one fault."""

import asyncio

import pytest

from flamingoshelf.claims import ClaimRequest, RetentionRule
from flamingoshelf.claims.tests.fleet import KEY_OF_B, Fleet

pytestmark = pytest.mark.looptime


@pytest.fixture
async def fleet():
    fleet = Fleet()
    yield fleet
    for node in fleet.nodes.values():
        await node.crash()


def executions(fleet):
    return sum(fleet.service.executions.values())


async def test_repeat_through_another_node_gets_the_same_answer(fleet):
    first = await fleet.call("n0", "k", b"x", "one")
    await asyncio.sleep(1)
    assert first == (201, b"one 1")
    assert await fleet.call("n2", "k", b"x", "two") == first


async def test_repeat_at_once_is_answered_by_the_holder_before_the_outcome_is_stored(fleet):
    first = await fleet.call("n0", "k", b"x", "one")
    assert await fleet.call("n1", "k", b"x", "two") == first


async def test_repeat_while_the_first_call_runs(fleet):
    fleet.service.delay_s = 3
    first = asyncio.create_task(fleet.call("n0", "k", b"x"))
    await asyncio.sleep(1)
    status, problem = await fleet.call("n1", "k", b"x")
    assert (status, problem["reason"]) == (409, "claim_in_progress")
    assert "not_run" not in problem
    assert (await first)[0] == 201


async def test_repeat_after_the_holder_died(fleet):
    fleet.service.delay_s = 3
    first = asyncio.create_task(fleet.call("n0", "k", b"x"))
    await asyncio.sleep(1)
    await fleet.restart("n0")
    await asyncio.gather(first, return_exceptions=True)
    for name in ("n0", "n1"):
        status, problem = await fleet.call(name, "k", b"x")
        assert (status, problem["reason"]) == (409, "claim_outcome_unknown")
        assert problem["outcome"] == "unknown"
    assert executions(fleet) == 0


async def test_other_body_under_a_used_key(fleet):
    await fleet.call("n0", "k", b"x")
    status, problem = await fleet.call("n1", "k", b"y")
    assert (status, problem["reason"]) == (422, "claim_body_differs")
    assert problem["not_run"] is True
    assert executions(fleet) == 1


async def test_same_key_of_two_workspaces(fleet):
    assert await fleet.call("n0", "k", b"x", "one") == (201, b"one 1")
    assert await fleet.call("n0", "k", b"x", "two", KEY_OF_B) == (201, b"two 1")
    assert len(fleet.service.executions) == 2


async def test_store_down_refuses_with_not_run_and_the_repeat_works(fleet):
    fleet.store.down = True
    status, problem = await fleet.call("n0", "k", b"x")
    assert (status, problem["reason"]) == (503, "claim_unavailable")
    assert problem["not_run"] is True
    fleet.store.down = False
    assert (await fleet.call("n1", "k", b"x"))[0] == 201


async def test_slow_store_refuses_within_a_bound(fleet):
    fleet.store.delay_s = 60
    started = asyncio.get_running_loop().time()
    status, problem = await fleet.call("n0", "k", b"x")
    assert problem["reason"] == "claim_unavailable"
    assert asyncio.get_running_loop().time() - started < 3


async def write_claim_and_lose_the_answer(fleet):
    """Let n0 write its claim, lose the answer, and cut n0 off from the store before it can read."""
    fleet.store.lose_answers = 1
    fleet.store.delay_s = 0.05
    call = asyncio.create_task(fleet.call("n0", "k", b"x"))
    while not fleet.store.writes:
        await asyncio.sleep(0.01)
    fleet.cut_from_store = {"n0"}
    status, problem = await call
    assert (problem["reason"], problem["not_run"]) == ("claim_unavailable", True)


async def test_unanswered_claim_is_taken_over_while_its_holder_has_no_store(fleet):
    await write_claim_and_lose_the_answer(fleet)
    assert (await fleet.call("n1", "k", b"x", "two")) == (201, b"two 1")


async def test_unanswered_claim_is_released_later(fleet):
    await write_claim_and_lose_the_answer(fleet)
    fleet.cut_from_store = set()
    await asyncio.sleep(10)
    await fleet.restart("n0")
    assert (await fleet.call("n1", "k", b"x", "two")) == (201, b"two 1")


async def test_unanswered_claim_of_a_dead_holder_stays_unknown(fleet):
    await write_claim_and_lose_the_answer(fleet)
    await fleet.restart("n0")
    status, problem = await fleet.call("n1", "k", b"x")
    assert problem["reason"] == "claim_outcome_unknown"


async def test_refused_on_every_server_releases_the_claim(fleet):
    fleet.service.modes = ["refuse", "refuse"]
    status, problem = await fleet.call("n0", "k", b"x")
    assert (status, problem["not_run"]) == (503, True)
    assert (await fleet.call("n1", "k", b"y"))[0] == 201


async def test_refused_on_one_server_goes_to_the_other(fleet):
    fleet.service.modes = ["refuse"]
    assert (await fleet.call("n0", "k", b"x"))[0] == 201


async def test_caller_gets_its_answer_though_it_cannot_be_recorded(fleet):
    fleet.service.delay_s = 1
    call = asyncio.create_task(fleet.call("n0", "k", b"x", "one"))
    await asyncio.sleep(0.5)
    fleet.store.down = True
    assert await call == (201, b"one 1")
    assert (await fleet.call("n1", "k", b"x"))[1]["reason"] == "claim_unavailable"
    fleet.store.down = False
    await asyncio.sleep(10)
    assert await fleet.call("n1", "k", b"x") == (201, b"one 1")


async def test_disconnected_caller_does_not_end_the_call(fleet):
    fleet.service.delay_s = 1
    call = asyncio.create_task(fleet.call("n0", "k", b"x", "one"))
    await asyncio.sleep(0.5)
    call.cancel()
    await asyncio.sleep(2)
    assert await fleet.call("n1", "k", b"x") == (201, b"one 1")


async def test_large_answer_is_not_kept(fleet):
    status, _ = await fleet.call("n0", "k", b"x", "long" * 600)
    assert status == 201
    status, problem = await fleet.call("n1", "k", b"x")
    assert (status, problem["reason"]) == (409, "claim_answer_not_kept")
    assert problem["outcome"] == "done"


async def test_service_that_honours_keys_needs_no_claim():
    fleet = Fleet(honours_idempotency_keys=True)
    fleet.store.down = True
    fleet.service.modes = ["crash_before"]
    assert (await fleet.call("n0", "k", b"x"))[0] == 201
    assert fleet.store.writes == 0


async def test_claims_are_found_across_generations_until_they_expire():
    rule = RetentionRule(retention_s=100, generation_s=10, generation_bytes=10**6)
    fleet = Fleet(rule=rule)
    fleet.store.delay_s = 0
    first = await fleet.call("n0", "k", b"x", "one")
    for number in range(9):
        await asyncio.sleep(10.5)
        for filler in range(120):
            await fleet.nodes["n1"].claims.claim(claim_request(f"{number}-{filler}"))
    fleet.order = ["n2"]
    assert await fleet.call("n2", "k", b"x") == first
    before = len(fleet.store.objects)
    await asyncio.sleep(300)
    for filler in range(200):
        await fleet.nodes["n1"].claims.claim(claim_request(f"late-{filler}"))
    assert len(fleet.store.objects) < before
    assert (await fleet.call("n0", "k", b"x", "two")) == (201, b"two 2")


def claim_request(key):
    return ClaimRequest(
        workspace="wa", route="/bookings", key=key, method="POST", target="/", body=b""
    )
