"""What backend servers state about themselves in their answers: that they leave or want a pause.

A notice holds for one run of a server.
"""

import math
from collections import OrderedDict
from collections.abc import Callable

import attrs
from loguru import logger

from flamingoshelf.routing._instances import BackendInstance, ServerRun
from flamingoshelf.utils import now_s

__all__ = ["ServerNotices"]

_MAX_PAUSE_S = 3600.0  # a longer pause is taken for a fault
_MAX_RECORDS = 4096  # servers with a notice; those of the oldest notices have left long ago
# Part of the drain time for which a leaving server is used if there is no other one. Requests that
# are under way to it then must arrive before the drain time ends.
_LAST_RESORT_SHARE = 0.5


@attrs.define(kw_only=True)
class _Leaving:
    server: ServerRun
    since_s: float


class ServerNotices:
    """Servers that leave, and pauses that servers have asked this node for.

    Parameters
    ----------
    drain_s : callable
        Returns the seconds after a notice until a leaving server must get no more requests.
    """

    def __init__(self, *, drain_s: Callable[[], float] = lambda: 0.0) -> None:
        self._drain_s = drain_s
        self._leaving: OrderedDict[str, _Leaving] = OrderedDict()
        self._pauses: OrderedDict[ServerRun, float] = OrderedDict()

    def record_leaving(self, server: ServerRun, *, source: str) -> None:
        """Record that a server leaves, as itself or another node states."""
        known = self._leaving.get(server.instance_id)
        if known is not None and known.server.started_ms >= server.started_ms:
            return
        self._leaving[server.instance_id] = _Leaving(server=server, since_s=now_s())
        if len(self._leaving) > _MAX_RECORDS:
            self._leaving.popitem(last=False)
        logger.bind(step="servers", peer=server.instance_id, source=source).info(
            "backend server is leaving"
        )

    def is_leaving(self, instance: BackendInstance) -> bool:
        """Return whether this run of a server has stated that it leaves."""
        known = self._leaving.get(instance.instance_id)
        return known is not None and instance.started_ms <= known.server.started_ms

    def is_last_resort(self, instance: BackendInstance) -> bool:
        """Return whether a leaving server may still be used if there is no other one."""
        known = self._leaving.get(instance.instance_id)
        return known is not None and now_s() < known.since_s + _LAST_RESORT_SHARE * self._drain_s()

    def has_left(self, instance: BackendInstance) -> bool:
        """Return whether this run of a server must get no more requests from this node."""
        return self.is_leaving(instance) and not self.is_last_resort(instance)

    def leaving(self) -> list[ServerRun]:
        """Return the servers that leave."""
        return [entry.server for entry in self._leaving.values()]

    def record_pause(self, instance: BackendInstance, seconds: float) -> None:
        """Record that a server wants nothing from this node for a time."""
        log = logger.bind(step="servers", peer=instance.key, pause_s=seconds)
        if math.isnan(seconds) or seconds < 0:
            log.warning("pause that a backend server asks for ignored")
            return
        if seconds > _MAX_PAUSE_S:
            log.warning("pause that a backend server asks for is cut to {:.0f} s", _MAX_PAUSE_S)
        else:
            log.info("backend server asks for a pause")
        until_s = now_s() + min(seconds, _MAX_PAUSE_S)
        self._pauses[instance.run] = max(until_s, self._pauses.pop(instance.run, 0.0))
        if len(self._pauses) > _MAX_RECORDS:
            self._pauses.popitem(last=False)

    def pause_s(self, instance: BackendInstance) -> float:
        """Return the seconds for which a server wants nothing from this node, 0 if none."""
        until_s = self._pauses.get(instance.run, 0.0)
        return max(0.0, until_s - now_s())
