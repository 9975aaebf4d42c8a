"""Faults at every step of a request.

The caller gets one complete answer or one accurate refusal, and engines hold nothing afterwards.
"""

import asyncio

import pytest

from flamingoshelf.callers._completion_run import RefusedError
from flamingoshelf.refusals import RefusalReason
from lab.answers import expected_answer

pytestmark = pytest.mark.looptime

PROMPT = "Value the van."
FREE_TIMEOUT_S = 5.0
STEPS = ["prefill", "import_kv", "decode", "decoding"]


def on_first(step, action):
    """Return a hook that runs `action` at the first occurrence of a step."""
    done: list[str] = []

    async def hook(current, address):
        if current == step and not done:
            done.append(address)
            await action(address)

    return hook


async def kill_engine(fleet, address):
    fleet.engines.kill(address)


async def cut_streams(fleet, address):
    fleet.engines.break_streams(address)


async def lose_engine(fleet, address):
    fleet.engines.unreachable.add(address)
    asyncio.get_running_loop().call_later(8.0, fleet.engines.unreachable.discard, address)


async def stall_engine(fleet, address):
    options = fleet.engines[address].options
    options.stalled = True
    asyncio.get_running_loop().call_later(8.0, setattr, options, "stalled", False)


async def expire_result(fleet, address):
    for prefill in fleet.prefill:
        fleet.engines[prefill]._results.clear()


async def lose_messages(fleet, address):
    fleet.network.lost_notifications = 5
    fleet.engines.lost_cancels = 2


async def kill_dispatcher(fleet, address):
    await fleet.kill("node-0")


async def partition_dispatcher(fleet, address):
    fleet.network.partition("node-0")


FAULTS = [
    kill_engine,
    cut_streams,
    lose_engine,
    stall_engine,
    expire_result,
    lose_messages,
    kill_dispatcher,
    partition_dispatcher,
]


async def assert_all_free(fleet, within_s=FREE_TIMEOUT_S):
    await asyncio.sleep(within_s)
    assert fleet.held_requests() == {}


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
async def test_answer_is_whole_and_nothing_stays_held(fleet, fault, step):
    await fleet.start()
    fleet.engines.on_step = on_first(step, lambda address: fault(fleet, address))
    answer = await fleet.nodes["node-1"].start_run(prompt=PROMPT)
    assert answer == expected_answer(PROMPT, 40)
    assert fleet.limiter.charged == 1
    await assert_all_free(fleet, within_s=12.0)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("owner", ["node-0", "node-1"])
async def test_owner_that_dies_leaves_nothing_held(fleet, owner, step):
    await fleet.start()

    async def kill_soon(address):
        asyncio.get_running_loop().call_later(0.01, killed.set)

    killed = asyncio.Event()
    fleet.engines.on_step = on_first(step, kill_soon)
    fleet.nodes[owner].start_run(prompt=PROMPT, max_tokens=400)
    await killed.wait()
    await fleet.kill(owner)
    await assert_all_free(fleet)


@pytest.mark.parametrize("after_s", [0.0, 0.001, 0.003, 0.005, 0.05, 0.3])
async def test_cancelled_request_leaves_nothing_held(fleet, after_s):
    await fleet.start()
    task = fleet.nodes["node-1"].start_run(prompt=PROMPT, max_tokens=400)
    await asyncio.sleep(after_s)
    task.cancel()
    await assert_all_free(fleet, within_s=1.0)


async def test_refusal_reports_not_run_when_all_prefill_engines_are_down(fleet):
    await fleet.start()
    for address in fleet.prefill:
        fleet.engines.kill(address)
    await asyncio.sleep(1.0)
    with pytest.raises(RefusedError) as caught:
        await fleet.nodes["node-1"].start_run(prompt=PROMPT, max_wait_s=2.0)
    assert caught.value.refusal.not_run
    assert fleet.limiter.charged == 0
    await assert_all_free(fleet)


async def test_refusal_after_an_attempt_does_not_claim_that_nothing_ran(fleet):
    await fleet.start()

    async def kill_all(address):
        for engine in (*fleet.prefill, *fleet.decode):
            fleet.engines.kill(engine)

    fleet.engines.on_step = on_first("import_kv", kill_all)
    with pytest.raises(RefusedError) as caught:
        await fleet.nodes["node-1"].start_run(prompt=PROMPT, max_wait_s=2.0)
    assert not caught.value.refusal.not_run
    assert caught.value.refusal.reason is RefusalReason.DEADLINE_UNREACHABLE
    await assert_all_free(fleet)


async def test_cut_off_owner_still_gets_an_answer_by_local_choice(fleet):
    await fleet.start()
    fleet.network.partition("node-2")
    answer = await fleet.nodes["node-2"].start_run(prompt=PROMPT)
    assert answer == expected_answer(PROMPT, 40)


def cancelled_at_engines(fleet):
    return sum(fleet.engines[address].records["cancelled"] for address in fleet.decode)


async def test_cut_stream_goes_on_at_the_same_engine(fleet):
    await fleet.start()
    fleet.engines.on_step = on_first("decoding", lambda address: cut_streams(fleet, address))
    answer = await fleet.nodes["node-1"].start_run(prompt=PROMPT)
    assert answer == expected_answer(PROMPT, 40)
    assert sum(fleet.engines[address].records["prefills"] for address in fleet.prefill) == 1


@pytest.mark.parametrize(
    "cut",
    [
        pytest.param([("node-1", "node-0"), ("node-0", "node-1")], id="a third node reaches it"),
        pytest.param(
            [(a, b) for a in ("node-0",) for b in ("node-1", "node-2")]
            + [(a, b) for a in ("node-1", "node-2") for b in ("node-0",)],
            id="the dispatcher is alone",
        ),
    ],
)
async def test_live_answer_is_not_cancelled_by_a_dispatcher_that_lost_its_owner(fleet, cut):
    await fleet.start()
    run = fleet.nodes["node-1"].start_run(prompt=PROMPT, max_tokens=400)
    await asyncio.sleep(0.5)
    fleet.network.lost_pairs |= set(cut)
    assert await run == expected_answer(PROMPT, 400)
    assert cancelled_at_engines(fleet) == 0
    await assert_all_free(fleet)
