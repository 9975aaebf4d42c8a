"""Origins of streams and runs of engines that need no other node and no store."""

from flamingoshelf.gateway._engine_runs import EngineRuns


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


def new_engine_runs():
    """Return checks for engines that don't state when they started, and are not asked."""

    async def report(engine):
        raise NotImplementedError

    return EngineRuns(report=report, may_ask=may_ask)
