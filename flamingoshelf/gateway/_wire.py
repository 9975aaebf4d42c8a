"""Interface between the gateway and the protocol of callers and backend servers."""

from typing import Protocol

import attrs

from flamingoshelf.http1 import RequestHead, ResponseHead
from flamingoshelf.routing import BackendInstance

__all__ = [
    "BackendResponseHead",
    "BackendCall",
    "CallerRequest",
    "KvHandle",
    "WireFormat",
]


@attrs.frozen(kw_only=True)
class CallerRequest:
    """What a caller states in the head of its request.

    Parameters
    ----------
    request_id : str
        Identifier of this attempt, chosen by the caller.
    wait_s : float or None
        Seconds that the caller waits for the answer.
    key : str or None
        API key, if the request has one.
    prompt_tokens, max_output_tokens : int or None
        Size of the prompt and limit of the answer in tokens, for model engines.
    expected_output_tokens : int or None
        Size of the answer in tokens as the caller estimates it.
    last_event_id : int or None
        Last event that the caller received of a broken stream.
    resumes : str or None
        Identifier of the attempt that brought the first event of that stream.
    prompt : str
        Header value that lists the parts of the prompt.
    prompt_parts : tuple of str
        Identifiers of the parts of the prompt in order; requests may share them.
    model : str
        Model that the request asks for, or an empty string.
    """

    request_id: str
    wait_s: float | None = None
    key: str | None = attrs.field(default=None, repr=False)
    prompt_tokens: int | None = None
    max_output_tokens: int | None = None
    expected_output_tokens: int | None = None
    last_event_id: int | None = None
    resumes: str | None = None
    prompt: str = ""
    prompt_parts: tuple[str, ...] = ()
    model: str = ""


@attrs.frozen(kw_only=True)
class KvHandle:
    """KV cache of a processed prompt, held at a prefill engine until it is fetched or expires.

    Parameters
    ----------
    address : str
        ``ip:port`` of the engine that holds it.
    handle_id : str
        Identifier at that engine.
    tokens : int
        Prompt tokens as counted by the engine.
    """

    address: str
    handle_id: str
    tokens: int = 0


@attrs.frozen(kw_only=True)
class BackendCall:
    """Parameters of one call to a backend server on behalf of a caller.

    Parameters
    ----------
    instance : BackendInstance
        Server to call.
    workspace : str or None
        Workspace that the request runs for.
    remaining_s : float
        Seconds after which the server stops working on the request.
    is_prefill : bool
        Whether to process only the prompt.
    kv_handle : KvHandle or None
        KV cache that the decode engine fetches.
    resume_after : int or None
        Last event that the caller received from an earlier run.
    urgency : int or None
        Priority in the queue of a model engine, 0 to 9; lower is admitted first.
    """

    instance: BackendInstance
    workspace: str | None
    remaining_s: float
    is_prefill: bool = False
    kv_handle: KvHandle | None = None
    resume_after: int | None = None
    urgency: int | None = None


@attrs.frozen(kw_only=True)
class BackendResponseHead:
    """Contents of the head of a backend server's response.

    Parameters
    ----------
    request_id : str or None
        Identifier of the request that the response answers.
    is_signed : bool
        Whether it carries the server's signature.
    has_not_run : bool
        Whether the server states that it did not run the request and will not run it.
    is_wrong_instance : bool
        Whether the address belongs to another server than the expected one.
    is_encoded : bool
        Whether the body has a content encoding that was not requested.
    is_leaving : bool
        Whether the server states that it is about to stop.
    pause_s : float or None
        Seconds for which the server wants no request from this node; not a number if they are not
        readable.
    limit_per_s : float or None
        Requests per second that the server accepts from all nodes together, None if it states no
        limit; not a number if it isn't readable.
    cold_s : float or None
        Seconds for which the server stays cold, None if it doesn't state them; not a number if they
        are not readable.
    """

    request_id: str | None
    is_signed: bool
    has_not_run: bool
    is_wrong_instance: bool
    is_encoded: bool
    is_leaving: bool = False
    pause_s: float | None = None
    limit_per_s: float | None = None
    cold_s: float | None = None


class WireFormat(Protocol):
    """Translates between heads on the wire and the gateway's types."""

    def decode_request(self, head: RequestHead) -> CallerRequest:
        """Return the contents of a caller's head; raise `ValueError` without a request id."""

    def encode_request(
        self, head: RequestHead, call: BackendCall, *, body_bytes: int
    ) -> RequestHead:
        """Return the head to send to a backend server for a caller's request."""

    def decode_response_head(self, head: ResponseHead) -> BackendResponseHead:
        """Return the contents of a response head."""

    def decode_handle(self, body: bytes, instance: BackendInstance) -> KvHandle:
        """Return the handle in a prefill response; raise `ValueError` if there is none."""

    def encode_handle_release(self, handle: KvHandle, instance: BackendInstance) -> RequestHead:
        """Return the head of a call that releases a handle."""

    def encode_health_check(self, instance: BackendInstance, path: str) -> RequestHead:
        """Return the head of a call to the path of a server's health check."""
