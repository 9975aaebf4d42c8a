"""Messages by which a node asks others whether they reach a backend server."""

import attrs

from flamingoshelf.nodes import message

__all__ = ["CheckServer", "ServerChecked"]


@message
@attrs.frozen(kw_only=True)
class CheckServer:
    """Question whether the receiving node reaches a backend server; replied with `ServerChecked`.

    Parameters
    ----------
    server, address, service : str
        Identity, ``ip:port`` and service of the server.
    started_ms : int
        Unix time of the server's start in milliseconds, 0 if unknown.
    silent_s : float
        Seconds for which the sender has had no answer; an answer within them proves the path.
    """

    server: str
    address: str
    service: str
    started_ms: int
    silent_s: float


@message
@attrs.frozen(kw_only=True)
class ServerChecked:
    """Reply to `CheckServer`.

    Parameters
    ----------
    is_answered : bool
        Whether the server has answered the replying node.
    peers : tuple of str
        Nodes through which the replying node calls the server, if its own path is cut.
    """

    is_answered: bool
    peers: tuple[str, ...] = ()
