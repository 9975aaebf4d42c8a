"""Answers of the store in which one object can't be read."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.platform import decode_instance
from flamingoshelf.platform._documents import parse_answer, parse_document
from flamingoshelf.platform._engine_wire import PlatformEngineWire
from flamingoshelf.platform.tests.test_decoding import ENTRY

ODD = [
    b"[" * 100_000 + b"]" * 100_000,
    b'{"a":' * 40 + b"1" + b"}" * 40,
    b"9" * 5000,
    b"-" + b"9" * 100,
    b'{"a": }',
    b"{a: 1}",
    b'"\xff"',
    b'"' + b"\\u0661" * 3 + b'\xc3"',
    b"nothing",
    b"",
    b"[" + b"[]," * 1000 + b"]",
    b"[" + b'{"a": "]"},' * 1000 + b"]",
    b"[" + b"[[1], {}], " * 1000 + b"]",
]


def page(spec):
    """Return a list of three objects, the second one with the given content."""
    items = [
        b'{"metadata": {"name": "%s", "revision": %d}, "status": null, "spec": %s}'
        % (name, number, content)
        for number, (name, content) in enumerate(
            [(b"a", b'{"x": "}],\\"{["}'), (b"odd", spec), (b"b", b"[1, 2]")]
        )
    ]
    return b'{ "items" : [' + b" , ".join(items) + b'], "morePages": false, "asOf": 7 }'


def contents(document):
    return {item["metadata"]["name"]: item["spec"] for item in document["items"]}


# One object that could not be read took all others of its page with it.
@pytest.mark.parametrize("spec", ODD)
def test_odd_object_leaves_the_others_of_a_page_readable(spec):
    document = parse_answer(page(spec))
    assert contents(document) == {"a": {"x": '}],"{['}, "odd": None, "b": [1, 2]}
    assert (document["morePages"], document["asOf"]) == (False, 7)
    event = b'{"events": [{"object": %s, "removed": true}, {"removed": false, "object": %s}]}'
    item = page(spec).partition(b"[")[2].rpartition(b"]")[0].split(b" , ")
    document = parse_answer(event % (item[1], item[2]))
    assert [e["removed"] for e in document["events"]] == [True, False]
    assert [e["object"]["spec"] for e in document["events"]] == [None, [1, 2]]


def test_object_without_readable_metadata_is_left_out():
    content = b'{"items": [{"metadata": {"name": 9%s}}, {"metadata": {"name": "b"}, "spec": 1}]}'
    document = parse_answer(content % (b"9" * 5000))
    assert contents(document) == {"b": 1}


@pytest.mark.parametrize("content", [b"{", b'{"items": [}', b"[1, 2", b'{"a": 1} 2', b"\xff"])
def test_answer_that_is_no_document_is_refused(content):
    with pytest.raises(ValueError):
        parse_answer(content)


def test_answer_may_be_empty():
    assert parse_answer(b"") is None


@given(st.binary(max_size=40))
@settings(max_examples=300, derandomize=True, deadline=None)
def test_bytes_in_place_of_an_object_raise_nothing_else(spec):
    try:
        document = parse_answer(page(spec))
    except ValueError:
        return  # brackets or quotes that don't match take the frame of the page apart
    assert contents(document)["b"] == [1, 2]


# Nested parts took as long to pass over as to read, several times over.
@pytest.mark.timeout(20)
@pytest.mark.parametrize(
    "part", [b"[],", b"1,", b'"\\"",', b'{"a":[1,2]},', b"[" * 9 + b"]" * 9 + b","]
)
def test_large_odd_object_leaves_the_others_of_a_page_readable(part):
    spec = b"[" + part * (1_000_000 // len(part)) + b"]"
    assert contents(parse_answer(page(spec)))["b"] == [1, 2]


JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda values: st.lists(values) | st.dictionaries(st.text(), values),
    max_leaves=20,
)


@given(JSON)
@settings(max_examples=300, derandomize=True, deadline=None)
def test_part_by_part_gives_the_same_as_the_whole(value):
    spec = json.dumps(value).encode()
    odd = page(spec).replace(b"[1, 2]", b"9" * 5000)
    assert str(contents(parse_answer(odd))["odd"]) == str(contents(parse_answer(page(spec)))["odd"])


# Calls to such servers ended in 500, or the node took no more of the list.
@pytest.mark.parametrize(
    "fields",
    [
        {"address": "10.1.0.1:70000"},
        {"address": "10.1.0.1:0"},
        {"address": "10.1.0.1:" + "1" * 5000},
        {"address": "10.1.0.1:\u0661\u0662"},
        {"address": "10.1.0.300:80"},
        {"address": "desk.example:80"},
        {"slots": 10**30},
        {"slots": -1},
        {"born": 10**30},
    ],
)
def test_entry_with_an_odd_field_names_no_server(fields):
    with pytest.raises(ConfigurationError):
        decode_instance("i-1", {**ENTRY, **fields})


@pytest.mark.parametrize("name", ["", "i 1", "i\n1", "i-\u0661"])
def test_entry_whose_name_can_not_be_sent_names_no_server(name):
    with pytest.raises(ConfigurationError):
        decode_instance(name, ENTRY)


REPORT = {
    "stage": "decode",
    "busy": False,
    "sequence": 1,
    "running": 2,
    "waiting": 0,
    "kvUsed": 1,
    "kvTotal": 9,
}


def test_odd_run_in_a_report_leaves_the_others_readable():
    runs = [["a", 1, 2, 5], "odd", ["b"], ["c", None, 2, 5], ["d", 3, 4, 5]]
    report = PlatformEngineWire().decode_report(json.dumps({**REPORT, "runs": runs}).encode())
    assert [run.request_id for run in report.runs] == ["a", "d"]


@pytest.mark.parametrize("content", ODD)
def test_report_that_can_not_be_read_raises_the_documented_error(content):
    with pytest.raises(ValueError):
        PlatformEngineWire().decode_report(content)


def test_document_keeps_what_it_holds():
    document = {"a": [1, -2.5, "x", None, True, {"b": []}]}
    assert parse_document(json.dumps(document).encode()) == document
