"""Two sound engines fall silent at once after a reload of the settings: no stream may be cut."""

import asyncio
import itertools
import os
import signal
from pathlib import Path
from typing import Any

from flamingoshelf.http1 import BackendConnection
from lab.gateway._servers import EngineStandIn
from lab.gateway._site import RESUMABLE, STOCK
from review.deployment_2 import Deployment, Record, has_trouble, run_case

_ROUNDS = 2
_STREAMS = 48  # of a round, some 16 at each decode engine
_EVENTS = 100
_EVENT_S = 0.05  # a stream takes 5 s
_DEADLINE_MS = 14_000
_GOAL_MS, _GAP_GOAL_MS = 500, 200
_ADDED_S = 1.0  # after SIGHUP; streams of the round have begun
_SILENT_S = 1.8  # after SIGHUP
_SILENCE_S = float(os.environ.get("SILENCE_S", "1.3"))
_REST_S = 4.0  # longer than contactMs


class _Round:
    """One reload of the settings, with streams that are sent within configApplyMs after it."""

    def __init__(self, deployment: Deployment, record: Record, numbers: "itertools.count[int]"):
        self._deployment = deployment
        self._record = record
        self._numbers = numbers
        self.cut: list[str] = []

    async def play(self) -> None:
        """Reload, send streams, add an empty engine, and let both decode engines be silent."""
        deployment, record = self._deployment, self._record
        first, added = deployment.engines[1], deployment.engines[-1]
        node, address = deployment.nodes[0], deployment.node_addresses[0]
        node.send(signal.SIGHUP)
        record.add(f"SIGHUP at {node.name}")
        async with asyncio.TaskGroup() as group:
            for _ in range(_STREAMS):
                group.create_task(self._send(address))
            await asyncio.sleep(_ADDED_S)
            added.renew()
            deployment.register(added)
            record.add(f"engine {added.instance_id} is added")
            await asyncio.sleep(_SILENT_S - _ADDED_S)
            if has_trouble():
                record.add(f"{first.instance_id} and {added.instance_id} are silent")
                await asyncio.gather(first.freeze(_SILENCE_S), added.freeze(_SILENCE_S))
                record.add("they go on")
        deployment.store.remove("servers", added.instance_id)

    async def _send(self, address: str) -> None:
        """Send a call and then a stream over one connection."""
        number = next(self._numbers)
        name = f"stream-{number}"
        connection = await BackendConnection.open(address, timeout_s=1.0)
        await self._deployment.caller.call(
            address, f"{STOCK}{number}", method="GET", connection=connection
        )
        answer = await self._deployment.caller.call(
            address,
            f"{RESUMABLE}{name}",
            deadline_ms=_DEADLINE_MS,
            tokens=(500, 8 * _EVENTS),
            connection=connection,
            request_id=name,
        )
        connection.close()
        self._record.add(
            f"{name}: {answer.status}, {len(answer.events)} of {_EVENTS} events {answer.failure}"
        )
        if answer.status == 200 and not answer.is_complete:
            self.cut.append(name)


async def _case(deployment: Deployment, record: Record) -> list[str]:
    deployment.store.remove("servers", deployment.engines[-1].instance_id)
    numbers = itertools.count()
    cut: list[str] = []
    for _ in range(_ROUNDS):
        await asyncio.sleep(_REST_S)
        played = _Round(deployment, record, numbers)
        await played.play()
        cut += played.cut
    for run in deployment.log.runs:
        record.add(f"{run.request_id} ran at {run.server}: {run.ended}")
    return [f"LOST: {len(cut)} streams of sound engines were cut: {cut}"] if cut else []


class _Streams(Deployment):
    """A prefill engine, three decode engines and one to add; a goal of half a second."""

    def __init__(self, **sizes: Any) -> None:
        EngineStandIn.kv_capacity_tokens = 60_000
        super().__init__(**sizes)
        for engine in self.engines:
            engine.s_per_event = _EVENT_S

    def configuration(self) -> dict[str, Any]:
        document = super().configuration()
        document["services"][0]["engine"]["slots"] = 64
        for route in document["routes"]:
            if route["kind"] == "streaming":
                route.update(timeoutMs=_DEADLINE_MS, latencyGoalMs=_GOAL_MS, gapAimMs=_GAP_GOAL_MS)
        return document


if __name__ == "__main__":
    run_case(
        Path(__file__).parent,
        _case,
        deployment_class=_Streams,
        node_count=3,
        prefill_count=1,
        decode_count=4,
        plain_count=2,
    )
