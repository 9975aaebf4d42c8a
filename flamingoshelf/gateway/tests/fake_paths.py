"""Paths to servers that need no other node, and clients that use them."""

import random

from flamingoshelf.gateway import BackendClient
from flamingoshelf.gateway._direct_calls import DirectCalls
from flamingoshelf.gateway._engine_failures import EngineFailures
from flamingoshelf.gateway._proxied_calls import ProxiedCalls
from flamingoshelf.paths import PathService, PathTable, ProbeResult


class FakePaths:
    """Paths that are cut when a test says so; records reported silences."""

    def __init__(self):
        self.cut = set()
        self.is_cut_from_all = False
        self.silences = []

    def record_silence(self, instance, *, since_s):
        self.silences.append(instance.key)

    def is_known_cut(self, key):
        return self.is_cut_from_all or key in self.cut

    async def is_cut(self, instance):
        return self.is_known_cut(instance.key)


def new_failures(placer, paths=None):
    """Return reports of failures to a placer."""
    return EngineFailures(placer=placer, paths=paths or FakePaths())


def new_client(*, pool, wire, notices, limits, table=None):
    """Return a client with paths that are never checked."""

    async def probe(instance, is_fresh):
        return ProbeResult.HELD_BACK

    table = table or PathTable()
    paths = PathService(
        table=table,
        probe=probe,
        servers=tuple,
        has_open_connection=lambda key: False,
        close_connections=lambda key: None,
        random_source=random.Random(1),
    )
    return BackendClient(
        direct=DirectCalls(pool=pool, wire=wire, notices=notices, limits=limits, paths=paths),
        proxied=ProxiedCalls(wire=wire, notices=notices, limits=limits),
        paths=paths,
        path_table=table,
        wire=wire,
        limits=limits,
        random_source=random.Random(1),
    )
