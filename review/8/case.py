"""Long prompts with a part that crashes engines: sound requests beside them have to be served."""

import asyncio
import os
from pathlib import Path

from flamingoshelf.utils import now_s
from lab.gateway._servers import EngineStandIn, prompt_parts
from lab.gateway._site import RESUMABLE
from review.deployment_2 import Deployment, Record, has_trouble, run_case

_PARTS = 60  # of each prompt; the last one is the request's own
_POSITION = int(os.environ.get("POSITION", "50"))  # of the part that crashes engines, from 0
_PART = "bad0c0de"
_CALM_S = 8.0  # before the first request with that part
_TROUBLE_S = 24.0
_INTERVAL_S = 0.25  # between two requests of each sort
_OUTAGE_S = 3.0  # of an engine that has crashed
_CONTACT_S = 3.0
_CRASHES = 5
_MAX_LATE = 3  # requests with the part, by the rule BUDGET
_MIN_JUDGED = 20  # sound requests of each span, by the rule LOST
_MIN_SHARE = 0.5


def _prompt(number: int, *, is_crashing: bool) -> tuple[str, str]:
    """Return the header of a request that is like no other and shares all parts but the last."""
    ids = [f"{0xA000 + place:08x}" for place in range(_PARTS - 1)]
    if is_crashing:
        ids[_POSITION] = _PART
    return "Prompt-Prefix", ",".join([*(f"{part}:8" for part in ids), f"{number:08x}:20"])


async def _case(deployment: Deployment, record: Record) -> list[str]:
    crashes_s: list[float] = []
    tasks: set[asyncio.Task[None]] = set()

    async def replace(engine: EngineStandIn) -> None:
        await deployment.replace_crashed(engine, _OUTAGE_S)
        record.add(f"engine {engine.instance_id} is back")

    def crash(engine: EngineStandIn) -> None:
        crashes_s.append(now_s())
        record.add(f"crash {len(crashes_s)}: engine {engine.instance_id}")
        task = asyncio.create_task(replace(engine))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    if has_trouble():
        for engine in deployment.engines:
            engine.crashing_part, engine.on_crash = _PART, crash
    sound: list[tuple[float, bool]] = []  # time of sending, and whether the answer began

    async def send(number: int, *, is_crashing: bool) -> None:
        sent_s = now_s()
        name = f"{'crashing' if is_crashing else 'sound'}-{number}"
        answer = await deployment.caller.call(
            deployment.node_addresses[number % len(deployment.node_addresses)],
            f"{RESUMABLE}{number}",
            deadline_ms=5000,
            tokens=(500, 160),
            headers=[_prompt(number, is_crashing=is_crashing)],
            request_id=name,
        )
        if not is_crashing:
            sound.append((sent_s, bool(answer.events)))
        reason = answer.body.decode(errors="replace")[:60] if answer.status != 200 else ""
        record.add(f"{name} answered: {answer.status}, {len(answer.events)} events {reason}")

    begin_s = now_s()
    trouble_s = begin_s + _CALM_S
    number = 0
    async with asyncio.TaskGroup() as group:
        while now_s() < trouble_s + _TROUBLE_S:
            group.create_task(send(number, is_crashing=False))
            if now_s() >= trouble_s:
                group.create_task(send(number + 1, is_crashing=True))
            number += 2
            await asyncio.sleep(_INTERVAL_S)
    for run in deployment.log.runs:
        record.add(f"{run.request_id} ran at {run.server}: {run.ended}")
    if not crashes_s:
        record.add("no engine crashed")
        return []
    return _find_breaches(deployment, record, sound, crashes_s, trouble_s=trouble_s)


def _find_breaches(
    deployment: Deployment,
    record: Record,
    sound: list[tuple[float, bool]],
    crashes_s: list[float],
    *,
    trouble_s: float,
) -> list[str]:
    """Return a line for each rule that is broken; all nodes were in touch all the time."""
    breaches = []
    decisive_s = crashes_s[:_CRASHES][-1]  # the fifth crash, the last if there are fewer
    calm = [begun for sent_s, begun in sound if sent_s < trouble_s]
    late = [begun for sent_s, begun in sound if sent_s >= decisive_s + 2 * _CONTACT_S]
    record.add(f"crashes: {len(crashes_s)}")
    record.add(f"sound requests that began: {sum(calm)} of {len(calm)} before the trouble")
    record.add(f"sound requests that began: {sum(late)} of {len(late)} after 2 x contactMs")
    is_judged = len(calm) >= _MIN_JUDGED and len(late) >= _MIN_JUDGED
    if is_judged and sum(late) / len(late) < _MIN_SHARE * sum(calm) / len(calm):
        breaches.append(
            f"LOST: {sum(late)} of {len(late)} sound requests began beside those with the part, "
            f"{sum(calm)} of {len(calm)} before them"
        )
    ran_late = {
        run.request_id
        for run in deployment.log.runs
        if run.at_s > decisive_s + _CONTACT_S and _PART in prompt_parts(run.headers)
    }
    if len(crashes_s) >= _CRASHES and len(ran_late) > _MAX_LATE:
        breaches.append(f"BUDGET: {len(ran_late)} requests with the part ran late")
    return breaches


if __name__ == "__main__":
    run_case(
        Path(__file__).parent, _case, node_count=3, prefill_count=2, decode_count=4, plain_count=1
    )
