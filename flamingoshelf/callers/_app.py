"""ASGI application for callers."""

from collections.abc import Callable

from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.routing import Route

from flamingoshelf.callers._admission import Admission
from flamingoshelf.callers._completions import CompletionEndpoints
from flamingoshelf.callers._leaving import LeavingMiddleware
from flamingoshelf.callers._services import ServiceEndpoint

__all__ = ["build_caller_app"]

_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]


def build_caller_app(
    *,
    admission: Admission,
    completions: CompletionEndpoints,
    services: ServiceEndpoint,
    is_leaving: Callable[[], bool],
) -> Starlette:
    """Return the ASGI application for callers."""
    return Starlette(
        routes=[
            Route("/v1/chat/completions", completions.chat, methods=["POST"]),
            Route("/v1/completions", completions.text, methods=["POST"]),
            Route("/v1/models", completions.models, methods=["GET"]),
            Route("/{path:path}", services.call, methods=_METHODS),
        ],
        middleware=[Middleware(LeavingMiddleware, is_leaving=is_leaving)],
        exception_handlers={Exception: admission.answer_failure},
    )
