"""Reasons for refusals and retries, one enumeration each.

The values are used as counter labels, see `flamingoshelf.telemetry`.
"""

from enum import StrEnum

import attrs

__all__ = ["Refusal", "RefusalReason", "RetryReason"]


class RefusalReason(StrEnum):
    """Why a request was refused."""

    MALFORMED_REQUEST = "malformed_request"
    BODY_TOO_LARGE = "body_too_large"
    NO_ROUTE = "no_route"
    MISSING_KEY = "missing_key"
    UNKNOWN_KEY = "unknown_key"
    KEY_WITHDRAWN = "key_withdrawn"
    CONFIGURATION_STALE = "configuration_stale"
    UNKNOWN_MODEL = "unknown_model"
    REQUEST_TOO_LARGE = "request_too_large"
    RATE_EXCEEDED = "rate_exceeded"
    LIMIT_UNAVAILABLE = "limit_unavailable"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    QUEUE_FULL = "queue_full"
    SERVERS_LIMITED = "servers_limited"
    SERVERS_EVACUATED = "servers_evacuated"
    NO_BACKEND = "no_backend"
    ORIGIN_UNKNOWN = "origin_unknown"
    VERSION_GONE = "version_gone"
    BACKEND_FAILED = "backend_failed"
    RETRIES_EXHAUSTED = "retries_exhausted"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIM_IN_PROGRESS = "claim_in_progress"
    CLAIM_OUTCOME_UNKNOWN = "claim_outcome_unknown"
    CLAIM_BODY_DIFFERS = "claim_body_differs"
    CLAIM_ANSWER_NOT_KEPT = "claim_answer_not_kept"
    QUARANTINED = "quarantined"
    SHUTTING_DOWN = "shutting_down"
    INTERNAL_ERROR = "internal_error"


class RetryReason(StrEnum):
    """Why a step was retried."""

    ENGINE_CRASHED = "engine_crashed"
    ENGINE_REFUSED = "engine_refused"
    PREFILL_EXPIRED = "prefill_expired"
    TRANSFER_STALLED = "transfer_stalled"
    STREAM_BROKEN = "stream_broken"
    STREAM_STALLED = "stream_stalled"
    SERVICE_FAILED = "service_failed"
    DISPATCHER_UNREACHABLE = "dispatcher_unreachable"
    HOME_UNREACHABLE = "home_unreachable"
    STORE_CONFLICT = "store_conflict"
    STORE_AMBIGUOUS = "store_ambiguous"


@attrs.frozen(kw_only=True)
class Refusal:
    """The final answer to a request that is not served.

    Parameters
    ----------
    reason : RefusalReason
        Why the request was refused.
    status : int
        HTTP status code.
    detail : str
        What the caller can do about it.
    not_run : bool
        True only if no byte of the request can have been sent to a backend server.
    retry_after_s : float or None
        Seconds after which the caller may retry.
    step, peer : str
        Step and peer at which the request was refused.
    """

    reason: RefusalReason
    status: int
    detail: str
    not_run: bool
    retry_after_s: float | None = None
    step: str = "admission"
    peer: str = ""
