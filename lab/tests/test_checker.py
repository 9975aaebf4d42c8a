"""Each check reports the breach that it is meant to detect, and nothing else."""

import pytest

from lab.checker import (
    BookingAttempt,
    KeyProbe,
    RevisionSample,
    check_bookings,
    check_key_withdrawal,
    check_leaving_server,
    check_limits,
    check_revisions,
)
from lab.records import Record, Recorder, read_records


def record(time_s, event, subject, *, server="decode-0", workspace="desk", amount=1):
    return Record(
        time_s=time_s,
        server=server,
        event=event,
        subject=subject,
        workspace=workspace,
        amount=amount,
    )


def ran(name):
    return record(1.0, "execution", name)


@pytest.mark.parametrize(
    ("records", "attempts", "breaches"),
    [
        ([ran("a")], [BookingAttempt(name="a", status=201)], 0),
        ([], [BookingAttempt(name="a", status=503, not_run=True)], 0),
        ([ran("a")], [BookingAttempt(name="a", status=502)], 0),
        ([ran("a"), ran("a")], [BookingAttempt(name="a", status=201)], 1),
        ([ran("a")], [BookingAttempt(name="a", status=503, not_run=True)], 1),
        ([], [BookingAttempt(name="a", status=201)], 1),
    ],
)
def test_bookings(records, attempts, breaches):
    assert len(check_bookings(records, attempts)) == breaches


@pytest.mark.parametrize(
    ("records", "breaches"),
    [
        ([record(0, "prefill", "i.1.0", amount=100), record(1, "tokens", "", amount=10)], 0),
        ([record(0, "prefill", "i.1.0", amount=100), record(1, "tokens", "", amount=11)], 1),
        ([record(0, "prefill", "i.1.0", amount=90), record(1, "prefill", "i.1.1", amount=90)], 0),
        ([record(0, "prefill", "i.1.0", amount=90), record(1, "prefill", "i.2.0", amount=90)], 1),
        ([record(50, "tokens", "", amount=100), record(60, "tokens", "", amount=100)], 0),
        ([record(50, "tokens", "", amount=100), record(59, "tokens", "", amount=100)], 1),
    ],
)
def test_limits(records, breaches):
    assert len(check_limits(records, {"desk": (10.0, 100.0)})) == breaches


@pytest.mark.parametrize(("time_s", "breaches"), [(9.0, 0), (15.0, 0), (15.1, 1)])
def test_key_withdrawal(time_s, breaches):
    probes = [KeyProbe(time_s=time_s, node="node-0", accepted=True)]
    assert len(check_key_withdrawal(probes, withdrawn_s=10.0, allowed_s=5.0)) == breaches


@pytest.mark.parametrize(
    ("event", "time_s", "breaches"), [("import", 14.0, 0), ("import", 16.0, 1), ("tokens", 16.0, 0)]
)
def test_leaving_server(event, time_s, breaches):
    records = [record(time_s, event, "i.1.0")]
    found = check_leaving_server(records, server="decode-0", leaving_s=10.0, allowed_s=5.0)
    assert len(found) == breaches


@pytest.mark.parametrize(
    ("revisions", "breaches"),
    [([(1, 1), (2, 2)], 0), ([(1, 2), (2, 1)], 1), ([(20, 1)], 1), ([(15, 1), (20, 2)], 0)],
)
def test_revisions(revisions, breaches):
    samples = [RevisionSample(time_s=t, node="node-0", revision=r) for t, r in revisions]
    assert len(check_revisions(samples, [(0.0, 1), (2.0, 2)], allowed_s=16.0)) == breaches


def test_records_outlive_their_writer(tmp_path):
    Recorder(tmp_path / "plain-0.records").write("execution", "a")
    Recorder(tmp_path / "plain-0.records").write("execution", "b")
    assert [(r.server, r.subject) for r in read_records(tmp_path)] == [
        ("plain-0", "a"),
        ("plain-0", "b"),
    ]
