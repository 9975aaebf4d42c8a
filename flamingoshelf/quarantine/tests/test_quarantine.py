"""Quarantine on one node, and its replication between nodes."""

import asyncio
import random

import pytest

from flamingoshelf.quarantine import Quarantine, QuarantineService
from flamingoshelf.refusals import RefusalReason
from flamingoshelf.telemetry import Metrics

pytestmark = pytest.mark.looptime


@pytest.mark.parametrize(
    ("events", "is_refused"),
    [
        pytest.param([("crash", "e1")], False, id="one crash"),
        pytest.param([("crash", "e1"), ("crash", "e2")], True, id="two engines"),
        pytest.param([("crash", "e1"), ("crash", "e1")], False, id="one crash reported twice"),
        pytest.param([("crash", "e1"), ("wait", 3), ("crash", "e1")], True, id="one engine again"),
        pytest.param([("crash", "e1"), ("ok",), ("crash", "e2")], False, id="success between"),
        pytest.param([("crash", "e1"), ("wait", 121), ("crash", "e2")], False, id="long ago"),
        pytest.param([("crash", "e1"), ("crash", "e2"), ("ok",)], True, id="late success"),
        pytest.param([("crash", "e1"), ("crash", "e2"), ("wait", 601)], False, id="expired"),
    ],
)
async def test_reports(events, is_refused):
    quarantine = Quarantine()
    for event in events:
        match event:
            case ("crash", engine):
                quarantine.report_crash("d", engine)
            case ("wait", seconds):
                await asyncio.sleep(seconds)
            case _:
                quarantine.report_success("d")
    refusal = quarantine.check("d")
    assert (refusal is not None) is is_refused
    assert ("d" in quarantine.quarantined()) is is_refused
    if refusal is not None:
        assert (refusal.reason, refusal.not_run) == (RefusalReason.QUARANTINED, True)
    assert quarantine.check("other") is None


async def test_operators_lift_a_quarantine():
    quarantine = Quarantine(lifted=lambda: ("d",))
    quarantine.report_crash("d", "e1")
    quarantine.report_crash("d", "e2")
    assert quarantine.check("d") is None
    assert not quarantine.quarantined()


async def test_the_table_is_bounded():
    quarantine = Quarantine()
    for number in range(3000):
        quarantine.report_crash(f"d{number}", "e1")
    quarantine.report_crash("d0", "e2")
    assert quarantine.check("d0") is None


class Network:
    """Nodes whose messages are queued until `deliver_pending`, and counted."""

    def __init__(self, names):
        self.messages = 0
        self.handlers = {}
        self.pending = []
        self.quarantines = {name: Quarantine() for name in names}
        self.services = {name: self.new_service(name, names) for name in names}

    def new_service(self, name, names):
        return QuarantineService(
            quarantine=self.quarantines[name],
            link=Link(self, name),
            peers=lambda: names,
            metrics=Metrics(node_name=name),
            random_source=random.Random(name),
        )

    async def deliver_pending(self, limit=10_000):
        while self.pending and self.messages < limit:
            name, report = self.pending.pop(0)
            self.messages += 1
            await self.handlers[name]("peer", report)


class Link:
    incarnation = "1"

    def __init__(self, network, node_name):
        self.node_name = node_name
        self._network = network

    async def request(self, peer, message, *, timeout_s):
        raise NotImplementedError

    def notify(self, peer, message):
        self._network.pending.append((peer, message))

    def register(self, message_type, handler):
        self._network.handlers[self.node_name] = handler


@pytest.mark.parametrize(("count", "most_messages"), [(6, 60), (60, 600)])
async def test_all_nodes_refuse_after_reports_of_two(count, most_messages):
    network = Network([f"n{number}" for number in range(count)])
    for service in network.services.values():
        await service.start()
    network.services["n0"].report_crash("d", "e1")
    network.services["n1"].report_crash("d", "e2")
    await network.deliver_pending()
    refusing = [name for name, service in network.services.items() if service.check("d")]
    assert len(refusing) >= 0.98 * count
    assert network.messages <= most_messages


@pytest.mark.parametrize(("count", "most_messages"), [(3, 30), (6, 120), (60, 1200)])
async def test_crash_and_success_reports_stop_circulating(count, most_messages):
    network = Network([f"n{number}" for number in range(count)])
    for service in network.services.values():
        await service.start()
    network.services["n0"].report_crash("d", "e1")
    network.services["n0"].report_success("d")
    await network.deliver_pending()
    assert network.messages <= most_messages
    assert not any(network.quarantines[name].crashed_engines("d") for name in network.services)


async def test_a_late_duplicate_of_a_crash_report_is_no_second_crash():
    network = Network(["n0", "n1", "n2"])
    for service in network.services.values():
        await service.start()
    network.services["n0"].report_crash("d", "e1")
    late = network.pending[0]
    await network.deliver_pending()
    await asyncio.sleep(3.0)  # longer than the time in which repeated reports count as one crash
    network.pending.append(late)
    await network.deliver_pending()
    assert not any(service.check("d") for service in network.services.values())


async def test_success_that_overtakes_its_crash_clears_it():
    network = Network(["n0", "n1"])
    for service in network.services.values():
        await service.start()
    network.services["n0"].report_crash("d", "e1")
    network.services["n0"].report_success("d")
    network.pending.reverse()
    await network.deliver_pending()
    assert network.quarantines["n1"].crashed_engines("d") == ()


async def test_success_does_not_clear_a_crash_that_it_did_not_follow():
    network = Network(["n0", "n1"])
    for service in network.services.values():
        await service.start()
    network.services["n0"].report_crash("d", "e1")
    network.services["n0"].report_success("d")
    network.services["n1"].report_crash("d", "e2")
    await network.deliver_pending()
    assert network.quarantines["n0"].crashed_engines("d") == ("e2",)
    network.services["n0"].report_crash("d", "e3")
    await network.deliver_pending()
    assert network.services["n1"].check("d") is not None
