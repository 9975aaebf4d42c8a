"""HTTP clients for calls to other systems, by `aiosonic`."""

from flamingoshelf.http_client._bounded import MAX_ANSWER_BYTES, BoundedConnection, read_content
from flamingoshelf.http_client._client import new_http_client

__all__ = ["MAX_ANSWER_BYTES", "BoundedConnection", "new_http_client", "read_content"]
