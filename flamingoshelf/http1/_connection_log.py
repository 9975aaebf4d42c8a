"""Log lines about connections that end with a request or a response on them."""

from enum import StrEnum

from loguru import logger

from flamingoshelf.http1._exchange import Exchange
from flamingoshelf.utils import now_s

__all__ = ["CloseReason", "log_discarded_bytes", "log_loss"]


class CloseReason(StrEnum):
    """Why this process ends a connection."""

    IDLE = "idle timeout"
    SLOW_HEAD = "header timeout"
    REFUSED_BODY = "refused body"
    LAST_RESPONSE = "last response"
    DRAIN = "drain"
    MALFORMED = "malformed input"
    STOP = "grace period over"


def log_loss(
    exchange: Exchange | None, last_request_id: str | None, reason: CloseReason, unsent_bytes: int
) -> None:
    """Log what the abort of a connection cuts: a running request, or a response not wholly sent."""
    if exchange is not None:
        _log_cut_request(exchange, reason, unsent_bytes=unsent_bytes)
    elif unsent_bytes:
        _log_unsent_response(last_request_id, reason, unsent_bytes=unsent_bytes)


def _log_cut_request(exchange: Exchange, reason: CloseReason, *, unsent_bytes: int) -> None:
    """Log that the connection is aborted while a request is being answered."""
    logger.bind(
        request_id=exchange.request_id,
        step="connection",
        reason=reason.value,
        path=exchange.head.path,
        peer=exchange.backend_server or None,
        status=exchange.status,
        body_complete=exchange.is_body_complete,
        unsent_bytes=unsent_bytes,
        after_s=round(now_s() - exchange.arrived_s, 4),
    ).warning("request cut off")


def _log_unsent_response(request_id: str | None, reason: CloseReason, *, unsent_bytes: int) -> None:
    """Log that the connection is aborted before a complete response was sent."""
    logger.bind(
        request_id=request_id,
        step="connection",
        reason=reason.value,
        unsent_bytes=unsent_bytes,
    ).warning("response not wholly sent")


def log_discarded_bytes(
    request_id: str | None, reason: CloseReason | None, *, size: int, is_body: bool
) -> None:
    """Log that bytes of a caller were discarded because its connection was closing.

    `is_body` tells the rest of a refused body from another request.
    """
    logger.bind(
        last_request_id=request_id,
        step="connection",
        reason=reason and reason.value,
        bytes=size,
        rest_of_body=is_body,
    ).info("received bytes discarded; the connection is closing")
