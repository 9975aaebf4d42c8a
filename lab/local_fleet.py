"""In-process nodes and engines, for tests and measurements under a simulated clock."""

import asyncio
import random
from contextlib import aclosing
from typing import Any

import attrs
from result import Ok, Result

from flamingoshelf.backends import DecodeEnd
from flamingoshelf.callers import CompletionDependencies
from flamingoshelf.callers._completion_request import CompletionRequest
from flamingoshelf.callers._completion_run import CompletionRun
from flamingoshelf.dispatch import DispatcherService, FleetPlacer, TwoChoicePlacer
from flamingoshelf.limits import Charge
from flamingoshelf.objects import Catalog, parse_document
from flamingoshelf.quarantine import Quarantine, QuarantineService
from flamingoshelf.refusals import Refusal
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup
from lab.engine import EngineOptions
from lab.local_engines import LocalEngines
from lab.local_links import LocalLink, LocalNetwork
from lab.scenarios import SCENARIOS, Scenario

__all__ = ["CountingLimiter", "LocalFleet", "LocalNode", "collect"]

_START_WAIT_S = 2.0


class CountingLimiter:
    """Limiter that accepts every charge and records the settled tokens."""

    def __init__(self) -> None:
        self.charged = 0
        self.settled: list[int] = []

    async def charge(
        self, *, request_id: str, workspace: str, tokens: int
    ) -> Result[Charge, Refusal]:
        """Accept the charge."""
        self.charged += 1
        charge = Charge(request_id=request_id, workspace=workspace, tokens=tokens)
        return Ok(charge)

    def update(self, charge: Charge, *, used_tokens: int, reserved_tokens: int) -> None:
        """Ignore reports of running requests."""

    def settle(self, charge: Charge, *, used_tokens: int) -> None:
        """Record the used tokens."""
        self.settled.append(used_tokens)


class _RankedOwnership:
    """Ownership with a fixed order of candidates, in which no node holds a duty."""

    def __init__(self, names: list[str]) -> None:
        self._names = names

    def candidates(self, duty: Any, key: str) -> list[str]:
        return self._names

    def holders(self, duty: Any, key: str, *, count: int = 1) -> list[str]:
        return self._names[:count]

    def holds(self, duty: Any, key: str) -> bool:
        return False

    def fencing_number(self, duty: Any, key: str) -> int:
        return 0


@attrs.define(kw_only=True)
class LocalNode:
    """One node: its dispatcher service, its placer and its requests."""

    link: LocalLink
    service: DispatcherService
    placer: FleetPlacer
    dependencies: CompletionDependencies
    fallback: TwoChoicePlacer
    tasks: list[asyncio.Task[str]] = attrs.field(factory=list)
    count: int = 0

    def new_run(
        self,
        *,
        prompt: str = "Value the van.",
        max_tokens: int = 40,
        max_wait_s: float = 30.0,
        workspace_name: str = "kathmandu-north",
    ) -> CompletionRun:
        """Return a new completion run that this node owns."""
        self.count += 1
        workspace = self.placer._catalog().workspace(workspace_name)
        assert workspace is not None
        request = CompletionRequest(
            model="writer",
            prompt=prompt,
            prompt_tokens=len(prompt) // 4 + 16,
            max_tokens=max_tokens,
            stream=True,
            is_chat=False,
        )
        return CompletionRun(
            dependencies=self.dependencies,
            request=request,
            workspace_name=workspace_name,
            workspace=attrs.evolve(workspace, max_wait_s=max_wait_s),
            request_id=f"{self.link.incarnation}.{self.count}",
        )

    def start_run(self, **options: Any) -> asyncio.Task[str]:
        """Start a completion run; the task's result is the text of the answer."""
        task = asyncio.create_task(collect(self.new_run(**options)))
        self.tasks.append(task)
        return task

    async def crash(self) -> None:
        """Stop everything at once, as if the process were killed."""
        for task in self.tasks:
            task.cancel()
        await self.placer.stop()
        await self.service.stop()
        await self.dependencies.background.stop()
        await self.fallback.stop()


class LocalFleet:
    """Three nodes and the engines of a site, in one process.

    Parameters
    ----------
    scenario : Scenario, optional
        Engines and objects of the site; by default two prefill and two decode engines.
    """

    def __init__(self, *, scenario: Scenario | None = None) -> None:
        self.scenario = scenario or SCENARIOS["himal"].resized(
            node_count=3, prefill_count=2, decode_count=2
        )
        self.engines = LocalEngines()
        self.network = LocalNetwork()
        self.prefill = [f"10.0.0.{n + 1}:1" for n in range(self.scenario.prefill_count)]
        self.decode = [f"10.0.0.{n + 1}:2" for n in range(self.scenario.decode_count)]
        for role, addresses in (("prefill", self.prefill), ("decode", self.decode)):
            for address in addresses:
                self.engines.add(address, EngineOptions(role=role))
        documents = self.scenario.objects(self.prefill, self.decode, [])
        self.catalog = Catalog(revision=1, objects=[parse_document(d) for d in documents])
        self.limiter = CountingLimiter()
        self.names = [f"node-{number}" for number in range(3)]
        self.nodes = {name: self._new_node(name) for name in self.names}

    async def start(self) -> None:
        """Start the nodes and wait until a dispatcher is ready to grant places."""
        for node in self.nodes.values():
            await node.placer.start()
        await asyncio.sleep(_START_WAIT_S)

    async def kill(self, name: str) -> None:
        """Simulate the crash of a node."""
        self.network.kill(name)
        await self.nodes[name].crash()

    async def stop(self) -> None:
        """Stop all nodes."""
        for node in self.nodes.values():
            await node.crash()

    def held_requests(self) -> dict[str, list[str]]:
        """Return the ids of the held requests by engine, dispatcher or owner that holds them."""
        held = {k: v for k, v in self.engines.held_requests().items() if v}
        for name, node in self.nodes.items():
            if name in self.network.dead:
                continue
            if node.placer.held_grants:
                held[f"{name} as owner"] = sorted(node.placer.held_grants)
            for shard in node.service._shards.values():
                if shard.dispatcher.active_grants:
                    held[f"{name} as dispatcher"] = sorted(shard.dispatcher.active_grants)
        return held

    def _new_node(self, name: str) -> LocalNode:
        link = self.network.add(name)
        metrics = Metrics(node_name=name)
        service = DispatcherService(
            link=link,
            catalog=lambda: self.catalog,
            engines=self.engines,
            peers=lambda: self.names,
            metrics=metrics,
        )
        fallback = TwoChoicePlacer(
            catalog=lambda: self.catalog,
            engines=self.engines,
            random_source=random.Random(1),
            max_place_share=0.25,
        )
        placer = FleetPlacer(
            link=link,
            ownership=_RankedOwnership(self.names),
            catalog=lambda: self.catalog,
            fallback=fallback,
            metrics=metrics,
        )
        dependencies = CompletionDependencies(
            engines=self.engines,
            placer=placer,
            quarantine=QuarantineService(
                quarantine=Quarantine(),
                peers=tuple,
                metrics=metrics,
                random_source=random.Random(1),
            ),
            limiter=self.limiter,
            metrics=metrics,
            background=TaskGroup(owner=name),
        )
        return LocalNode(
            link=link, service=service, placer=placer, dependencies=dependencies, fallback=fallback
        )


async def collect(run: CompletionRun) -> str:
    """Return the text of an answer, which must end exactly once."""
    texts: list[str] = []
    ends = 0
    async with aclosing(run.events()) as events:
        async for event in events:
            if isinstance(event, DecodeEnd):
                ends += 1
            else:
                texts.append(event.text)
    assert ends == 1
    return "".join(texts)
