"""Connections to engines that started again under their identity."""

import asyncio

import attrs
import pytest

from flamingoshelf.exceptions import OutcomeUnknownError
from flamingoshelf.gateway._engine_runs import EngineRuns
from flamingoshelf.gateway.tests.conftest import server
from flamingoshelf.gateway.tests.fake_origins import REPORT
from flamingoshelf.routing import EngineRole

pytestmark = pytest.mark.looptime

ENGINE = attrs.evolve(server("d1", EngineRole.DECODE), started_ms=100)


class Connection:
    is_closed = False


class Engine:
    """An engine that states its start in reports; some of them are lost."""

    def __init__(self):
        self.started_ms = 100
        self.lost = 0
        self.asked = 0
        self.may_ask = True
        self.permit_s = 0.0

    async def wait_for_permit(self, engine):
        await asyncio.sleep(self.permit_s)
        return self.may_ask

    async def report(self, engine):
        self.asked += 1
        await asyncio.sleep(0.01)
        if self.asked <= self.lost:
            raise OutcomeUnknownError("no answer", step="report")
        return attrs.evolve(REPORT, started_ms=self.started_ms)


@pytest.fixture
def engine():
    return Engine()


@pytest.fixture
def runs(engine):
    return EngineRuns(report=engine.report, may_ask=engine.wait_for_permit)


async def test_each_connection_is_checked_once(engine, runs):
    connection = Connection()
    for _ in range(3):
        assert await runs.check(ENGINE, connection).is_confirmed()
    assert engine.asked == 1
    assert await runs.check(ENGINE, Connection()).is_confirmed()
    assert engine.asked == 2


# An engine that had started again at another version was taken for the listed one.
async def test_later_run_of_the_engine_is_not_confirmed(engine, runs):
    engine.started_ms = 200
    check = runs.check(ENGINE, Connection())
    results: list[bool] = []
    check.subscribe(results.append)
    assert not await check.is_confirmed()
    await asyncio.sleep(0)
    assert results == [False]


async def test_connection_that_ends_meanwhile_proves_nothing(engine, runs):
    connection = Connection()
    engine.lost = 1
    check = runs.check(ENGINE, connection)
    await asyncio.sleep(0.02)
    connection.is_closed = True
    assert not await check.is_confirmed()


@pytest.mark.parametrize(("lost", "is_confirmed"), [(2, True), (3, False)])
async def test_lost_reports_are_asked_for_again(engine, runs, lost, is_confirmed):
    engine.lost = lost
    assert await runs.check(ENGINE, Connection()).is_confirmed() is is_confirmed


# An engine that limited its requests was taken for the listed one without being asked.
async def test_engine_that_accepts_no_more_requests_is_not_confirmed(engine, runs):
    engine.may_ask = False
    assert not await runs.check(ENGINE, Connection()).is_confirmed()
    assert engine.asked == 0


# Each report counts against the limit of an engine that limits its requests.
async def test_one_report_tells_of_all_connections_that_wait_for_it(engine, runs):
    engine.permit_s = 0.5
    checks = [runs.check(ENGINE, Connection()) for _ in range(3)]
    await asyncio.sleep(0.4)
    checks.append(runs.check(ENGINE, Connection()))
    await asyncio.sleep(0.105)  # the report is under way, and may be of an earlier run
    late = runs.check(ENGINE, Connection())
    assert all([await check.is_confirmed() for check in checks])
    assert engine.asked == 1
    assert await late.is_confirmed()
    assert engine.asked == 2


async def test_engine_that_gives_no_report_in_time_does_not_answer(engine, runs):
    assert await runs.answers(ENGINE, timeout_s=0.1)
    assert not await runs.answers(ENGINE, timeout_s=0.001)
    engine.lost = 10
    assert not await runs.answers(ENGINE, timeout_s=0.1)


async def test_streams_that_ask_at_the_same_time_share_a_report(engine, runs):
    asked = [runs.answers(ENGINE, timeout_s=0.1) for _ in range(9)]
    assert all(await asyncio.gather(*asked)) and engine.asked == 1
    assert await runs.answers(ENGINE, timeout_s=0.1) and engine.asked == 2


async def test_engine_at_its_limit_is_not_asked_whether_it_answers(engine, runs):
    engine.permit_s = 1.0
    assert await runs.answers(ENGINE, timeout_s=0.1)
    await asyncio.sleep(2.0)
    engine.permit_s, engine.may_ask = 0.0, False
    assert await runs.answers(ENGINE, timeout_s=0.1)
    assert engine.asked == 1
