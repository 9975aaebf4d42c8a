"""Calls, servers and ways to place calls, simulated in virtual time."""

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable, Sequence
from functools import partial
from typing import Protocol

import attrs

from flamingoshelf.plain_placement import (
    CallId,
    CallKind,
    Outcome,
    Placement,
    PlacementRequest,
    ServiceLedger,
)
from flamingoshelf.routing import BackendInstance, EjectionRule, ServerSelector

__all__ = [
    "Call",
    "IdleSlots",
    "Ledger",
    "NodeChoice",
    "Policy",
    "SharedQueue",
    "SimulatedServer",
    "Simulation",
]

_QUEUE = 3  # calls that a server holds beyond those that run, before it rejects
_HEAVY_SHARE, _HEAVY_FACTOR = 0.01, 5.0
_SIGMA = 0.4  # of the logarithm of the work


@attrs.define(kw_only=True, eq=False)
class Call:
    """One call, with the time of each of its steps."""

    number: int
    node: int
    work_s: float
    arrived_s: float
    goal_s: float
    deadline_s: float
    started_s: float = math.inf
    ended_s: float = math.inf
    refused_s: float = math.inf
    rejections: int = 0
    refusals: int = 0
    tried: set[str] = attrs.field(factory=set)

    @property
    def wait_s(self) -> float:
        """Seconds until a server began to work on the call."""
        return self.started_s - self.arrived_s


@attrs.define(kw_only=True, eq=False)
class SimulatedServer:
    """A server with slots and a short queue; ``speed(time)`` says how fast it works."""

    key: str
    slots: int = 6
    speed: Callable[[float], float] = lambda at_s: 1.0
    running: int = 0
    queue: deque[Call] = attrs.field(factory=deque)


class Policy(Protocol):
    """A way to place calls."""

    def place(self, call: Call) -> None:
        """Place a call that has arrived."""

    def end(self, call: Call, server: SimulatedServer) -> None:
        """Learn that a server has answered a call."""

    def reject(self, call: Call, server: SimulatedServer) -> None:
        """Learn that a server has rejected a call."""


class Simulation:
    """Events of one run in virtual time.

    Parameters
    ----------
    servers : sequence of SimulatedServer
        The servers.
    seed : int
        Seed of all random values.
    nodes : int
        Number of nodes, at which the calls arrive at random.
    hop_s : float
        Seconds that a message takes one way.
    batch_s : float
        Seconds for which a node gathers the ends of calls.
    """

    def __init__(
        self,
        servers: Sequence[SimulatedServer],
        *,
        seed: int,
        nodes: int = 89,
        hop_s: float = 0.001,
        batch_s: float = 0.004,
    ) -> None:
        self.hop_s = hop_s
        self.batch_s = batch_s
        self.servers = {server.key: server for server in servers}
        self.random = random.Random(seed)
        self.nodes = nodes
        self.now_s = 0.0
        self.calls: list[Call] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._policy: Policy | None = None

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (time_s, next(self._numbers), action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something after a delay."""
        self.at(self.now_s + delay_s, action)

    def run(
        self,
        policy: Policy,
        *,
        rate: Callable[[float], float],
        until_s: float,
        mean_s: float = 0.072,
        goal_s: float = 0.35,
        deadline_s: float = 4.0,
    ) -> list[Call]:
        """Return the calls that arrive until `until_s`, ``rate(time)`` a second, when all ended."""
        self._policy = policy
        at_s = 0.0
        mu = math.log(mean_s / (1 + _HEAVY_SHARE * (_HEAVY_FACTOR - 1))) - _SIGMA**2 / 2
        while (at_s := at_s + self.random.expovariate(rate(at_s))) < until_s:
            work_s = self.random.lognormvariate(mu, _SIGMA)
            if self.random.random() < _HEAVY_SHARE:
                work_s *= _HEAVY_FACTOR
            call = Call(
                number=len(self.calls),
                node=self.random.randrange(self.nodes),
                work_s=work_s,
                arrived_s=at_s,
                goal_s=at_s + goal_s,
                deadline_s=at_s + deadline_s,
            )
            self.calls.append(call)
            self.at(at_s, partial(policy.place, call))
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self.calls

    def send(self, call: Call, key: str) -> None:
        """Send a call to a server."""
        self.after(self.hop_s, lambda: self._arrive(call, self.servers[key]))

    def refuse(self, call: Call, retry_after_s: float) -> None:
        """Refuse a call, whose caller returns once as it is told."""
        call.refusals += 1
        call.refused_s = self.now_s
        if call.refusals < 2:
            call.tried.clear()
            policy = self._policy
            assert policy is not None
            self.after(2 * self.hop_s + retry_after_s, lambda: policy.place(call))

    def _arrive(self, call: Call, server: SimulatedServer) -> None:
        if server.running < server.slots:
            self._start(call, server)
        elif len(server.queue) < _QUEUE:
            server.queue.append(call)
        else:
            call.rejections += 1
            policy = self._policy
            assert policy is not None
            self.after(self.hop_s, lambda: policy.reject(call, server))

    def _start(self, call: Call, server: SimulatedServer) -> None:
        server.running += 1
        call.started_s = self.now_s
        left_s, at_s = call.work_s, self.now_s
        while left_s > 0:  # the speed is constant for a hundredth of a second
            step_s = min(0.01, left_s / max(server.speed(at_s), 1e-3))
            left_s -= step_s * max(server.speed(at_s), 1e-3) + 1e-9
            at_s += step_s
        self.at(at_s, lambda: self._end(call, server))

    def _end(self, call: Call, server: SimulatedServer) -> None:
        server.running -= 1
        call.ended_s = self.now_s + self.hop_s
        if server.queue:
            self._start(server.queue.popleft(), server)
        policy = self._policy
        assert policy is not None
        policy.end(call, server)


def _instances(simulation: Simulation) -> list[BackendInstance]:
    return [
        BackendInstance(
            instance_id=key, service="desk", address="", data_centre="a", slots=server.slots
        )
        for key, server in simulation.servers.items()
    ]


class SharedQueue:
    """The bound: one queue for all servers, which knows of each free slot at once."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._queue: deque[Call] = deque()
        self._taken = dict.fromkeys(simulation.servers, 0)

    def place(self, call: Call) -> None:
        """Place a call that has arrived."""
        self._simulation.after(self._simulation.hop_s, lambda: self._add(call))

    def _add(self, call: Call) -> None:
        self._queue.append(call)
        self._serve()

    def _serve(self) -> None:
        simulation = self._simulation
        while self._queue:
            free = [s for s in simulation.servers.values() if self._taken[s.key] < s.slots]
            if not free:
                return
            server = max(free, key=lambda s: s.speed(simulation.now_s))
            self._taken[server.key] += 1
            simulation.send(self._queue.popleft(), server.key)

    def end(self, call: Call, server: SimulatedServer) -> None:
        """Learn that a server has answered a call."""
        self._taken[server.key] -= 1
        self._serve()

    def reject(self, call: Call, server: SimulatedServer) -> None:
        """Learn that a server has rejected a call."""
        raise AssertionError("the shared queue overfills no server")


class NodeChoice:
    """Today's choice: each node knows its own calls. Needs a running event loop."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._selectors = [
            ServerSelector(data_centre="a", rule=EjectionRule(), random_source=simulation.random)
            for _ in range(simulation.nodes)
        ]
        self._servers = _instances(simulation)

    def place(self, call: Call) -> None:
        """Place a call that has arrived."""
        selector = self._selectors[call.node]
        key = selector.choose(self._servers, tried=frozenset(call.tried))
        if key is None:
            self._simulation.refuse(call, 0.1)
            return
        call.tried.add(key)
        selector.start_call(key)
        self._simulation.send(call, key)

    def end(self, call: Call, server: SimulatedServer) -> None:
        """Learn that a server has answered a call."""
        self._selectors[call.node].end_call(server.key, is_failure=False)

    def reject(self, call: Call, server: SimulatedServer) -> None:
        """Learn that a server has rejected a call."""
        self._selectors[call.node].end_call(server.key, is_failure=True)
        self.place(call)


class IdleSlots(NodeChoice):
    """Idle slots handed out to nodes as tokens (join-idle-queue); without one, today's choice."""

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        self._tokens: list[list[str]] = [[] for _ in range(simulation.nodes)]
        for server in simulation.servers.values():
            for _ in range(server.slots):
                self._hand_out(server.key)

    def place(self, call: Call) -> None:
        """Place a call that has arrived."""
        tokens = self._tokens[call.node]
        if not tokens or call.tried:
            super().place(call)
            return
        key = tokens.pop()
        call.tried.add(key)
        self._selectors[call.node].start_call(key)
        self._simulation.send(call, key)

    def end(self, call: Call, server: SimulatedServer) -> None:
        """Learn that a server has answered a call."""
        super().end(call, server)
        if server.running < server.slots:
            self._simulation.after(2 * self._simulation.hop_s, lambda: self._hand_out(server.key))

    def _hand_out(self, key: str) -> None:
        self._simulation.random.choice(self._tokens).append(key)


class Ledger:
    """The ledger of a coordinator, with the delays of its messages.

    Parameters
    ----------
    simulation : Simulation
        The run.
    """

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self.servers = _instances(simulation)
        self.restart()
        self._granted: dict[int, tuple[CallId, float]] = {}
        self._numbers = itertools.count()

    def restart(self) -> None:
        """Begin anew, as a coordinator that takes over does."""
        self.ledger = ServiceLedger(
            service="desk", servers=lambda: self.servers, clock=lambda: self._simulation.now_s
        )

    def place(self, call: Call) -> None:
        """Place a call that has arrived."""
        call_id = CallId(owner=f"n{call.node}", number=next(self._numbers))
        request = PlacementRequest(
            call=call_id,
            kind=CallKind(service="desk", route="calls"),
            data_centre="a",
            excluded=frozenset(call.tried),
            goal_s=call.goal_s,
            deadline_s=call.deadline_s if not call.refusals else self._simulation.now_s + 4.0,
        )

        def on_decision(placement: Placement) -> None:
            self._simulation.after(
                self._simulation.hop_s, lambda: self._take(call, call_id, placement)
            )

        self._simulation.after(
            self._simulation.hop_s, lambda: self.ledger.submit(request, on_decision)
        )

    def _take(self, call: Call, call_id: CallId, placement: Placement) -> None:
        if placement.server is None:
            retry_after_s = placement.retry_after_s
            self._simulation.refuse(call, 0.1 if retry_after_s is None else retry_after_s)
            return
        call.tried.add(placement.server)
        self._granted[call.number] = (call_id, self._simulation.now_s)
        self._simulation.send(call, placement.server)

    def end(self, call: Call, server: SimulatedServer) -> None:
        """Learn that a server has answered a call."""
        self._tell(call, Outcome.ANSWERED)

    def reject(self, call: Call, server: SimulatedServer) -> None:
        """Learn that a server has rejected a call."""
        self._tell(call, Outcome.REJECTED)
        self.place(call)

    def _tell(self, call: Call, outcome: Outcome) -> None:
        call_id, granted_s = self._granted[call.number]
        hop_s = self._simulation.hop_s
        seen_s = self._simulation.now_s + hop_s * (outcome is Outcome.ANSWERED)
        told_s = seen_s + self._simulation.batch_s + hop_s
        duration_s = seen_s - granted_s

        def tell() -> None:
            self.ledger.end(call_id, outcome, duration_s=duration_s)

        self._simulation.at(told_s, tell)
