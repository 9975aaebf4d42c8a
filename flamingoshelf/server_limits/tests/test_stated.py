"""Which statement about a server's limit holds."""

import asyncio

import attrs
import pytest

from flamingoshelf.server_limits import LimitStatement
from flamingoshelf.server_limits.tests.conftest import A
from flamingoshelf.utils import now_s

pytestmark = pytest.mark.looptime


def statement(per_s, sent_s, received_s, source="other"):
    return LimitStatement(per_s=per_s, sent_s=sent_s, received_s=received_s, source=source)


async def test_server_without_a_limit_leaves_no_record(stated):
    stated.record_answer(A, None, sent_s=0.0)
    assert stated.limit(A) is None and not stated.statements()


async def test_limit_holds_until_the_answer_to_a_later_request_states_none(stated):
    stated.record_answer(A, 2.0, sent_s=now_s())
    await asyncio.sleep(60)
    assert stated.limit(A) == 2.0
    stated.record_answer(A, 3.5, sent_s=now_s())
    assert stated.limit(A) == 3.5
    stated.record_answer(A, None, sent_s=now_s())
    assert stated.limit(A) is None
    stated.record_answer(A, 1.0, sent_s=now_s())
    assert stated.limit(A) == 1.0


# A limit ended with an answer that was older than the one that had stated it.
async def test_answers_that_overtake_one_another_end_no_limit(stated):
    sent_s = now_s()
    await asyncio.sleep(0.1)
    stated.record_answer(A, 2.0, sent_s=now_s())
    await asyncio.sleep(0.1)
    stated.record_answer(A, None, sent_s=sent_s)
    assert stated.limit(A) == 2.0
    stated.record_answer(A, 5.0, sent_s=sent_s)
    assert stated.limit(A) == 2.0


@pytest.mark.parametrize("per_s", [float("nan"), float("inf"), -1.0])
async def test_value_that_is_no_limit_is_ignored(stated, per_s):
    stated.record_answer(A, per_s, sent_s=now_s())
    assert stated.limit(A) is None
    stated.record_answer(A, 2.0, sent_s=now_s())
    await asyncio.sleep(1)
    stated.record_answer(A, per_s, sent_s=now_s())
    assert stated.limit(A) == 2.0


async def test_limit_of_zero_is_a_limit(stated):
    stated.record_answer(A, 0.0, sent_s=now_s())
    assert stated.limit(A) == 0.0


async def test_limit_holds_for_one_run_of_a_server(stated):
    stated.record_answer(A, 2.0, sent_s=now_s())
    assert stated.limit(attrs.evolve(A, started_ms=101)) is None


@pytest.mark.parametrize(
    ("known", "other", "limit"),
    [
        ((2.0, 1.0, 1.1), (None, 1.2, 1.3), None),  # later
        ((2.0, 1.0, 1.1), (None, 0.5, 0.6), 2.0),  # earlier
        ((2.0, 1.0, 1.1), (None, 1.05, 1.3), 2.0),  # the requests overlap
        ((2.0, 1.0, 1.1), (1.5, 1.05, 1.3), 1.5),
        ((None, 1.2, 1.3), (2.0, 1.0, 1.1), None),  # repeated by a node that doesn't know the end
    ],
)
async def test_statements_that_other_nodes_received_count(stated, known, other, limit):
    if known[0] is None:
        stated.merge(A, statement(2.0, 0.0, 0.1))
    stated.merge(A, statement(*known))
    stated.merge(A, statement(*other))
    assert stated.limit(A) == limit


async def test_ended_limits_are_forgotten_in_time(stated):
    stated.record_answer(A, 2.0, sent_s=now_s())
    await asyncio.sleep(1)
    stated.record_answer(A, None, sent_s=now_s())
    await asyncio.sleep(20)
    assert A in stated.statements()
    await asyncio.sleep(20)
    assert not stated.statements()


# Servers that crashed while they stated a limit were told from node to node for good.
async def test_limits_of_servers_that_are_gone_are_forgotten(stated):
    stated.record_answer(A, 2.0, sent_s=now_s())
    told = attrs.evolve(stated.statements()[A], source="other")
    await asyncio.sleep(601)
    assert not stated.statements() and stated.is_empty
    stated.merge(A, told)
    assert stated.is_empty
