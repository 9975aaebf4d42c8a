"""Share of a node's connections that calls of other nodes may use, over real connections."""

import asyncio
import random
from contextlib import AsyncExitStack
from typing import Any, cast

import pytest

from flamingoshelf.cluster import MemberList
from flamingoshelf.gateway._active_configuration import ActiveConfiguration
from flamingoshelf.gateway._engine_runs import EngineRuns
from flamingoshelf.gateway._proxied_calls import PeerPassedError
from flamingoshelf.gateway._proxy_messages import ProxyFailureKind
from flamingoshelf.gateway._server_access import ServerAccess
from flamingoshelf.gateway.tests.fake_origins import may_ask
from flamingoshelf.gateway.tests.test_backend_client import Wire
from flamingoshelf.gateway.tests.test_proxied_calls import Pair, Served, chunked
from flamingoshelf.http1 import BufferBudget
from flamingoshelf.routing import InstanceDirectory, ServerNotices
from flamingoshelf.server_limits import LimitService
from flamingoshelf.utils import Pacer

MAX_CONNECTIONS = 4


@pytest.fixture
async def served():
    served = Served()
    served.address = await served.start()
    yield served
    served.stop()


class AccessPair(Pair):
    """A node that calls through another one with all that it has between itself and servers."""

    def __init__(self, address, *, directory=None, wire=None):
        super().__init__(address)
        self.own_notices = ServerNotices(drain_s=lambda: 2.0)
        self._directory = directory or InstanceDirectory(
            silent_entry_s=10.0, notices=self.own_notices
        )
        self._wire = wire or Wire()

    async def start(self):
        await super().start()
        self.access = ServerAccess(
            max_connections=lambda key: MAX_CONNECTIONS,
            budget=BufferBudget(),
            wire=self._wire,
            engine_wire=cast(Any, None),
            configuration=ActiveConfiguration(),
            directory=self._directory,
            notices=self.own_notices,
            limits=LimitService(node_name="b", incarnation="1", members=MemberList()),
            pacer=Pacer(),
            random_source=random.Random(1),
        )
        runs = EngineRuns(report=self._report, may_ask=may_ask)
        self.access.connect(self.second, peers=tuple, runs=runs)

    async def stop(self):
        await self.access.stop()
        await super().stop()


@pytest.fixture
async def pair(served):
    pair = AccessPair(served.address)
    await pair.start()
    yield pair
    await pair.stop()


# Calls of other nodes would take all connections, and a node's own callers would get none.
async def test_calls_of_others_leave_connections_to_the_own_callers(pair, served):
    served.answers = [[*chunked(b"x", end=False), 30.0] for _ in range(MAX_CONNECTIONS)]
    async with AsyncExitStack() as running:
        for _ in range(MAX_CONNECTIONS - 1):
            await running.enter_async_context(pair.call())
        assert pair.access.calls_of_others() == MAX_CONNECTIONS - 1
        with pytest.raises(PeerPassedError) as caught:
            await pair.ask()
        assert (
            caught.value.reason is ProxyFailureKind.BUSY
            and len(served.requests) == MAX_CONNECTIONS - 1
        )
    async with asyncio.timeout(2.0):  # calls that were left make room again
        while pair.access.calls_of_others():
            await asyncio.sleep(0.01)


async def test_node_that_is_about_to_stop_makes_no_further_calls_for_others(pair, served):
    served.answers = [chunked(b"x")]
    assert (await pair.ask())[1] == b"x"
    pair.access.leave()
    with pytest.raises(PeerPassedError) as caught:
        await pair.ask()
    assert caught.value.reason is ProxyFailureKind.UNREACHABLE and len(served.requests) == 1
