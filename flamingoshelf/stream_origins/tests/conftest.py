"""Nodes that share the origins of streams over a simulated network and store."""

import asyncio
import itertools
from typing import cast

import attrs
import pytest

from flamingoshelf.cluster import Coordination, Member, MemberList, NodeNews
from flamingoshelf.cluster.tests.conftest import FakeLink, FakeNetwork, FakeStore
from flamingoshelf.exceptions import RemoteError
from flamingoshelf.store import KindStore
from flamingoshelf.stream_origins import OriginService, StreamOrigin
from flamingoshelf.stream_origins._messages import FindStreamOrigin, StreamOriginReport

V1, V2 = (StreamOrigin(service="s", version=version) for version in ("v1", "v2"))
KEEP_S = 14.0


class CountingStore(FakeStore):
    """Store that records the objects of each write, and can be slow."""

    def __init__(self):
        super().__init__()
        self.writes = []
        self.reads = 0
        self.delay_s = 0.004

    async def list(self, kind):
        self.reads += 1
        await asyncio.sleep(self.delay_s)
        return await super().list(kind)

    async def put(self, kind, name, content, *, is_likely_new):
        await asyncio.sleep(self.delay_s)
        self.writes.append(name)
        return await super().put(kind, name, content, is_likely_new=is_likely_new)


async def _fail(peer, message):
    raise RemoteError("unknown message", step="request", peer=peer)


@attrs.define
class Node:
    coordination: Coordination
    service: OriginService


class Fleet:
    """Nodes that record and find origins."""

    def __init__(self):
        self.network = FakeNetwork()
        self.store = CountingStore()
        self.nodes = {}
        self._ranks = itertools.count(1)

    async def add(self, *names, is_earlier_version=False):
        """Start nodes; the first ones precede as coordinators."""
        for name in names:
            own = Member(name=name, address=f"{name}:1", data_centre="a", rank=next(self._ranks))
            members = MemberList()
            for node in self.nodes.values():
                members.merge(node.coordination.members)
            members.merge([own])
            service = OriginService(
                node_name=name,
                incarnation=str(own.rank),
                store=cast(KindStore, self.store),
                eras=self.store.eras,
                node_count=members.__len__,
            )
            link = FakeLink(self.network, name)
            coordination = Coordination(
                link=link,
                members=members,
                own=own,
                revisions=dict,
                on_revisions=lambda revisions: None,
                news=NodeNews,
                on_news=lambda peer, news: None,
            )
            self.network.dead.discard(name)
            await coordination.start()
            await service.start()
            if is_earlier_version:
                for message in (StreamOriginReport, FindStreamOrigin):
                    link.register(message, _fail)
            else:
                service.connect(link, coordination)
            self.nodes[name] = Node(coordination, service)
        await asyncio.sleep(2.5)  # all know each other

    async def kill(self, *names):
        """End nodes without a chance to hand anything on."""
        for name in names:
            self.network.dead.add(name)
            node = self.nodes.pop(name)
            await node.service._tasks.stop()
            await node.service._archive._tasks.stop()
            await node.coordination.stop()

    def record(self, node, key, origin=V1, *, keep_s=KEEP_S):
        self.nodes[node].service.record(key, origin, keep_s=keep_s)

    async def find(self, node, key):
        return await self.nodes[node].service.find(key)


@pytest.fixture
async def fleet():
    fleet = Fleet()
    yield fleet
    await fleet.kill(*fleet.nodes)
