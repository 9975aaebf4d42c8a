"""Rate and burst hold in every time window under random faults at the homes of one part.

The parts of a workspace are independent, so their bounds add up to the bound of the workspace.
"""

import itertools
import math

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from flamingoshelf.limits import PART_COUNT, LimitHome
from flamingoshelf.limits._messages import (
    ChargeOutcome,
    ChargeReply,
    ChargeTokens,
    SettleTokens,
    UpdateTokens,
)
from flamingoshelf.objects import Catalog, Kind, NamedObject, ObjectId, Workspace

NODES = ("n0", "n1", "n2")
NAME = "shop"
SPECS = (
    Workspace(rate_tokens_s=10.0, burst_tokens=100),
    Workspace(rate_tokens_s=40.0, burst_tokens=100),
    Workspace(rate_tokens_s=10.0, burst_tokens=40),
    Workspace(rate_tokens_s=2.0, burst_tokens=200),
)
TOLERANCE = 1e-6
FILL_TIME_S = 60.0
PART = 0
TOKENS = st.sampled_from([1, 5, 10, 20, 25, 50])
PATHS = st.sampled_from(["straight", "straight", "straight", "late", "both"])


def catalog_of(spec):
    item = NamedObject(id=ObjectId(kind=Kind.WORKSPACE, name=NAME), spec=spec)
    return Catalog(revision=1, objects=[item])


CATALOGS = tuple(map(catalog_of, SPECS))


@attrs.define(kw_only=True)
class Request:
    """State of a request at the node that admits it."""

    id: str
    tokens: int
    used: int = 0
    granted_s: float | None = None
    tenure: int = -1
    closed: bool = False

    @property
    def is_running(self):
        return self.granted_s is not None and not self.closed


@attrs.define(kw_only=True)
class Use:
    """Tokens that a request used at one time."""

    time_s: float
    tokens: int
    request: Request


class Machine(RuleBasedStateMachine):
    """Homes, requests and a network that delays, duplicates and loses messages.

    Tenures are numbered; `ended` maps the number of a tenure to the time of its end.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.holder = (NODES[0], 1)
        self.tenure = 0
        self.ended = {}
        self.spec_of = dict.fromkeys(NODES, 0)
        self.limits: list[tuple[float, float, float]] = []
        self.homes = {node: self.new_home(node) for node in NODES}
        self.network = []
        self.requests = []
        self.uses = []
        self.names = itertools.count()
        self.record_limit()
        self.homes[NODES[0]].observe([NAME])
        self.now_s = FILL_TIME_S

    def new_home(self, node):
        return LimitHome(
            parts=Parts(self, node),
            catalog=lambda: CATALOGS[self.spec_of[node]],
            clock=lambda: self.now_s,
        )

    def record_limit(self):
        spec = SPECS[self.spec_of[self.holder[0]]]
        self.limits.append(
            (self.now_s, spec.rate_tokens_s / PART_COUNT, spec.burst_tokens / PART_COUNT)
        )

    def end_tenure(self):
        self.ended[self.tenure] = self.now_s
        self.tenure += 1

    def send(self, message, request, *, node=None, path="straight"):
        """Deliver a message now, later or both; the sender's view of the holder may be outdated."""
        node = node or self.holder[0]
        if path != "straight":
            self.network.append((node, message, request))
        if path != "late":
            self.deliver_now(node, message, request)

    @rule(tokens=TOKENS, node=st.sampled_from((None, *NODES)), path=PATHS)
    def charge(self, tokens, node, path):
        request = Request(id=f"r{next(self.names)}", tokens=tokens)
        self.requests.append(request)
        message = ChargeTokens(workspace=NAME, part=PART, request_id=request.id, tokens=tokens)
        self.send(message, request, node=node, path=path)

    @rule(tokens=TOKENS, use=st.sampled_from([0.0, 0.5, 1.0]), count=st.integers(1, 3))
    def run(self, tokens, use, count):
        """Charge, run and settle requests without faults."""
        for _ in range(count):
            self.charge(tokens, None, "straight")
            request = self.requests[-1]
            if request.is_running:
                self.record_use(request, int(tokens * use))
            self.close(request, "straight")

    @precondition(lambda self: self.network)
    @rule(
        data=st.data(), handling=st.sampled_from(["deliver", "deliver", "double", "lose", "mute"])
    )
    def deliver(self, data, handling):
        """Deliver a delayed message, possibly again later, or lose the message or its reply."""
        index = data.draw(st.integers(0, len(self.network) - 1))
        entry = self.network[index] if handling == "double" else self.network.pop(index)
        if handling != "lose":
            self.deliver_now(*entry, lose_reply=handling == "mute")

    def deliver_now(self, node, message, request, *, lose_reply=False):
        home = self.homes[node]
        if isinstance(message, ChargeTokens):
            self.receive(request, home.charge(message), lose_reply=lose_reply)
        elif isinstance(message, UpdateTokens):
            home.update(message)
        else:
            home.settle(message)

    def receive(self, request, reply: ChargeReply, *, lose_reply):
        is_open = not request.closed and request.granted_s is None
        if reply.outcome is ChargeOutcome.RESERVED and is_open and not lose_reply:
            assert reply.tokens == request.tokens
            request.granted_s = self.now_s
            request.tenure = self.tenure

    @precondition(lambda self: any(request.is_running for request in self.requests))
    @rule(data=st.data(), share=st.sampled_from([0.5, 1.0]))
    def use(self, data, share):
        request = data.draw(st.sampled_from([r for r in self.requests if r.is_running]))
        self.record_use(request, math.ceil((request.tokens - request.used) * share))

    def record_use(self, request, tokens):
        request.used += tokens
        self.uses.append(Use(time_s=self.now_s, tokens=tokens, request=request))

    @precondition(lambda self: any(request.is_running for request in self.requests))
    @rule(data=st.data(), path=PATHS)
    def report(self, data, path):
        request = data.draw(st.sampled_from([r for r in self.requests if r.is_running]))
        request.tokens = (request.used + request.tokens) // 2
        message = UpdateTokens(
            workspace=NAME,
            part=PART,
            request_id=request.id,
            used_tokens=request.used,
            reserved_tokens=request.tokens - request.used,
        )
        self.send(message, request, path=path)

    @precondition(lambda self: any(not request.closed for request in self.requests))
    @rule(data=st.data(), path=PATHS)
    def settle(self, data, path):
        """End a running request, or give up one that has no reply yet."""
        self.close(data.draw(st.sampled_from([r for r in self.requests if not r.closed])), path)

    def close(self, request, path):
        request.closed = True
        message = SettleTokens(
            workspace=NAME, part=PART, request_id=request.id, used_tokens=request.used
        )
        self.send(message, request, path=path)

    @rule(seconds=st.sampled_from([0.5, 2.0, 5.0, 20.0, 301.0]))
    def advance(self, seconds):
        self.now_s += seconds

    @rule(node=st.sampled_from(NODES))
    def move(self, node):
        self.end_tenure()
        self.holder = (node, self.holder[1] + 1)
        self.record_limit()

    @rule(node=st.sampled_from(NODES))
    def restart(self, node):
        if self.holder[0] == node:
            self.end_tenure()
        self.homes[node] = self.new_home(node)

    @rule(node=st.sampled_from(NODES), number=st.integers(0, len(SPECS) - 1))
    def configure(self, node, number):
        self.homes[node].observe([NAME])
        self.spec_of[node] = number
        self.homes[node].observe([NAME])
        if self.holder[0] == node:
            self.record_limit()

    def bound(self, start_s, end_s):
        """Return the largest burst in force in a window plus the tokens earned in it."""
        ends = [entry[0] for entry in self.limits[1:]] + [float("inf")]
        inside = [
            (max(start_s, begin), min(end_s, end), rate, burst)
            for (begin, rate, burst), end in zip(self.limits, ends, strict=True)
            if begin <= end_s and end >= start_s
        ]
        earned = sum((end - begin) * rate for begin, end, rate, _ in inside)
        return max(burst for *_, burst in inside) + earned + TOLERANCE

    @invariant()
    def grants_keep_the_bound(self):
        """Check the bound with used tokens counted at the time their request was granted."""
        granted = sorted(
            (r.granted_s, r.used) for r in self.requests if r.granted_s is not None and r.used
        )
        for first, (start_s, _) in enumerate(granted):
            spent = 0
            for end_s, used in granted[first:]:
                spent += used
                assert spent <= self.bound(start_s, end_s)

    @rule(tokens=st.sampled_from([25, 50]), share=st.sampled_from([0.5, 1.0]))
    def burst(self, tokens, share):
        """Charge several requests at the same time, then run them concurrently."""
        for _ in range(3):
            self.charge(tokens, None, "straight")
        for request in self.requests[-3:]:
            if request.is_running:
                self.record_use(request, math.ceil(request.tokens * share))

    @invariant()
    def uses_keep_the_bound(self):
        """Check the bound with tokens counted at the time of their use.

        Requests of tenures that ended before the window are left out.
        """
        for first, start in enumerate(self.uses):
            spent = 0
            for use in self.uses[first:]:
                if self.ended.get(use.request.tenure, float("inf")) >= start.time_s:
                    spent += use.tokens
                assert spent <= self.bound(start.time_s, use.time_s)


class Parts:
    """Ownership as one node sees it; at most one node holds the part at a time."""

    def __init__(self, machine, node):
        self._machine = machine
        self._node = node

    def home(self, workspace, part):
        return self._machine.holder[0]

    def held_fencing_number(self, workspace, part):
        node, number = self._machine.holder
        return number if node == self._node and part == PART else None


TestWindowBound = Machine.TestCase
TestWindowBound.settings = settings(
    derandomize=True, deadline=None, max_examples=250, stateful_step_count=30
)
