"""Health checks, metrics and status for operators and the platform's balancer."""

from collections.abc import Callable
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from flamingoshelf.telemetry import Metrics

__all__ = ["build_operator_app"]


def build_operator_app(
    *, is_ready: Callable[[], bool], metrics: Metrics, status: Callable[[], dict[str, Any]]
) -> Starlette:
    """Return the ASGI application for operators.

    Parameters
    ----------
    is_ready : callable
        Returns whether the node serves callers.
    metrics : Metrics
        Series for ``/metrics``.
    status : callable
        Returns the document for ``/status``.
    """

    async def healthz(request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def readyz(request: Request) -> Response:
        ready = is_ready()
        return PlainTextResponse("ready\n" if ready else "not ready\n", 200 if ready else 503)

    async def render_metrics(request: Request) -> Response:
        return Response(metrics.render(), media_type="text/plain; version=0.0.4")

    async def render_status(request: Request) -> Response:
        return JSONResponse(status())

    return Starlette(
        routes=[
            Route("/healthz", healthz),
            Route("/readyz", readyz),
            Route("/metrics", render_metrics),
            Route("/status", render_status),
        ]
    )
