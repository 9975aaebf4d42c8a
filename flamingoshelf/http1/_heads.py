"""Heads of requests and responses: request line or status, and header fields."""

from collections.abc import Iterable, Iterator

import attrs

__all__ = ["HOP_BY_HOP_HEADERS", "Headers", "RequestHead", "ResponseHead", "keep_alive_s"]

# No request is sent on a connection that the server may be about to close.
_KEEP_ALIVE_MARGIN_S = 0.5
_MAX_KEEP_ALIVE_DIGITS = 9

# Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class Headers:
    """Header fields in the order and with the names in which they were sent.

    Parameters
    ----------
    items : iterable of (str, str)
        Names and values.

    Examples
    --------
    >>> headers = Headers([("Content-Type", "text/plain")])
    >>> headers.get("content-type")
    'text/plain'
    >>> headers.without({"content-type"}).get("Content-Type") is None
    True
    """

    def __init__(self, items: Iterable[tuple[str, str]] = ()) -> None:
        self._items = tuple(items)

    def __iter__(self) -> Iterator[tuple[str, str]]:
        return iter(self._items)

    def __repr__(self) -> str:
        return f"Headers({list(self._items)!r})"

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Headers) and self._items == other._items

    def __hash__(self) -> int:
        return hash(self._items)

    def get(self, name: str) -> str | None:
        """Return the first value of a field; the case of its name does not matter."""
        lower_name = name.lower()
        return next((value for key, value in self._items if key.lower() == lower_name), None)

    def without(self, names: Iterable[str]) -> "Headers":
        """Return the fields except those in `names`, which must be in lower case."""
        dropped = frozenset(names)
        return Headers(item for item in self._items if item[0].lower() not in dropped)

    def with_items(self, *items: tuple[str, str]) -> "Headers":
        """Return the fields with `items` replacing fields of the same names."""
        kept = self.without(name.lower() for name, _ in items)
        return Headers((*kept, *items))

    def end_to_end(self) -> "Headers":
        """Return the fields that may be forwarded to the next hop."""
        connection_header = self.get("connection") or ""
        connection_tokens = {
            token.strip().lower() for token in connection_header.split(",") if token.strip()
        }
        return self.without(HOP_BY_HOP_HEADERS | connection_tokens)


@attrs.frozen(kw_only=True)
class RequestHead:
    """Method, target and headers of a request.

    Parameters
    ----------
    method, target : str
        As on the request line.
    headers : Headers
        Header fields.
    """

    method: str
    target: str
    headers: Headers = Headers()

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@attrs.frozen(kw_only=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers = Headers()

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


def keep_alive_s(headers: Headers) -> float | None:
    """Return how long the connection may stay idle by the ``Keep-Alive`` header, less a margin."""
    for part in (headers.get("keep-alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        text = value.strip()
        is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_KEEP_ALIVE_DIGITS
        if name.lower() == "timeout" and is_number:
            return max(0.0, int(text) - _KEEP_ALIVE_MARGIN_S)
    return None
