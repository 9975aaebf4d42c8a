"""What a failed step means for the next attempt."""

import attrs

from flamingoshelf.dispatch import Grant
from flamingoshelf.exceptions import EngineError, ProtocolError
from flamingoshelf.refusals import Refusal, RefusalReason, RetryReason

__all__ = ["Fault", "classify", "given_up", "is_same_engine_worth_trying"]

_STATUS_GONE = 410
_STATUS_NO_MEMORY = 503
_TRANSFER = "transfer"
_DECODE = "decode"


@attrs.frozen(kw_only=True)
class Fault:
    """A failed step, classified.

    Parameters
    ----------
    reason : RetryReason
        Counted reason of the retry.
    server : str
        Backend server that the next attempt avoids.
    has_failed : bool
        Whether others should avoid the server too.
    wastes_prefill : bool
        Whether a finished prefill was lost.
    """

    reason: RetryReason
    server: str
    has_failed: bool
    wastes_prefill: bool


def classify(error: EngineError | ProtocolError, grant: Grant) -> Fault:
    """Return what `error` means for the next attempt."""
    reason = _reason(error)
    server = grant.prefill_server if error.step == "prefill" else grant.decode_server
    if reason is RetryReason.PREFILL_EXPIRED:
        server = grant.prefill_server
    has_failed = reason in (
        RetryReason.ENGINE_CRASHED,
        RetryReason.TRANSFER_STALLED,
        RetryReason.STREAM_STALLED,
    )
    wastes_prefill = error.step in (_TRANSFER, _DECODE)
    return Fault(reason=reason, server=server, has_failed=has_failed, wastes_prefill=wastes_prefill)


def is_same_engine_worth_trying(error: EngineError | ProtocolError) -> bool:
    """Return whether the engine may still hold a request whose stream failed.

    A refused connection or a refusal shows that it does not; a stall shows that it does not help.
    """
    if not isinstance(error, EngineError) or not error.crashed:
        return False
    return not isinstance(error.__cause__, ConnectionRefusedError)


def given_up(*, step: str, was_sent: bool) -> Refusal:
    """Return the refusal of a request whose every attempt failed."""
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
    if error.step == _TRANSFER:
        return RetryReason.TRANSFER_STALLED
    return RetryReason.STREAM_STALLED
