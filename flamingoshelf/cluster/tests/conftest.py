"""Fixtures: nodes connected by a simulated network, and an in-memory store."""

import asyncio

import attrs
import pytest

from flamingoshelf.cluster import Coordination, Member, MemberList
from flamingoshelf.exceptions import ConflictError, ObjectServiceError, OutcomeUnknownError
from flamingoshelf.store import KindSnapshot, StoreEras, StoreObject, join_revision, revision_in_era


class FakeNetwork:
    """Simulated network between nodes.

    Messages are lost between the pairs of nodes in `cut` and to nodes in `silent`; requests to
    nodes in `dead` fail at once.
    """

    def __init__(self):
        self.links = {}
        self.cut = set()
        self.dead = set()
        self.silent = set()

    def can_deliver(self, one, other):
        return not {(one, other), (other, one)} & self.cut


class FakeLink:
    def __init__(self, network, name):
        self.node_name = name
        self.incarnation = "1"
        self._network = network
        self._handlers = {}
        self.dropped_peers = []
        network.links[name] = self

    def register(self, message_type, handler):
        self._handlers[message_type] = handler

    def drop_connection(self, peer):
        self.dropped_peers.append(peer)

    def notify(self, peer, message):
        raise NotImplementedError

    async def request(self, peer, message, *, timeout_s):
        if peer in self._network.dead:
            raise OutcomeUnknownError("connection refused", step="request", peer=peer)
        if not self._network.can_deliver(self.node_name, peer) or peer in self._network.silent:
            await asyncio.sleep(timeout_s)
            raise OutcomeUnknownError("no reply", step="request", peer=peer)
        await asyncio.sleep(0.002)
        other = self._network.links[peer]
        reply = await other._handlers[type(message)](self.node_name, message)
        await asyncio.sleep(0.002)
        return reply


class FakeStore:
    """In-memory store whose calls can fail or lose their replies."""

    def __init__(self):
        self.revision = 10
        self.objects = {}
        self.is_down = False
        self.loses_answers = False
        self.eras = StoreEras()

    def restore(self, objects):
        """Restore the store from a copy of its objects; revisions are given out again."""
        era = self.eras.current + 1
        self.objects = {
            key: attrs.evolve(item, revision=join_revision(era, revision_in_era(item.revision)))
            for key, item in objects.items()
        }
        last = max((revision_in_era(item.revision) for item in objects.values()), default=10)
        self.revision = join_revision(era, last)
        self.eras.observe(era, source="store")

    async def list(self, kind):
        self._check()
        objects = {name: item for (k, name), item in self.objects.items() if k == kind}
        return KindSnapshot(objects=objects, revision=self.revision)

    async def create(self, kind, name, content):
        self._check()
        if (kind, name) in self.objects:
            raise ConflictError("object exists", step="create")
        return self._write(kind, name, content)

    async def put(self, kind, name, content, *, is_likely_new):
        self._check()
        return self._write(kind, name, content)

    async def replace(self, kind, name, content, *, expected_revision):
        self._check()
        found = self.objects.get((kind, name))
        if found is None or found.revision != expected_revision:
            raise ConflictError("revision does not match", step="replace")
        return self._write(kind, name, content)

    async def delete(self, kind, name):
        self._check()
        self.objects.pop((kind, name), None)

    def _check(self):
        if self.is_down:
            raise ObjectServiceError("store is down", step="call")

    def _write(self, kind, name, content):
        self.revision += 1
        item = StoreObject(name=name, revision=self.revision, content=content)
        self.objects[kind, name] = item
        if self.loses_answers:
            raise OutcomeUnknownError("reply lost", step="write")
        return item


@attrs.define
class Node:
    coordination: Coordination
    link: FakeLink
    received_revisions: list


class Fleet:
    def __init__(self):
        self.network = FakeNetwork()
        self.nodes = {}
        self.rank = 0

    async def add(self, name, *, knows=None, extra_members=(), capacity=1.0):
        """Start a node that knows the members of the nodes `knows`, by default of all nodes."""
        self.rank += 1
        own = Member(
            name=name, address=f"{name}:1", data_centre="a", rank=self.rank, capacity=capacity
        )
        members = MemberList()
        for other in self.nodes if knows is None else knows:
            members.merge(self.nodes[other].coordination.members)
        members.merge([*extra_members, own])
        link = FakeLink(self.network, name)
        received_revisions: list[dict[str, int]] = []
        coordination = Coordination(
            link=link,
            members=members,
            own=own,
            revisions=lambda: {"config": self.rank},
            on_revisions=received_revisions.append,
        )
        self.network.dead.discard(name)
        self.nodes[name] = Node(coordination, link, received_revisions)
        await coordination.start()

    async def kill(self, name):
        self.network.dead.add(name)
        await self.nodes.pop(name).coordination.stop()

    def coordinators(self):
        return {name: node.coordination.coordinator for name, node in self.nodes.items()}

    async def stop(self):
        for node in self.nodes.values():
            await node.coordination.stop()


@pytest.fixture
async def fleet():
    fleet = Fleet()
    yield fleet
    await fleet.stop()


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def eras(store):
    return store.eras
