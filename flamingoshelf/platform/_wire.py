"""Encoding and decoding of the platform's HTTP headers."""

from flamingoshelf.gateway import BackendCall, BackendResponseHead, CallerRequest, KvHandle
from flamingoshelf.http1 import Headers, RequestHead, ResponseHead
from flamingoshelf.platform._documents import parse_document
from flamingoshelf.routing import BackendInstance

__all__ = ["PlatformWire"]

_KEY_SCHEME = "bearer"
_UNAVAILABLE_STATUS = 503
_MAX_DIGITS = 15  # of a number in a header
# Only the gateway sets these headers; values sent by callers are dropped.
_GATEWAY_HEADERS = frozenset(
    {
        "authorization",
        "content-length",
        "deadline-ms",
        "expect",
        "expect-instance",
        "expect-version",
        "kv-backup",
        "kv-fetch",
        "kv-hold",
        "kv-source",
        "last-event-id",
        "pin-ms",
        "request-urgency",
        "stage",
        "tenant",
    }
)


class PlatformWire:
    """Encode and decode the platform's headers; implements `flamingoshelf.gateway.WireFormat`."""

    def decode_request(self, head: RequestHead) -> CallerRequest:
        """Return the fields of a caller's request; raise `ValueError` if it has no Request-Id."""
        request_id = head.headers.get("Request-Id")
        if not request_id:
            raise ValueError("Request-Id is missing")
        wait_ms = _number(head.headers.get("Deadline-Ms"))
        prompt, output = _token_counts(head.headers.get("Token-Counts"))
        prompt_parts = head.headers.get("Prompt-Prefix") or ""
        return CallerRequest(
            request_id=request_id,
            wait_s=None if wait_ms is None else wait_ms / 1000,
            key=_bearer(head.headers.get("Authorization")),
            prompt_tokens=prompt,
            max_output_tokens=output,
            expected_output_tokens=_number(head.headers.get("Length-Hint")),
            last_event_id=_number(head.headers.get("Last-Event-Id")),
            resumes=(head.headers.get("Resumes") or "").strip() or None,
            prompt=prompt_parts,
            prompt_parts=_part_ids(prompt_parts),
            model=head.headers.get("Model") or "",
        )

    def encode_request(
        self, head: RequestHead, call: BackendCall, *, body_bytes: int
    ) -> RequestHead:
        """Return the head of the request that is forwarded to a backend server."""
        items = [
            ("Deadline-Ms", str(max(1, int(call.remaining_s * 1000)))),
            ("Expect-Instance", call.instance.instance_id),
        ]
        if call.workspace is not None:
            items.append(("Tenant", call.workspace))
        if call.is_prefill:
            items.append(("Stage", "prefill"))
        if call.kv_handle is not None:
            source = f"{call.kv_handle.address}/{call.kv_handle.handle_id}"
            items.append(("Kv-Source", source))
        if call.resume_after is not None:
            items.append(("Last-Event-Id", str(call.resume_after)))
        if call.urgency is not None:
            items.append(("Request-Urgency", str(call.urgency)))
        if body_bytes or head.method not in ("GET", "HEAD", "DELETE"):
            items.append(("Content-Length", str(body_bytes)))
        kept = head.headers.end_to_end().without(_GATEWAY_HEADERS)
        return RequestHead(method=head.method, target=head.target, headers=Headers((*kept, *items)))

    def decode_response_head(self, head: ResponseHead) -> BackendResponseHead:
        """Return the fields of a backend server's response."""
        return BackendResponseHead(
            request_id=head.headers.get("Request-Id"),
            is_signed=head.headers.get("Server-Seal") is not None,
            has_not_run=head.headers.get("Not-Run") is not None or head.status == 421,
            is_wrong_instance=head.status == 421 and head.headers.get("Instance-Id") is not None,
            is_encoded=head.headers.get("Content-Encoding") is not None,
            is_leaving=(head.headers.get("Server-Leaving") or "").strip() == "1",
            pause_s=_pause_s(head),
            limit_per_s=_decimal(head.headers.get("Server-Limit")),
            cold_s=_cold_s(head.headers.get("Cold-Ms")),
        )

    def decode_handle(self, body: bytes, instance: BackendInstance) -> KvHandle:
        """Return the handle in the response to a prefill; raise `ValueError` if there is none."""
        document = parse_document(body)
        handle = document.get("handle") if isinstance(document, dict) else None
        if not isinstance(handle, str) or not handle:
            raise ValueError("no handle")
        try:
            tokens = int(document.get("tokens") or 0)
        except (TypeError, OverflowError) as error:
            raise ValueError(repr(error)) from error
        return KvHandle(address=instance.address, handle_id=handle, tokens=tokens)

    def encode_handle_release(self, handle: KvHandle, instance: BackendInstance) -> RequestHead:
        """Return the head of a request that frees a handle."""
        return RequestHead(
            method="DELETE",
            target=f"/kv-handle/{handle.handle_id}",
            headers=Headers(
                [("Host", instance.address), ("Expect-Instance", instance.instance_id)]
            ),
        )

    def encode_health_check(self, instance: BackendInstance, path: str) -> RequestHead:
        """Return the head of a call to the path of a server's health check."""
        return RequestHead(
            method="GET",
            target=path,
            headers=Headers(
                [("Host", instance.address), ("Expect-Instance", instance.instance_id)]
            ),
        )


def _pause_s(head: ResponseHead) -> float | None:
    """Return the pause that a refusal asks for, not a number if it can't be read."""
    if head.status != _UNAVAILABLE_STATUS:
        return None
    return _decimal(head.headers.get("Retry-After"))


def _cold_s(value: str | None) -> float | None:
    """Return a header's milliseconds as seconds, as in `_decimal`."""
    milliseconds = _decimal(value)
    return None if milliseconds is None else milliseconds / 1000


def _decimal(value: str | None) -> float | None:
    """Return a header's value, not a number if it can't be read, or None if there is none."""
    if value is None:
        return None
    try:
        return float(value)
    except ValueError:
        return float("nan")


def _number(value: str | None) -> int | None:
    """Return a header's value as a non-negative integer, or None if it is none or too long."""
    text = (value or "").strip()
    is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS
    return int(text) if is_number else None


def _token_counts(value: str | None) -> tuple[int | None, int | None]:
    """Return the number of prompt tokens and the maximum number of output tokens."""
    prompt, _, output = (value or "").partition(",")
    return _number(prompt), _number(output)


def _part_ids(value: str) -> tuple[str, ...]:
    """Return the identifiers in a list of ``ID:TOKENS`` entries."""
    ids = (entry.partition(":")[0].strip().lower() for entry in value.split(","))
    return tuple(part for part in ids if part)


def _bearer(value: str | None) -> str | None:
    scheme, _, key = (value or "").partition(" ")
    return key.strip() if scheme.lower() == _KEY_SCHEME and key.strip() else None
