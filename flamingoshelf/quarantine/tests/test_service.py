"""Exchange of reports between nodes."""

import asyncio

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flamingoshelf.quarantine import CrashReport, Quarantine, Suspect

pytestmark = pytest.mark.looptime


@pytest.mark.parametrize(("count", "most_messages"), [(6, 60), (60, 600)])
async def test_all_nodes_refuse_after_reports_of_two(network, count, most_messages):
    network.add(*(f"n{number}" for number in range(count)))
    network.services["n0"].report_crash("e1", [suspect("r1", "bad")])
    await network.deliver_pending()
    await asyncio.sleep(0.5)
    network.services["n1"].report_crash("e2", [suspect("r2", "bad")])
    await network.deliver_pending()
    assert len(network.refusing("r3", "bad")) >= 0.98 * count
    assert network.messages <= most_messages


@pytest.mark.parametrize(("count", "most_messages"), [(3, 30), (6, 120), (60, 1200)])
async def test_crash_and_success_reports_stop_circulating(network, count, most_messages):
    network.add(*(f"n{number}" for number in range(count)))
    network.services["n0"].report_crash("e1", [suspect("d")])
    await asyncio.sleep(0.1)
    network.services["n0"].record_begin(["d"])
    await network.deliver_pending()
    assert network.messages <= most_messages
    assert len({service.digest for service in network.services.values()}) == 1
    network.services["n1"].report_crash("e2", [suspect("d")])
    assert not network.refusing("d")


async def test_a_late_duplicate_of_a_crash_report_is_no_second_crash(network):
    network.add("n0", "n1", "n2")
    network.services["n0"].report_crash("e1", [suspect("d")], started_ms=5)
    late = network.pending[0]
    await network.deliver_pending()
    await asyncio.sleep(3.0)  # longer than the time in which repeated reports count as one crash
    network.pending.append(late)
    await network.deliver_pending()
    assert not network.refusing("d")


async def test_success_that_overtakes_its_crash_clears_it(network):
    network.add("n0", "n1")
    network.services["n0"].report_crash("e1", [suspect("d")])
    await asyncio.sleep(0.1)
    network.services["n0"].record_begin(["d"])
    network.pending.reverse()
    await network.deliver_pending()
    network.services["n1"].report_crash("e2", [suspect("d")])
    assert not network.refusing("d")


async def test_success_does_not_clear_a_crash_that_it_did_not_follow(network):
    network.add("n0", "n1")
    network.services["n0"].report_crash("e1", [suspect("d")])
    await asyncio.sleep(0.1)
    network.services["n0"].record_begin(["d"])
    network.services["n0"].record_end(["d"])
    await asyncio.sleep(0.5)
    network.services["n1"].report_crash("e2", [suspect("d")])
    await network.deliver_pending()
    assert not network.refusing("d")
    await asyncio.sleep(0.5)
    network.services["n0"].report_crash("e3", [suspect("d")])
    await network.deliver_pending()
    assert network.refusing("d") == ["n0", "n1"]


# A part that all requests share was suspected when a rack failed under several of them.
async def test_part_that_another_node_receives_answers_to_is_cleared(network):
    network.add("n0", "n1")
    for number in range(3):
        network.services["n1"].record_begin([f"q{number}", "shared"])
        await asyncio.sleep(0.5)
        network.services["n0"].report_crash(f"e{number}", [suspect(f"r{number}", "shared")])
        await network.deliver_pending()
        await asyncio.sleep(0.5)
    assert not network.refusing("r9", "shared")


async def test_node_that_starts_learns_of_earlier_crashes(network):
    network.add("n0", "n1")
    for number in range(2):
        network.services["n0"].report_crash(f"e{number}", [suspect("bad")])
        await asyncio.sleep(1.0)
    network.pending.clear()  # lost
    network.add("n2")
    assert network.refusing("bad") == ["n0"]
    network.services["n1"].record_digest("n0", network.services["n0"].digest)
    await network.services["n2"].start()
    await asyncio.sleep(2.0)
    assert network.refusing("bad") == ["n0", "n1", "n2"]
    await network.services["n2"].stop()


async def test_nodes_with_the_same_table_ask_nothing(network):
    network.add("n0", "n1")
    network.services["n0"].report_crash("e1", [suspect("bad")])
    network.services["n1"].record_digest("n0", network.services["n0"].digest)
    await network.deliver_pending()  # before the node would ask
    asked = network.handlers.pop("n0")
    await asyncio.sleep(1.0)
    assert asked and network.services["n1"].digest == network.services["n0"].digest


def suspect(*keys, waited_s=0.1):
    return Suspect(keys=keys, waited_s=waited_s)


_KEYS = st.sampled_from(["a", "b", "c"])
_REPORTS = st.builds(
    CrashReport,
    server=st.sampled_from(["e1", "e2"]),
    started_ms=st.sampled_from([1, 2]),
    suspects=st.lists(
        st.builds(
            Suspect,
            keys=st.lists(_KEYS, min_size=1, max_size=2).map(tuple),
            waited_s=st.sampled_from([0.0, 0.5]),
        ),
        max_size=2,
    ).map(tuple),
    cleared=st.lists(_KEYS, max_size=2).map(tuple),
)


@given(reports=st.lists(_REPORTS, max_size=8), data=st.data())
@settings(max_examples=100)
def test_tables_agree_whatever_the_order_of_reports(reports, data):
    # A crash has one time, whoever reports it.
    ages_s = {("e1", 1): 4.0, ("e1", 2): 1.0, ("e2", 1): 3.0, ("e2", 2): 2.0}
    reports = [attrs.evolve(r, age_s=ages_s[r.server, r.started_ms]) for r in reports]
    others = data.draw(st.permutations(reports + reports[:3]))

    async def merge_all(order):
        quarantine = Quarantine()
        for report in order:
            quarantine.merge(report)
        return quarantine.digest, [quarantine.check([key]) is None for key in "abc"]

    assert asyncio.run(merge_all(reports)) == asyncio.run(merge_all(others))
