"""Each inconsistency of a set is found, and errors name the object and the field."""

import json

import pytest

from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.objects import check_objects, decode_objects, find_warnings, parse_document
from lab.scenarios import SCENARIOS


def documents():
    scenario = SCENARIOS["himal"]
    return scenario.objects(
        ["127.0.0.1:1000", "127.0.0.1:1001"], ["127.0.0.1:2000"], ["127.0.0.1:3000"]
    )


def documents_with_change(name, **fields):
    """Return the scenario's documents with fields of the object `name` replaced."""
    result = documents()
    found = [doc for doc in result if f"{doc['kind']}/{doc['name']}" == name]
    found[0]["spec"].update(fields)
    return result


def documents_with_object(kind, name, **spec):
    return [*documents(), {"kind": kind, "name": name, "spec": spec}]


def parse_all(docs):
    return [parse_document(doc) for doc in docs]


def test_scenarios_are_consistent():
    assert check_objects(parse_all(documents())) == []


KEY = "key/workshop-key"
DIGEST = {doc["name"]: doc["spec"] for doc in documents()}["pokhara-road-key"]["sha256"]

FAULTS = {
    "dangling": (
        documents_with_change(KEY, workspace="gone"),
        (KEY, "spec.workspace", "workspace/gone"),
    ),
    "wrong role": (
        documents_with_change("model/writer", prefill_pools=["decode"]),
        ("model/writer", "spec.prefill_pools", "pool/decode", "must be prefill"),
    ),
    "plain role": (
        documents_with_change("service/desk", pool="decode"),
        ("service/desk", "spec.pool", "plain"),
    ),
    "empty pools": (
        documents_with_change("model/writer", decode_pools=[]),
        ("spec.decode_pools", "empty"),
    ),
    "pool twice": (
        documents_with_change("model/writer", decode_pools=["decode", "decode"]),
        ("spec.decode_pools", "decode 2 times"),
    ),
    "same digest": (
        documents_with_change(KEY, sha256=DIGEST),
        (KEY, "spec.sha256", "key/pokhara-road-key"),
    ),
    "same prefix": (
        documents_with_object("route", "other", path_prefix="/bookings/", service="desk"),
        ("route/other", "spec.path_prefix", "route/desk"),
    ),
    "same address": (
        documents_with_change("backend_server/decode-0", address="127.0.0.1:1000"),
        ("backend_server/decode-0", "spec.address", "backend_server/prefill-0"),
    ),
    "defined twice": (
        documents_with_object("pool", "plain", role="plain"),
        ("pool/plain", "2 times"),
    ),
    "second fleet": (documents_with_object("fleet", "other"), ("fleet/other", "'fleet'")),
    "small memory": (
        documents_with_change("backend_server/decode-0", kv_pieces=2),
        ("backend_server/decode-0", "kv_pieces", "8192", "model/writer", "32768"),
    ),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_each_fault_is_found_once_and_named(fault):
    docs, words = FAULTS[fault]
    problems = check_objects(parse_all(docs))
    assert len(problems) == 1
    for word in words:
        assert word in problems[0]


def test_all_faults_are_reported_at_once():
    docs = documents_with_change(KEY, workspace="gone", sha256=DIGEST)
    assert len(check_objects(parse_all(docs))) == 2


@pytest.mark.parametrize(
    ("docs", "words"),
    [
        (
            documents_with_change("workspace/workshop", burst_tokens=100),
            ("workspace/workshop", "model/writer"),
        ),
        (
            documents_with_change("backend_server/decode-0", state="leaving"),
            ("model/writer", "spec.decode_pools", "live"),
        ),
        (
            documents_with_change("backend_server/plain-0", state="leaving"),
            ("service/desk", "spec.pool", "live"),
        ),
    ],
)
def test_warnings(docs, words):
    new = set(find_warnings(parse_all(docs))) - set(find_warnings(parse_all(documents())))
    assert len(new) == 1
    text = new.pop()
    for word in words:
        assert word in text
    assert check_objects(parse_all(docs)) == []


BAD_FIELDS = {
    "text for number": ("workspace", {"rate_tokens_s": "9", "burst_tokens": 1}, "not a number"),
    "not finite": ("workspace", {"rate_tokens_s": float("nan"), "burst_tokens": 1}, "finite"),
    "fraction": ("workspace", {"rate_tokens_s": 1, "burst_tokens": 1.5}, "whole number"),
    "true": ("workspace", {"rate_tokens_s": 1, "burst_tokens": True}, "whole number"),
    "missing": ("workspace", {"rate_tokens_s": 1}, "burst_tokens"),
    "unknown": ("pool", {"role": "plain", "colour": "red"}, "colour"),
    "choice": ("pool", {"role": "cook"}, "prefill, decode, plain"),
    "text for list": (
        "model",
        {"version": "v", "prefill_pools": "abc", "decode_pools": []},
        "list of names",
    ),
    "spec is a list": ("pool", [], "must be an object"),
    "negative": ("workspace", {"rate_tokens_s": -1, "burst_tokens": 1}, "rate_tokens_s"),
}


@pytest.mark.parametrize("fault", BAD_FIELDS)
def test_type_errors_name_object_and_reason(fault):
    kind, spec, word = BAD_FIELDS[fault]
    with pytest.raises(ConfigurationError) as caught:
        parse_document({"kind": kind, "name": "x", "spec": spec})
    assert caught.value.message.startswith(f"{kind}/x: ")
    assert word in caught.value.message


def test_errors_of_all_documents_are_reported():
    data = json.dumps([{"kind": "pool", "name": "a", "spec": {}}, {"kind": "what", "name": "b"}])
    with pytest.raises(ConfigurationError) as caught:
        decode_objects(data.encode())
    assert "pool/a" in caught.value.message
    assert "what/b" in caught.value.message
