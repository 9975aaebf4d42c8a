"""Messages on a channel over which one node makes calls to backend servers for another.

The calling node sends a `ProxyCall`, and the body as bytes. It gets a `ProxyHead`, the body as
bytes, and a `ProxyEnd`; or a `ProxyFailure` in place of the rest. A short answer is one message.
The calling node closes the channel to cancel the call.
"""

from enum import StrEnum

import attrs

from flamingoshelf.http1 import Headers, RequestHead, ResponseHead
from flamingoshelf.nodes import message
from flamingoshelf.routing import BackendInstance

__all__ = [
    "ConfirmRun",
    "ProxyCall",
    "ProxyEnd",
    "ProxyFailure",
    "ProxyFailureKind",
    "ProxyHead",
    "RunConfirmed",
]


class ProxyFailureKind(StrEnum):
    """Why a call that was made for another node has no whole answer."""

    UNREACHABLE = "unreachable"  # nothing was sent: the server can't be connected
    BUSY = "busy"  # nothing was sent: the node has no room for the call
    LEAVING = "leaving"  # nothing was sent: the node knows that the server leaves
    PAUSED = "paused"  # not run: the server asked that node for a pause
    NOT_RUN = "not_run"
    WRONG_INSTANCE = "wrong_instance"
    UNKNOWN = "unknown"  # the server may have run it


@message
@attrs.frozen(kw_only=True)
class ProxyCall:
    """A call to make.

    Parameters
    ----------
    server, service, address : str
        Identity, service and ``ip:port`` of the server.
    started_ms : int
        Unix time of the server's start in milliseconds, 0 if unknown.
    request_id : str or None
        Identifier that the answer must name; None if the call is the calling node's own.
    method, target : str
        As on the request line.
    headers : tuple of (str, str)
        Header fields as the server is to get them.
    body_bytes : int
        Size of the body.
    """

    server: str
    service: str
    address: str
    started_ms: int
    request_id: str | None
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body_bytes: int = 0

    @property
    def instance(self) -> BackendInstance:
        """The server to call."""
        return BackendInstance(
            instance_id=self.server,
            service=self.service,
            address=self.address,
            data_centre="",
            started_ms=self.started_ms,
        )

    @property
    def head(self) -> RequestHead:
        """Head of the request."""
        return RequestHead(method=self.method, target=self.target, headers=Headers(self.headers))


@message
@attrs.frozen(kw_only=True)
class ProxyHead:
    """Head of the server's answer, with the whole body of a short one.

    Parameters
    ----------
    status : int
        Status of the answer.
    headers : tuple of (str, str)
        Header fields.
    body : bytes or None
        The whole body; None if it follows as bytes and a `ProxyEnd`.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None = None

    @property
    def head(self) -> ResponseHead:
        """Status and headers."""
        return ResponseHead(status=self.status, headers=Headers(self.headers))


@message
@attrs.frozen(kw_only=True)
class ProxyEnd:
    """The regular end of the body."""


@message
@attrs.frozen(kw_only=True)
class ProxyFailure:
    """The end of a call without a whole answer.

    Parameters
    ----------
    kind : ProxyFailureKind
        What went wrong.
    text : str
        Message of the error.
    pause_s : float
        Seconds until the server takes requests from that node again, if it is paused.
    was_sent : bool
        Whether the server has received the call.
    """

    kind: ProxyFailureKind
    text: str
    pause_s: float = 0.0
    was_sent: bool = False


@message
@attrs.frozen(kw_only=True)
class ConfirmRun:
    """Question whether the server that has the running call is the run that the call names."""


@message
@attrs.frozen(kw_only=True)
class RunConfirmed:
    """Reply to `ConfirmRun`."""

    is_confirmed: bool
