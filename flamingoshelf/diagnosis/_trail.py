"""Collects the log records of several nodes that concern one request."""

from collections.abc import Iterable

import attrs

from flamingoshelf.diagnosis._records import LogRecord

__all__ = ["RequestTrail", "collect_trail"]

# Records this long before a request can explain how it was handled: a configuration or a server's
# entry is in force within two seconds, and the clocks of nodes may differ by some more.
_CONTEXT_BEFORE_S = 5.0
_CONTEXT_AFTER_S = 1.0  # what a request finds changes the nodes' view of an engine within 1 s
_MAX_CONTEXT_LINES = 12  # more lines make the output hard to read
_SERVER_STEPS = frozenset({"servers", "engine", "order", "path"})  # concern one server
_CONTEXT_STEPS = _SERVER_STEPS | {
    "configuration",
    "evacuation",
    "dispatcher",
    "watch",
    "roles",
    "stop",
    "start",
}


@attrs.frozen(kw_only=True)
class RequestTrail:
    """Log records that concern one request.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    records : tuple of LogRecord
        Records that name the request, sorted by time.
    context : tuple of LogRecord
        Records of about the same time, from the nodes that handled the request, on the servers
        that it was sent to, the configuration and the dispatcher.
    """

    request_id: str
    records: tuple[LogRecord, ...]
    context: tuple[LogRecord, ...] = ()

    @property
    def arrived_s(self) -> float:
        """Arrival time in seconds since 1970, but no later than the first record.

        It is the time of the last record less its ``after_s``.
        """
        last = self.records[-1]
        after_s = last.fields.get("after_s", 0.0)
        return min(self.records[0].time_s, last.time_s - float(after_s))


def collect_trail(records: Iterable[LogRecord], request_id: str) -> RequestTrail | None:
    """Return the records that concern a request, or None if no record names it."""
    records = sorted(records, key=lambda record: record.time_s)
    request_records = tuple(record for record in records if record.request_id == request_id)
    if not request_records:
        return None
    trail = RequestTrail(request_id=request_id, records=request_records)
    nodes = {record.node for record in request_records}
    servers = {name for record in request_records for name in _server_names(record)}
    nodes |= {record.peer for record in request_records if record.step == "place"}
    since_s, until_s = (
        trail.arrived_s - _CONTEXT_BEFORE_S,
        request_records[-1].time_s + _CONTEXT_AFTER_S,
    )
    context = [
        record
        for record in records
        if since_s <= record.time_s <= until_s
        and not record.request_id
        and record.step in _CONTEXT_STEPS
        and record.node in nodes
        and (record.peer in servers or record.step not in _SERVER_STEPS)
    ]
    return attrs.evolve(trail, context=tuple(context[-_MAX_CONTEXT_LINES:]))


def _server_names(record: LogRecord) -> set[str]:
    named = {record.fields.get(field) for field in ("prefill", "decode", "server")}
    if record.step != "place":
        named.add(record.peer)
    return {name for name in named if name}
