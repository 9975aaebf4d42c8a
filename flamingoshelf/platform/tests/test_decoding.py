"""Decoding of the platform's settings, configuration and registry entries."""

import contextlib
import copy
import json
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.platform import (
    PlatformWire,
    check_settings,
    decode_configuration,
    decode_instance,
)
from flamingoshelf.platform._engine_wire import PlatformEngineWire
from flamingoshelf.routing import BackendInstance, CallKind, EngineRole, InstanceState

SETTINGS = """\
nodeName=front-a-1
zone=zone-a
zones.zone-a=region
bind.front=10.1.0.3:8360
bind.ready=10.1.0.3:8365
bind.control=10.1.0.3:8367
seeds=10.1.0.3:8367,10.2.0.18:8367
bootstrap=true
bounds.graceS=8
bounds.drainMs=2000
bounds.retryRatio=0.2
bounds.quotaSlack=190000
limits.memoryMb=150
platform.address=10.200.1.7:8361
a.field.that.may.come=1
"""

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "h.example",
            "pathPrefix": "/a/",
            "kind": "streaming",
            "timeoutMs": 14000,
            "latencyGoalMs": 900,
            "priority": 1,
            "service": "s1",
            "maxAttempts": 2,
            "public": False,
            "sticky": True,
            "canResume": True,
            "gapAimMs": 300,
        },
        {
            "name": "r2",
            "host": "h.example",
            "pathPrefix": "/b/",
            "kind": "unsafe",
            "timeoutMs": 600,
            "latencyGoalMs": 100,
            "priority": 2,
            "backends": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
            "maxAttempts": 1,
            "public": True,
        },
    ],
    "services": [
        {
            "name": "s1",
            "healthPath": "/health",
            "maxConns": 310,
            "engine": {
                "slots": 48,
                "kvCapacity": 32546,
                "kvTokenBytes": 18432,
                "linkMbps": 180000.0,
                "handleTtlS": 0.5,
                "reconfigS": 6.0,
            },
        },
        {"name": "s2", "healthPath": "/health", "maxConns": 110},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [
        {
            "name": "w",
            "apiKeys": ["k1", "k2"],
            "priority": 1,
            "unit": "generate",
            "plainTokens": 200,
            "ratePerS": 47000,
            "burst": 47000,
        }
    ],
}

ENTRY = {
    "service": "s1",
    "address": "10.1.64.9:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 48,
    "state": "ready",
    "coldLeftMs": 0,
    "stage": "decode",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "sequence": 4,
    "born": 1789463402964,
}


def test_settings_are_decoded():
    settings = check_settings(SETTINGS, source="file")
    assert settings.node_name == "front-a-1"
    assert settings.data_centre == "zone-a"
    assert settings.caller_address == "10.1.0.3:8360"
    assert settings.is_first_start
    assert settings.shutdown_grace_s == 8.0
    assert settings.limit_slack_tokens == 190_000
    assert settings.memory_bytes == 150e6


def test_every_error_of_settings_is_named():
    invalid = SETTINGS.replace("zone=zone-a\n", "", 1).replace("=8\n", "=none\n")
    invalid = invalid.replace("bind.front=10.1.0.3:8360", "bind.front=10.1.0.3")
    with pytest.raises(ConfigurationError) as caught:
        check_settings(invalid, source="file")
    for text in ("zone: is missing", "bounds.graceS: 'none'", "bind.front: '10.1.0.3'", "ip:port"):
        assert text in caught.value.message


def test_configuration_is_decoded():
    configuration = decode_configuration(CONFIGURATION)
    stream, split = configuration.routes
    assert stream.kind is CallKind.STREAM and stream.may_repeat
    assert (stream.timeout_s, stream.latency_goal_s, stream.event_gap_goal_s) == (14.0, 0.9, 0.3)
    assert stream.abandon_after_s == pytest.approx(3.6)
    assert split.kind is CallKind.NON_IDEMPOTENT and split.is_open and not split.may_repeat
    assert [(t.service, t.weight) for t in split.targets] == [("s1", 90.0), ("s2", 10.0)]
    engine = configuration.services["s1"].engine
    assert engine is not None
    assert engine.kv_tokens == 32546 and engine.link_bytes_per_s == pytest.approx(2.25e10)
    assert configuration.services["s2"].engine is None
    workspace = configuration.workspace_of("k2")
    assert workspace is not None and workspace.name == "w"
    assert configuration.workspace_of("k3") is None
    assert configuration.limits.idle_timeout_s == 15.0


@pytest.mark.parametrize("missing_field", ["version", "routes", "services"])
def test_configuration_that_can_not_be_read_is_an_error(missing_field):
    document = copy.deepcopy(CONFIGURATION)
    del document[missing_field]
    with pytest.raises(ConfigurationError):
        decode_configuration(document)
    documents: list[object] = [None, 5, "text", [], {"version": "x"}]
    for invalid in documents:
        with pytest.raises(ConfigurationError):
            decode_configuration(invalid)


def test_entry_is_decoded():
    instance = decode_instance("i-1", ENTRY)
    assert instance.key == "i-1" and instance.role is EngineRole.DECODE
    assert instance.state is InstanceState.READY and instance.started_ms == 1789463402964


# An odd value hid the server, or limited it without end.
@pytest.mark.parametrize(
    ("value", "cold_s"),
    [(2500, 2.5), (0, 0.0), (None, None), (-(10**400), -0.001), (10**400, 2**53 / 1000)],
)
def test_time_for_which_a_server_stays_cold_is_decoded(value, cold_s):
    instance = decode_instance("i-1", {**ENTRY, "coldLeftMs": value})
    assert instance.cold_s == cold_s and instance == decode_instance("i-1", ENTRY)
    odds: list[object] = ["soon", [], True, math.nan]
    for odd in odds:
        odd_s = decode_instance("i-1", {**ENTRY, "coldLeftMs": odd}).cold_s
        assert odd_s is not None and not odd_s >= 0


@pytest.mark.parametrize("value", [None, -1, "x", math.nan, math.inf, 10**400, True])
def test_configuration_with_an_odd_bound_of_cold_servers_is_in_force_without_it(value):
    services = [{"name": "s1", "coldStartS": 3.0, "coldPerS": value}]
    profile = decode_configuration({**CONFIGURATION, "services": services}).services["s1"]
    assert (profile.cold_start_s, profile.cold_per_s) == (3.0, 0.0)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"stage": "both"},
        {"address": 5},
        {"address": "nowhere"},
        {"service": None},
        {"slots": "many"},
        {"zone": ""},
    ],
    ids=str,
)
def test_entry_with_an_invalid_value_is_an_error(change):
    with pytest.raises(ConfigurationError):
        decode_instance("i-1", {**ENTRY, **change})


@pytest.mark.parametrize("name", ["service", "address", "zone", "state", "slots"])
def test_entry_with_a_missing_field_is_an_error(name):
    entry = {key: value for key, value in ENTRY.items() if key != name}
    with pytest.raises(ConfigurationError):
        decode_instance("i-1", entry)


@pytest.mark.parametrize("entry", [None, 5, "text", [], b"\xff"])
def test_entry_that_is_no_document_is_an_error(entry):
    with pytest.raises(ConfigurationError):
        decode_instance("i-1", entry)


INSTANCE = BackendInstance(instance_id="i", service="s", address="10.0.0.1:80", data_centre="a")
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=True, allow_infinity=True)
    | st.text(max_size=8),
    lambda children: (
        st.lists(children, max_size=4) | st.dictionaries(st.text(max_size=8), children, max_size=4)
    ),
    max_leaves=8,
)
REPORT = {
    "stage": "decode",
    "busy": False,
    "sequence": 1,
    "running": 0,
    "waiting": 0,
    "kvUsed": 10,
    "kvTotal": 100,
    "runs": [["q1", 100, 3, 5]],
}


def replaced(document, path, value):
    """Return a copy of a document with the value at a path replaced."""
    if not path:
        return value
    copy = list(document) if isinstance(document, list) else dict(document)
    copy[path[0]] = replaced(copy[path[0]], path[1:], value)
    return copy


def paths(document, prefix=()):
    """Return the paths of all values in a document."""
    children = (
        enumerate(document)
        if isinstance(document, list)
        else document.items() if isinstance(document, dict) else ()
    )
    return [prefix, *(path for key, child in children for path in paths(child, (*prefix, key)))]


@settings(derandomize=True, max_examples=400, deadline=None)
@given(data=st.data(), value=JSON_VALUES)
@pytest.mark.parametrize(
    ("document", "decode", "error"),
    [
        pytest.param(ENTRY, lambda d: decode_instance("i", d), ConfigurationError, id="entry"),
        pytest.param(CONFIGURATION, decode_configuration, ConfigurationError, id="configuration"),
        pytest.param(
            REPORT,
            lambda d: PlatformEngineWire().decode_report(json.dumps(d).encode()),
            ValueError,
            id="report",
        ),
        pytest.param(
            {"handle": "h", "tokens": 5, "version": 1},
            lambda d: PlatformWire().decode_handle(json.dumps(d).encode(), INSTANCE),
            ValueError,
            id="handle",
        ),
    ],
)
def test_document_with_any_value_anywhere_is_decoded_or_a_documented_error(
    document, decode, error, data, value
):
    path = data.draw(st.sampled_from(paths(document)))
    with contextlib.suppress(error):
        decode(replaced(document, path, value))


@pytest.mark.parametrize("field", ["slots", "born"])
def test_entry_with_an_infinite_number_is_an_error(field):
    with pytest.raises(ConfigurationError):
        decode_instance("i-1", {**ENTRY, field: float("inf")})


@pytest.mark.parametrize("field", ["version"])
def test_configuration_with_an_infinite_number_is_an_error(field):
    with pytest.raises(ConfigurationError):
        decode_configuration({**CONFIGURATION, field: float("inf")})
