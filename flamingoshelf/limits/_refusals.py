"""Refusals of limiters."""

from flamingoshelf.refusals import Refusal, RefusalReason

__all__ = ["above_burst", "rate_exceeded", "unavailable"]


def rate_exceeded(wait_s: float) -> Refusal:
    """Return the refusal of a request that may be admitted after `wait_s` seconds."""
    return Refusal(
        reason=RefusalReason.RATE_EXCEEDED,
        status=429,
        detail="The workspace is above its rate and burst.",
        not_run=True,
        retry_after_s=wait_s,
        step="charge",
    )


def unavailable(workspace: str, *, peer: str = "") -> Refusal:
    """Return the refusal of a request whose workspace limit is unavailable."""
    return Refusal(
        reason=RefusalReason.LIMIT_UNAVAILABLE,
        status=503,
        detail=f"The limit of workspace {workspace!r} can't be read now.",
        not_run=True,
        retry_after_s=1.0,
        step="charge",
        peer=peer,
    )


def above_burst(tokens: int, burst_tokens: int) -> Refusal:
    """Return the refusal of a request that needs more tokens than the burst allows."""
    return Refusal(
        reason=RefusalReason.REQUEST_TOO_LARGE,
        status=400,
        detail=(
            f"The request may use {tokens} tokens; the workspace may use {burst_tokens} at once."
        ),
        not_run=True,
        step="charge",
    )
