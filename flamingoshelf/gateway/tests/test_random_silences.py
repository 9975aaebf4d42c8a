"""Streams under random silences and failures of their engines."""

import asyncio
import random

import looptime
from hypothesis import given, settings
from hypothesis import strategies as st

from flamingoshelf.gateway import (
    ActiveConfiguration,
    AdmittedRequest,
    StreamForwarder,
    TargetSelector,
)
from flamingoshelf.gateway.tests.conftest import (
    CALLER,
    Answer,
    FakeClient,
    FakeCrashDetector,
    FakeOutput,
    events,
    lost,
    not_run,
    route,
    server,
)
from flamingoshelf.gateway.tests.fake_origins import FakeOrigins, new_engine_runs
from flamingoshelf.gateway.tests.fake_paths import new_failures
from flamingoshelf.gateway.tests.fake_placer import NO_ENGINE, FakePlacer
from flamingoshelf.http1 import Exchange, Headers, RequestHead
from flamingoshelf.routing import (
    CallKind,
    EngineRole,
    GatewayConfiguration,
    InstanceDirectory,
    ServerNotices,
)
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import Pacer, now_s

EVENTS = 6
TIMEOUT_S = 14.0
MAX_OVERLAP_S = 0.4  # engines may not work on one request for longer at the same time
DECODES = ("d1", "d2", "d3")

silences = st.dictionaries(
    st.integers(0, EVENTS - 1), st.sampled_from([0.2, 1.15, 1.3, 1.45, 1.7, 3.0, 30.0]), max_size=3
)
runs = st.fixed_dictionaries(
    {
        "kind": st.sampled_from(["run", "run", "run", "not run", "lost"]),
        "after_s": st.sampled_from([0.0, 0.1, 0.3, 1.3, 30.0]),
        "silences": silences,
        "breaks_after": st.none() | st.integers(1, EVENTS - 1),
    }
)
scenarios = st.fixed_dictionaries(
    {
        "runs": st.lists(runs, min_size=3, max_size=3),
        "prefill_s": st.lists(st.sampled_from([0.05, 0.6, 1.0, 5.0]), max_size=3),
        "refusals": st.lists(st.booleans(), max_size=4),
        "wait_s": st.sampled_from([0.0, 0.2, 1.0]),
        "max_attempts": st.integers(1, 3),
    }
)


class ResumingClient(FakeClient):
    """Engines whose runs begin after the last event that the caller has."""

    def __init__(self, scenario):
        super().__init__()
        self._runs = dict(zip(DECODES, scenario["runs"], strict=True))
        self.prefills = {"p1": list(scenario["prefill_s"])}

    def _send(self, call):
        run = self._runs[call.instance.key]
        fields = {"after_s": run["after_s"]}
        if run["kind"] == "run":
            first = (call.resume_after or 0) + 1
            answer = Answer(
                body=events(first, EVENTS),
                silences=run["silences"],
                breaks_after=run["breaks_after"],
                **fields,
            )
        elif run["kind"] == "not run":  # engines turn requests away within milliseconds
            answer = not_run(after_s=min(0.1, run["after_s"]))
        else:
            answer = lost(**fields)
        self.queue_answers(call.instance.key, answer)
        return super()._send(call)


def make_forwarder(client, placer, directory, targets, crash_detector):
    return StreamForwarder(
        client=client,
        targets=targets,
        directory=directory,
        placer=placer,
        origins=FakeOrigins(),
        runs=new_engine_runs(),
        crash_detector=crash_detector,
        failures=new_failures(placer),
        metrics=Metrics(node_name="n"),
        pacer=Pacer(),
    )


async def serve(scenario):
    client, placer = ResumingClient(scenario), FakePlacer()
    placer.later_wait_s = scenario["wait_s"]
    placer.later_refusals = [NO_ENGINE] * sum(scenario["refusals"])
    notices = ServerNotices()
    directory = InstanceDirectory(notices=notices)
    engines = [server(name, EngineRole.PREFILL) for name in ("p1", "p2")]
    engines += [server(name, EngineRole.DECODE) for name in DECODES]
    directory.replace({engine.key: engine for engine in engines}, 1)
    configuration = ActiveConfiguration()
    chosen = route(
        CallKind.STREAM,
        timeout_s=TIMEOUT_S,
        latency_goal_s=0.9,
        abandon_after_s=3.6,
        max_attempts=scenario["max_attempts"],
        may_resume=True,
    )
    configuration.adopt(
        GatewayConfiguration(version=1, routes=(chosen,), services={}, workspaces={})
    )
    targets = TargetSelector(
        configuration=configuration,
        directory=directory,
        random_source=random.Random(1),
        notices=notices,
    )
    forwarder = make_forwarder(client, placer, directory, targets, FakeCrashDetector())
    request = AdmittedRequest(
        head=RequestHead(method="POST", target="/r/1", headers=Headers([])),
        caller=CALLER,
        route=chosen,
        workspace=None,
        configuration_version=configuration.version,
        deadline_s=now_s() + TIMEOUT_S,
        arrived_s=now_s(),
    )
    output = FakeOutput()
    exchange = Exchange(head=request.head, output=output, arrived_s=request.arrived_s)
    began_s = now_s()
    refusal = await forwarder.forward(exchange, request)
    open_tasks = asyncio.all_tasks() - {asyncio.current_task()}
    return client, placer, output, refusal, now_s() - began_s, open_tasks


def overlap_s(spans):
    """Return the longest time for which two runs were open at once."""
    ordered = sorted(spans, key=lambda span: span[1])
    pairs = zip(ordered, ordered[1:], strict=False)
    return max((min(first[2], second[2]) - second[1] for first, second in pairs), default=0.0)


@settings(derandomize=True, deadline=None, max_examples=250)
@given(scenario=scenarios)
def test_silence_alone_never_ends_a_stream(scenario):
    loop = looptime.new_event_loop(start=0)
    try:
        client, placer, output, refusal, seconds, open_tasks = loop.run_until_complete(
            serve(scenario)
        )
    finally:
        loop.close()
    assert open_tasks == set() and seconds < TIMEOUT_S + 0.01
    assert sum([refusal is not None, output.is_complete, output.is_aborted]) == 1
    sent = output.body.count(b"id: ")
    assert output.body == b"".join(events(1, sent))
    assert not output.is_complete or sent == EVENTS
    assert len(placer.released) == placer.granted
    runs_sent = [key for key, _, _ in client.spans if client._runs[key]["kind"] != "not run"]
    assert len(runs_sent) <= scenario["max_attempts"]
    assert overlap_s(client.spans) < MAX_OVERLAP_S
    first = scenario["runs"][0]
    is_sound = first["kind"] == "run" and first["breaks_after"] is None
    ends_s = 0.5 + sum(scenario["prefill_s"][:1]) + first["after_s"]
    ends_s += sum(first["silences"].values())
    if is_sound and ends_s < TIMEOUT_S and sum(scenario["prefill_s"][:1]) < 1.5:
        nothing_else = all(run["kind"] == "not run" for run in scenario["runs"][1:])
        assert output.is_complete or not (nothing_else or scenario["max_attempts"] == 1)
    if all(is_quick_and_sound(run) for run in scenario["runs"]):
        assert output.is_complete or sum(scenario["prefill_s"][:1]) >= 1.5


def is_quick_and_sound(run):
    pauses_s = run["after_s"] + sum(run["silences"].values())
    return run["kind"] == "run" and run["breaks_after"] is None and pauses_s <= 3.0
