"""Data centres whose backend servers get no requests, as the operators ask for."""

from collections.abc import Callable, Iterable, KeysView

import attrs
from loguru import logger

from flamingoshelf.utils import now_s

__all__ = ["EvacuatedDataCentres"]


@attrs.frozen(kw_only=True)
class _Evacuation:
    revision: int
    known_s: float  # time at which this node learned of it


class EvacuatedDataCentres:
    """The data centres that are evacuated, as of the last word of the store.

    While the store is away, the last known state holds.

    Parameters
    ----------
    count_servers : callable
        ``count_servers(data_centre)`` returns the number of known backend servers there, for the
        log.
    count_event : callable
        ``count_event(event)`` counts each change in the metrics.
    """

    def __init__(
        self,
        *,
        count_servers: Callable[[str], int] = lambda data_centre: 0,
        count_event: Callable[[str], None] = lambda event: None,
    ) -> None:
        self._count_servers = count_servers
        self._count_event = count_event
        self._evacuations: dict[str, _Evacuation] = {}
        self._revision: int | None = None

    @property
    def is_known(self) -> bool:
        """Whether the store has told which data centres are evacuated."""
        return self._revision is not None

    @property
    def names(self) -> KeysView[str]:
        """Names of the evacuated data centres, known or not; a view that follows all changes."""
        return self._evacuations.keys()

    def replace(self, names: Iterable[str], revision: int) -> None:
        """Apply a complete list of names; a list of an older revision is ignored."""
        if self._revision is not None and revision < self._revision:
            return
        listed = set(names)
        self._revision = revision
        for name in self._evacuations.keys() - listed:
            self._end(name)
        for name in sorted(listed):
            self._begin(name)

    def apply(self, added: Iterable[str], removed: Iterable[str], revision: int) -> None:
        """Apply changes that follow the current revision."""
        self._revision = max(self._revision or 0, revision)
        for name in removed:
            self._end(name)
        for name in added:
            self._begin(name)

    def _begin(self, name: str) -> None:
        if name in self._evacuations:
            return
        assert self._revision is not None
        self._evacuations[name] = _Evacuation(revision=self._revision, known_s=now_s())
        servers = self._count_servers(name)
        log = logger.bind(
            step="evacuation", data_centre=name, revision=self._revision, servers=servers
        )
        if servers:
            log.info("data centre evacuated")
        else:
            log.warning("data centre evacuated; no backend server in it is known")
        self._count_event("data_centres_evacuated")

    def _end(self, name: str) -> None:
        ended = self._evacuations.pop(name, None)
        if ended is None:
            return
        logger.bind(
            step="evacuation",
            data_centre=name,
            revision=self._revision,
            since_revision=ended.revision,
            after_s=round(now_s() - ended.known_s, 3),
            servers=self._count_servers(name),
        ).info("data centre in use again")
        self._count_event("data_centres_reinstated")
