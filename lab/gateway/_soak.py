"""Seeded load and faults on a site of gateway nodes, checked by the records of both ends.

The checks compare the answers that callers received with the requests that the servers recorded.
"""

import asyncio
import random
import signal
from collections.abc import Awaitable, Coroutine, Sequence
from pathlib import Path
from typing import Any

from flamingoshelf.exceptions import PeerUnreachableError
from flamingoshelf.http1 import BackendConnection
from flamingoshelf.utils import TaskGroup, now_s
from lab.faults import Fault, FaultKind
from lab.gateway._caller import Answer
from lab.gateway._checks import EVENTS_PER_STREAM, check_call, check_orders, is_served
from lab.gateway._crashing_part import CrashingCalls
from lab.gateway._limits import LimitedServers
from lab.gateway._lost import NODE_FAULTS, SERVER_FAULTS, Call, Disruption, find_lost
from lab.gateway._node_cuts import NodeCuts
from lab.gateway._paths import PathSite
from lab.gateway._records import ServerFaults
from lab.gateway._servers import EngineStandIn, PlainStandIn
from lab.gateway._site import BOOKINGS, KEY, NOTES, RESUMABLE, STOCK, GatewaySite
from lab.gateway._versions import VersionedStreams
from lab.processes import Process
from lab.proxy import FaultProxy, ProxyMode

__all__ = ["run_gateway_faults"]

_CALLER_COUNT = 6
_KEEPING_CALLER_COUNT = 4  # keep their connections over changes and planned stops
_CALL_INTERVAL_S = 0.05  # between two calls of a caller
_DEADLINE_MS = 5000
_PATHS = (NOTES, RESUMABLE, BOOKINGS, STOCK)
_CHUNK_DELAY_S = 0.2  # of each chunk; heartbeats between nodes then exceed their timeout
_RECOVERY_LIMIT_S = 15.0  # the platform requires that calls are served again within this time
_STOP_LIMIT_S = 6.0  # for a planned stop: the grace period of 4 s and the time of a start
_RESTORE_OUTAGE_S = 0.5
_REST_S = 0.5  # at least, between two silences of a server
_SKIPPED_S = 0.02  # a fault that ended so soon was skipped for the sake of another one
_PAUSE_STATED_S = 0.3  # time in which a server turns requests away and asks for a pause
_ALL_DOWN_S = 0.3
# After the last fault. What began a stream is lost if the store is restored while no node runs, so
# the faults of some seeds leave no stream to take up.
_TAKE_UP_LIMIT_S = 30.0
_ENGINE_OUTAGE_S = 1.0  # after a crash under a part of a prompt
_SERVER_FAULTS = (
    ServerFaults(reset_before=0.5),
    ServerFaults(reset_after=0.4),
    ServerFaults(extra=0.5),
    ServerFaults(cut=0.5),
    ServerFaults(errors=0.5),
    ServerFaults(full=True),
)


class _GatewayRun:
    def __init__(
        self,
        site: GatewaySite,
        *,
        seed: int,
        has_crashing_parts: bool,
        has_limits: bool,
        has_versions: bool,
        has_cuts: bool,
    ) -> None:
        self._site = site
        self._random = random.Random(seed)
        self._calls: list[Call] = []
        self._disruptions: list[Disruption] = []
        self._changes = random.Random(seed)
        self._faults: Sequence[Fault] = ()
        self._restarting: set[str] = set()  # nodes and servers that a fault restarts
        self._tasks = TaskGroup(owner="gateway_soak")
        self.breaches: list[str] = []
        self.judged = 0  # requests that met a silence and had to be answered
        self.crashing = CrashingCalls(
            site=site, call=self._call, on_crash=self._crash_under_part, random_source=self._random
        )
        self._has_crashing_parts = has_crashing_parts
        self._has_limits = has_limits
        self._has_versions = has_versions
        self.versioned = VersionedStreams(
            site=site,
            replace=lambda engine, change: self._finish(self._replace_engine(engine, change)),
            kill_all=lambda: self._finish(self._kill_all_nodes()),
            random_source=random.Random(f"versions of {seed}"),
        )
        self.cuts = (
            NodeCuts(
                site=site,
                disruptions=self._disruptions,
                random_source=random.Random(f"cuts of {seed}"),
            )
            if has_cuts and isinstance(site, PathSite)
            else None
        )
        self.limited = LimitedServers(site=site, random_source=random.Random(f"limits of {seed}"))

    async def run(self, faults: Sequence[Fault], duration_s: float) -> None:
        """Load the site while faults are injected, then check; faults may overlap."""
        self._faults = faults
        callers = [
            self._tasks.start(self._send_calls(), name="caller") for _ in range(_CALLER_COUNT)
        ]
        callers += [
            self._tasks.start(self._send_calls_on_kept_connections(), name="keeping caller")
            for _ in range(_KEEPING_CALLER_COUNT)
        ]
        if self._has_crashing_parts:
            callers.append(self._tasks.start(self.crashing.send(), name="crashing caller"))
        if self._has_limits:
            callers.append(self._tasks.start(self.limited.run(), name="limits"))
        if self._has_versions:
            callers.append(self._tasks.start(self.versioned.run(), name="versions"))
        if self.cuts is not None:
            callers.append(self._tasks.start(self.cuts.run(), name="cuts"))
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        async with asyncio.TaskGroup() as tasks:
            for fault in faults:
                await asyncio.sleep(max(0.0, started_s + fault.start_s - loop.time()))
                tasks.create_task(self._inject(fault))
        await asyncio.sleep(max(0.0, started_s + duration_s - loop.time()))
        if self._has_versions:
            await self.versioned.wait_until_taken_up(timeout_s=_TAKE_UP_LIMIT_S)
        for caller in callers:
            caller.cancel()
        await asyncio.sleep(0)  # so that what they have changed is changed back
        await self._check_recovery()
        await self._tasks.stop()
        self._check_records()

    async def _send_calls(self) -> None:
        while True:
            address = self._random.choice(self._site.node_addresses)
            await self._call(address, self._random.choice(_PATHS))
            await asyncio.sleep(_CALL_INTERVAL_S)

    async def _send_calls_on_kept_connections(self) -> None:
        """Use a connection for as long as its node keeps it open, then open the next one."""
        while True:
            address = self._random.choice(self._site.node_addresses)
            try:
                connection = await BackendConnection.open(address, timeout_s=1.0)
            except PeerUnreachableError:
                await asyncio.sleep(_CALL_INTERVAL_S)
                continue
            while connection.is_reusable:
                await self._call(address, self._random.choice(_PATHS), connection)
                await asyncio.sleep(_CALL_INTERVAL_S)
            connection.close()

    async def _call(
        self,
        address: str,
        path: str,
        connection: BackendConnection | None = None,
        *,
        crashing: list[Call] | None = None,
    ) -> Answer:
        """Send a call; record it in `crashing` if engines crash under it, else among the others."""
        is_stream = path in (NOTES, RESUMABLE)
        prompt = self.crashing.prompt(is_crashing=crashing is not None) if is_stream else []
        answer = await self._site.caller.call(
            address,
            f"{path}{self._random.randrange(1000)}",
            method="GET" if path == STOCK else "POST",
            deadline_ms=_DEADLINE_MS,
            tokens=(500, 8 * EVENTS_PER_STREAM) if is_stream else None,
            headers=prompt,
            connection=connection,
        )
        call = Call(
            path=path,
            service=(self._site.engines if is_stream else self._site.plain)[0].service,
            node=address,
            sent_s=answer.sent_s,
            deadline_s=answer.sent_s + _DEADLINE_MS / 1000,
            ended_s=now_s(),
            answer=answer,
        )
        (self._calls if crashing is None else crashing).append(call)
        return answer

    def _crash_under_part(self, engine: EngineStandIn) -> None:
        self._tasks.start(self._replace_crashed(engine), name="crash")

    async def _replace_crashed(self, engine: EngineStandIn) -> None:
        await self._replace_engine(engine, self._site.replace_crashed(engine, _ENGINE_OUTAGE_S))

    async def _replace_engine(self, engine: EngineStandIn, change: Awaitable[None]) -> None:
        start_s = now_s()
        await self._restart_exclusively(engine.instance_id, change)
        kind = FaultKind.KILL_ENGINE
        self._disruptions.append(
            Disruption(kind=kind, target=engine.service, start_s=start_s, end_s=now_s())
        )

    async def _inject(self, fault: Fault) -> None:
        """Inject a fault, and record when it really began and ended."""
        target = ""
        if fault.kind in (*NODE_FAULTS, FaultKind.STOP_NODE):
            target = self._site.node_addresses[int(fault.victim * len(self._site.nodes))]
        elif fault.kind in (*SERVER_FAULTS, FaultKind.SILENCE_SERVER):
            target = self._pick_server(fault).service
        start_s = now_s()
        await self._apply(fault)
        if now_s() - start_s > _SKIPPED_S:
            self._disruptions.append(
                Disruption(kind=fault.kind, target=target, start_s=start_s, end_s=now_s())
            )

    async def _apply(self, fault: Fault) -> None:
        number = int(fault.victim * len(self._site.nodes))
        node = self._site.nodes[number]
        match fault.kind:
            case FaultKind.KILL_NODE:
                await self._restart_exclusively(node.name, self._restart(node, fault.duration_s))
            case FaultKind.STOP_NODE:
                await self._restart_exclusively(
                    node.name, self._stop(node, self._overlapping_pauses_s(fault))
                )
            case FaultKind.PAUSE_NODE:
                node.send(signal.SIGSTOP)
                await asyncio.sleep(fault.duration_s)
                node.send(signal.SIGCONT)
            case FaultKind.CUT_NODE_FROM_STORE:
                await self._disturb_path(self._site.store_proxies[number], fault.duration_s)
            case FaultKind.CUT_NODE_FROM_PEERS:
                await self._disturb_path(self._site.peer_proxies[number], fault.duration_s)
            case FaultKind.STORE_DOWN | FaultKind.STORE_SLOW | FaultKind.STORE_LOSES_ANSWERS:
                await self._disturb_store(fault)
            case FaultKind.CHANGE_OBJECTS:
                for _ in range(3):
                    self._site.configure(**self._change_configuration())
                    await asyncio.sleep(0.1)
            case FaultKind.KILL_ENGINE:
                server = self._pick_server(fault)
                await self._restart_exclusively(
                    server.instance_id, self._crash(server, fault.duration_s)
                )
            case FaultKind.STALL_ENGINE | FaultKind.POISON_REQUEST:
                server = self._pick_server(fault)
                faults = self._random.choice(_SERVER_FAULTS)
                if fault.kind is FaultKind.STALL_ENGINE:
                    faults = ServerFaults(silent=True)
                server.faults = faults
                await asyncio.sleep(fault.duration_s)
                server.faults = ServerFaults()
            case FaultKind.SILENCE_SERVER:
                await self._silence(self._pick_server(fault), fault.duration_s)
            case FaultKind.RESTORE_STORE:
                await self._restore_store(fault.duration_s)
            case FaultKind.LEAVE_SERVER:
                server = self._pick_server(fault)
                await self._restart_exclusively(
                    server.instance_id, self._leave(server, fault.duration_s)
                )
            case FaultKind.PAUSE_SERVER:
                server = self._pick_server(fault)
                server.faults = ServerFaults(full=True, pause_s=fault.duration_s)
                await asyncio.sleep(_PAUSE_STATED_S)
                server.faults = ServerFaults()

    def _change_configuration(self) -> dict[str, object]:
        """Return other routes, weights and limits, which serve all requests as before."""
        document = self._site.configuration()
        routes = document["routes"]
        split = [
            {"service": routes[0]["service"], "weight": self._changes.randint(1, 5)}
            for _ in range(2)
        ]
        changed = {**routes[0], "backends": split, "priority": self._changes.randint(1, 3)}
        added = {**routes[-1], "name": "added", "pathPrefix": f"/{self._changes.random()}/"}
        limits = {
            **document["limits"],
            "maxBodyBytes": self._changes.choice((16384, 65536)),
            "headerTimeoutMs": self._changes.choice((500, 3000)),
            "idleTimeoutMs": self._changes.choice((1000, 15000)),
        }
        return {"routes": [changed, *routes[1:], added], "limits": limits}

    async def _restore_store(self, delay_s: float) -> None:
        """Take a copy; later, the store is away for a moment and comes back from the copy."""
        store = self._site.store
        state = store.take_copy()
        await asyncio.sleep(delay_s)
        store.faults.mode = self._random.choice(("busy", "reset"))
        await asyncio.sleep(_RESTORE_OUTAGE_S)
        store.restore(state)
        store.faults.mode = ""

    async def _leave(self, server: EngineStandIn | PlainStandIn, notice_s: float) -> None:
        """Let a server state that it leaves while it is listed as ready, then start it anew."""
        server.is_leaving = True
        await asyncio.sleep(notice_s)
        await server.stop()
        server.is_leaving = False
        server.started_ms += 1
        await server.start()
        self._site.register(server)

    async def _silence(self, server: EngineStandIn | PlainStandIn, seconds: float) -> None:
        """Freeze a server; a rest follows, as two silences at once would be a longer one."""
        name = server.instance_id
        if name not in self._restarting:
            self._restarting.add(name)
            await server.freeze(seconds)
            asyncio.get_running_loop().call_later(_REST_S, self._restarting.discard, name)

    async def _restart_exclusively(self, name: str, change: Awaitable[None]) -> None:
        """Stop and restart a node or server, unless another fault is doing so already."""
        if name in self._restarting:
            asyncio.ensure_future(change).cancel()
            return
        self._restarting.add(name)
        await change
        self._restarting.discard(name)

    async def _restart(self, node: Process, downtime_s: float) -> None:
        node.kill()
        await asyncio.sleep(downtime_s)
        node.start()

    async def _finish(self, change: Coroutine[Any, Any, None]) -> None:
        """Await a change that also goes on to its end if the load ends meanwhile."""
        await asyncio.shield(self._tasks.start(change, name="change"))

    async def _kill_all_nodes(self) -> None:
        start_s = now_s()
        await asyncio.gather(
            *(
                self._restart_exclusively(node.name, self._restart(node, _ALL_DOWN_S))
                for node in self._site.nodes
            )
        )
        self._disruptions += [
            Disruption(kind=FaultKind.KILL_NODE, target=address, start_s=start_s, end_s=now_s())
            for address in self._site.node_addresses
        ]

    async def _stop(self, node: Process, pause_s: float) -> None:
        node.send(signal.SIGCONT)
        timeout_s = _STOP_LIMIT_S + pause_s  # a paused process can't exit
        if await node.stop(timeout_s=timeout_s) is None:
            self.breaches.append(f"{node.name} did not end within {timeout_s} s of SIGTERM")
        node.start()

    def _overlapping_pauses_s(self, stop: Fault) -> float:
        """Return the total length of the pauses of the same node that overlap its stop."""
        count = len(self._site.nodes)
        end_s = stop.start_s + _STOP_LIMIT_S
        return sum(
            fault.duration_s
            for fault in self._faults
            if fault.kind is FaultKind.PAUSE_NODE
            and int(fault.victim * count) == int(stop.victim * count)
            and stop.start_s - fault.duration_s < fault.start_s < end_s
        )

    async def _crash(self, server: EngineStandIn | PlainStandIn, outage_s: float) -> None:
        """Crash a server, remove its registration later, then restart and register it."""
        await server.stop()
        await asyncio.sleep(outage_s / 2)
        self._site.store.remove("servers", server.instance_id)
        await asyncio.sleep(outage_s / 2)
        await server.start()
        self._site.register(server)

    async def _disturb_path(self, proxy: FaultProxy, outage_s: float) -> None:
        """Refuse, stall or delay a proxy's traffic or drop its answers, then reset connections."""
        proxy.mode = self._random.choice(list(ProxyMode))
        proxy.delay_s = _CHUNK_DELAY_S if proxy.mode is ProxyMode.PASS else 0.0
        await asyncio.sleep(outage_s)
        proxy.mode, proxy.delay_s = ProxyMode.PASS, 0.0
        proxy.reset_connections()

    async def _disturb_store(self, fault: Fault) -> None:
        faults = self._site.store.faults
        if fault.kind is FaultKind.STORE_DOWN:
            faults.mode = self._random.choice(("busy", "silent", "reset"))
        elif fault.kind is FaultKind.STORE_SLOW:
            faults.delay_s = 0.5
        else:
            faults.lost_writes = 3
        await asyncio.sleep(fault.duration_s)
        faults.mode, faults.delay_s, faults.lost_writes = "", 0.0, 0

    def _pick_server(self, fault: Fault) -> EngineStandIn | PlainStandIn:
        servers = self._site.servers
        return servers[int(fault.victim * len(servers))]

    async def _check_recovery(self) -> None:
        """Check that every node serves every kind of call after all faults have ended."""
        for address in self._site.node_addresses:
            for path in _PATHS:
                try:
                    async with asyncio.timeout(_RECOVERY_LIMIT_S):
                        while not is_served(await self._call(address, path)):
                            await asyncio.sleep(_CALL_INTERVAL_S)
                except TimeoutError:
                    self.breaches.append(f"{address}{path} not served after the faults")
        await asyncio.sleep(1.0)  # the longest answer and half a second to free its engine
        for engine in self._site.engines:
            if engine.held:
                self.breaches.append(f"{engine.instance_id} still holds {sorted(engine.held)}")

    def _check_records(self) -> None:
        for call in self._calls:
            self.breaches += check_call(call, self._site.log)
        for run in (*self._site.log.runs, *self._site.log.prefills):
            if KEY in str(run.headers):
                self.breaches.append(f"{run.server} saw a key")
        lost, self.judged = find_lost(self._calls, self._disruptions)
        self.breaches += lost
        streams = [call for call in self._calls if call.path in (NOTES, RESUMABLE)]
        self.breaches += self.crashing.find_breaches(streams, self._disruptions)
        self.breaches += self.limited.find_breaches(self._calls, self._disruptions)
        self.breaches += self.versioned.find_breaches()
        if self.cuts is not None:
            self.breaches += self.cuts.find_breaches(self._calls)
        self.breaches += check_orders(self._site.log.orders)


async def run_gateway_faults(
    *,
    folder: Path,
    seed: int,
    faults: Sequence[Fault],
    duration_s: float,
    has_crashing_parts: bool = False,
    has_limits: bool = False,
    has_versions: bool = False,
    has_cuts: bool = False,
) -> tuple[list[str], dict[str, float]]:
    """Run a site of gateway nodes under faults; return the breaches and measures."""
    site_class = PathSite if has_cuts else GatewaySite
    site = site_class(
        folder=folder,
        node_count=3 + seed % 4 if has_cuts else 3,
        prefill_count=2,
        decode_count=5 if has_versions else 3,
        plain_count=2,
        seed=seed,
    )
    run = _GatewayRun(
        site,
        seed=seed,
        has_crashing_parts=has_crashing_parts,
        has_limits=has_limits,
        has_versions=has_versions,
        has_cuts=has_cuts,
    )
    try:
        await site.start()
        await run.run(faults, duration_s)
    finally:
        await site.stop()
    served = sum(is_served(call.answer) for call in run._calls)
    return run.breaches, {
        "calls": len(run._calls),
        "served": served,
        "judged": run.judged,
        "limits": len(run.limited.spans),
        "cut_calls": 0 if run.cuts is None else run.cuts.judged,
        "cut_calls_served": 0 if run.cuts is None else run.cuts.served,
        "take_ups": run.versioned.take_ups,
        "taken_up": run.versioned.taken_up,
        "crashes": sum(len(part.crashes_s) for part in run.crashing.parts),
    }
