"""Traffic counters of a node link."""

import attrs

__all__ = ["LinkCounters"]


@attrs.define(kw_only=True)
class LinkCounters:
    """Totals since the start of the process; each field is reported as the event ``link_<field>``.

    Parameters
    ----------
    messages_sent, messages_received : int
        Number of frames, replies included.
    bytes_sent, bytes_received : int
        Bytes of these frames, without the overhead of websockets, TLS and TCP.
    dials, failed_dials : int
        Attempts to open a connection to a peer, and attempts that failed.
    strangers : int
        Inbound connections that were closed because the other side failed to authenticate.
    """

    messages_sent: int = 0
    messages_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    dials: int = 0
    failed_dials: int = 0
    strangers: int = 0
