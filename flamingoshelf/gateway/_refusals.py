"""Refusals of the gateway itself, and their HTTP responses."""

import json

from flamingoshelf.http1 import Headers, ResponseHead
from flamingoshelf.refusals import Refusal, RefusalReason

__all__ = ["NO_CONFIGURATION", "SHUTTING_DOWN", "evacuated_refusal", "refusal_response"]

_START_RETRY_AFTER_S = 0.5  # a starting node loads its configuration within about 0.5 s

_EVACUATED_RETRY_AFTER_S = 1.0  # servers get work again within a second after an evacuation

NO_CONFIGURATION = Refusal(
    reason=RefusalReason.CONFIGURATION_STALE,
    status=503,
    detail="This node does not know its configuration yet.",
    not_run=True,
    retry_after_s=_START_RETRY_AFTER_S,
)

SHUTTING_DOWN = Refusal(
    reason=RefusalReason.SHUTTING_DOWN,
    status=503,
    detail="This node leaves; another one answers.",
    not_run=True,
    retry_after_s=0.05,  # the load balancer sends a new connection to another node
)


def evacuated_refusal(service: str, *, step: str) -> Refusal:
    """Return the refusal of a request while all servers are in evacuated data centres."""
    return Refusal(
        reason=RefusalReason.SERVERS_EVACUATED,
        status=503,
        detail=f"The data centres of all servers of {service} are evacuated.",
        not_run=True,
        retry_after_s=_EVACUATED_RETRY_AFTER_S,
        step=step,
    )


def refusal_response(refusal: Refusal) -> tuple[ResponseHead, bytes]:
    """Return head and body of the problem document for a refusal.

    Examples
    --------
    >>> head, body = refusal_response(SHUTTING_DOWN)
    >>> head.status, head.headers.get("Retry-After")
    (503, '0.050')
    """
    document = {
        "reason": refusal.reason.value,
        "detail": refusal.detail,
        "not_run": refusal.not_run,
    }
    items = [("Content-Type", "application/problem+json")]
    if refusal.retry_after_s is not None:
        items.append(("Retry-After", f"{refusal.retry_after_s:.3f}"))
    return (
        ResponseHead(status=refusal.status, headers=Headers(items)),
        json.dumps(document).encode(),
    )
