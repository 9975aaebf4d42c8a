"""Framing of messages: what `h11` leaves to its user."""

import h11

from flamingoshelf.http1._heads import Headers, RequestHead, ResponseHead

__all__ = [
    "is_bodiless",
    "refusal_status",
    "request_head",
    "response_event",
]

# Two spaces, the version and a line end in the request line; the empty line at the end of the head.
_REQUEST_LINE_BYTES = len("  HTTP/1.1") + 2 * len("\r\n")


def request_head(event: h11.Request) -> RequestHead:
    """Return the head of a request."""
    fields = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in event.headers.raw_items()]
    return RequestHead(
        method=event.method.decode("ascii"),
        target=event.target.decode("ascii"),
        headers=Headers(fields),
    )


def refusal_status(event: h11.Request, head: RequestHead, *, max_header_bytes: int) -> int | None:
    """Return the status with which a request is refused for its head, or None."""
    if _head_size_bytes(event) > max_header_bytes:
        return 431
    return 400 if _has_conflicting_lengths(head.headers) else None


def is_bodiless(request: RequestHead, status: int) -> bool:
    """Return whether the response to a request has no body, whatever its head says."""
    return request.method == "HEAD" or status in (204, 304) or status < 200


def response_event(
    request: RequestHead, head: ResponseHead, *, keep_alive_s: float | None
) -> h11.Response:
    """Return the head of a response; `keep_alive_s` is None if the connection closes after it.

    Raises
    ------
    ValueError, h11.LocalProtocolError
        The head can't be written.
    """
    headers = list(head.headers.end_to_end())
    if head.headers.get("content-length") is None and not is_bodiless(request, head.status):
        headers.append(("Transfer-Encoding", "chunked"))
    if keep_alive_s is None:
        headers.append(("Connection", "close"))
    else:
        headers.append(("Keep-Alive", f"timeout={int(keep_alive_s)}"))
    return h11.Response(
        status_code=head.status,
        headers=[(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers],
    )


def _head_size_bytes(event: h11.Request) -> int:
    """Return the size of a request head, which `h11` limits only while it is incomplete."""
    fields = sum(len(name) + len(value) + 4 for name, value in event.headers.raw_items())
    return len(event.method) + len(event.target) + _REQUEST_LINE_BYTES + fields


def _has_conflicting_lengths(headers: Headers) -> bool:
    """Return whether a request states its length twice; receivers may then disagree on its end."""
    return headers.get("transfer-encoding") is not None and (
        headers.get("content-length") is not None
    )
