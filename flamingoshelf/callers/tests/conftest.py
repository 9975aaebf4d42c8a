"""Nodes and engines of one process under the paused clock."""

import asyncio
import random
from contextlib import aclosing

import attrs
import pytest
from result import Ok

from flamingoshelf.backends import DecodeEnd
from flamingoshelf.callers._completion_request import CompletionRequest
from flamingoshelf.callers._completion_run import CompletionRun, CompletionRunner
from flamingoshelf.dispatch import DispatcherService, FleetPlacer, TwoChoicePlacer
from flamingoshelf.limits import Charge
from flamingoshelf.objects import Catalog, parse_document
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup
from lab.engine import EngineOptions
from lab.local_engines import LocalEngines
from lab.local_links import LocalLink, LocalNetwork
from lab.scenarios import SCENARIOS

WORKSPACE = "kathmandu-north"


class CountingLimiter:
    """Charges everything and records what was settled."""

    def __init__(self):
        self.charged = 0
        self.settled = []

    async def charge(self, *, request_id, workspace, tokens):
        self.charged += 1
        charge = Charge(
            request_id=request_id, workspace=workspace, tokens=tokens, home="", epoch=""
        )
        return Ok(charge)

    def settle(self, charge, *, used_tokens):
        self.settled.append(used_tokens)


class RankedOwnership:
    """Names the nodes in a fixed order."""

    def __init__(self, names):
        self._names = names

    def candidates(self, duty, key):
        return self._names

    def holders(self, duty, key, *, count=1):
        return self._names[:count]

    def holds(self, duty, key):
        return False

    def fencing_number(self, duty, key):
        return 0


@attrs.define(kw_only=True)
class LocalNode:
    """One node: its dispatcher, its placer and its runs."""

    link: LocalLink
    service: DispatcherService
    placer: FleetPlacer
    runner: CompletionRunner
    fallback: TwoChoicePlacer
    tasks: list = attrs.field(factory=list)
    count: int = 0

    def new_run(self, *, prompt="Value the van.", max_tokens=40, max_wait_s=30.0):
        self.count += 1
        workspace = self.placer._catalog().workspace(WORKSPACE)
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
            runner=self.runner,
            request=request,
            workspace_name=WORKSPACE,
            workspace=attrs.evolve(workspace, max_wait_s=max_wait_s),
            request_id=f"{self.link.incarnation}.{self.count}",
        )

    def start_run(self, **options):
        task = asyncio.create_task(collect(self.new_run(**options)))
        self.tasks.append(task)
        return task

    async def die(self):
        """Stop everything at once, as a killed process does."""
        for task in self.tasks:
            task.cancel()
        await self.placer.stop()
        await self.service.stop()
        await self.runner.background.stop()
        await self.fallback.stop()


class LocalFleet:
    """Three nodes, two prefill and two decode engines."""

    def __init__(self):
        self.engines = LocalEngines()
        self.network = LocalNetwork()
        self.prefill = ["10.0.0.1:1", "10.0.0.2:1"]
        self.decode = ["10.0.0.1:2", "10.0.0.2:2"]
        for role, addresses in (("prefill", self.prefill), ("decode", self.decode)):
            for address in addresses:
                self.engines.add(address, EngineOptions(role=role))
        documents = SCENARIOS["himal"].objects(self.prefill, self.decode, [])
        self.catalog = Catalog(revision=1, objects=[parse_document(d) for d in documents])
        self.limiter = CountingLimiter()
        self.names = ["node-0", "node-1", "node-2"]
        self.nodes = {name: self._node(name) for name in self.names}

    async def start(self):
        for node in self.nodes.values():
            await node.placer.start()
        await asyncio.sleep(2.0)

    async def kill(self, name):
        self.network.kill(name)
        await self.nodes[name].die()

    async def stop(self):
        for node in self.nodes.values():
            await node.die()

    def held(self):
        """What engines, dispatchers and owners hold."""
        held = {k: v for k, v in self.engines.held().items() if v}
        for name, node in self.nodes.items():
            if name in self.network.dead:
                continue
            if node.placer.held:
                held[f"{name} as owner"] = sorted(node.placer.held)
            for shard in node.service._shards.values():
                if shard.dispatcher.holdings:
                    held[f"{name} as dispatcher"] = sorted(shard.dispatcher.holdings)
        return held

    def _node(self, name):
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
            share=0.25,
        )
        placer = FleetPlacer(
            link=link,
            ownership=RankedOwnership(self.names),
            catalog=lambda: self.catalog,
            fallback=fallback,
            metrics=metrics,
        )
        runner = CompletionRunner(
            engines=self.engines,
            placer=placer,
            limiter=self.limiter,
            metrics=metrics,
            background=TaskGroup(owner=name),
        )
        return LocalNode(
            link=link, service=service, placer=placer, runner=runner, fallback=fallback
        )


async def collect(run):
    """Return the texts of an answer that came to its end."""
    texts: list[str] = []
    ends = 0
    async with aclosing(run.tokens()) as events:
        async for event in events:
            if isinstance(event, DecodeEnd):
                ends += 1
            else:
                texts.append(event.text)
    assert ends == 1
    return "".join(texts)


@pytest.fixture
async def fleet():
    """A fleet that the test starts: the clock begins anew with the test itself."""
    fleet = LocalFleet()
    yield fleet
    await fleet.stop()
