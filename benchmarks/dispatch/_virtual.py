"""Measure the dispatcher's policy alone: in-process nodes and engines under a virtual clock."""

import asyncio
import random
from collections import Counter
from typing import Any

import attrs
import looptime

from benchmarks.dispatch._reference import fair_level
from flamingoshelf.backends import DecodeEnd
from flamingoshelf.callers._completion_run import CompletionRun, RefusedError
from flamingoshelf.utils import now_s
from lab.local_fleet import LocalFleet
from lab.scenarios import SCENARIOS

__all__ = ["VirtualRun", "measure_virtual"]

_FIRST_TOKEN_TARGET_S = 0.47
_TOKEN_GAP_TARGET_S = 0.053
_SHARED_PREFIX_CHARS = 2048


@attrs.frozen(kw_only=True)
class VirtualRun:
    """Options of one run under the virtual clock; the fields mean the same as those of `Run`."""

    scenario: str = "himal"
    load: float = 0.95
    duration_s: float = 40.0
    unfairness_tokens: int = 0
    seed: int = 1


def measure_virtual(run: VirtualRun) -> dict[str, Any]:
    """Carry out a run and return its measures; waits take no real time."""
    loop = looptime.new_event_loop()
    try:
        return loop.run_until_complete(_LoadRun(run).run())
    finally:
        loop.close()


class _LoadRun:
    def __init__(self, run: VirtualRun) -> None:
        self._run = run
        self._random = random.Random(run.seed)
        scenario = SCENARIOS[run.scenario]
        if run.unfairness_tokens:
            scenario = attrs.evolve(scenario, unfairness_tokens=run.unfairness_tokens)
        self._scenario = scenario
        self._fleet = LocalFleet(scenario=scenario)
        self._sent: Counter[str] = Counter()
        self._good: Counter[str] = Counter()
        self._refused: Counter[str] = Counter()
        self._answered = 0

    async def run(self) -> dict[str, Any]:
        await self._fleet.start()
        end_s = now_s() + self._run.duration_s
        async with asyncio.TaskGroup() as tasks:
            while now_s() < end_s:
                tasks.create_task(self._send_request())
                rate = self._scenario.capacity_per_s * self._run.load
                await asyncio.sleep(self._random.expovariate(rate))
        await asyncio.sleep(2.0)
        held = self._fleet.held_requests()
        await self._fleet.stop()
        return {**attrs.asdict(self._run), **self._summary(), "held_after_load": len(held)}

    async def _send_request(self) -> None:
        workspaces = self._scenario.workspaces
        workspace = self._random.choices(workspaces, [w.share for w in workspaces])[0].name
        node = self._fleet.nodes[self._random.choice(self._fleet.names)]
        run = node.new_run(
            prompt=self._prompt(workspace),
            max_tokens=self._random.randint(*self._scenario.max_tokens),
            workspace_name=workspace,
        )
        self._sent[workspace] += 1
        try:
            first_s, gap_s = await _read_answer(run)
        except RefusedError as error:
            self._refused[error.refusal.reason.value] += 1
            return
        self._answered += 1
        self._good[workspace] += first_s <= _FIRST_TOKEN_TARGET_S and gap_s <= _TOKEN_GAP_TARGET_S

    def _prompt(self, workspace: str) -> str:
        length = self._random.randint(*self._scenario.prompt_chars)
        shared = (workspace * _SHARED_PREFIX_CHARS)[:_SHARED_PREFIX_CHARS]
        # A random number has about 18 characters.
        own = f"{self._random.random()}" * max(1, (length - _SHARED_PREFIX_CHARS) // 18)
        return (shared + own)[: max(length, 64)] + f"{self._random.random()}"

    def _summary(self) -> dict[str, Any]:
        level = fair_level(dict(self._sent), sum(self._good.values()))
        shares = {name: self._good[name] / self._sent[name] for name in self._sent}
        parts = {name: self._good[name] / min(level, self._sent[name]) for name in self._sent}
        engines = [self._fleet.engines[address] for address in self._fleet.prefill]
        prefills = sum(engine.records["prefills"] for engine in engines)
        wasted = sum(engine.records["wasted_expired"] for engine in engines)
        wasted += sum(engine.records["wasted_cancelled"] for engine in engines)
        return {
            "completions": sum(self._sent.values()),
            "goodput_share": round(sum(self._good.values()) / sum(self._sent.values()), 4),
            "worst_workspace_goodput_share": round(min(shares.values()), 4),
            "worst_part_of_fair_share": round(min(parts.values()), 4),
            "wasted_prefill_share": round(wasted / max(1, prefills), 4),
            "answered": self._answered,
            "refusals": dict(self._refused),
        }


async def _read_answer(run: CompletionRun) -> tuple[float, float]:
    """Return the time to the first token and the mean gap between tokens, in seconds."""
    arrived_s = now_s()
    times = []
    async for event in run.events():
        if not isinstance(event, DecodeEnd):
            times.append(now_s())
    gap_s = (times[-1] - times[0]) / max(1, len(times) - 1)
    return times[0] - arrived_s, gap_s
