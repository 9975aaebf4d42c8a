"""Refusals that a dispatcher returns."""

from flamingoshelf.refusals import Refusal, RefusalReason

__all__ = [
    "limited_refusal",
    "lost_engines_refusal",
    "no_decision_refusal",
    "no_engine_refusal",
    "no_retry_budget_refusal",
    "queue_full_refusal",
    "version_gone_refusal",
]

_NO_ENGINE_RETRY_S = 1.0  # a replaced engine is listed within about a second
_CRASHED_ENGINE_RETRY_S = 2.0  # a crashed engine starts again within seconds


def no_decision_refusal(service: str) -> Refusal:
    """Return the refusal of a request that got no decision before its caller gives up."""
    return Refusal(
        reason=RefusalReason.NO_BACKEND,
        status=503,
        detail=f"No engine of {service} could be assigned in time.",
        not_run=True,
        retry_after_s=_NO_ENGINE_RETRY_S,
        step="place",
    )


def no_engine_refusal(service: str) -> Refusal:
    """Return the refusal of a request that no engine can run."""
    return Refusal(
        reason=RefusalReason.NO_BACKEND,
        status=503,
        detail=f"No engine of {service} can run this request.",
        not_run=True,
        retry_after_s=_NO_ENGINE_RETRY_S,
        step="place",
    )


def lost_engines_refusal(service: str, *, retry_after_s: float) -> Refusal:
    """Return the refusal of a request while no engine of a role has been reached for a time."""
    return Refusal(
        reason=RefusalReason.NO_BACKEND,
        status=503,
        detail=f"No engine of {service} can be reached.",
        not_run=True,
        retry_after_s=retry_after_s,
        step="place",
    )


def no_retry_budget_refusal(service: str) -> Refusal:
    """Return the refusal of a repeated request that exceeds the fleet's retry budget."""
    return Refusal(
        reason=RefusalReason.RETRIES_EXHAUSTED,
        status=503,
        detail=f"Too many requests to {service} were repeated lately.",
        not_run=True,
        retry_after_s=_NO_ENGINE_RETRY_S,
        step="retry",
    )


def limited_refusal(service: str, *, retry_after_s: float) -> Refusal:
    """Return the refusal of a request for which the engines' own limits leave no room in time."""
    return Refusal(
        reason=RefusalReason.SERVERS_LIMITED,
        status=503,
        detail=f"The engines of {service} are at the limits that they state.",
        not_run=True,
        retry_after_s=retry_after_s,
        step="place",
    )


def queue_full_refusal(service: str, *, retry_after_s: float) -> Refusal:
    """Return the refusal of a request that can't be served before its caller gives up."""
    return Refusal(
        reason=RefusalReason.QUEUE_FULL,
        status=503,
        detail=f"The engines of {service} are full for longer than the request can wait.",
        not_run=True,
        retry_after_s=retry_after_s,
        step="place",
    )


def version_gone_refusal(service: str, version: str, *, ready_in_s: float | None = None) -> Refusal:
    """Return the refusal of a stream that no engine in use can continue.

    `ready_in_s` tells in how many seconds one is expected, None if only a crashed one may return.
    """
    detail = f"No engine of {service} runs version {version}, which began the stream"
    if ready_in_s is not None:
        detail += f"; one is expected in {ready_in_s:.1f} s"
    return Refusal(
        reason=RefusalReason.VERSION_GONE,
        status=503,
        detail=f"{detail}.",
        not_run=True,
        retry_after_s=_CRASHED_ENGINE_RETRY_S if ready_in_s is None else ready_in_s,
        step="origin",
    )
