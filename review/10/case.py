"""The last decode engine of a software version is replaced: its streams have to go on."""

import asyncio
import itertools
from pathlib import Path
from typing import Any

import attrs

from flamingoshelf.utils import now_s
from lab.gateway._caller import Answer
from lab.gateway._servers import EngineStandIn
from lab.gateway._site import RESUMABLE
from review.deployment_2 import Deployment, Record, has_trouble, run_case

_EVENTS = 150
_EVENT_S = 0.05  # a stream takes 7.5 s
_DEADLINE_MS = 14_000
_FIRST_STREAMS = 45  # at the three decode engines
_NEW_INTERVAL_S = 0.25
_BEGIN_S = 3.0  # of the trouble, after the first streams
_SPAN_S = 16.0
_DRAIN_S = 3.0  # drainMs, and a little longer
_MIN_TAKEN_UP = 12


@attrs.define(kw_only=True)
class _Stream:
    """A stream with all tries of its caller."""

    name: str
    answers: list[Answer] = attrs.field(factory=list)

    @property
    def events(self) -> list[int]:
        return [event for answer in self.answers for event in answer.events]

    @property
    def goes_on(self) -> bool:
        """Whether a try after the first brought an event."""
        return any(answer.events for answer in self.answers[1:])


class _Callers:
    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._deployment = deployment
        self._record = record
        self._numbers = itertools.count()
        self.streams: list[_Stream] = []

    async def send(self, *, is_new: bool) -> None:
        """Send a stream; take it up at other nodes, at once and when told to return."""
        stream = _Stream(name=f"{'new' if is_new else 'first'}-{next(self._numbers)}")
        self.streams.append(stream)
        deadline_s = now_s() + _DEADLINE_MS / 1000
        await self._try(stream, deadline_s)
        for _ in range(2):
            if not stream.events or stream.answers[-1].is_complete and stream.answers[-1].events:
                return
            await asyncio.sleep(float(stream.answers[-1].headers.get("Retry-After") or 0.0))
            await self._try(stream, deadline_s)

    async def _try(self, stream: _Stream, deadline_s: float) -> None:
        left_ms = int(1000 * (deadline_s - now_s()))
        if left_ms <= 0:
            return
        headers: list[tuple[str, str]] = []
        if stream.events:
            began = next(answer.request_id for answer in stream.answers if answer.events)
            headers = [("Last-Event-Id", str(stream.events[-1])), ("Resumes", began)]
        number = next(self._numbers)
        answer = await self._deployment.caller.call(
            self._deployment.node_addresses[number % len(self._deployment.node_addresses)],
            f"{RESUMABLE}{stream.name}",
            deadline_ms=left_ms,
            tokens=(500, 8 * _EVENTS),
            headers=headers,
            request_id=f"{stream.name}-{number}",
        )
        stream.answers.append(answer)
        reason = "" if answer.status == 200 else answer.body[:80].decode(errors="replace")
        self._record.add(
            f"{answer.request_id}: {answer.status}, events {answer.events[:1]} to "
            f"{answer.events[-1:]} of {sorted(set(answer.versions))} {reason}"
        )


async def _case(deployment: Deployment, record: Record) -> list[str]:
    callers = _Callers(deployment, record)
    leaving: EngineStandIn = deployment.engines[2]

    async def trouble() -> None:
        await asyncio.sleep(_BEGIN_S)
        record.add(f"{leaving.instance_id}, the decode engine of v1, leaves")
        deployment.register(deployment.engines[-1])
        record.add(f"{deployment.engines[-1].instance_id} of v2 takes its place")
        leaving.state = "draining"
        deployment.register(leaving)
        await asyncio.sleep(_DRAIN_S)
        await leaving.stop()
        deployment.store.remove("servers", leaving.instance_id)
        record.add(f"{leaving.instance_id} has left")

    deployment.store.remove("servers", deployment.engines[-1].instance_id)  # not there yet
    await asyncio.sleep(1.0)
    begin_s = now_s()
    async with asyncio.TaskGroup() as group:
        for _ in range(_FIRST_STREAMS):
            group.create_task(callers.send(is_new=False))
            await asyncio.sleep(0.02)
        if has_trouble():
            group.create_task(trouble())
        while now_s() < begin_s + _SPAN_S:
            group.create_task(callers.send(is_new=True))
            await asyncio.sleep(_NEW_INTERVAL_S)
    serving = [
        f"{engine.instance_id} {engine.version} {engine.role}" for engine in deployment.engines
    ]
    record.add(f"engines at the end: {serving}")
    taken_up = [stream for stream in callers.streams if len(stream.answers) > 1]
    new = [stream for stream in callers.streams if stream.name.startswith("new")]
    goes_on = sum(stream.goes_on for stream in taken_up)
    begun = sum(bool(stream.answers[0].events) for stream in new)
    record.add(f"streams that were taken up and went on: {goes_on} of {len(taken_up)}")
    record.add(f"new streams that began: {begun} of {len(new)}")
    if len(taken_up) >= _MIN_TAKEN_UP and goes_on / len(taken_up) < 0.5 * begun / len(new):
        return [f"LOST: {goes_on} of {len(taken_up)} streams that were taken up went on"]
    return []


class _Versions(Deployment):
    """Two prefill engines and a decode engine of v1, two decode engines of v2 and one to come."""

    def __init__(self, **sizes: Any) -> None:
        EngineStandIn.kv_capacity_tokens = 41_000
        EngineStandIn.role_change_s = 6.0
        super().__init__(**sizes)
        for engine in self.engines:
            engine.s_per_event = _EVENT_S
        for engine in self.engines[3:]:
            engine.version = "v2"

    def configuration(self) -> dict[str, Any]:
        document = super().configuration()
        document["services"][0]["engine"]["slots"] = 64
        for route in document["routes"]:
            if route["kind"] == "streaming":
                route["timeoutMs"] = _DEADLINE_MS
        return document


if __name__ == "__main__":
    run_case(
        Path(__file__).parent,
        _case,
        deployment_class=_Versions,
        node_count=3,
        prefill_count=2,
        decode_count=4,
        plain_count=1,
    )
