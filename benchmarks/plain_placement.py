"""Placement of plain calls: ``python -m benchmarks.plain_placement [--seconds S] [--seeds N]``.

Simulates calls to servers of different speeds in virtual time, with four ways to place them, then
measures what the coordinator's way takes: bytes of messages and processor time for a call.
"""

import argparse
import asyncio
import itertools
import time
from collections.abc import Callable, Sequence

from loguru import logger

from flamingoshelf.nodes import Acknowledgement
from flamingoshelf.nodes._codec import Frame, FrameKind, encode_frame
from flamingoshelf.plain_placement import (
    CallId,
    CallKind,
    Outcome,
    Placement,
    PlacementRequest,
    ServiceLedger,
)
from flamingoshelf.plain_placement._messages import (
    EndedCall,
    PlacePlainCall,
    PlainCallPlaced,
    PlainCallsEnded,
)
from flamingoshelf.routing import BackendInstance
from lab.plain_servers import (
    Call,
    IdleSlots,
    Ledger,
    NodeChoice,
    Policy,
    SharedQueue,
    SimulatedServer,
    Simulation,
)

_MEAN_S = 0.072
_SPEEDS = (0.55, 1.2, 1.2)
_WARM_S = 10.0
_POLICIES: dict[str, Callable[[Simulation], Policy]] = {
    "one shared queue": SharedQueue,
    "ledger": Ledger,
    "idle slots": IdleSlots,
    "node's choice": NodeChoice,
}
_FLEETS = ((64, 96.0), (89, 93.0), (369, 390.0))  # nodes, plain calls per second


def main(arguments: Sequence[str] | None = None) -> None:
    """Print waits, shares within the goal, rejections, bytes and processor time."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=120.0, help="virtual seconds of a run")
    parser.add_argument("--seeds", type=int, default=3)
    parsed = parser.parse_args(arguments)
    logger.remove()
    asyncio.run(_compare(parsed.seconds, parsed.seeds))
    _measure_messages()
    _measure_ledger()


async def _compare(seconds: float, seeds: int) -> None:
    for hop_s, batch_s in ((0.0, 0.0), (0.001, 0.004)):
        print(f"messages take {hop_s} s, ends are gathered for {batch_s} s")
        for load, name in itertools.product((0.4, 0.6, 0.7, 0.8), _POLICIES):
            calls: list[Call] = []
            for seed in range(seeds):
                servers = [
                    SimulatedServer(key=f"s{number}", speed=_constant(speed))
                    for number, speed in enumerate(_SPEEDS)
                ]
                simulation = Simulation(servers, seed=seed, hop_s=hop_s, batch_s=batch_s)
                rate = _constant(load * 6 * sum(_SPEEDS) / _MEAN_S)
                calls += simulation.run(_POLICIES[name](simulation), rate=rate, until_s=seconds)
            calls = [call for call in calls if call.arrived_s > _WARM_S]
            waits = sorted(call.wait_s for call in calls)
            print(
                f"load {load} {name:16s} calls {len(calls)}"
                f" wait p99 {1000 * waits[int(0.99 * len(waits))]:.1f} ms"
                f" in goal {sum(call.ended_s <= call.goal_s for call in calls) / len(calls):.4f}"
                f" rejections {sum(call.rejections for call in calls)}"
                f" refusals {sum(call.refusals for call in calls)}",
                flush=True,
            )


def _constant(value: float) -> Callable[[float], float]:
    return lambda at_s: value


def _measure_messages() -> None:
    """Print the bytes of the messages of one call."""
    place = PlacePlainCall(
        call=1 << 47,
        service="membership-desk",
        route="dues-charge",
        method="POST",
        workspace="club-nacional",
        body_bytes=420,
        data_centre="south-a",
        priority=1,
        goal_left_s=0.3471,
        left_s=4.0871,
    )
    placed = PlainCallPlaced(server="membership-desk-17", expected_s=0.0731, running=3)
    ended = EndedCall(
        call=1 << 47, service="membership-desk", outcome="answered", duration_s=0.07312
    )
    sizes = [
        len(encode_frame(Frame(kind=kind, number=12345, message=message)))
        for kind, message in (
            (FrameKind.REQUEST, place),
            (FrameKind.REPLY, placed),
            (FrameKind.REQUEST, PlainCallsEnded(ended=(ended,))),
            (FrameKind.REPLY, Acknowledgement()),
        )
    ]
    print(f"bytes of request, reply, end and its receipt: {sizes}, together {sum(sizes)}")
    for nodes, per_s in _FLEETS:
        remote = per_s * (nodes - 1) / nodes
        print(
            f"{nodes} nodes, {per_s:.0f} calls/s: {len(sizes) * remote:.0f} messages/s,"
            f" {remote * sum(sizes) / 1000:.1f} kB/s"
        )


def _measure_ledger() -> None:
    """Print the processor time of the ledger for a call, idle and with calls that wait."""
    now_s = [0.0]
    servers = [
        BackendInstance(instance_id=key, service="d", address="", data_centre="a", slots=6)
        for key in "abc"
    ]
    for waiting in (0, 20, 200):
        ledger = ServiceLedger(service="d", servers=lambda: servers, clock=lambda: now_s[0])
        granted: list[CallId] = []
        numbers = itertools.count()

        def submit(ledger: ServiceLedger, granted: list[CallId], number: int) -> None:
            call = CallId(owner=f"n{number % 89}", number=number)
            request = PlacementRequest(
                call=call,
                kind=CallKind(service="d", route="r", method="POST", workspace="w"),
                goal_s=now_s[0] + 5.0,
                deadline_s=now_s[0] + 60.0,
            )

            def on_decision(placement: Placement) -> None:
                if placement.server is not None:
                    granted.append(call)

            ledger.submit(request, on_decision)

        for _ in range(20 + waiting if waiting else 7):
            submit(ledger, granted, next(numbers))
        count = 4000 if waiting < 100 else 1000
        began_s = time.process_time()
        for _ in range(count):
            now_s[0] += 0.01
            ledger.end(granted.pop(0), Outcome.ANSWERED, duration_s=0.07)
            submit(ledger, granted, next(numbers))
        spent_s = time.process_time() - began_s
        print(f"{ledger.waiting_count} calls wait: {1e6 * spent_s / count:.0f} us for a call")


if __name__ == "__main__":
    main()
