"""Changes of the configuration, servers and settings while requests are read, wait or run."""

import asyncio
import gc
import random
import weakref
from typing import Any, cast

import attrs
import pytest

from flamingoshelf.cluster import MemberList
from flamingoshelf.gateway import Admission, CallerRequest, GatewaySettings
from flamingoshelf.gateway._active_configuration import ActiveConfiguration
from flamingoshelf.gateway._answer_limit import AnswerLimit
from flamingoshelf.gateway._node_limits import NodeLimits
from flamingoshelf.gateway._request_path import new_gateway
from flamingoshelf.gateway.tests.conftest import ENGINE, Answer, FakeOutput, lost, route, server
from flamingoshelf.gateway.tests.fake_origins import FakeOrigins, new_engine_runs
from flamingoshelf.gateway.tests.fake_paths import FakePaths, new_failures
from flamingoshelf.gateway.tests.fake_placer import FakePlacer
from flamingoshelf.http1 import ConnectionLimits, Exchange, Headers, RequestHead
from flamingoshelf.paths import PathTable
from flamingoshelf.placement import (
    Dispatcher,
    DispatcherService,
    FleetPlacer,
    PlainCallMeter,
    WorkspaceLimits,
)
from flamingoshelf.refusals import Refusal, RefusalReason
from flamingoshelf.retries import RetryBounds, RetryBudgets
from flamingoshelf.routing import (
    CallKind,
    EngineRole,
    GatewayConfiguration,
    RouteTarget,
    ServiceProfile,
    Workspace,
)
from flamingoshelf.server_limits import LimitService
from flamingoshelf.utils import Pacer, now_s

pytestmark = pytest.mark.looptime

KINDS = [CallKind.IDEMPOTENT, CallKind.NON_IDEMPOTENT, CallKind.STREAM]
EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(1, 9)]


class Wire:
    """Every head is one of a caller with the known key."""

    def decode_request(self, head):
        return CallerRequest(request_id="q1", key="key", prompt_tokens=10, max_output_tokens=10)


class OnceOutput(FakeOutput):
    """Fails if a response is written after its end."""

    def send_data(self, data):
        assert self.head is not None and not self.is_complete
        super().send_data(data)

    def send_end(self):
        assert self.head is not None and not self.is_complete
        super().send_end()


class RefusingPlacer(FakePlacer):
    """Refuses a request that avoids all engines, as a dispatcher does."""

    async def acquire(self, request):
        if {"d1", "d2", "d3"} <= set(request.avoid):
            return Refusal(
                reason=RefusalReason.NO_BACKEND, status=503, detail="no engine", not_run=True
            )
        return await super().acquire(request)


class Site:
    """A gateway whose configuration and servers the test changes."""

    def __init__(self, configuration, directory, notices, client, crash_detector, metrics):
        self.configuration = configuration
        self.directory = directory
        self.client = client
        self.plain_calls = PlainCallMeter()
        self.version = 10
        self._revision = 10
        budgets = RetryBudgets(
            node_count=lambda: self.limits.connections(None),
            bounds=RetryBounds(fleet_reserve=10.0),
        )
        self.settings = GatewaySettings(
            node_name="n",
            data_centre="a",
            caller_address="127.0.0.1:1",
            readiness_address="127.0.0.1:2",
            peer_address="127.0.0.1:3",
            store_address="127.0.0.1:4",
        )
        self.limits = NodeLimits(
            settings=lambda: self.settings, configuration=configuration, node_count=lambda: 1
        )
        self.budgets = budgets
        self.dispatchers = DispatcherService(
            new_dispatcher=lambda service: Dispatcher(
                service=service,
                instances=lambda: directory.ready(service),
                profile=lambda: self.limits.engine_profile(service),
                random_source=random.Random(1),
            ),
            limits=WorkspaceLimits(limit=self.limits.workspace_limit),
            budget=budgets.budget,
            other_nodes=lambda: {"m"},  # so that the first request waits for 0.35 s
        )
        self._new_gateway = lambda placer: new_gateway(
            configuration=configuration,
            client=client,
            directory=directory,
            notices=notices,
            limits=LimitService(node_name="n", incarnation="1", members=MemberList()),
            placer=placer,
            origins=FakeOrigins(),
            runs=new_engine_runs(),
            plain_calls=self.plain_calls,
            crash_detector=crash_detector,
            paths=FakePaths(),
            path_table=PathTable(),
            failures=new_failures(placer),
            budget=budgets.budget,
            wire=cast(Any, Wire()),
            data_centre="a",
            metrics=metrics,
            random_source=random.Random(1),
            pacer=Pacer(),
            answer_limit=AnswerLimit(),
        )
        self.gateway = self._new_gateway(RefusingPlacer())

    def place_with_dispatchers(self):
        """Use dispatchers of this node instead of the fake placer."""
        placer = FleetPlacer(
            node_name="n",
            dispatchers=self.dispatchers,
            plain_calls=self.plain_calls,
            placed_services=lambda: list(self.configuration.current.services),
        )
        self.gateway = self._new_gateway(placer)
        return placer

    def adopt(self, **fields):
        """Adopt a configuration that is like the one in force but for `fields`."""
        self.version += 1
        current = self.configuration.current
        values = {
            "routes": current.routes,
            "services": current.services,
            "workspaces": current.workspaces,
            "limits": current.limits,
        }
        configuration = GatewayConfiguration(version=self.version, **{**values, **fields})
        assert self.configuration.adopt(configuration)

    def list_servers(self, *servers):
        self._revision += 1
        self.directory.replace({item.key: item for item in servers}, self._revision)

    def start(self, body=b"body", *, is_complete=True):
        """Start a request; return its task, exchange and output."""
        head = RequestHead(method="POST", target="/r/1", headers=Headers([("Host", "h")]))
        output = OnceOutput()
        exchange = Exchange(head=head, output=output, arrived_s=now_s())
        exchange.feed(body)
        if is_complete:
            exchange.feed_end()
        return asyncio.create_task(self.gateway.handle(exchange)), exchange, output


@pytest.fixture
def site(configuration, directory, notices, client, crash_detector, metrics):
    site = Site(configuration, directory, notices, client, crash_detector, metrics)
    site.adopt(
        services={
            name: ServiceProfile(
                name=name, health_path="/health", max_connections=100, engine=ENGINE
            )
            for name in ("s", "t")
        },
        workspaces={"w": Workspace(name="w", keys=frozenset({"key"}), priority=1)},
    )
    return site


def prepare(site, kind, **fields):
    """Put a route of a kind in force, and list servers that take a second for an answer."""
    site.adopt(routes=(route(kind, timeout_s=30.0, latency_goal_s=5.0, may_resume=True, **fields),))
    if kind is CallKind.STREAM:
        site.list_servers(
            *(server(name, EngineRole.PREFILL) for name in ("p1", "p2")),
            *(server(name, EngineRole.DECODE) for name in ("d1", "d2", "d3")),
        )
        for name in ("d1", "d2", "d3", "d9"):
            site.client.queue_answers(name, Answer(body=list(EVENTS), after_s=0.5, pause_s=0.1))
    else:
        site.list_servers(server("a"), server("b"))
        for name in ("a", "b"):
            site.client.queue_answers(name, Answer(after_s=1.0))


def remove_route(site):
    site.adopt(routes=())


def remove_service(site):
    site.adopt(services={})


def remove_workspace(site):
    site.adopt(workspaces={"v": Workspace(name="v", keys=frozenset({"other"}))})


def move_key(site):
    site.adopt(workspaces={"v": Workspace(name="v", keys=frozenset({"key"}), rate_tokens_s=1.0)})


def remove_servers(site):
    site.list_servers()


def replace_servers(site):
    site.list_servers(
        server("e"), server("p9", EngineRole.PREFILL), server("d9", EngineRole.DECODE)
    )


def lower_limits(site):
    site.adopt(limits=ConnectionLimits(max_header_bytes=16, max_body_bytes=1))


def lower_workspace_limit(site):
    workspace = Workspace(
        name="w", keys=frozenset({"key"}), rate_tokens_s=0.001, burst_tokens=0.001
    )
    site.adopt(workspaces={"w": workspace})


def change_weights(site):
    targets = (RouteTarget(service="s", weight=0.0), RouteTarget(service="t", weight=1.0))
    site.adopt(routes=tuple(attrs.evolve(item, targets=targets) for item in _routes(site)))


def change_kind(site):
    site.adopt(
        routes=tuple(attrs.evolve(item, kind=CallKind.NON_IDEMPOTENT) for item in _routes(site))
    )


def make_plain(site):
    site.adopt(services={"s": ServiceProfile(name="s", health_path="/health", max_connections=1)})


def change_settings(site):
    site.settings = attrs.evolve(
        site.settings, retry_ratio=0.0, retry_reserve=0.0, limit_excess=0.5, drain_s=0.1
    )
    site.budgets.resize(site.limits.retries())


def remove_all(site):
    site.adopt(routes=(), services={}, workspaces={}, limits=ConnectionLimits(max_body_bytes=1))
    site.list_servers()


def _routes(site):
    return site.configuration.current.routes


CHANGES = [
    remove_route,
    remove_service,
    remove_workspace,
    move_key,
    remove_servers,
    replace_servers,
    lower_limits,
    lower_workspace_limit,
    change_weights,
    change_kind,
    make_plain,
    change_settings,
    remove_all,
]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("at_s", [0.05, 0.3, 0.7, 1.0])
async def test_admitted_request_gets_one_answer_beside_a_change(site, kind, change, at_s):
    """A change while the body arrives (0.05 s), or while it waits or runs, must not lose it."""
    prepare(site, kind)
    task, exchange, output = site.start(is_complete=False)
    asyncio.get_running_loop().call_later(at_s, change, site)
    await asyncio.sleep(0.1)
    exchange.feed(b" of the request")
    exchange.feed_end()
    await asyncio.wait_for(task, timeout=40.0)
    assert output.is_complete and not output.is_aborted
    had_no_server = change in (remove_servers, replace_servers, remove_all) and at_s < 0.4
    assert output.head.status == 200 or had_no_server
    if output.head.status == 200 and kind is CallKind.STREAM:
        assert output.body == b"".join(EVENTS)


@pytest.mark.parametrize("kind", [CallKind.IDEMPOTENT, CallKind.STREAM])
@pytest.mark.parametrize("change", CHANGES)
async def test_request_that_is_repeated_after_a_change_gets_one_answer(site, kind, change):
    """The first server loses the answer after the change; nothing may fail on what is gone."""
    prepare(site, kind)
    for name in ("a", "b", "d1"):
        site.client.answers[name] = [lost(after_s=0.5)]
    task, _, output = site.start()
    asyncio.get_running_loop().call_later(0.3, change, site)
    await asyncio.wait_for(task, timeout=40.0)
    assert output.is_complete and not output.is_aborted
    assert output.head.status in (200, 502, 503)


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("at_s", [0.1, 0.4, 1.0], ids=["waits", "prefill", "runs"])
async def test_placed_request_gets_one_answer_beside_a_change(site, change, at_s):
    """The same with dispatchers: a request that waits for a turn, or holds one."""
    prepare(site, CallKind.STREAM)
    placer = site.place_with_dispatchers()
    await placer.start()
    task, exchange, output = site.start()
    asyncio.get_running_loop().call_later(at_s, change, site)
    await asyncio.wait_for(task, timeout=40.0)
    assert output.is_complete and not output.is_aborted
    no_engine = change in (remove_servers, remove_all) and at_s < 1.0
    no_service = change in (remove_service, make_plain) and at_s == 0.1
    assert output.head.status == (503 if no_engine or no_service else 200)
    assert now_s() - exchange.arrived_s < 3.0
    await placer.stop()
    await site.dispatchers.stop()


@pytest.mark.parametrize("kind", KINDS)
async def test_route_to_a_service_that_is_not_configured_is_answered(site, kind):
    prepare(site, kind, targets=(RouteTarget(service="unknown"),))
    site.adopt(services={})
    task, _, output = site.start()
    await asyncio.wait_for(task, timeout=40.0)
    assert output.is_complete
    assert site.limits.engine_profile("unknown") is None
    assert site.limits.connections(server("a")) > 0


async def test_body_limit_is_that_of_the_configuration_that_admitted_the_request(site):
    """A limit that is lowered while a body arrives must not refuse it with 413."""
    prepare(site, CallKind.NON_IDEMPOTENT)
    task, exchange, output = site.start(b"", is_complete=False)
    await asyncio.sleep(0.1)
    admitted = site.configuration.current.limits
    site.adopt(limits=attrs.evolve(admitted, max_body_bytes=10))
    exchange.feed(bytes(100))
    exchange.feed_end()
    await task
    assert output.head.status == 200


async def test_body_beyond_the_limit_is_refused_also_if_the_limit_is_raised_meanwhile(site):
    prepare(site, CallKind.NON_IDEMPOTENT)
    site.adopt(limits=ConnectionLimits(max_body_bytes=10))
    task, exchange, output = site.start(b"", is_complete=False)
    await asyncio.sleep(0.1)
    site.adopt(limits=ConnectionLimits())
    exchange.feed(bytes(100))
    await task
    assert output.head.status == 413 and output.is_complete


async def test_exchange_names_its_request(site):
    """The connection's log lines need the id of a request that is cut off."""
    prepare(site, CallKind.NON_IDEMPOTENT)
    task, exchange, _ = site.start()
    await task
    assert exchange.request_id == "q1"


# Long streams kept each configuration that one of them had begun under: dozens in quick changes.
def test_request_keeps_no_configuration_that_was_replaced():
    configuration = ActiveConfiguration()
    chosen = route(CallKind.STREAM)

    def put_in_force(version):
        configuration.adopt(
            GatewayConfiguration(version=version, routes=(chosen,), services={}, workspaces={})
        )

    put_in_force(1)
    replaced = weakref.ref(configuration.current)
    admission = Admission(
        configuration=configuration, wire=cast(Any, Wire()), answer_limit=AnswerLimit()
    )
    head = RequestHead(method="POST", target="/r/1", headers=Headers([("Host", "h")]))
    request = admission.admit(head, arrived_s=0.0).unwrap()
    put_in_force(2)
    gc.collect()
    assert replaced() is None
    assert (request.configuration_version, configuration.version) == (1, 2)
