"""Refusals as problem documents (RFC 9457)."""

import json
import math

from starlette.responses import Response

from flamingoshelf.refusals import Refusal, RefusalReason

__all__ = ["problem_response"]


def problem_response(refusal: Refusal) -> Response:
    """Return the HTTP response with the problem document of `refusal`."""
    document: dict[str, object] = {
        "type": f"urn:flamingoshelf:problem:{refusal.reason.value}",
        "title": refusal.reason.value.replace("_", " ").capitalize(),
        "status": refusal.status,
        "detail": refusal.detail,
        "reason": refusal.reason.value,
    }
    outcome = "done" if refusal.reason is RefusalReason.CLAIM_ANSWER_NOT_KEPT else "unknown"
    document |= {"not_run": True} if refusal.not_run else {"outcome": outcome}
    headers = {}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_s)))
    return Response(
        json.dumps(document),
        status_code=refusal.status,
        media_type="application/problem+json",
        headers=headers,
    )
