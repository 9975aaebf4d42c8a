"""Nodes that share what they know of crashes, without a network."""

import random

import pytest

from flamingoshelf.exceptions import PeerUnreachableError
from flamingoshelf.quarantine import Quarantine, QuarantineService
from flamingoshelf.telemetry import Metrics


class Network:
    """Nodes whose messages are queued until `deliver_pending`, and counted."""

    def __init__(self):
        self.messages = 0
        self.handlers = {}
        self.pending = []
        self.services = {}

    def add(self, *names):
        for name in names:
            self.handlers[name] = {}
            service = QuarantineService(
                quarantine=Quarantine(),
                peers=lambda: list(self.services),
                metrics=Metrics(node_name=name),
                random_source=random.Random(name),
            )
            service.connect(Link(self, name))
            self.services[name] = service
        return self

    async def deliver_pending(self, limit=10_000):
        while self.pending and self.messages < limit:
            name, report = self.pending.pop(0)
            self.messages += 1
            await self.handlers[name][type(report)]("peer", report)

    def refusing(self, *keys):
        return [name for name, service in self.services.items() if service.check(keys)]


class Link:
    incarnation = "1"

    def __init__(self, network, node_name):
        self.node_name = node_name
        self._network = network

    async def request(self, peer, message, *, timeout_s):
        if peer not in self._network.handlers:
            raise PeerUnreachableError("down", step="dial", peer=peer)
        return await self._network.handlers[peer][type(message)](self.node_name, message)

    def notify(self, peer, message):
        self._network.pending.append((peer, message))

    def register(self, message_type, handler):
        self._network.handlers[self.node_name][message_type] = handler


@pytest.fixture
def network():
    return Network()
