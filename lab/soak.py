"""Soak test: seeded load and faults on a site, verified by the checker."""

import asyncio
import signal
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs
from aiosonic.exceptions import AiosonicError

from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.http_client import new_http_client
from flamingoshelf.utils import TaskGroup
from lab.checker import (
    KeyProbe,
    RevisionSample,
    check_bookings,
    check_key_withdrawal,
    check_limits,
    check_revisions,
)
from lab.faults import GATEWAY_KINDS, Fault, FaultKind, draw_faults
from lab.gateway._soak import run_gateway_faults
from lab.load import LoadOptions, LoadResult, run_load
from lab.processes import wait_until_listening
from lab.records import read_records
from lab.scenarios import Scenario, WorkspaceLoad, api_key_of
from lab.site import Site

__all__ = ["SoakOptions", "SoakReport", "run_gateway_soak", "run_soak"]

_PROBE_WORKSPACE = WorkspaceLoad(name="probe", share=0.0, rate_tokens_s=100.0)
_PROBE_INTERVAL_S = 0.25
_KEY_WITHDRAWAL_LIMIT_S = 16.0
_REVISION_SPREAD_LIMIT_S = 16.0
_RELEASE_LIMIT_S = 5.0
_GRACEFUL_STOP_S = 25.0
_WITHDRAWAL_TIME_FRACTION = 0.6


@attrs.frozen(kw_only=True)
class SoakOptions:
    """Options of a run.

    Parameters
    ----------
    seed : int
        Seed of load and faults.
    duration_s : float
        Length of the load.
    load : float
        Load as a fraction of the site's capacity.
    mean_gap_s : float
        Mean time between the starts of two faults.
    gateway_kinds : tuple of FaultKind
        Kinds of the faults of a site of gateway nodes.
    has_crashing_parts : bool
        Whether engines of such a site crash under parts of prompts.
    has_limits : bool
        Whether servers of such a site state limits.
    has_versions : bool
        Whether engines of such a site are of several software versions, and all nodes are lost.
    has_cuts : bool
        Whether nodes of such a site are cut from all backend servers.
    """

    seed: int
    duration_s: float
    load: float
    mean_gap_s: float
    gateway_kinds: tuple[FaultKind, ...] = GATEWAY_KINDS
    has_crashing_parts: bool = False
    has_limits: bool = False
    has_versions: bool = False
    has_cuts: bool = False


@attrs.define(kw_only=True)
class SoakReport:
    """Result of a run.

    Parameters
    ----------
    breaches : list of str
        Violations of the guarantees, one sentence each.
    faults : list of str
        Injected faults in order, and actions that failed.
    measures : dict
        Measures of the load.
    """

    breaches: list[str] = attrs.field(factory=list)
    faults: list[str] = attrs.field(factory=list)
    measures: dict[str, Any] = attrs.field(factory=dict)


async def run_soak(*, scenario: Scenario, folder: Path, options: SoakOptions) -> SoakReport:
    """Run load and faults on a site in `folder` and check its records."""
    workspaces = (*scenario.workspaces, _PROBE_WORKSPACE)
    site = Site(scenario=attrs.evolve(scenario, workspaces=workspaces), folder=folder)
    run = _SoakRun(site, options)
    try:
        await site.start()
        await run.run()
    finally:
        await site.stop()
    return run.report(folder)


async def run_gateway_soak(*, folder: Path, options: SoakOptions) -> SoakReport:
    """Run load and faults on a site of gateway nodes, as on the users' platform."""
    faults = draw_faults(
        seed=options.seed,
        duration_s=options.duration_s,
        mean_gap_s=options.mean_gap_s,
        kinds=options.gateway_kinds,
    )
    breaches, measures = await run_gateway_faults(
        folder=folder,
        seed=options.seed,
        faults=faults,
        duration_s=options.duration_s,
        has_crashing_parts=options.has_crashing_parts,
        has_limits=options.has_limits,
        has_versions=options.has_versions,
        has_cuts=options.has_cuts,
    )
    injected = [f"{fault.start_s:.1f} s {fault.kind.value}" for fault in faults]
    return SoakReport(breaches=breaches, faults=injected, measures=dict(measures))


class _SoakRun:
    def __init__(self, site: Site, options: SoakOptions) -> None:
        self._site = site
        self._options = options
        self._client = new_http_client()
        self._probes: list[KeyProbe] = []
        self._samples: list[RevisionSample] = []
        self._published: list[tuple[float, int]] = []
        self._withdrawn_s = float("inf")
        self._result: LoadResult | None = None
        self._report = SoakReport()
        self._node_names = list(site.nodes)
        self._tasks = TaskGroup(owner="soak")

    async def run(self) -> None:
        self._published.append((time.monotonic(), 1))
        self._tasks.start(self._probe(), name="probe")
        faults = draw_faults(
            seed=self._options.seed,
            duration_s=self._options.duration_s,
            mean_gap_s=self._options.mean_gap_s,
        )
        injecting = asyncio.create_task(self._inject_all(faults))
        withdrawing = asyncio.create_task(self._withdraw_probe_key())
        self._result = await run_load(
            scenario=self._site.scenario,
            addresses=self._site.node_addresses,
            options=LoadOptions(
                rate_per_s=self._site.scenario.capacity_per_s * self._options.load,
                bookings_per_s=5.0,
                duration_s=self._options.duration_s,
                seed=self._options.seed,
            ),
        )
        await injecting
        await withdrawing
        await asyncio.sleep(_RELEASE_LIMIT_S)
        await self._check_engines()
        await self._tasks.stop()
        await self._client.connector.cleanup()

    def report(self, folder: Path) -> SoakReport:
        """Check the records and return the report."""
        assert self._result is not None
        records = list(read_records(folder))
        attempts = [entry for outcome in self._result.outcomes for entry in outcome.attempts]
        limits = {
            workspace.name: (workspace.rate_tokens_s, workspace.rate_tokens_s * 10)
            for workspace in self._site.scenario.workspaces
        }
        report = self._report
        report.breaches += check_bookings(records, attempts)
        report.breaches += check_limits(records, limits)
        report.breaches += check_key_withdrawal(
            self._probes, withdrawn_s=self._withdrawn_s, allowed_s=_KEY_WITHDRAWAL_LIMIT_S
        )
        report.breaches += check_revisions(
            self._samples, self._published, allowed_s=_REVISION_SPREAD_LIMIT_S
        )
        report.breaches += _check_answers(self._result)
        report.breaches += self._check_logs(folder)
        report.measures = self._result.summary()
        return report

    async def _inject_all(self, faults: Sequence[Fault]) -> None:
        started_s = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for fault in faults:
                await asyncio.sleep(max(0.0, started_s + fault.start_s - time.monotonic()))
                tasks.create_task(self._inject(fault))

    async def _inject(self, fault: Fault) -> None:
        self._report.faults.append(f"{fault.start_s:.1f} s {fault.kind.value}")
        match fault.kind:
            case FaultKind.KILL_NODE | FaultKind.STOP_NODE:
                await self._restart_node(fault, graceful=fault.kind is FaultKind.STOP_NODE)
            case FaultKind.PAUSE_NODE:
                node = self._site.nodes[self._pick(self._node_names, fault)]
                node.process.send(signal.SIGSTOP)
                await asyncio.sleep(fault.duration_s)
                node.process.send(signal.SIGCONT)
            case FaultKind.CUT_NODE_FROM_STORE | FaultKind.CUT_NODE_FROM_PEERS:
                await self._cut_off(fault)
            case FaultKind.KILL_ENGINE:
                engine = self._site.engines[self._pick_engine(fault)]
                engine.kill()
                await asyncio.sleep(fault.duration_s)
                engine.start()
            case FaultKind.STALL_ENGINE:
                await self._stall_engine(fault)
            case FaultKind.STORE_DOWN:
                await self._disturb_store(fault, {"down": True}, {"down": False})
            case FaultKind.STORE_SLOW:
                await self._disturb_store(fault, {"delay_s": 1.0}, {"delay_s": 0.0})
            case FaultKind.STORE_LOSES_ANSWERS:
                await self._disturb_store(fault, {"lose_answers": 3}, {"lose_answers": 0})
            case FaultKind.CHANGE_OBJECTS:
                await self._change_objects(fault)
            case FaultKind.POISON_REQUEST:
                await self._send_poison(fault)

    async def _restart_node(self, fault: Fault, *, graceful: bool) -> None:
        """Kill or gracefully stop a node, then start a new node process on its VM."""
        name = self._pick(self._node_names, fault)
        process = self._site.nodes[name].process
        if graceful:
            process.send(signal.SIGTERM)
            await asyncio.sleep(_GRACEFUL_STOP_S)
        process.kill()
        await asyncio.sleep(fault.duration_s)
        self._site.start_node(name)

    async def _cut_off(self, fault: Fault) -> None:
        name = self._pick(self._node_names, fault)
        from_store = fault.kind is FaultKind.CUT_NODE_FROM_STORE
        self._site.disconnect(name, from_store=from_store, from_peers=not from_store)
        await asyncio.sleep(fault.duration_s)
        self._site.disconnect(name, from_store=False, from_peers=False)

    async def _stall_engine(self, fault: Fault) -> None:
        """Stall an engine; one that is killed meanwhile restarts without the stall."""
        address = self._site.engine_addresses[self._pick_engine(fault)]
        try:
            await self._site.control(address, {"stalled": True})
            await asyncio.sleep(fault.duration_s)
            await self._site.control(address, {"stalled": False})
        except (AiosonicError, OSError) as error:
            self._report.faults.append(f"not stalled: {error!r}")

    async def _disturb_store(
        self, fault: Fault, faults: dict[str, Any], end: dict[str, Any]
    ) -> None:
        address = self._site.platform_address
        await self._site.control(address, {"faults": faults})
        await asyncio.sleep(fault.duration_s)
        await self._site.control(address, {"faults": end})

    async def _change_objects(self, fault: Fault) -> None:
        documents = self._site.documents()
        documents[0]["spec"]["unfairness_tokens"] = 1024 + int(fault.victim * 10_000)
        await self._publish(documents, withdraws_key=self._withdrawn_s < float("inf"))

    async def _withdraw_probe_key(self) -> None:
        await asyncio.sleep(self._options.duration_s * _WITHDRAWAL_TIME_FRACTION)
        while not await self._publish(self._site.documents(), withdraws_key=True):
            await asyncio.sleep(1.0)

    async def _publish(self, documents: list[Any], *, withdraws_key: bool) -> bool:
        """Publish `documents` and record the revision; return whether this succeeded."""
        for document in documents:
            if document["name"] == f"{_PROBE_WORKSPACE.name}-key":
                document["spec"]["withdrawn"] = withdraws_key
        try:
            revision = await self._site.publish(documents)
        except FlamingoshelfError as error:
            self._report.faults.append(f"not published: {error}")
            return False
        self._published.append((time.monotonic(), revision))
        if withdraws_key:
            self._withdrawn_s = min(self._withdrawn_s, time.monotonic())
        return True

    async def _send_poison(self, fault: Fault) -> None:
        workspace = self._site.scenario.workspaces[0].name
        document = {"model": "writer", "prompt": f"[poison] {fault.victim}", "max_tokens": 40}
        for address in self._site.node_addresses:
            headers = {"Authorization": f"Bearer {api_key_of(workspace)}"}
            try:
                response = await self._client.post(
                    f"http://{address}/v1/completions", json=document, headers=headers
                )
                await response.content()
            except Exception as error:
                self._report.faults.append(f"poison: {type(error).__name__}")
        self._restart_engines()

    def _restart_engines(self) -> None:
        for engine in self._site.engines.values():
            if not engine.is_running:
                engine.start()

    async def _probe(self) -> None:
        """Periodically send each node a request with the probe key, and read its status."""
        while True:
            await asyncio.gather(*(self._probe_node(name) for name in self._site.nodes))
            await asyncio.sleep(_PROBE_INTERVAL_S)

    async def _probe_node(self, name: str) -> None:
        node = self._site.nodes[name]
        headers = {"Authorization": f"Bearer {api_key_of(_PROBE_WORKSPACE.name)}"}
        try:
            async with asyncio.timeout(2.0):
                sent_s = time.monotonic()
                response = await self._client.get(
                    f"http://{node.caller_address}/v1/models", headers=headers
                )
                await response.content()
                accepted = response.status_code == 200
                self._probes.append(KeyProbe(time_s=sent_s, node=name, accepted=accepted))
                status = await self._site.status(name)
                if status["ready"]:
                    sample = RevisionSample(time_s=sent_s, node=name, revision=status["revision"])
                    self._samples.append(sample)
        except Exception:
            return

    async def _check_engines(self) -> None:
        self._restart_engines()
        await asyncio.gather(*map(wait_until_listening, self._site.engine_addresses.values()))
        for name, address in self._site.engine_addresses.items():
            report = await self._site.control(address, {})
            if report.get("held"):
                self._report.breaches.append(f"{name} still holds {len(report['held'])} requests")
            if report["keys_seen"]:
                self._report.breaches.append(f"{name} saw a key")

    def _check_logs(self, folder: Path) -> list[str]:
        return [
            f"{path.name} shows a key"
            for path in folder.glob("node-*.log")
            if "fsk-" in path.read_text(errors="replace")
        ]

    def _pick_engine(self, fault: Fault) -> str:
        return self._pick(list(self._site.engines), fault)

    @staticmethod
    def _pick(names: Sequence[str], fault: Fault) -> str:
        return names[int(fault.victim * len(names))]


def _check_answers(result: LoadResult) -> list[str]:
    wrong = [o for o in result.outcomes if o.kind == "completion" and o.is_wrong]
    return [f"{len(wrong)} finished answers are not the right ones"] if wrong else []
