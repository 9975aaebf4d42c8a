"""Classification of failed attempts, which decides how the next attempt is made."""

import attrs

from flamingoshelf.dispatch import Grant
from flamingoshelf.exceptions import EngineError, ProtocolError
from flamingoshelf.refusals import Refusal, RefusalReason, RetryReason

__all__ = [
    "AttemptFailure",
    "classify",
    "indicates_engine_crash",
    "may_resume_at_same_engine",
    "retries_exhausted_refusal",
]

_STATUS_GONE = 410
_STATUS_NO_MEMORY = 503
_TRANSFER_STEP = "transfer"
_DECODE_STEP = "decode"


@attrs.frozen(kw_only=True)
class AttemptFailure:
    """Classified failure of an attempt.

    Parameters
    ----------
    reason : RetryReason
        Reason under which the retry is counted.
    server : str
        Backend server that the next attempt avoids.
    is_server_failure : bool
        Whether other requests should avoid the server too.
    wastes_prefill : bool
        Whether the result of a finished prefill was lost.
    """

    reason: RetryReason
    server: str
    is_server_failure: bool
    wastes_prefill: bool


def classify(error: EngineError | ProtocolError, grant: Grant) -> AttemptFailure:
    """Classify the error that ended the attempt with `grant`."""
    reason = _reason(error)
    server = grant.prefill_server if error.step == "prefill" else grant.decode_server
    if reason is RetryReason.PREFILL_EXPIRED:
        server = grant.prefill_server
    is_server_failure = reason in (
        RetryReason.ENGINE_CRASHED,
        RetryReason.TRANSFER_STALLED,
        RetryReason.STREAM_STALLED,
    )
    wastes_prefill = error.step in (_TRANSFER_STEP, _DECODE_STEP)
    return AttemptFailure(
        reason=reason,
        server=server,
        is_server_failure=is_server_failure,
        wastes_prefill=wastes_prefill,
    )


def may_resume_at_same_engine(error: EngineError | ProtocolError) -> bool:
    """Return whether reconnecting to the engine may resume a failed stream.

    An engine whose host refuses connections, or that answers with an error status, no longer holds
    the request. After a stall, reconnecting to the same engine does not help.
    """
    if not isinstance(error, EngineError) or not error.crashed:
        return False
    return not isinstance(error.__cause__, ConnectionRefusedError)


def indicates_engine_crash(error: EngineError | ProtocolError) -> bool:
    """Return whether the decode engine crashed while it held the request.

    A dropped stream alone is no evidence, and neither is an unknown request, which may have been
    cancelled at a running engine. A host that refuses the next connection runs no engine any more.
    """
    is_decoding = isinstance(error, EngineError) and error.step == _DECODE_STEP
    return is_decoding and isinstance(error.__cause__, ConnectionRefusedError)


def retries_exhausted_refusal(*, step: str, was_sent: bool) -> Refusal:
    """Return the refusal of a request whose attempts all failed."""
    return Refusal(
        reason=RefusalReason.RETRIES_EXHAUSTED,
        status=502,
        detail="Every attempt failed at the engines.",
        not_run=not was_sent,
        retry_after_s=2.0,
        step=step,
    )


def _reason(error: EngineError | ProtocolError) -> RetryReason:
    if isinstance(error, ProtocolError):
        return RetryReason.STREAM_BROKEN
    if error.crashed:
        return RetryReason.ENGINE_CRASHED
    if error.status == _STATUS_GONE:
        return RetryReason.PREFILL_EXPIRED
    if error.status:
        return RetryReason.ENGINE_REFUSED
    if error.step == _TRANSFER_STEP:
        return RetryReason.TRANSFER_STALLED
    return RetryReason.STREAM_STALLED
