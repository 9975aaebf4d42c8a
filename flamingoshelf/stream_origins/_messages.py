"""Messages by which nodes share the origins of streams."""

from collections.abc import Iterable, Iterator

import attrs

from flamingoshelf.nodes import message
from flamingoshelf.stream_origins._origins import StreamOrigin

__all__ = [
    "BegunStreams",
    "FindStreamOrigin",
    "FindStreamOriginReply",
    "StreamOriginReport",
    "StreamOriginReportReply",
    "group_streams",
]


@attrs.frozen(kw_only=True)
class BegunStreams:
    """Streams with the same origin.

    Parameters
    ----------
    service, version : str
        Their origin; both are empty if it isn't known for sure.
    keys : tuple of str
        Keys of the streams.
    keep_s : float
        Longest time in seconds for which one of their callers may take it up.
    """

    service: str
    version: str
    keys: tuple[str, ...]
    keep_s: float

    @property
    def origin(self) -> StreamOrigin | None:
        """Origin of the streams, None if it isn't known for sure."""
        if not self.version:
            return None
        return StreamOrigin(service=self.service, version=self.version)


@message
@attrs.frozen(kw_only=True)
class StreamOriginReport:
    """Origins of streams that began at a node, for the coordinator."""

    streams: tuple[BegunStreams, ...]


@message
@attrs.frozen(kw_only=True)
class StreamOriginReportReply:
    """Reply that a report was taken in."""


@message
@attrs.frozen(kw_only=True)
class FindStreamOrigin:
    """Request for the origin of a stream."""

    key: str


@message
@attrs.frozen(kw_only=True)
class FindStreamOriginReply:
    """Reply with the origin of a stream; its fields are empty if the node doesn't know it."""

    service: str = ""
    version: str = ""


def group_streams(
    entries: Iterable[tuple[str, StreamOrigin | None, float]],
) -> Iterator[BegunStreams]:
    """Return streams by their origin; each entry holds a key, an origin and the time to keep it."""
    groups: dict[StreamOrigin | None, tuple[list[str], list[float]]] = {}
    for key, origin, keep_s in entries:
        keys, keep = groups.setdefault(origin, ([], []))
        keys.append(key)
        keep.append(keep_s)
    for origin, (keys, keep) in groups.items():
        yield BegunStreams(
            service="" if origin is None else origin.service,
            version="" if origin is None else origin.version,
            keys=tuple(keys),
            keep_s=round(max(keep), 3),
        )
