"""Authentication of callers by key, and removal of keys from forwarded requests."""

import hashlib
import hmac
import re
from collections.abc import Iterable
from urllib.parse import parse_qsl, unquote, urlencode

import attrs
from result import Err, Ok, Result

from flamingoshelf.objects import Catalog
from flamingoshelf.refusals import Refusal, RefusalReason

__all__ = ["Caller", "KeyFilter", "authenticate", "read_key"]

_KEY_CANDIDATE = re.compile(rb"[A-Za-z0-9_\-]{16,256}")
_CREDENTIAL_HEADERS = frozenset(
    {"authorization", "proxy-authorization", "x-api-key", "api-key", "x-auth-token"}
)
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@attrs.frozen(kw_only=True)
class Caller:
    """The authenticated sender of a request.

    Parameters
    ----------
    workspace : str
        Workspace that the request runs for.
    key_digest : str
        Hexadecimal SHA-256 of the key.
    """

    workspace: str
    key_digest: str


def read_key(headers: Iterable[tuple[str, str]]) -> str | None:
    """Return the key in the ``Authorization: Bearer`` header, or None."""
    for name, value in headers:
        scheme, _, key = value.partition(" ")
        if name.lower() == "authorization" and scheme.lower() == "bearer" and key.strip():
            return key.strip()
    return None


def authenticate(key: str | None, catalog: Catalog) -> Result[Caller, Refusal]:
    """Return the caller that `key` belongs to, or a refusal."""
    if key is None:
        return Err(
            _unauthorized(RefusalReason.MISSING_KEY, "Send the key as 'Authorization: Bearer'.")
        )
    digest = _digest(key.encode())
    found = catalog.key_by_digest(digest)
    if found is None or not hmac.compare_digest(found.sha256, digest):
        return Err(_unauthorized(RefusalReason.UNKNOWN_KEY, "The key is not known."))
    if found.withdrawn:
        return Err(_unauthorized(RefusalReason.KEY_WITHDRAWN, "The key was withdrawn."))
    return Ok(Caller(workspace=found.workspace, key_digest=digest))


class KeyFilter:
    """Finds and removes keys in data that is sent to backend servers.

    Parameters
    ----------
    catalog : Catalog
        Catalog in force; all its keys are recognised, withdrawn ones included.
    """

    def __init__(self, *, catalog: Catalog) -> None:
        self._catalog = catalog

    def contains_key(self, data: bytes) -> bool:
        """Return whether `data` contains a known key, in plain text or URL-encoded."""
        decoded = unquote(data.decode("latin-1")).encode("latin-1", "replace")
        return any(
            self._catalog.key_by_digest(_digest(candidate)) is not None
            for text in {data, decoded}
            for candidate in _KEY_CANDIDATE.findall(text)
        )

    def headers(self, headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return `headers` without credentials, hop-by-hop headers and values with a key."""
        return [
            (name, value)
            for name, value in headers
            if name.lower() not in _CREDENTIAL_HEADERS
            and name.lower() not in _HOP_BY_HOP_HEADERS
            and not self.contains_key(value.encode())
        ]

    def query(self, query: str) -> str:
        """Return `query` without the parameters that contain a key."""
        if not self.contains_key(query.encode()):
            return query
        pairs = parse_qsl(query, keep_blank_values=True)
        return urlencode([pair for pair in pairs if not self.contains_key("=".join(pair).encode())])


def _digest(key: bytes) -> str:
    return hashlib.sha256(key).hexdigest()


def _unauthorized(reason: RefusalReason, detail: str) -> Refusal:
    return Refusal(reason=reason, status=401, detail=detail, not_run=True, step="authenticate")
