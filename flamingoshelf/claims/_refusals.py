"""Refusals of calls with an idempotency key."""

from flamingoshelf.claims._records import Claim, ClaimOutcome
from flamingoshelf.refusals import Refusal, RefusalReason

__all__ = [
    "answer_not_kept",
    "body_differs",
    "claim_in_progress",
    "claim_outcome_unknown",
    "claim_unavailable",
]

_UNAVAILABLE_RETRY_S = 2.0
_IN_PROGRESS_RETRY_S = 1.0


def claim_unavailable() -> Refusal:
    """Return the refusal of a call whose claim can't be written."""
    return Refusal(
        reason=RefusalReason.CLAIM_UNAVAILABLE,
        status=503,
        detail="The claim for the Idempotency-Key can't be recorded now; nothing was sent.",
        not_run=True,
        retry_after_s=_UNAVAILABLE_RETRY_S,
        step="claim",
    )


def claim_in_progress(found: Claim) -> Refusal:
    """Return the refusal of a repeated call while the first one runs."""
    return Refusal(
        reason=RefusalReason.CLAIM_IN_PROGRESS,
        status=409,
        detail="A call with this Idempotency-Key is running; repeat later to get its answer.",
        not_run=False,
        retry_after_s=_IN_PROGRESS_RETRY_S,
        step="claim",
        peer=found.holder,
    )


def claim_outcome_unknown(found: Claim) -> Refusal:
    """Return the refusal of a repeated call when the outcome of the first one is unknown."""
    return Refusal(
        reason=RefusalReason.CLAIM_OUTCOME_UNKNOWN,
        status=409,
        detail="A call with this Idempotency-Key may have been carried out; its outcome is not "
        "known. Look at the service before a new call with another key.",
        not_run=False,
        step="claim",
        peer=found.holder,
    )


def body_differs(found: Claim) -> Refusal:
    """Return the refusal of a different call under a key that is in use."""
    return Refusal(
        reason=RefusalReason.CLAIM_BODY_DIFFERS,
        status=422,
        detail="This Idempotency-Key was used for a call with another method, path or body; "
        "this call was not sent.",
        not_run=True,
        step="claim",
        peer=found.holder,
    )


def answer_not_kept(outcome: ClaimOutcome) -> Refusal:
    """Return the refusal of a repeated call whose first answer was too large to store."""
    return Refusal(
        reason=RefusalReason.CLAIM_ANSWER_NOT_KEPT,
        status=409,
        detail=f"The call was carried out and answered with status {outcome.status}; the answer "
        "was too large to keep.",
        not_run=False,
        step="claim",
    )
