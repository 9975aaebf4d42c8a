"""Reading of request bodies with limits on size and time."""

import asyncio

from result import Err, Ok, Result
from starlette.requests import ClientDisconnect, Request

from flamingoshelf.refusals import Refusal, RefusalReason

__all__ = ["read_body"]

_BODY_TIMEOUT_S = 30.0


async def read_body(request: Request, *, max_bytes: int) -> Result[bytes, Refusal]:
    """Return the body of `request`, or a refusal if it is too large, late or incomplete."""
    chunks: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(_BODY_TIMEOUT_S):
            async for chunk in request.stream():
                size += len(chunk)
                if size > max_bytes:
                    return Err(_too_large(max_bytes))
                chunks.append(chunk)
    except TimeoutError:
        return Err(_malformed(f"The body did not arrive within {_BODY_TIMEOUT_S:.0f} s.", 408))
    except ClientDisconnect:
        return Err(_malformed("The body is not complete.", 400))
    return Ok(b"".join(chunks))


def _too_large(max_bytes: int) -> Refusal:
    return Refusal(
        reason=RefusalReason.BODY_TOO_LARGE,
        status=413,
        detail=f"The body has more than {max_bytes} bytes.",
        not_run=True,
        step="read",
    )


def _malformed(detail: str, status: int) -> Refusal:
    return Refusal(
        reason=RefusalReason.MALFORMED_REQUEST,
        status=status,
        detail=detail,
        not_run=True,
        step="read",
    )
