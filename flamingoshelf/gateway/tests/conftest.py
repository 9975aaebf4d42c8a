"""Fake servers, callers and requests that need no network."""

import asyncio
import random
from contextlib import asynccontextmanager, contextmanager

import attrs
import pytest

from flamingoshelf.cluster import MemberList
from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.gateway import (
    ActiveConfiguration,
    AdmittedRequest,
    CallerRequest,
    StreamForwarder,
    TargetSelector,
)
from flamingoshelf.gateway._backend_response import (
    NotRunError,
    ServerPausedError,
    WrongInstanceError,
)
from flamingoshelf.gateway.tests.fake_origins import FakeOrigins, new_engine_runs
from flamingoshelf.gateway.tests.fake_paths import FakePaths, new_failures
from flamingoshelf.gateway.tests.fake_placer import FakePlacer
from flamingoshelf.http1 import Exchange, Headers, RequestHead, ResponseHead
from flamingoshelf.refusals import Refusal, RefusalReason
from flamingoshelf.routing import (
    BackendInstance,
    CallKind,
    EngineProfile,
    EngineRole,
    EvacuatedDataCentres,
    GatewayConfiguration,
    InstanceDirectory,
    Route,
    RouteTarget,
    ServerNotices,
    ServiceProfile,
    Workspace,
)
from flamingoshelf.server_limits import ColdBound, LimitService
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import Pacer, now_s


class FakeOutput:
    """Records the response that a caller receives."""

    def __init__(self):
        self.head = None
        self.body = b""
        self.is_complete = False
        self.is_aborted = False

    def send_head(self, head):
        assert self.head is None
        self.head = head

    def send_data(self, data):
        self.body += data

    def send_end(self):
        self.is_complete = True

    def send_continue(self):
        pass

    def abort(self):
        self.is_aborted = True

    async def drain(self):
        pass


@attrs.define
class Answer:
    """How a fake server answers one call.

    Attributes
    ----------
    after_s : float
        Delay of the answer in seconds.
    error : Exception or None
        Raised in place of an answer.
    breaks_after : int or None
        Number of parts of the body after which the connection breaks.
    pause_s : float
        Pause between two parts of the body in seconds.
    silences : dict of int to float
        Seconds of silence after a number of parts of the body.
    """

    status: int = 200
    body: bytes | list[bytes] = b"ok"
    signed: bool = True
    content_type: str = "text/event-stream"
    after_s: float = 0.0
    error: Exception | None = None
    breaks_after: int | None = None
    pause_s: float = 0.0
    silences: dict[int, float] = attrs.field(factory=dict)


CALLER = CallerRequest(
    request_id="q1", prompt_tokens=1000, max_output_tokens=100, expected_output_tokens=50
)

SILENT = "silent"  # outcome of a prefill that is never answered


def refused(**fields):
    return Answer(error=PeerUnreachableError("refused", step="connect"), **fields)


def not_run(**fields):
    return Answer(error=NotRunError("status 503", step="answer"), **fields)


def paused(seconds, **fields):
    error = ServerPausedError("status 503", step="answer", pause_s=seconds, was_sent=True)
    return Answer(error=error, **fields)


def other_instance(**fields):
    return Answer(error=WrongInstanceError("another server", step="answer"), **fields)


def lost(**fields):
    return Answer(error=OutcomeUnknownError("reset", step="head"), **fields)


def events(first, last):
    return [b"id: %d\ndata: x\n\n" % number for number in range(first, last + 1)]


class FakeResponse:
    def __init__(self, answer, parts):
        headers = Headers([("Seal", "s"), ("Content-Type", answer.content_type)])
        self.head = ResponseHead(status=answer.status, headers=headers)
        self.is_signed = answer.signed
        self._answer = answer
        self._parts = parts
        self._read = 0

    async def read(self):
        if self._answer.breaks_after is not None and self._read >= self._answer.breaks_after:
            raise OutcomeUnknownError("reset", step="body")
        if not self._parts:
            return b""
        if self._read and self._answer.pause_s:
            await asyncio.sleep(self._answer.pause_s)
        await asyncio.sleep(self._answer.silences.get(self._read, 0.0))
        self._read += 1
        return self._parts.pop(0)

    async def read_all(self, *, limit):
        return self._answer.body


class FakeClient:
    """Fake servers; each gives its queued answers in order, then default answers.

    `prefills` holds the queued outcomes of prefills by engine: an error, a handle, the seconds
    until a handle comes, or `SILENT`. While `is_connecting`, no call arrives at its server. `spans`
    holds server, begin and end of each ended call, prefills excepted, `patient` the servers of
    patient calls.
    """

    def __init__(self):
        self.answers = {}
        self.calls = []
        self.cancelled = []
        self.freed = []
        self.prefills = {}
        self.spans = []
        self.patient = []
        self.is_connecting = False

    def queue_answers(self, server, *answers):
        self.answers.setdefault(server, []).extend(answers)

    def called_servers(self):
        return [call.instance.key for call in self.calls]

    @asynccontextmanager
    async def send(
        self, request, call, *, fresh=False, on_sent=None, progress=None, is_patient=False
    ):
        began_s = now_s()
        if is_patient:
            self.patient.append(call.instance.key)
        if progress is not None:
            progress.may_have_arrived = not self.is_connecting
        try:
            async with self._send(call) as response:
                yield response
        finally:
            self.spans.append((call.instance.key, began_s, now_s()))

    @asynccontextmanager
    async def _send(self, call):
        self.calls.append(call)
        queue = self.answers.get(call.instance.key)
        answer = queue.pop(0) if queue else Answer()
        try:
            await asyncio.sleep(answer.after_s)
        except asyncio.CancelledError:
            self.cancelled.append(call.instance.key)
            raise
        if answer.error is not None:
            raise answer.error
        parts = answer.body if isinstance(answer.body, list) else [answer.body]
        yield FakeResponse(answer, list(parts))

    async def prefill(self, request, call):
        assert call.is_prefill
        self.calls.append(call)
        queue = self.prefills.get(call.instance.key)
        outcome = queue.pop(0) if queue else f"h{len(self.calls)}"
        if outcome is SILENT:
            await asyncio.Event().wait()
        if isinstance(outcome, float):
            await asyncio.sleep(outcome)
            return f"h{len(self.calls)}"
        await asyncio.sleep(0.1)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    def release_handle(self, handle, instance):
        self.freed.append(handle)


def route(kind, **fields):
    values = {
        "name": "r",
        "host": "h",
        "path_prefix": "/r/",
        "kind": kind,
        "targets": (RouteTarget(service="s"),),
        "timeout_s": 0.6,
        "latency_goal_s": 0.1,
        "max_attempts": 2,
    }
    return Route(**{**values, **fields})


def server(name, role=None, data_centre="a"):
    return BackendInstance(
        instance_id=name,
        service="s",
        address=f"{name}:80",
        data_centre=data_centre,
        role=role,
        slots=48,
    )


ENGINE = EngineProfile(
    slots=48,
    kv_tokens=32_000,
    kv_bytes_per_token=18_432,
    link_bytes_per_s=2e10,
    handle_lifetime_s=0.5,
    role_change_s=6.0,
)


@pytest.fixture
def configuration():
    active = ActiveConfiguration()
    active.adopt(
        GatewayConfiguration(
            version=3,
            routes=(route(CallKind.IDEMPOTENT),),
            services={
                "s": ServiceProfile(
                    name="s", health_path="/health", max_connections=100, engine=ENGINE
                )
            },
            workspaces={"w": Workspace(name="w", keys=frozenset({"key"}), priority=1)},
        )
    )
    return active


@pytest.fixture
def notices():
    return ServerNotices(drain_s=lambda: 2.0)


COLD_BOUND = ColdBound(start_s=3.0, per_s=2.0, excess=1.5, slack=1.0)


@pytest.fixture
def limit_service():
    return LimitService(
        node_name="n", incarnation="1", members=MemberList(), cold_bound=lambda service: COLD_BOUND
    )


@pytest.fixture
def limits(limit_service):
    return limit_service.stated


@pytest.fixture
def evacuations():
    return EvacuatedDataCentres()


@pytest.fixture
def directory(notices, evacuations):
    return InstanceDirectory(notices=notices, evacuations=evacuations)


@pytest.fixture
def client():
    return FakeClient()


QUARANTINED = Refusal(
    reason=RefusalReason.QUARANTINED,
    status=503,
    detail="crashes engines",
    not_run=True,
    retry_after_s=600.0,
)


class FakeCrashDetector:
    """Records lost runs; refuses requests with the refusal that the test sets."""

    def __init__(self):
        self.lost = []
        self.refusal = None
        self.watches = []

    def check(self, request):
        return self.refusal

    def record_lost_run(self, request, instance, *, sent_s, events=0):
        self.lost.append(instance.key)

    def record_success(self, request):
        pass

    def record_begin(self, request):
        pass

    def record_end(self, request):
        pass

    @contextmanager
    def watch(self, request, on_refusal):
        self.watches.append(on_refusal)
        yield

    def refuse(self):
        """Refuse the content from now on."""
        self.refusal = QUARANTINED
        for on_refusal in self.watches:
            on_refusal(self.refusal)


@pytest.fixture
def crash_detector():
    return FakeCrashDetector()


@pytest.fixture
def metrics():
    return Metrics(node_name="n")


@pytest.fixture
def targets(configuration, directory, notices):
    return TargetSelector(
        configuration=configuration,
        directory=directory,
        random_source=random.Random(1),
        notices=notices,
    )


@pytest.fixture
def list_servers(directory):
    def fill(*servers):
        directory.replace({item.key: item for item in servers}, 1)

    return fill


@pytest.fixture
def list_engines(list_servers):
    def fill(prefills, decodes):
        list_servers(
            *(server(name, EngineRole.PREFILL) for name in prefills),
            *(server(name, EngineRole.DECODE) for name in decodes),
        )

    return fill


@pytest.fixture
def new_request(configuration):
    def make(kind=CallKind.IDEMPOTENT, caller=None, **fields):
        chosen = route(kind, **fields)
        head = RequestHead(method="POST", target="/r/1", headers=Headers([("Host", "h")]))
        return AdmittedRequest(
            head=head,
            caller=caller or CallerRequest(request_id="q1"),
            route=chosen,
            workspace=configuration.current.workspaces["w"],
            configuration_version=configuration.version,
            deadline_s=now_s() + chosen.timeout_s,
            arrived_s=now_s(),
            body=b"body",
        )

    return make


@pytest.fixture
def new_exchange():
    def make(request):
        output = FakeOutput()
        exchange = Exchange(head=request.head, output=output, arrived_s=request.arrived_s)
        return exchange, output

    return make


@pytest.fixture
def placer():
    return FakePlacer()


@pytest.fixture
def origins():
    return FakeOrigins()


@pytest.fixture
def silent_until_s():
    """Return the engines that give no reports, with the times until then."""
    return {}


@pytest.fixture
def paths():
    return FakePaths()


@pytest.fixture
def forwarder(
    client, targets, directory, placer, origins, crash_detector, paths, metrics, silent_until_s
):
    return StreamForwarder(
        client=client,
        targets=targets,
        directory=directory,
        placer=placer,
        origins=origins,
        runs=new_engine_runs(lambda key: silent_until_s.get(key, 0.0)),
        crash_detector=crash_detector,
        failures=new_failures(placer, paths),
        metrics=metrics,
        pacer=Pacer(),
    )


@pytest.fixture
def forward(forwarder, new_request, new_exchange, list_engines):
    async def run(*, listed=(["p1", "p2"], ["d1", "d2", "d3"]), **fields):
        list_engines(*listed)
        values = {
            "timeout_s": 14.0,
            "latency_goal_s": 0.9,
            "abandon_after_s": 3.6,
            "caller": CALLER,
        }
        request = new_request(CallKind.STREAM, **{**values, **fields})
        exchange, output = new_exchange(request)
        refusal = await forwarder.forward(exchange, request)
        return refusal, output

    return run
