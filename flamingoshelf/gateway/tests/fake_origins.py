"""Origins of streams and runs of engines that need no other node and no store."""

import asyncio

from flamingoshelf.gateway import EngineReport
from flamingoshelf.gateway._engine_runs import EngineRuns
from flamingoshelf.routing import EngineRole
from flamingoshelf.utils import now_s

REPORT = EngineReport(
    role=EngineRole.DECODE,
    is_changing=False,
    order_count=0,
    running=0,
    waiting=0,
    held_tokens=0,
    capacity_tokens=1,
)


class FakeOrigins:
    """Knows what a test says, and what was recorded."""

    def __init__(self):
        self.known = {}
        self.recorded = []

    def record(self, key, origin, *, keep_s):
        self.known[key] = origin
        self.recorded.append((key, origin, keep_s))

    async def find(self, key):
        return self.known.get(key)


async def may_ask(engine):
    """Return that an engine accepts another call."""
    return True


def new_engine_runs(silent_until_s=None):
    """Return checks for engines that don't state when they started.

    ``silent_until_s(key)`` returns the time until which an engine answers nothing.
    """

    async def report(engine):
        until_s = 0.0 if silent_until_s is None else silent_until_s(engine.key)
        await asyncio.sleep(max(0.0, until_s - now_s()))
        return REPORT

    return EngineRuns(report=report, may_ask=may_ask)
