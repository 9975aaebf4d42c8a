"""Refusals that dispatchers give."""

from flamingoshelf.refusals import Refusal, RefusalReason

__all__ = ["deadline_refusal", "no_engine_refusal", "queue_refusal"]

_MAX_RETRY_AFTER_S = 60.0


def deadline_refusal(model: str, retry_after_s: float) -> Refusal:
    """Return the refusal of a request whose maximum wait has passed."""
    return Refusal(
        reason=RefusalReason.DEADLINE_UNREACHABLE,
        status=503,
        detail=f"No engine of model {model!r} had a free place in time.",
        not_run=True,
        retry_after_s=retry_after_s,
        step="place",
    )


def queue_refusal(model: str, wait_s: float) -> Refusal:
    """Return the refusal of a request whose expected wait `wait_s` exceeds its maximum wait."""
    return Refusal(
        reason=RefusalReason.QUEUE_FULL,
        status=503,
        detail=f"The engines of model {model!r} are busy for longer than the request may wait.",
        not_run=True,
        retry_after_s=min(_MAX_RETRY_AFTER_S, max(1.0, wait_s / 2)),
        step="place",
    )


def no_engine_refusal(model: str) -> Refusal:
    """Return the refusal of a request that no engine of the model can serve."""
    return Refusal(
        reason=RefusalReason.NO_BACKEND,
        status=503,
        detail=f"No engine of model {model!r} can serve the request.",
        not_run=True,
        retry_after_s=5.0,
        step="place",
    )
