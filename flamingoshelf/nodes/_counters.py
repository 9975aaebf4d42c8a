"""What the link has carried."""

import attrs

__all__ = ["LinkCounters"]


@attrs.define(kw_only=True)
class LinkCounters:
    """Totals since the start of the process.

    Parameters
    ----------
    messages_sent, messages_received : int
        Frames, replies included.
    bytes_sent, bytes_received : int
        Bytes of these frames, without those of websockets, TLS and TCP.
    dials, failed_dials : int
        Connections that this node opened, and those that it could not open.
    strangers : int
        Connections that were closed since the other side did not prove to be a node.
    """

    messages_sent: int = 0
    messages_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    dials: int = 0
    failed_dials: int = 0
    strangers: int = 0
