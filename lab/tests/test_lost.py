"""Which requests count as lost beside silent servers."""

import pytest

from lab.faults import FaultKind
from lab.gateway._caller import Answer
from lab.gateway._lost import NODE_FAULTS, SERVER_FAULTS, Call, Disruption, find_lost

WHOLE = {"status": 200, "is_complete": True}
CUT = {"status": 200, "failure": "closed"}


def disruption(kind, *, target="writers", start_s=9.0, end_s=10.5):
    return Disruption(kind=kind, target=target, start_s=start_s, end_s=end_s)


def is_lost(outcome, *disruptions, ended_s=12.0, sent_s=10.0):
    call = Call(
        path="/drafts/",
        service="writers",
        node="n1",
        sent_s=10.0,
        deadline_s=15.0,
        ended_s=ended_s,
        answer=Answer(request_id="q1", sent_s=sent_s, **outcome),
    )
    return len(find_lost([call], disruptions)[0]) == 1


# A check that excuses more than it says would find nothing.
@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (WHOLE, False),
        ({"status": 503, "is_complete": True}, False),
        ({"status": 429, "is_complete": True}, False),
        ({"status": 502, "is_complete": True}, True),
        ({"status": 404, "is_complete": True}, True),
        (CUT, True),
        ({"failure": "closed"}, True),
    ],
)
def test_silence_and_planned_work_excuse_no_missing_answer(outcome, expected):
    silence = disruption(FaultKind.SILENCE_SERVER)
    change = disruption(FaultKind.CHANGE_OBJECTS, target="")
    stop = disruption(FaultKind.STOP_NODE, target="n1", start_s=9.0, end_s=13.0)
    assert is_lost(outcome, silence, change, stop) is expected


@pytest.mark.parametrize(
    ("kind", "target"),
    [(k, "n1") for k in NODE_FAULTS] + [(k, "writers") for k in SERVER_FAULTS],
)
def test_only_faults_of_the_own_node_or_service_during_the_request_are_excuses(kind, target):
    assert not is_lost(CUT, disruption(kind, target=target))
    assert is_lost(CUT, disruption(kind, target="other"))
    assert is_lost(CUT, disruption(kind, target=target, end_s=10.0))
    assert is_lost(CUT, disruption(kind, target=target, start_s=12.0, end_s=13.0))


def test_request_that_was_not_wholly_sent_is_not_lost():
    assert not is_lost({"failure": "refused"}, sent_s=0.0)


def test_grace_period_is_an_excuse_only_at_its_end_and_for_an_answer_that_began():
    stop = disruption(FaultKind.STOP_NODE, target="n1", start_s=10.0, end_s=14.0)
    assert is_lost(CUT, stop, ended_s=13.0)
    assert not is_lost(CUT, stop, ended_s=13.8)
    assert is_lost({"failure": "closed"}, stop, ended_s=13.8)


def test_silence_is_an_excuse_only_shortly_before_the_deadline():
    late = {"failure": "TimeoutError()"}
    assert is_lost(late, disruption(FaultKind.SILENCE_SERVER, end_s=13.0), ended_s=16.0)
    assert not is_lost(late, disruption(FaultKind.SILENCE_SERVER, end_s=14.0), ended_s=16.0)
    assert is_lost(CUT, disruption(FaultKind.SILENCE_SERVER, end_s=14.0), ended_s=12.0)
