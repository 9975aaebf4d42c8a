"""Counts of the bytes that a node exchanges with its peers."""

import attrs

__all__ = ["Traffic"]


@attrs.define(kw_only=True)
class Traffic:
    """Bytes of all frames, without the headers of the transport.

    Parameters
    ----------
    sent_bytes, received_bytes : int
        Bytes since the node started.
    """

    sent_bytes: int = 0
    received_bytes: int = 0
